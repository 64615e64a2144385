// SPDX-License-Identifier: Apache-2.0

package fleetconfig

import (
	"cmp"
	"slices"
	"strings"

	"ploverjunction.example/ploverjunction/internal/wire"
)

// version is one value of a key together with what it parsed to.
type version struct {
	entry *wire.Entry
	doc   *wire.Document
	err   error
}

func (v *version) revision() uint64 { return v.entry.GetRevision() }

// record is all that the store holds of one key. The newest version may be
// refused; the one in force is then older. fallback is the greatest version
// between the two: a process that starts anew learns from its peers, in any
// order, the one that they have in force and the one that they refuse.
type record struct {
	newest   *version
	inForce  *version
	fallback *version
}

// keep notes a version that isn't the newest.
func (r *record) keep(v *version) bool {
	if v.err != nil || v.revision() <= r.inForceRevision() {
		return false
	}
	if r.fallback != nil && v.revision() <= r.fallback.revision() {
		return false
	}
	r.fallback = v
	return true
}

func (r *record) inForceRevision() uint64 {
	if r.inForce == nil {
		return 0
	}
	return r.inForce.revision()
}

// candidates returns the versions that could replace the one in force, the best
// first.
func (r *record) candidates() []*version {
	out := []*version{r.newest}
	if r.fallback != nil && r.fallback.revision() > r.inForceRevision() {
		out = append(out, r.fallback)
	}
	return out
}

// Refusal says why the newest value of a key is not in force.
type Refusal struct {
	key      string
	revision uint64
	err      error
}

// Key returns the key of the refused value.
func (r Refusal) Key() string { return r.key }

// Revision returns the revision of the refused value.
func (r Refusal) Revision() uint64 { return r.revision }

// Err returns the reason.
func (r Refusal) Err() error { return r.err }

// Store keeps the newest value and the value in force of each key. The revision
// of neither ever falls. It is not safe for concurrent use: one controller owns
// it.
type Store struct {
	records map[string]*record
	// keys are the keys of all records, sorted: each change of one target would sort
	// them anew else, three times on each node of the fleet.
	keys []string
	// buckets are the digests of the parts into which the keys are divided.
	buckets  [Buckets]uint64
	policies policyCache
	config   *Config
	refusals []Refusal
}

// NewStore returns a store without keys and with an empty configuration.
func NewStore() *Store {
	c, err := Build(nil)
	if err != nil {
		panic("fleetconfig: the empty configuration is valid: " + err.Error())
	}
	return &Store{
		records:  map[string]*record{},
		policies: policyCache{},
		config:   c,
	}
}

// Config returns the configuration in force, never nil.
func (s *Store) Config() *Config { return s.config }

// Refusals returns the values that are newest but refused, by key.
func (s *Store) Refusals() []Refusal { return slices.Clone(s.refusals) }

// Offer takes values from any source, in any order, and returns those that were
// new. A value with a revision that is not greater than the known one of its
// key changes nothing. After the call Config is the newest valid configuration.
func (s *Store) Offer(entries []*wire.Entry) []*wire.Entry {
	var fresh []*wire.Entry
	for _, e := range entries {
		if s.take(e) {
			fresh = append(fresh, e)
		}
	}
	if len(fresh) > 0 {
		s.settle()
	}
	return fresh
}

func (s *Store) take(e *wire.Entry) bool {
	if e.GetKey() == "" || e.GetRevision() == 0 {
		return false
	}
	r := s.records[e.GetKey()]
	if r == nil {
		r = &record{}
		s.records[e.GetKey()] = r
		at, _ := slices.BinarySearch(s.keys, e.GetKey())
		s.keys = slices.Insert(s.keys, at, e.GetKey())
	}
	if r.newest != nil && e.GetRevision() <= r.newest.revision() {
		return e.GetRevision() < r.newest.revision() && e.GetRevision() > r.inForceRevision() && r.keep(parseVersion(e))
	}
	if r.newest != nil && r.newest != r.inForce {
		r.keep(r.newest)
	}
	old := r.newest
	r.newest = parseVersion(e)
	s.note(old, r.newest)
	return true
}

