// SPDX-License-Identifier: Apache-2.0

// Package fleetconfig holds the configuration that operators publish: services,
// targets, routes, workspaces and lists of instances. A published value is one
// wire.Document in JSON; the configuration is the union of all values and is
// validated as a whole.
package fleetconfig

import (
	"maps"
	"slices"
	"strings"
	"time"

	"ploverjunction.example/ploverjunction/internal/order"
	"ploverjunction.example/ploverjunction/internal/policy"
)

// DefaultThreshold is the evidence needed to eject a target of a service without
// a threshold. It is a log-likelihood ratio: e^7 is about 1100 to 1.
const DefaultThreshold = 7.0

// Target is one target of a service.
type Target struct {
	service     string
	address     string
	dataHall    string
	slots       int
	connections int
	id          string
	draining    bool
	warmup      time.Duration
	key         string
	startedAt   time.Time
}

// Service returns the name of the service.
func (t *Target) Service() string { return t.service }

// Address returns the IP number and port.
func (t *Target) Address() string { return t.address }

// DataHall returns the data hall of the target; it may be empty.
func (t *Target) DataHall() string { return t.dataHall }

// Slots returns how many requests the target processes concurrently, at least 1.
func (t *Target) Slots() int { return t.slots }

// Connections returns how many connections the target accepts, at least 1.
func (t *Target) Connections() int { return t.connections }

// ID returns the published ID of the target, or "". A target may restart under the
// same ID.
func (t *Target) ID() string { return t.id }

// Key identifies one incarnation of the target within its service: its ID and start
// time, else its address.
func (t *Target) Key() string { return t.key }

// StartedAt returns the start time of this incarnation by the target's own clock, the zero time if
// it isn't published.
func (t *Target) StartedAt() time.Time { return t.startedAt }

// Draining reports whether the target takes no new work.
func (t *Target) Draining() bool { return t.draining }

// Warmup returns how long the target is slower after it was first listed.
func (t *Target) Warmup() time.Duration { return t.warmup }

// Service is a pool of targets with its policy.
type Service struct {
	name       string
	program    *policy.Program
	healthPath string
	loadPath   string
	threshold  float64
	// targets are sorted by address, keyed by key.
	targets []*Target
	keyed   []*Target
	// documentTargets is the number of targets listed in documents, registrations excluded.
	documentTargets int
	// connections is the number of connections of targets that state none.
	connections int
	// warmupRate limits the requests per second to a target that warms up; 0 means no limit.
	warmupRate float64
	// halls are the data halls of the targets, sorted by name; slots is the sum over all targets.
	halls     []hall
	slots     int
	evacuated map[string]bool
}

// Name returns the name of the service.
func (s *Service) Name() string { return s.name }

// Policy returns the compiled policy, never nil.
func (s *Service) Policy() *policy.Program { return s.program }

// HealthPath returns the path of the targets' health endpoint, or "".
func (s *Service) HealthPath() string { return s.healthPath }

// LoadPath returns the path of the targets' load endpoint, or "".
func (s *Service) LoadPath() string { return s.loadPath }

// Threshold returns the evidence needed to eject a target, above 0.
func (s *Service) Threshold() float64 { return s.threshold }

// Targets returns the targets sorted by address. The slice must not be modified.
func (s *Service) Targets() []*Target { return s.targets }

// WarmupRate returns the limit of requests per second from all nodes to a target that warms
// up; 0 means no limit.
func (s *Service) WarmupRate() float64 { return s.warmupRate }

// Evacuated reports whether targets in a data hall get no new requests.
func (s *Service) Evacuated(dataHall string) bool { return s.evacuated[dataHall] }

// AnyEvacuated reports whether any data hall is evacuated.
func (s *Service) AnyEvacuated() bool { return len(s.evacuated) > 0 }

// SameEvacuations reports whether the same data halls are evacuated as in o.
func (s *Service) SameEvacuations(o *Service) bool { return maps.Equal(s.evacuated, o.evacuated) }

// Draining reports whether a target gets no new requests: it is draining, or its data hall is
// evacuated.
func (s *Service) Draining(t *Target) bool { return t.draining || s.evacuated[t.dataHall] }

// Target returns a target by its key, or nil.
func (s *Service) Target(key string) *Target {
	at, ok := slices.BinarySearchFunc(s.keyed, key, func(t *Target, k string) int { return strings.Compare(t.key, k) })
	if !ok {
		return nil
	}
	return s.keyed[at]
}

// Route maps matching requests to a service.
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
	// below is set if a request's path must be longer than the prefix.
	below         bool
	targetLatency time.Duration
	priority      int
	maxAttempts   int
	bulk          bool
	public        bool
	regions       Regions
	split         []splitService
}

// splitService is one service of a route with a traffic split.
type splitService struct {
	service *Service
	// cumulativeWeight is the sum of the weights up to and including this service's.
	cumulativeWeight uint64
}

// Name returns the name of the route.
func (r *Route) Name() string { return r.name }

// Host returns the host that the route matches, "" for any.
func (r *Route) Host() string { return r.host }

