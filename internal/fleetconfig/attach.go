// SPDX-License-Identifier: Apache-2.0

package fleetconfig

import (
	"cmp"
	"maps"
	"slices"
	"strings"
)

// replaceableServices returns the services whose registrations may be replaced by documents, or replace them.
func replaceableServices(records map[string]*record) []string {
	var out []string
	for _, r := range records {
		if !r.hasDocument() {
			continue
		}
		for _, v := range append(r.candidates(), r.inForce) {
			if v != nil && v.registration != nil {
				out = append(out, v.registration.service)
			}
		}
	}
	return out
}

// attachRegistrations builds the configuration from the documents and registrations in force. A
// service keeps its targets unless its connections changed, documents list targets, or it is among
// changed.
func (s *Store) attachRegistrations(changed []string) {
	c := *s.base
	c.position = s.config.position
	c.services = make(map[string]*Service, len(s.base.services))
	var rebuilt []string
	for name, svc := range s.base.services {
		out := *svc
		old := s.config.services[name]
		if old != nil && old.connections == svc.connections && old.documentTargets+svc.documentTargets == 0 && !slices.Contains(changed, name) {
			out.targets, out.keyed, out.halls, out.slots = old.targets, old.keyed, old.halls, old.slots
		} else {
			rebuilt = append(rebuilt, name)
		}
		c.services[name] = &out
	}
	s.config = &c
	if len(rebuilt) > 0 {
		s.attachTo(rebuilt)
	}
}

// attachTo adds the registered targets to some services.
func (s *Store) attachTo(services []string) {
	var list []*record
	for _, r := range s.records {
		if r.inForce != nil && r.inForce.registration != nil && slices.Contains(services, r.inForce.registration.service) {
			list = append(list, r)
		}
	}
	e := edits{}
	slices.SortFunc(list, byPosition)
	for _, r := range list {
		v := r.inForce
		r.inForce = nil
		if r.refusal = e.put(s.config, r, v); r.refusal != nil {
			s.inactive[r.newest.entry.GetKey()] = r
		}
	}
	e.apply(s.config)
}

// activateRegistrations puts valid registrations in force. Each depends only on its service and the
// keys of that service's targets.
func (s *Store) activateRegistrations() {
	pending := s.pending(false)
	if len(pending) == 0 {
		return
	}
	c := *s.config
	c.services = maps.Clone(s.config.services)
	s.config = &c
	e := edits{}
	for progress := true; progress; {
		progress = false
		for _, r := range pending {
			for _, v := range r.candidates() {
				if r.newest == r.inForce {
					break
				}
				err := e.put(s.config, r, v)
				progress = progress || err == nil
				if v == r.newest {
					r.refusal = err
				}
			}
		}
	}
	e.apply(s.config)
}

// byPosition orders records by the position of the newest value, then by key.
func byPosition(a, b *record) int {
	return cmp.Or(
		a.newest.version.Position().Compare(b.newest.version.Position()),
		strings.Compare(a.newest.entry.GetKey(), b.newest.entry.GetKey()),
	)
}

// edit is a change of the targets of one service.
type edit struct {
	removed map[*Target]bool
	added   map[string]*Target
}

// edits are the changes by service name.
type edits map[string]*edit

func (e edits) forService(service string) *edit {
	if e[service] == nil {
		e[service] = &edit{
			removed: map[*Target]bool{},
			added:   map[string]*Target{},
		}
	}
	return e[service]
}

// put replaces the value of a record in force by v.
func (e edits) put(c *Config, r *record, v *parsedValue) error {
	if v.err != nil {
		return v.err
	}
	var old *Target
	if r.inForce != nil && r.inForce.registration != nil {
		old = r.inForce.registration.target
	}
	var t *Target
	if reg := v.registration; reg != nil && c.services[reg.service] != nil {
		svc, to := c.services[reg.service], e.forService(reg.service)
		var err error
		if t, err = reg.targetFor(svc); err != nil {
			return err
		}
		holder := svc.Target(t.key)
		if holder != nil && to.removed[holder] {
			holder = nil
		}
		if added := to.added[t.key]; added != nil {
			holder = added
		}
		if holder != nil && holder != old {
			return duplicateTarget(t)
		}
	}
	e.remove(c, old)
	if t != nil {
		e.forService(t.service).added[t.key] = t
	}
	r.inForce = v
	return nil
}

func (e edits) remove(c *Config, t *Target) {
	if t == nil || c.services[t.service] == nil {
		return
	}
	from := e.forService(t.service)
	if from.added[t.key] == t {
		delete(from.added, t.key)
	} else if c.services[t.service].Target(t.key) == t {
		from.removed[t] = true
	}
}

// apply replaces the changed services of c, which must not be shared yet.
func (e edits) apply(c *Config) {
	for name, change := range e {
		if len(change.removed)+len(change.added) == 0 {
			continue
		}
		c.services[name] = c.services[name].withTargets(slices.Collect(maps.Keys(change.removed)), slices.Collect(maps.Values(change.added)))
	}
}
