// SPDX-License-Identifier: Apache-2.0

// Package dissemination spreads published values between the nodes: each new
// revision is pushed or announced to a few random peers at once, and each node
// compares digests with one random peer at a steady interval to find what it missed.
// See "Epidemic algorithms for replicated database maintenance" (Demers et al.,
// PODC 1987).
package dissemination

import (
	"sync"
	"sync/atomic"
	"time"

	"ploverjunction.example/ploverjunction/internal/fleetconfig"
	"ploverjunction.example/ploverjunction/internal/order"
	"ploverjunction.example/ploverjunction/internal/wire"
)

// Bounds of messages.
const (
	// maxReply is the greatest size of the values in one message, in bytes, unless a single one is
	// larger. Both ends of a connection keep buffers as large as its greatest message.
	maxReply = 64 << 10
	// maxPackedReply is the same for compressed values.
	maxPackedReply = 1 << 20
	// maxPushedValue is the greatest size in bytes of a value that is pushed; larger
	// ones are announced and fetched by peers that lack them.
	maxPushedValue = 512
)

// rerequestAfter is the time after which a requested value is requested again: several
// peers announce the same value within milliseconds.
const rerequestAfter = 500 * time.Millisecond

// valueRequest is a value requested from a peer.
type valueRequest struct {
	version order.Version
	at      time.Time
}

// Replica is this node's copy of the published values. It may be used
// concurrently.
type Replica struct {
	mu     sync.Mutex
	store  *fleetconfig.Store
	digest uint64
	// readTo is the position of the source up to which the replica is complete.
	readTo    order.Position
	requested map[string]valueRequest
	packed    map[string]*wire.Entry
	// broken counts compressed values of peers that could not be decompressed.
	broken     atomic.Int64
	accepted   func(*fleetconfig.Config, []fleetconfig.Refusal)
	unreadable func(error)
}

// NewReplica returns an empty replica. accepted is called with each new state,
// never concurrently; it must not call the replica.
func NewReplica(accepted func(*fleetconfig.Config, []fleetconfig.Refusal)) *Replica {
	s := fleetconfig.NewStore()
	return &Replica{
		store:     s,
		digest:    s.Digest(),
		requested: map[string]valueRequest{},
		packed:    map[string]*wire.Entry{},
		accepted:  accepted,

		unreadable: func(error) {},
	}
}

// ReportUnreadable has report called with the error of each value and batch of values of a peer that
// cannot be decompressed. It must be called before the replica is used; report must not call the replica.
func (r *Replica) ReportUnreadable(report func(error)) { r.unreadable = report }

// Offer stores values from any source and returns those that were new.
func (r *Replica) Offer(entries []*wire.Entry) []*wire.Entry {
	if len(entries) == 0 {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	plain := make([]*wire.Entry, 0, len(entries))
	for _, e := range entries {
		v, err := unpack(e)
		if err != nil {
			// A later comparison fetches the value again, from another peer.
			r.recordUnreadable(err)
			continue
		}
		if v != e {
			r.packed[e.GetKey()] = e
		}
		plain = append(plain, v)
	}
	fresh := r.store.Offer(plain)
	for _, e := range fresh {
		delete(r.requested, e.GetKey())
	}
	if len(fresh) > 0 {
		r.digest = r.store.Digest()
		r.accepted(r.store.Config(), r.store.Refusals())
	}
	return fresh
}

func (r *Replica) recordUnreadable(err error) {
	r.broken.Add(1)
	r.unreadable(err)
}

// Broken returns the number of compressed values of peers that could not be decompressed.
func (r *Replica) Broken() int64 { return r.broken.Load() }

// Len returns the number of keys, removed ones included.
func (r *Replica) Len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.store.Len()
}

// Digest returns the digest of all newest revisions.
func (r *Replica) Digest() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.digest
}

// Revisions returns the versions of all newest values.
func (r *Replica) Revisions() []*wire.KeyRevision {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.store.Revisions()
}

// Newest returns the newest entry of a key, which may be a removal, or nil.
func (r *Replica) Newest(key string) *wire.Entry {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.store.Newest(key)
}

// ReadTo returns the position of the source up to which the replica is complete, the zero value
// if it is unknown.
func (r *Replica) ReadTo() order.Position {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.readTo
}

