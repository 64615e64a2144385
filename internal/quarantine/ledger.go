// SPDX-License-Identifier: Apache-2.0

package quarantine

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Bounds of a ledger.
const (
	// maxShared bounds the shared records, of some 120 bytes each.
	maxShared = 64
	// maxSingle bounds the records of one crash. The loss of a machine crashes several targets,
	// each with as many requests as it has slots.
	maxSingle = 512
)

// Ledger holds a node's records of requests under which targets crashed. It isn't safe for
// concurrent use.
type Ledger struct {
	// salt differs between nodes, so that they release a request at different times.
	salt    uint64
	holds   *holdTimes
	records map[Fingerprint]*Record
	digest  uint64
}

// NewLedger returns an empty ledger; salt should differ between nodes.
func NewLedger(salt uint64) *Ledger {
	return &Ledger{
		salt:    salt,
		holds:   &defaultHolds,
		records: map[Fingerprint]*Record{},
	}
}

// Len returns how many records the ledger holds.
func (l *Ledger) Len() int { return len(l.records) }

// Digest returns a hash of the shared records, 0 without any: ledgers with equal digests
// hold the same shared records.
func (l *Ledger) Digest() uint64 { return l.digest }

// Status is the state of a request in a ledger.
type Status struct {
	// Fingerprint is the fingerprint of the request to which the state belongs.
	Fingerprint Fingerprint
	// Crashes is how many targets crashed under the request since it was last answered, Last the
	// time of the last crash.
	Crashes int
	Last    time.Time
	// Wait is for how long the request is refused, 0 if it may run.
	Wait time.Duration
}

// Suspect reports whether a target crashed under the request since it was last answered.
func (s Status) Suspect() bool { return s.Crashes > 0 }

// Held reports whether the request is refused.
func (s Status) Held() bool { return s.Wait > 0 }

// Check returns the worst state of a request among its fingerprints.
func (l *Ledger) Check(now time.Time, prints Fingerprints) Status {
	var worst Status
	for _, p := range prints.All() {
		s := l.Status(now, p)
		if s.Wait > worst.Wait || s.Wait == worst.Wait && s.Crashes > worst.Crashes {
			worst = s
		}
	}
	return worst
}

// Status returns the state of the requests with a fingerprint.
func (l *Ledger) Status(now time.Time, p Fingerprint) Status {
	s := Status{
		Fingerprint: p,
	}
	r := l.records[p]
	if r == nil {
		return s
	}
	s.Crashes = r.Count()
	s.Last = r.lastCrash()
	if r.holdTime(l.holds) > 0 {
		s.Wait = max(r.heldUntil(l.holds, l.releaseDelay(s.Crashes)).Sub(now), 0)
	}
	return s
}

// releaseDelay returns the fraction of the hold time, from 0 to 1, by which this node delays the
// release of a request. It differs between nodes, so that the others learn from the first release.
func (l *Ledger) releaseDelay(crashes int) float64 {
	b := binary.BigEndian.AppendUint64(make([]byte, 0, 16), l.salt)
	b = binary.BigEndian.AppendUint64(b, uint64(crashes))
	const span = 1 << 53
	return float64(xxhash.Sum64(b)%span) / span
}

// RecordCrash records that a target crashed under a request with a fingerprint. It returns the record if
// it changed, else nothing.
func (l *Ledger) RecordCrash(now time.Time, p Fingerprint, target string) []Record {
	return l.Merge(now, Record{
		Fingerprint: p,
		Crashes: []Crash{
			{
				Target: TargetHash(target),
				At:     now,
			},
		},
	})
}

// RecordAnswer records that a target answered a request with a fingerprint. It returns the record if
// it changed, else nothing.
func (l *Ledger) RecordAnswer(p Fingerprint) []Record {
	r := l.records[p]
	if r == nil {
		return nil
	}
	return l.change(r, r.markAnswered)
}

// Merge merges the record of a peer. It returns the merged record if it changed, else nothing.
func (l *Ledger) Merge(now time.Time, received Record) []Record {
	r := l.records[received.Fingerprint]
	if r == nil {
		if len(received.Crashes) == 0 || !now.Before(received.expiry(l.holds)) {
			return nil
		}
		r = &Record{
			Fingerprint: received.Fingerprint,
		}
		l.records[received.Fingerprint] = r
	}
	out := l.change(r, func() bool { return r.merge(received.Crashes) })
	if len(out) > 0 {
		l.enforceBounds(now)
	}
	return out
}

// change applies fn to a record and returns the record if fn reports a change.
func (l *Ledger) change(r *Record, fn func() bool) []Record {
	before := l.digestOf(r)
	changed := fn()
	l.digest ^= before ^ l.digestOf(r)
	if !changed {
		return nil
	}
	return []Record{r.clone()}
}

// digestOf returns a record's contribution to the digest.
func (l *Ledger) digestOf(r *Record) uint64 {
	if !r.Shared() {
		return 0
	}
	return r.digest()
}

func (l *Ledger) drop(r *Record) {
	l.digest ^= l.digestOf(r)
	delete(l.records, r.Fingerprint)
}

// Shared returns the records for all nodes, those with the latest crashes first.
func (l *Ledger) Shared() []Record {
	var out []Record
	for _, r := range l.records {
		if r.Shared() {
			out = append(out, r.clone())
		}
	}
	slices.SortFunc(out, func(a, b Record) int { return b.lastCrash().Compare(a.lastCrash()) })
	return out
}

// Forget drops expired records.
func (l *Ledger) Forget(now time.Time) {
	for _, r := range l.records {
		if !now.Before(r.expiry(l.holds)) {
			l.drop(r)
		}
	}
}

// enforceBounds drops the records with the oldest crashes until the bounds are kept.
func (l *Ledger) enforceBounds(now time.Time) {
	l.Forget(now)
	l.enforceBound(maxShared, func(r *Record) bool { return r.Shared() })
	l.enforceBound(maxSingle, func(r *Record) bool { return !r.Shared() })
}

func (l *Ledger) enforceBound(bound int, kind func(r *Record) bool) {
	var records []*Record
	for _, r := range l.records {
		if kind(r) {
			records = append(records, r)
		}
	}
	if len(records) <= bound {
		return
	}
	slices.SortFunc(records, func(a, b *Record) int { return a.lastCrash().Compare(b.lastCrash()) })
	for _, r := range records[:len(records)-bound] {
		l.drop(r)
	}
}
