// SPDX-License-Identifier: Apache-2.0

package fleetconfig

import (
	"cmp"
	"slices"
	"strings"

	"ploverjunction.example/ploverjunction/internal/order"
	"ploverjunction.example/ploverjunction/internal/wire"
)

// Store keeps the newest value and the value in force of each key. Neither is ever replaced by
// an older one. It is not safe for concurrent use: one controller owns
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

// Offer takes values from any source, in any order, and returns those that told something
// new, joined with what was known. After the call Config is the newest valid configuration.
func (s *Store) Offer(entries []*wire.Entry) []*wire.Entry {
	var fresh []*wire.Entry
	changed := false
	for _, e := range entries {
		news, change := s.take(e)
		if news != nil {
			fresh = append(fresh, news)
		}
		changed = changed || change
	}
	switch {
	case changed:
		s.settle()
	case len(fresh) > 0:
		c := *s.config
		s.config = &c
		s.finish()
	}
	return fresh
}

// take returns what an entry tells that is new, nil for nothing, and reports whether that can
// change the configuration.
func (s *Store) take(e *wire.Entry) (*wire.Entry, bool) {
	if e.GetKey() == "" || e.GetRevision() == 0 {
		return nil, false
	}
	r := s.records[e.GetKey()]
	if r == nil {
		r = &record{
			newest: parseVersion(e),
		}
		s.records[e.GetKey()] = r
		at, _ := slices.BinarySearch(s.keys, e.GetKey())
		s.keys = slices.Insert(s.keys, at, e.GetKey())
		s.note(nil, e)
		return e, true
	}
	old := r.newest
	if old.mark.Covers(MarkOf(e)) {
		if r.newest == r.inForce || !r.keep(parseVersion(e)) {
			return nil, false
		}
		return e, true
	}
	joined := join(old.entry, e)
	s.note(old.entry, joined)
	if old.shows(joined) {
		old.entry, old.mark = joined, MarkOf(joined)
		return joined, old != r.inForce && r.keep(parseVersion(e))
	}
	r.newest = parseVersion(joined)
	if old != r.inForce {
		r.keep(old)
	}
	return joined, true
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
			position: r.newest.mark.Position(),
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
			a.newest.mark.Position().Compare(b.newest.mark.Position()),
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

// finish gives the configuration its position and drops policies out of use.
func (s *Store) finish() {
	for _, r := range s.records {
		if r.inForce != nil {
			s.config.position = order.Max(s.config.position, r.inForce.mark.Position())
		}
		if r.fallback != nil && !r.fallback.after(r.inForce) {
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

// Revisions returns the mark of the newest value of each key, by key.
func (s *Store) Revisions() []*wire.KeyRevision {
	out := make([]*wire.KeyRevision, 0, len(s.records))
	for _, k := range s.keys {
		out = append(out, KeyRevision(k, s.records[k].newest.mark))
	}
	return out
}

// Len returns the number of keys, deleted ones included.
func (s *Store) Len() int { return len(s.keys) }

// Newest returns the newest entry of a key, which may be a removal, or nil.
func (s *Store) Newest(key string) *wire.Entry {
	if r := s.records[key]; r != nil {
		return r.newest.entry
	}
	return nil
}

// Era returns the greatest era of the source that any value is from.
func (s *Store) Era() uint64 {
	era := uint64(0)
	for _, r := range s.records {
		era = max(era, r.newest.mark.Position().Era())
	}
	return era
}

// where returns the keys whose newest version fits a condition, sorted.
func (s *Store) where(fits func(*version) bool) []string {
	var out []string
	for _, k := range s.keys {
		if fits(s.records[k].newest) {
			out = append(out, k)
		}
	}
	return out
}

// Keys returns the keys that have values, sorted.
func (s *Store) Keys() []string {
	return s.where(func(v *version) bool { return !Removed(v.entry) })
}

// Behind returns the keys whose values are known from earlier eras of the source only,
// sorted.
func (s *Store) Behind(era uint64) []string {
	return s.where(func(v *version) bool { return !Removed(v.entry) && v.mark.Position().Era() < era })
}

// Withheld returns the keys that the source has though their values were removed before it was
// restored, sorted.
func (s *Store) Withheld() []string {
	return s.where(func(v *version) bool { return v.entry.GetGone() && !v.entry.GetDeleted() })
}

// Ahead returns the keys whose values the source does not have, or has only in an older
// version, since it was restored: sorted.
func (s *Store) Ahead() []string {
	era := s.Era()
	return s.where(func(v *version) bool {
		return !Removed(v.entry) && (v.mark.Position().Era() < era || v.mark.Written() != v.mark.Position())
	})
}

// InForce returns the position of the value in force of each key, by key.
func (s *Store) InForce() map[string]order.Position {
	out := map[string]order.Position{}
	for k, r := range s.records {
		if r.inForce != nil {
			out[k] = r.inForce.mark.Position()
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