// AdvanceReadTo records that the replica is complete up to a position of the source, and reports
// whether that is progress.
func (r *Replica) AdvanceReadTo(p order.Position) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.readTo.Compare(p) >= 0 {
		return false
	}
	r.readTo = p
	return true
}

// After returns the entries after a position that fit into one message, and the position up to which
// they are complete; more is set if there are more.
func (r *Replica) After(p order.Position) (entries []*wire.Entry, upTo order.Position, more bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	entries, upTo, more = r.store.After(p, maxReply)
	for i, e := range entries {
		entries[i] = r.pack(e)
	}
	return entries, upTo, more
}

// Era returns the greatest era of any value.
func (r *Replica) Era() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.store.Era()
}

// EarlierEra returns the keys whose values are from eras of the source before era, sorted.
func (r *Replica) EarlierEra(era uint64) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.store.EarlierEra(era)
}

// Withheld returns the keys that the source holds again after a restore although their values had
// been removed, sorted.
func (r *Replica) Withheld() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.store.Withheld()
}

// Ahead returns the keys whose values the restored source lacks or holds only in an older
// version, sorted.
func (r *Replica) Ahead() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.store.Ahead()
}

// Keys returns the keys that have values, sorted.
func (r *Replica) Keys() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.store.Keys()
}

// InForce returns the positions of the values in force by key.
func (r *Replica) InForce() map[string]order.Position {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.store.InForce()
}

// Entries returns the values of keys, as many as fit into one message. Those of one key are sent together.
func (r *Replica) Entries(keys []string) []*wire.Entry {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.entries(keys)
}

func (r *Replica) entries(keys []string) []*wire.Entry {
	var out []*wire.Entry
	size, packedSize := 0, 0
	for _, k := range keys {
		var values []*wire.Entry
		for _, e := range r.store.Entries(k) {
			size += min(len(e.GetValue()), minPackSize)
			p := r.pack(e)
			packedSize += len(p.GetPacked())
			values = append(values, p)
		}
		if (size > maxReply || packedSize > maxPackedReply) && len(out) > 0 {
			return out
		}
		out = append(out, values...)
	}
	return out
}

// pack returns an entry in the form in which it is sent; each is compressed once.
func (r *Replica) pack(e *wire.Entry) *wire.Entry {
	if p := r.packed[e.GetKey()]; p != nil && fleetconfig.VersionOf(p) == fleetconfig.VersionOf(e) {
		return p
	}
	p, err := pack(e)
	if err != nil {
		// Writing to memory doesn't fail; the value can be sent uncompressed.
		return e
	}
	if p != e {
		r.packed[e.GetKey()] = p
	}
	return p
}

// Compare returns the values that a peer with the given versions lacks, and the keys
// whose values to request from it. Keys that the peer doesn't list count as lacking
// only if the list is complete.
func (r *Replica) Compare(now time.Time, revisions []*wire.KeyRevision, complete bool) (lacks []*wire.Entry, wanted []string) {
	if len(revisions) == 0 && !complete {
		return nil, nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	var keys []string
	for _, kr := range revisions {
		theirs, ours := fleetconfig.VersionOf(kr), r.store.Version(kr.GetKey())
		if ours != (order.Version{}) && !theirs.Covers(ours) {
			keys = append(keys, kr.GetKey())
		}
		if !ours.Covers(theirs) && r.claimRequest(now, kr) {
			wanted = append(wanted, kr.GetKey())
		}
	}
	if complete {
		theirs := versions(revisions)
		for _, kr := range r.store.Revisions() {
			if _, named := theirs[kr.GetKey()]; !named {
				keys = append(keys, kr.GetKey())
			}
		}
	}
	return r.entries(keys), wanted
}

// versions returns the versions of a list by key.
func versions(list []*wire.KeyRevision) map[string]order.Version {
	out := make(map[string]order.Version, len(list))
	for _, kr := range list {
		out[kr.GetKey()] = fleetconfig.VersionOf(kr)
	}
	return out
}

// claimRequest reports whether to request a value from a peer, and records the request.
func (r *Replica) claimRequest(now time.Time, kr *wire.KeyRevision) bool {
	q, version := r.requested[kr.GetKey()], fleetconfig.VersionOf(kr)
	if q.version.Covers(version) && now.Sub(q.at) < rerequestAfter {
		return false
	}
	r.requested[kr.GetKey()] = valueRequest{
		version: version,
		at:      now,
	}
	return true
}
