// SPDX-License-Identifier: Apache-2.0

package fleetconfig

import (
	"slices"
	"strings"

	"ploverjunction.example/ploverjunction/internal/order"
	"ploverjunction.example/ploverjunction/internal/wire"
)

// Store keeps the newest value and the value in force of each key. Neither is ever replaced by
// an older one. It is not safe for concurrent use.
type Store struct {
	records map[string]*record
	// buckets are the keys, grouped by hash to compare stores.
	buckets [Buckets]bucket
	// inactive are the records whose newest value is not in force.
	inactive map[string]*record
	// documents are the records with values that must be valid together, base the
	// configuration built from them, without registrations.
	documents map[string]*record
	base      *Config
	policies  policyCache
	// era is the greatest era of any value.
	era      uint64
	history  history
	config   *Config
	refusals []Refusal
}

// NewStore returns a store without keys and with an empty configuration.
func NewStore() *Store {
	c, err := Build(nil)
	if err != nil {
		panic("fleetconfig: building the empty configuration failed: " + err.Error())
	}
	return &Store{
		records:   map[string]*record{},
		inactive:  map[string]*record{},
		documents: map[string]*record{},
		policies:  policyCache{},
		base:      c,
		config:    c,
	}
}

// Config returns the configuration in force, never nil.
func (s *Store) Config() *Config { return s.config }

// Refusals returns the newest values that are refused, sorted by key.
func (s *Store) Refusals() []Refusal { return slices.Clone(s.refusals) }

// Offer merges values from any source, in any order, and returns those that were new,
// joined with the stored ones. After the call Config is the newest valid configuration.
func (s *Store) Offer(entries []*wire.Entry) []*wire.Entry {
	var fresh []*wire.Entry
	changed := false
	for _, e := range entries {
		update, change := s.merge(e)
		if update != nil {
			fresh = append(fresh, update)
		}
		changed = changed || change
	}
	switch {
	case changed:
		s.activate()
	case len(fresh) > 0:
		c := *s.config
		s.config = &c
	}
	s.advancePosition(fresh)
	s.history.compact(len(s.records), s.isLatest)
	return fresh
}

// merge merges an entry into the store. It returns the joined entry, nil if nothing was new, and
// reports whether the configuration can change.
func (s *Store) merge(e *wire.Entry) (*wire.Entry, bool) {
	if e.GetKey() == "" || e.GetRevision() == 0 {
		return nil, false
	}
	r := s.records[e.GetKey()]
	if r == nil {
		r = &record{
			newest: parseValue(e),
		}
		s.records[e.GetKey()] = r
		s.index(nil, e)
		s.markInactive(e.GetKey(), r)
		return e, true
	}
	old := r.newest
	if old.version.Covers(VersionOf(e)) {
		if r.newest == r.inForce || !r.setFallback(parseValue(e)) {
			return nil, false
		}
		s.markInactive(e.GetKey(), r)
		return e, true
	}
	joined := Join(old.entry, e)
	s.index(old.entry, joined)
	if old.sameValue(joined) {
		old.entry, old.version = joined, VersionOf(joined)
		change := old != r.inForce && r.setFallback(parseValue(e))
		if change {
			s.markInactive(e.GetKey(), r)
		}
		return joined, change
	}
	r.newest = parseValue(joined)
	if old != r.inForce {
		r.setFallback(old)
	}
	s.markInactive(e.GetKey(), r)
	return joined, true
}

// markInactive records that the newest value of a key has yet to be put in force.
func (s *Store) markInactive(key string, r *record) {
	s.inactive[key] = r
	if r.hasDocument() {
		s.documents[key] = r
	}
}

// Revisions returns the version of the newest value of each key, sorted by key.
func (s *Store) Revisions() []*wire.KeyRevision {
	out := make([]*wire.KeyRevision, 0, len(s.records))
	for i := range s.buckets {
		out = s.revisions(out, uint32(i))
	}
	slices.SortFunc(out, func(a, b *wire.KeyRevision) int { return strings.Compare(a.GetKey(), b.GetKey()) })
	return out
}

// Len returns the number of keys, removed ones included.
func (s *Store) Len() int { return len(s.records) }

// Newest returns the newest entry of a key, which may be a removal, or nil.
func (s *Store) Newest(key string) *wire.Entry {
	if r := s.records[key]; r != nil {
		return r.newest.entry
	}
	return nil
}

// Version returns the version of the newest value of a key, the zero version for an unknown key.
func (s *Store) Version(key string) order.Version {
	if r := s.records[key]; r != nil {
		return r.newest.version
	}
	return order.Version{}
}

// Era returns the greatest era of any value.
func (s *Store) Era() uint64 { return s.era }

// keysWhere returns the keys whose newest value meets a condition, sorted.
func (s *Store) keysWhere(fits func(*parsedValue) bool) []string {
	var out []string
	for k, r := range s.records {
		if fits(r.newest) {
			out = append(out, k)
		}
	}
	slices.Sort(out)
	return out
}

// Keys returns the keys that have values, sorted.
func (s *Store) Keys() []string {
	return s.keysWhere(func(v *parsedValue) bool { return !Removed(v.entry) })
}

// EarlierEra returns the keys whose values are from eras of the source before era, sorted.
func (s *Store) EarlierEra(era uint64) []string {
	return s.keysWhere(func(v *parsedValue) bool { return !Removed(v.entry) && v.version.Position().Era() < era })
}

// Withheld returns the keys that the source holds again after a restore although their values had
// been removed, sorted.
func (s *Store) Withheld() []string {
	return s.keysWhere(func(v *parsedValue) bool { return v.entry.GetGone() && !v.entry.GetDeleted() })
}

// Ahead returns the keys whose values the restored source lacks or holds only in an older
// version, sorted.
func (s *Store) Ahead() []string {
	era := s.Era()
	return s.keysWhere(func(v *parsedValue) bool {
		return !Removed(v.entry) && (v.version.Position().Era() < era || v.version.WrittenAt() != v.version.Position())
	})
}

// InForce returns the position of the value in force of each key, by key.
func (s *Store) InForce() map[string]order.Position {
	out := map[string]order.Position{}
	for k, r := range s.records {
		if r.inForce != nil {
			out[k] = r.inForce.version.Position()
		}
	}
	return out
}

// Entries returns the values of a key that a peer needs: the one in force, if it isn't
// the newest, and the newest. It returns nil for an unknown key.
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
