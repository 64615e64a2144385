// SPDX-License-Identifier: Apache-2.0

package fleetconfig

import (
	"maps"
	"slices"

	"ploverjunction.example/ploverjunction/internal/order"
	"ploverjunction.example/ploverjunction/internal/wire"
)

// activate puts in force as many newest values as are valid. Documents must be valid together; a
// registration needs only its service.
func (s *Store) activate() {
	if pending := s.pending(true); pending != nil {
		s.activateDocuments(pending, replaceableServices(s.inactive))
	}
	s.activateRegistrations()
	s.finish()
}

// activateDocuments puts in force as many newest documents as are valid together: all of them
// at once if possible, else one after another in order of position until no more
// can be added. changed are services whose registrations it may replace.
func (s *Store) activateDocuments(pending []*record, changed []string) {
	if s.tryAll(pending) {
		pending = nil
	}
	for progress := true; progress; {
		progress = false
		for _, r := range pending {
			progress = s.advance(r) || progress
		}
	}
	for _, r := range pending {
		r.refusal = nil
		if r.newest != r.inForce {
			r.refusal = s.try(r, r.newest)
		}
	}
	s.attachRegistrations(changed)
}

// advance puts the first valid candidate of a key in force and reports whether there was one.
func (s *Store) advance(r *record) bool {
	if r.newest == r.inForce {
		return false
	}
	for _, v := range r.candidates() {
		if s.try(r, v) == nil {
			return true
		}
	}
	return false
}

// pending returns the records of documents, or else of registrations, that are not in force, by
// position.
func (s *Store) pending(documents bool) []*record {
	var out []*record
	for _, r := range s.inactive {
		if r.hasDocument() == documents && r.newest != r.inForce {
			out = append(out, r)
		}
	}
	slices.SortFunc(out, byPosition)
	return out
}

// tryAll puts the newest values of all pending records in force if they are valid together.
func (s *Store) tryAll(pending []*record) bool {
	old := make([]*parsedValue, len(pending))
	for i, r := range pending {
		if r.newest.err != nil {
			return false
		}
		old[i] = r.inForce
	}
	for _, r := range pending {
		r.inForce = r.newest
	}
	if c, err := build(s.inForceDocs(), s.policies); err == nil {
		s.base = c
		return true
	}
	for i, r := range pending {
		r.inForce = old[i]
	}
	return false
}

// try puts one value in force if it is valid together with all others in force.
func (s *Store) try(r *record, v *parsedValue) error {
	if v.err != nil {
		return v.err
	}
	old := r.inForce
	r.inForce = v
	c, err := build(s.inForceDocs(), s.policies)
	if err != nil {
		r.inForce = old
		return err
	}
	s.base = c
	return nil
}

// inForceDocs returns the documents in force, sorted by key.
func (s *Store) inForceDocs() []*wire.Document {
	docs := make([]*wire.Document, 0, len(s.documents))
	for _, k := range slices.Sorted(maps.Keys(s.documents)) {
		if v := s.documents[k].inForce; v.isDocument() {
			docs = append(docs, v.doc)
		}
	}
	return docs
}

// finish sets the position of the configuration, lists the refusals, and drops state that is no
// longer needed.
func (s *Store) finish() {
	s.config.position = order.Max(s.config.position, s.base.position)
	left := map[string]*record{}
	for key, r := range s.inactive {
		if r.inForce != nil {
			s.config.position = order.Max(s.config.position, r.inForce.version.Position())
		}
		if r.fallback != nil && !r.fallback.after(r.inForce) {
			r.fallback = nil
		}
		if r.newest == r.inForce {
			r.refusal = nil
		} else {
			left[key] = r
		}
		if !r.hasDocument() {
			delete(s.documents, key)
		}
	}
	// A new map, because a Go map doesn't shrink when keys are deleted.
	s.inactive = left
	s.refusals = nil
	for _, key := range slices.Sorted(maps.Keys(s.inactive)) {
		r := s.inactive[key]
		s.refusals = append(s.refusals, Refusal{
			key:      key,
			position: r.newest.version.Position(),
			err:      r.refusal,
		})
	}
	used := policyCache{}
	for _, svc := range s.config.services {
		used[svc.program.Text()] = svc.program
	}
	s.policies = used
}

// advancePosition advances the position of the configuration over values in force that were
// reported again at later positions.
func (s *Store) advancePosition(fresh []*wire.Entry) {
	for _, e := range fresh {
		if r := s.records[e.GetKey()]; r.inForce != nil {
			s.config.position = order.Max(s.config.position, r.inForce.version.Position())
		}
	}
}
