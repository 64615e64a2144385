// SPDX-License-Identifier: Apache-2.0

package fleetconfig

import (
	"math"
	"net/netip"
	"slices"
	"strings"
	"time"

	"google.golang.org/protobuf/encoding/protojson"

	"ploverjunction.example/ploverjunction/internal/policy"
	"ploverjunction.example/ploverjunction/internal/wire"
)

// MaxValue is the greatest size of one published value in bytes, the platform's
// bound.
const MaxValue = 1 << 20

// Bounds of numbers in published configuration.
const (
	maxSlots     = 100_000
	maxDeadline  = 24 * time.Hour
	maxThreshold = 100
	maxName      = 200
)

// Parse reads one published value. Unknown fields are faults.
func Parse(value []byte) (*wire.Document, error) {
	if len(value) > MaxValue {
		return nil, fault(KindSize, "at most 1 MiB", "value")
	}
	d := &wire.Document{}
	if err := protojson.Unmarshal(value, d); err != nil {
		return nil, &Error{
			kind:   KindSyntax,
			object: "value",
			cause:  err,
		}
	}
	return d, nil
}

// policyCache keeps compiled policies between builds: compiling one costs far
// more than all other validation.
type policyCache map[policy.Text]*policy.Program

func (c policyCache) compile(t policy.Text) (*policy.Program, error) {
	if p := c[t]; p != nil {
		return p, nil
	}
	p, err := policy.Compile(t)
	if err != nil {
		return nil, err
	}
	c[t] = p
	return p, nil
}

// Build validates documents together and returns the configuration that they
// make. Every fault is an *Error.
func Build(docs []*wire.Document) (*Config, error) {
	return build(docs, policyCache{})
}

func build(docs []*wire.Document, cache policyCache) (*Config, error) {
	c := &Config{
		services:   map[string]*Service{},
		routes:     newRouteTable(),
		workspaces: map[string]*Workspace{},
		instances:  map[string]*Instance{},
	}
	steps := []func(*wire.Document) error{
		func(d *wire.Document) error { return c.addServices(d, cache) },
		c.addTargets,
		c.addRoutes,
		c.addWorkspaces,
		c.addInstances,
	}
	for _, step := range steps {
		for _, d := range docs {
			if err := step(d); err != nil {
				return nil, err
			}
		}
	}
	for _, s := range c.services {
		slices.SortFunc(s.targets, func(a, b *Target) int { return strings.Compare(a.address, b.address) })
	}
	return c, nil
}

func checkName(kind, name string) error {
	if name == "" {
		return fault(KindMissing, "name", "%s", kind)
	}
	if len(name) > maxName {
		return fault(KindRange, "name longer than 200 bytes", "%s %.20s", kind, name)
	}
	return nil
}

func checkAddress(kind, address string) error {
	if _, err := netip.ParseAddrPort(address); err != nil {
		return fault(KindRange, "want IP:PORT", "%s %q", kind, address)
	}
	return nil
}

func (c *Config) addServices(d *wire.Document, cache policyCache) error {
	for _, w := range d.GetServices() {
		if err := checkName("service", w.GetName()); err != nil {
			return err
		}
		if c.services[w.GetName()] != nil {
			return fault(KindDuplicate, "", "service %s", w.GetName())
		}
		s, err := newService(w, cache)
		if err != nil {
			return err
		}
		c.services[s.name] = s
	}
	return nil
}

func newService(w *wire.Service, cache policyCache) (*Service, error) {
	prg, err := cache.compile(policy.Text{
		Sick:  w.GetPolicy().GetSick(),
		Retry: w.GetPolicy().GetRetry(),
		Floor: w.GetPolicy().GetFloor(),
	})
	if err != nil {
		return nil, &Error{
			kind:   KindPolicy,
			object: "service " + w.GetName(),
			cause:  err,
		}
	}
	s := &Service{
		name:       w.GetName(),
		program:    prg,
		healthPath: w.GetHealthPath(),
		loadPath:   w.GetLoadPath(),
		threshold:  w.GetThreshold(),
	}
	if math.IsNaN(s.threshold) || s.threshold < 0 || s.threshold > maxThreshold {
		return nil, fault(KindRange, "threshold from 0 to 100", "service %s", s.name)
	}
	if s.threshold == 0 {
		s.threshold = DefaultThreshold
	}
	for _, p := range []string{s.healthPath, s.loadPath} {
		if p != "" && !strings.HasPrefix(p, "/") {
			return nil, fault(KindRange, "paths begin with /", "service %s", s.name)
		}
	}
	return s, nil
}

