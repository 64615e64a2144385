// SPDX-License-Identifier: Apache-2.0

// Package fleetconfig holds the configuration that operators publish: services,
// targets, routes, workspaces and lists of instances. A published value is one
// wire.Document in JSON; the configuration is the union of all values and is
// validated whole.
package fleetconfig

import (
	"time"

	"ploverjunction.example/ploverjunction/internal/policy"
)

// DefaultThreshold is the evidence needed against a target where the service
// states none. It is a log-likelihood ratio: e^7 is about 1100 to 1.
const DefaultThreshold = 7.0

// Target is one target of a service.
type Target struct {
	service     string
	address     string
	dataHall    string
	slots       int
	connections int
}

// Service returns the name of the service.
func (t *Target) Service() string { return t.service }

// Address returns the IP number and port.
func (t *Target) Address() string { return t.address }

// DataHall returns the data hall of the target; it may be empty.
func (t *Target) DataHall() string { return t.dataHall }

// Slots returns how many requests the target works on at once, at least 1.
func (t *Target) Slots() int { return t.slots }

// Connections returns how many connections the target accepts, at least 1.
func (t *Target) Connections() int { return t.connections }

// Service is a pool of targets with its policy.
type Service struct {
	name       string
	program    *policy.Program
	healthPath string
	loadPath   string
	threshold  float64
	targets    []*Target
}

// Name returns the name of the service.
func (s *Service) Name() string { return s.name }

// Policy returns the compiled policy, never nil.
func (s *Service) Policy() *policy.Program { return s.program }

// HealthPath returns the path of the targets' health endpoint, or "".
func (s *Service) HealthPath() string { return s.healthPath }

// LoadPath returns the path of the targets' load endpoint, or "".
func (s *Service) LoadPath() string { return s.loadPath }

// Threshold returns the evidence needed against a target, above 0.
func (s *Service) Threshold() float64 { return s.threshold }

// Targets returns the targets in the order of their addresses. The slice must
// not be changed.
func (s *Service) Targets() []*Target { return s.targets }

// Route says where matching requests go.
type Route struct {
	name       string
	host       string
	prefix     string
	methods    []string
	service    *Service
	class      string
	repeatable bool
	deadline   time.Duration
	maxBody    int64
}

// Name returns the name of the route.
func (r *Route) Name() string { return r.name }

// Service returns the service of the route, never nil.
func (r *Route) Service() *Service { return r.service }

// Class returns the class of the route, its service's name where none is given.
func (r *Route) Class() string { return r.class }

// Repeatable tells whether a request may run more than once without harm.
func (r *Route) Repeatable() bool { return r.repeatable }

// Deadline returns the longest time to the first byte of an answer; 0 means the
// setting of the process.
func (r *Route) Deadline() time.Duration { return r.deadline }

// MaxBody returns the greatest request body in bytes; 0 means the setting of
// the process.
func (r *Route) MaxBody() int64 { return r.maxBody }

// Workspace is one identity with its limits.
type Workspace struct {
	id    string
	rate  float64
	burst float64
}

// ID returns the identity.
func (w *Workspace) ID() string { return w.id }

// Rate returns the requests a second of the whole fleet; 0 means unlimited.
func (w *Workspace) Rate() float64 { return w.rate }

// Burst returns the requests that may come at once, at least 1 where a rate is
// given.
func (w *Workspace) Burst() float64 { return w.burst }

// Instance is one entry of the platform's list of instances.
type Instance struct {
	address  string
	dataHall string
	leaving  bool
	entry    bool
}

// Address returns the address for peers, or of the target.
func (i *Instance) Address() string { return i.address }

// DataHall returns the data hall; it may be empty.
func (i *Instance) DataHall() string { return i.dataHall }

// Leaving tells whether the platform has announced the instance's end.
func (i *Instance) Leaving() bool { return i.leaving }

// Entry tells whether the instance runs a process of the fleet, not a target.
func (i *Instance) Entry() bool { return i.entry }

// Config is one whole, valid configuration. It never changes and may be read
// concurrently.
type Config struct {
	services   map[string]*Service
	routes     *routeTable
	workspaces map[string]*Workspace
	instances  map[string]*Instance
	revision   uint64
}

// Service returns a service by name, or nil.
func (c *Config) Service(name string) *Service { return c.services[name] }

// Services returns all services by name. The map must not be changed.
func (c *Config) Services() map[string]*Service { return c.services }

// Workspace returns a workspace by identity, or nil.
func (c *Config) Workspace(id string) *Workspace { return c.workspaces[id] }

// Workspaces returns the number of workspaces.
func (c *Config) Workspaces() int { return len(c.workspaces) }

// Instances returns the listed instances by address. The map must not be
// changed.
func (c *Config) Instances() map[string]*Instance { return c.instances }

// Routes returns the number of routes.
func (c *Config) Routes() int { return c.routes.count }

// Revision returns the greatest revision in force.
func (c *Config) Revision() uint64 { return c.revision }