// Service returns the service of the route, the first one of a split. It is never
// nil.
func (r *Route) Service() *Service { return r.service }

// ChooseService returns the service of one request. random is 64 random bits; the
// services of a split get requests in proportion to their weights.
func (r *Route) ChooseService(random uint64) *Service {
	if len(r.split) == 0 {
		return r.service
	}
	at := random % r.split[len(r.split)-1].cumulativeWeight
	for _, p := range r.split {
		if at < p.cumulativeWeight {
			return p.service
		}
	}
	return r.service
}

// Uses reports whether requests of the route may go to a service.
func (r *Route) Uses(service string) bool {
	if len(r.split) == 0 {
		return r.service.Name() == service
	}
	return slices.ContainsFunc(r.split, func(p splitService) bool { return p.service.Name() == service })
}

// TargetLatency returns the soft deadline of an answer; 0 means that none is
// published.
func (r *Route) TargetLatency() time.Duration { return r.targetLatency }

// Priority returns the priority under overload; 0 is served first.
func (r *Route) Priority() int { return r.priority }

// MaxAttempts returns the greatest number of targets that one request may be sent
// to; 0 means that only the policy limits it.
func (r *Route) MaxAttempts() int { return r.maxAttempts }

// Bulk reports whether answers are large.
func (r *Route) Bulk() bool { return r.bulk }

// Regions returns the regions whose targets may serve the route.
func (r *Route) Regions() Regions { return r.regions }

// Public reports whether callers need no key.
func (r *Route) Public() bool { return r.public }

// Class returns the class of the route, by default its service's name.
func (r *Route) Class() string { return r.class }

// Repeatable reports whether requests are idempotent.
func (r *Route) Repeatable() bool { return r.repeatable }

// Deadline returns the longest time to the first byte of an answer; 0 means that
// the process setting applies.
func (r *Route) Deadline() time.Duration { return r.deadline }

// MaxBody returns the greatest request body in bytes; 0 means that the process
// setting applies.
func (r *Route) MaxBody() int64 { return r.maxBody }

// Instance is one entry of the platform's list of instances.
type Instance struct {
	address  string
	dataHall string
	draining bool
	entry    bool
}

// Address returns the address that peers use, or that of the target.
func (i *Instance) Address() string { return i.address }

// DataHall returns the data hall; it may be empty.
func (i *Instance) DataHall() string { return i.dataHall }

// Draining reports whether the platform has announced the instance's shutdown.
func (i *Instance) Draining() bool { return i.draining }

// Entry reports whether the instance runs a proxy process, not a target.
func (i *Instance) Entry() bool { return i.entry }

// Config is a complete, valid configuration. It is immutable and may be read
// concurrently.
type Config struct {
	services   map[string]*Service
	routes     *routeTable
	workspaces map[string]*Workspace
	// byKey are the workspaces by the digests of their keys.
	byKey map[KeyDigest]*Workspace
	// leastUrgent is the greatest priority number of a workspace.
	leastUrgent int
	instances   map[string]*Instance
	position    order.Position
	limits      *Limits
	// evacuated are the data halls whose targets get no new requests.
	evacuated map[string]bool
}

// Limits are bounds on what callers may send. A zero value means that the process
// setting applies.
type Limits struct {
	maxHeader     int64
	maxBody       int64
	headerTimeout time.Duration
	idleTimeout   time.Duration
}

// MaxHeader returns the greatest request header in bytes.
func (l *Limits) MaxHeader() int64 { return l.maxHeader }

// MaxBody returns the greatest request body in bytes.
func (l *Limits) MaxBody() int64 { return l.maxBody }

// HeaderTimeout returns how long a caller may take to send a header.
func (l *Limits) HeaderTimeout() time.Duration { return l.headerTimeout }

// IdleTimeout returns how long a caller's connection may be idle.
func (l *Limits) IdleTimeout() time.Duration { return l.idleTimeout }

// Limits returns the published limits, never nil.
func (c *Config) Limits() *Limits { return c.limits }

// Service returns a service by name, or nil.
func (c *Config) Service(name string) *Service { return c.services[name] }

// Services returns all services by name. The map must not be modified.
func (c *Config) Services() map[string]*Service { return c.services }

// Evacuated reports whether targets in a data hall get no new requests.
func (c *Config) Evacuated(dataHall string) bool { return c.evacuated[dataHall] }

// Evacuations returns the evacuated data halls, sorted.
func (c *Config) Evacuations() []string { return slices.Sorted(maps.Keys(c.evacuated)) }

// Instances returns the listed instances by address. The map must not be
// modified.
func (c *Config) Instances() map[string]*Instance { return c.instances }

// SameInstances reports whether o, which may be nil, lists the same instances.
func (c *Config) SameInstances(o *Config) bool {
	return o != nil && maps.Equal(c.instances, o.instances)
}

// Routes returns the number of routes.
func (c *Config) Routes() int { return c.routes.count }

// Position returns the latest position of all values in force.
func (c *Config) Position() order.Position { return c.position }
