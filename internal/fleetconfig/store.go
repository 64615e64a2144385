// SPDX-License-Identifier: Apache-2.0

package fleetconfig

import (
	"bytes"
	"cmp"
	"encoding/binary"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"ploverjunction.example/ploverjunction/internal/wire"
)

// version is one value of a key together with what it parsed to.
type version struct {
	entry *wire.Entry
	doc   *wire.Document
	err   error
}

// record is all that the store holds of one key. The newest version may be
// refused; the one in force is then older.
type record struct {
	newest  *version
	inForce *version
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
	records  map[string]*record
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
	unsettled := map[string]bool{}
	for _, e := range entries {
		if unsettled[e.GetKey()] {
			// The value before it may be the one in force: judge it first.
			s.settle()
			clear(unsettled)
		}
		if s.take(e) {
			fresh = append(fresh, e)
			unsettled[e.GetKey()] = true
		}
	}
	if len(unsettled) > 0 {
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
	}
	if r.newest == nil || e.GetRevision() > r.newest.entry.GetRevision() {
		r.newest = parseVersion(e)
		return true
	}
	return s.takeInForce(r, e)
}

// takeInForce takes a value that is older than a refused newest one. A process
// that starts anew learns it from its peers, which have it in force.
func (s *Store) takeInForce(r *record, e *wire.Entry) bool {
	known := uint64(0)
	if r.inForce != nil {
		known = r.inForce.entry.GetRevision()
	}
	if r.newest == r.inForce || e.GetRevision() <= known || e.GetRevision() == r.newest.entry.GetRevision() {
		return false
	}
	v := parseVersion(e)
	if v.err != nil {
		return false
	}
	old := r.inForce
	r.inForce = v
	if c, err := build(s.inForceDocs(), s.policies); err == nil {
		s.config = c
		return true
	}
	r.inForce = old
	return false
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
		pending = slices.DeleteFunc(pending, func(r *record) bool {
			ok := s.tryOne(r) == nil
			progress = progress || ok
			return ok
		})
	}
	s.refusals = nil
	for _, r := range pending {
		s.refusals = append(s.refusals, Refusal{
			key:      r.newest.entry.GetKey(),
			revision: r.newest.entry.GetRevision(),
			err:      s.tryOne(r),
		})
	}
	s.finish()
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
			cmp.Compare(a.newest.entry.GetRevision(), b.newest.entry.GetRevision()),
			strings.Compare(a.newest.entry.GetKey(), b.newest.entry.GetKey()),
		)
	})
	return out
}

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

func (s *Store) tryOne(r *record) error {
	if r.newest.err != nil {
		return r.newest.err
	}
	old := r.inForce
	r.inForce = r.newest
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
		if r.inForce != nil {
			s.config.revision = max(s.config.revision, r.inForce.entry.GetRevision())
		}
	}
	used := policyCache{}
	for _, svc := range s.config.services {
		used[svc.program.Text()] = svc.program
	}
	s.policies = used
}

func (s *Store) inForceDocs() []*wire.Document {
	keys := make([]string, 0, len(s.records))
	for k, r := range s.records {
		if r.inForce != nil {
			keys = append(keys, k)
		}
	}
	slices.Sort(keys)
	docs := make([]*wire.Document, len(keys))
	for i, k := range keys {
		docs[i] = s.records[k].inForce.doc
	}
	return docs
}

// Revisions returns the newest revision of each key, by key.
func (s *Store) Revisions() []*wire.KeyRevision {
	out := make([]*wire.KeyRevision, 0, len(s.records))
	for k, r := range s.records {
		out = append(out, &wire.KeyRevision{
			Key:      k,
			Revision: r.newest.entry.GetRevision(),
		})
	}
	slices.SortFunc(out, func(a, b *wire.KeyRevision) int { return strings.Compare(a.GetKey(), b.GetKey()) })
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

// Digest returns a hash over all keys with their newest revisions. Two stores
// with equal digests hold the same newest values.
func (s *Store) Digest() uint64 {
	var b bytes.Buffer
	for _, kr := range s.Revisions() {
		b.WriteString(kr.GetKey())
		b.WriteByte(0)
		b.Write(binary.BigEndian.AppendUint64(nil, kr.GetRevision()))
	}
	return xxhash.Sum64(b.Bytes())
}