func parseVersion(e *wire.Entry) *version {
	v := &version{
		entry: e,
	}
	if e.GetDeleted() {
		v.doc = &wire.Document{}
		return v
	}
	v.doc, v.err = Parse(e.GetValue())
	return v
}

// settle puts in force as many newest values as are valid together: all of them
// at once where that works, else one after another in the order of revisions
// until no more can be added.
func (s *Store) settle() {
	pending := s.pending()
	if s.tryAll(pending) {
		pending = nil
	}
	for progress := true; progress; {
		progress = false
		for _, r := range pending {
			progress = s.advance(r) || progress
		}
	}
	s.refusals = nil
	for _, r := range pending {
		if r.newest == r.inForce {
			continue
		}
		s.refusals = append(s.refusals, Refusal{
			key:      r.newest.entry.GetKey(),
			revision: r.newest.revision(),
			err:      s.try(r, r.newest),
		})
	}
	s.finish()
}

// advance puts the best candidate of a key in force that is valid now.
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

func (s *Store) pending() []*record {
	var out []*record
	for _, r := range s.records {
		if r.newest != r.inForce {
			out = append(out, r)
		}
	}
	slices.SortFunc(out, func(a, b *record) int {
		return cmp.Or(
			cmp.Compare(a.newest.revision(), b.newest.revision()),
			strings.Compare(a.newest.entry.GetKey(), b.newest.entry.GetKey()),
		)
	})
	return out
}

// tryAll puts the newest values of all keys in force if they are valid together.
func (s *Store) tryAll(pending []*record) bool {
	old := make([]*version, len(pending))
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
		s.config = c
		return true
	}
	for i, r := range pending {
		r.inForce = old[i]
	}
	return false
}

// try puts one version in force if it is valid with all else that is.
func (s *Store) try(r *record, v *version) error {
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
	s.config = c
	return nil
}

// finish gives the configuration its revision and drops policies out of use.
func (s *Store) finish() {
	for _, r := range s.records {
		s.config.revision = max(s.config.revision, r.inForceRevision())
		if r.fallback != nil && r.fallback.revision() <= r.inForceRevision() {
			r.fallback = nil
		}
	}
	used := policyCache{}
	for _, svc := range s.config.services {
		used[svc.program.Text()] = svc.program
	}
	s.policies = used
}

func (s *Store) inForceDocs() []*wire.Document {
	docs := make([]*wire.Document, 0, len(s.keys))
	for _, k := range s.keys {
		if r := s.records[k]; r.inForce != nil {
			docs = append(docs, r.inForce.doc)
		}
	}
	return docs
}

// Revisions returns the newest revision of each key, by key.
func (s *Store) Revisions() []*wire.KeyRevision {
	out := make([]*wire.KeyRevision, 0, len(s.records))
	for _, k := range s.keys {
		out = append(out, &wire.KeyRevision{
			Key:      k,
			Revision: s.records[k].newest.revision(),
		})
	}
	return out
}

// Len returns the number of keys, deleted ones included.
func (s *Store) Len() int { return len(s.keys) }

// Value returns the newest value of a key, and false if there is none or it is
// deleted.
func (s *Store) Value(key string) ([]byte, bool) {
	r := s.records[key]
	if r == nil || r.newest.entry.GetDeleted() {
		return nil, false
	}
	return r.newest.entry.GetValue(), true
}

// Keys returns the keys that have values, sorted.
func (s *Store) Keys() []string {
	var out []string
	for _, k := range s.keys {
		if !s.records[k].newest.entry.GetDeleted() {
			out = append(out, k)
		}
	}
	return out
}

// InForce returns the revision in force of each key, by key.
func (s *Store) InForce() map[string]uint64 {
	out := map[string]uint64{}
	for k, r := range s.records {
		if r.inForce != nil {
			out[k] = r.inForce.entry.GetRevision()
		}
	}
	return out
}

// Entries returns the values of a key that a peer needs: the newest, and before
// it the one in force where that is another. It returns nil for an unknown key.
func (s *Store) Entries(key string) []*wire.Entry {
	r := s.records[key]
	if r == nil {
		return nil
	}
	if r.inForce != nil && r.inForce != r.newest {
		return []*wire.Entry{r.inForce.entry, r.newest.entry}
	}
	return []*wire.Entry{r.newest.entry}
}