func (c *Config) addTargets(d *wire.Document) error {
	for _, w := range d.GetTargets() {
		s := c.services[w.GetService()]
		if s == nil {
			return fault(KindReference, "service "+w.GetService(), "target %s", w.GetAddress())
		}
		if err := checkAddress("target", w.GetAddress()); err != nil {
			return err
		}
		if slices.ContainsFunc(s.targets, func(t *Target) bool { return t.address == w.GetAddress() }) {
			return fault(KindDuplicate, "", "target %s of service %s", w.GetAddress(), s.name)
		}
		if w.GetSlots() < 1 || w.GetSlots() > maxSlots || w.GetConnections() < 1 || w.GetConnections() > maxSlots {
			return fault(KindRange, "slots and connections from 1 to 100000", "target %s", w.GetAddress())
		}
		s.targets = append(s.targets, &Target{
			service:     s.name,
			address:     w.GetAddress(),
			dataHall:    w.GetDataHall(),
			slots:       int(w.GetSlots()),
			connections: int(w.GetConnections()),
		})
	}
	return nil
}

func (c *Config) addRoutes(d *wire.Document) error {
	for _, w := range d.GetRoutes() {
		if err := checkName("route", w.GetName()); err != nil {
			return err
		}
		s := c.services[w.GetService()]
		if s == nil {
			return fault(KindReference, "service "+w.GetService(), "route %s", w.GetName())
		}
		r, err := newRoute(w, s)
		if err != nil {
			return err
		}
		if !c.routes.add(r) {
			return fault(KindDuplicate, "host, path prefix and method of another route", "route %s", w.GetName())
		}
	}
	return nil
}

func newRoute(w *wire.Route, s *Service) (*Route, error) {
	if !strings.HasPrefix(w.GetPathPrefix(), "/") {
		return nil, fault(KindRange, "path_prefix begins with /", "route %s", w.GetName())
	}
	deadline := w.GetDeadline().AsDuration()
	if deadline < 0 || deadline > maxDeadline {
		return nil, fault(KindRange, "deadline from 0s to 24h", "route %s", w.GetName())
	}
	if w.GetMaxBody() > math.MaxInt64 {
		return nil, fault(KindRange, "max_body", "route %s", w.GetName())
	}
	for _, m := range w.GetMethods() {
		if m == "" || m != strings.ToUpper(m) {
			return nil, fault(KindRange, "methods in capitals", "route %s", w.GetName())
		}
	}
	class := w.GetClass()
	if class == "" {
		class = s.name
	}
	return &Route{
		name:       w.GetName(),
		host:       strings.ToLower(w.GetHost()),
		prefix:     strings.TrimRight(w.GetPathPrefix(), "/"),
		methods:    w.GetMethods(),
		service:    s,
		class:      class,
		repeatable: w.GetRepeatable(),
		deadline:   deadline,
		maxBody:    int64(w.GetMaxBody()),
	}, nil
}

func (c *Config) addWorkspaces(d *wire.Document) error {
	for _, w := range d.GetWorkspaces() {
		if err := checkName("workspace", w.GetId()); err != nil {
			return err
		}
		if c.workspaces[w.GetId()] != nil {
			return fault(KindDuplicate, "", "workspace %s", w.GetId())
		}
		rate := w.GetRate()
		if math.IsNaN(rate) || math.IsInf(rate, 0) || rate < 0 {
			return fault(KindRange, "rate", "workspace %s", w.GetId())
		}
		burst := float64(w.GetBurst())
		if burst == 0 {
			burst = math.Max(rate, 1)
		}
		c.workspaces[w.GetId()] = &Workspace{
			id:    w.GetId(),
			rate:  rate,
			burst: burst,
		}
	}
	return nil
}

func (c *Config) addInstances(d *wire.Document) error {
	for _, w := range d.GetInstances() {
		if err := checkAddress("instance", w.GetAddress()); err != nil {
			return err
		}
		if w.GetState() == wire.Instance_STATE_UNSPECIFIED || w.GetRole() == wire.Instance_ROLE_UNSPECIFIED {
			return fault(KindMissing, "state and role", "instance %s", w.GetAddress())
		}
		if c.instances[w.GetAddress()] != nil {
			return fault(KindDuplicate, "", "instance %s", w.GetAddress())
		}
		c.instances[w.GetAddress()] = &Instance{
			address:  w.GetAddress(),
			dataHall: w.GetDataHall(),
			leaving:  w.GetState() == wire.Instance_LEAVING,
			entry:    w.GetRole() == wire.Instance_ENTRY,
		}
	}
	return nil
}
