// SPDX-License-Identifier: Apache-2.0

package fleetconfig

import (
	"fmt"
	"math"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"google.golang.org/protobuf/encoding/protojson"

	"ploverjunction.example/ploverjunction/internal/policy"
	"ploverjunction.example/ploverjunction/internal/wire"
)

// MaxDocument is the greatest size of one document in bytes, as nodes exchange and parse it. Platforms
// limit the values that operators publish themselves; the document that an adapter makes of a value can
// be several times larger.
const MaxDocument = 16 << 20

// Bounds of numbers in published configuration.
const (
	maxSlots     = 100_000
	maxDeadline  = 24 * time.Hour
	maxThreshold = 100
	maxName      = 200
	maxPriority  = 1_000_000
)

// Parse parses one published value. Unknown fields are errors.
func Parse(value []byte) (*wire.Document, error) {
	if len(value) > MaxDocument {
		return nil, fault(KindSize, fmt.Sprintf("document of at least %d bytes, at most %d allowed", len(value), MaxDocument), "value")
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

// policyCache caches compiled policies between builds: compilation costs far more
// than all other validation.
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

// Build validates documents together and returns their configuration. Every error
// is an *Error.
func Build(docs []*wire.Document) (*Config, error) {
	return build(docs, policyCache{})
}

func build(docs []*wire.Document, cache policyCache) (*Config, error) {
	c := &Config{
		services:   map[string]*Service{},
		routes:     newRouteTable(),
		workspaces: map[string]*Workspace{},
		byKey:      map[KeyDigest]*Workspace{},
		instances:  map[string]*Instance{},
		limits:     &Limits{},
		evacuated:  map[string]bool{},
	}
	keys := map[string]bool{}
	steps := []func(*wire.Document) error{
		c.addEvacuations,
		func(d *wire.Document) error { return c.addServices(d, cache) },
		func(d *wire.Document) error { return c.addTargets(d, keys) },
		c.addRoutes,
		c.addWorkspaces,
		c.addInstances,
		c.addLimits,
	}
	for _, step := range steps {
		for _, d := range docs {
			if err := step(d); err != nil {
				return nil, err
			}
		}
	}
	for _, s := range c.services {
		s.setTargets(s.targets)
		s.documentTargets = len(s.targets)
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
	if a, err := netip.ParseAddrPort(address); err != nil || a.Port() == 0 {
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
		s.evacuated = c.evacuated
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

		connections: int(w.GetConnections()),
		warmupRate:  w.GetWarmupRate(),
	}
	if math.IsNaN(s.warmupRate) || math.IsInf(s.warmupRate, 0) || s.warmupRate < 0 {
		return nil, fault(KindRange, "warmup_rate from 0", "service %s", s.name)
	}
	if math.IsNaN(s.threshold) || s.threshold < 0 || s.threshold > maxThreshold {
		return nil, fault(KindRange, "threshold from 0 to 100", "service %s", s.name)
	}
	if s.threshold == 0 {
		s.threshold = DefaultThreshold
	}
	if s.connections > maxSlots {
		return nil, fault(KindRange, "connections to 100000", "service %s", s.name)
	}
	for _, p := range []string{s.healthPath, s.loadPath} {
		if p != "" && !strings.HasPrefix(p, "/") {
			return nil, fault(KindRange, "paths begin with /", "service %s", s.name)
		}
	}
	return s, nil
}

// addTargets adds the targets of a document; keys holds service name and key of all targets
// so far.
func (c *Config) addTargets(d *wire.Document, keys map[string]bool) error {
	for _, w := range d.GetTargets() {
		s := c.services[w.GetService()]
		if s == nil && w.GetId() != "" {
			// Registrations are independent of the documents of services: a target whose
			// service isn't published yet waits for it.
			continue
		}
		if s == nil {
			return fault(KindReference, "service "+w.GetService(), "target %s", w.GetAddress())
		}
		if err := checkAddress("target", w.GetAddress()); err != nil {
			return err
		}
		t, err := newTarget(w)
		if err != nil {
			return err
		}
		if t.connections == 0 {
			t.connections = s.connections
		}
		if err := checkConnections(t.connections, t); err != nil {
			return err
		}
		if keys[s.name+" "+t.Key()] {
			return duplicateTarget(t)
		}
		keys[s.name+" "+t.Key()] = true
		s.targets = append(s.targets, t)
	}
	return nil
}

func duplicateTarget(t *Target) error {
	return fault(KindDuplicate, "", "target %s of service %s", t.Key(), t.service)
}

func checkConnections(n int, t *Target) error {
	if n < 1 || n > maxSlots {
		return fault(KindRange, "connections from 1 to 100000", "target %s", t.address)
	}
	return nil
}

// targetKey returns the key of a target. A restarted process has lost all its state, so it is
// another target even under the same ID.
func targetKey(w *wire.Target) string {
	switch {
	case w.GetId() == "":
		return w.GetAddress()
	case w.GetBorn() == 0:
		return w.GetId()
	default:
		return w.GetId() + "/" + strconv.FormatUint(w.GetBorn(), 36)
	}
}

func newTarget(w *wire.Target) (*Target, error) {
	t := &Target{
		service:     w.GetService(),
		address:     w.GetAddress(),
		dataHall:    w.GetDataHall(),
		slots:       int(w.GetSlots()),
		connections: int(w.GetConnections()),
		id:          w.GetId(),
		draining:    w.GetLeaving(),
		warmup:      w.GetWarmup().AsDuration(),
		key:         targetKey(w),
	}
	if born := w.GetBorn(); born != 0 {
		t.startedAt = time.UnixMilli(int64(min(born, math.MaxInt64)))
	}
	if t.slots < 1 || t.slots > maxSlots {
		return nil, fault(KindRange, "slots from 1 to 100000", "target %s", t.address)
	}
	if t.warmup < 0 || t.warmup > maxDeadline || len(t.id) > maxName {
		return nil, fault(KindRange, "warmup from 0s to 24h and id of 200 bytes at most", "target %s", t.address)
	}
	return t, nil
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
			draining: w.GetState() == wire.Instance_LEAVING,
			entry:    w.GetRole() == wire.Instance_ENTRY,
		}
	}
	return nil
}

func (c *Config) addLimits(d *wire.Document) error {
	w := d.GetLimits()
	if w == nil {
		return nil
	}
	if *c.limits != (Limits{}) {
		return fault(KindDuplicate, "", "limits")
	}
	if w.GetMaxBody() > math.MaxInt64 || w.GetMaxHeader() > math.MaxInt64 {
		return fault(KindRange, "max_header and max_body", "limits")
	}
	c.limits = &Limits{
		maxHeader:     int64(w.GetMaxHeader()),
		maxBody:       int64(w.GetMaxBody()),
		headerTimeout: w.GetHeaderTimeout().AsDuration(),
		idleTimeout:   w.GetIdleTimeout().AsDuration(),
	}
	if c.limits.headerTimeout < 0 || c.limits.idleTimeout < 0 {
		return fault(KindRange, "times from 0s", "limits")
	}
	return nil
}
