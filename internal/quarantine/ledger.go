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
	// maxShared bounds the records that all nodes know, of some 120 bytes each.
	maxShared = 64
	// maxSingle bounds those of one end. A machine that is lost takes some targets with it,
	// each with as many requests as it has slots.
	maxSingle = 512
)

// Ledger is what one node knows of requests under which targets ended. It isn't safe for
// concurrent use.
type Ledger struct {
	// salt is this node's own: nodes let a request run again at different moments.
	salt    uint64
	holds   *holdTimes
	records map[Print]*Record
	digest  uint64
}

// NewLedger returns an empty ledger; salt should differ between nodes.
func NewLedger(salt uint64) *Ledger {
	return &Ledger{
		salt:    salt,
		holds:   &defaultHolds,
		records: map[Print]*Record{},
	}
}

// Len returns how many records the ledger holds.
func (l *Ledger) Len() int { return len(l.records) }

// Digest returns a hash of the shared records, 0 without any: ledgers with equal digests
// know the same.
func (l *Ledger) Digest() uint64 { return l.digest }

// Standing is what a ledger says of a request.
type Standing struct {
	// Print is the one of the request's Prints that this is about.
	Print Print
	// Ends is how many targets ended under the request since it was last answered, Last
	// when that happened last.
	Ends int
	Last time.Time
	// Wait is for how long the request is refused, 0 if it may run.
	Wait time.Duration
}

// Suspect reports whether a target ended under the request.
func (s Standing) Suspect() bool { return s.Ends > 0 }

// Held reports whether the request is refused.
func (s Standing) Held() bool { return s.Wait > 0 }

// Check returns what is known of a request: of its Prints the one that speaks most against
// it.
func (l *Ledger) Check(now time.Time, prints Prints) Standing {
	var worst Standing
	for _, p := range prints.All() {
		s := l.Standing(now, p)
		if s.Wait > worst.Wait || s.Wait == worst.Wait && s.Ends > worst.Ends {
			worst = s
		}
	}
	return worst
}

// Standing returns what is known of the requests with a Print.
func (l *Ledger) Standing(now time.Time, p Print) Standing {
	s := Standing{
		Print: p,
	}
	r := l.records[p]
	if r == nil {
		return s
	}
	s.Ends = r.Count()
	s.Last = r.lastCrash()
	if r.holdTime(l.holds) > 0 {
		s.Wait = max(r.heldUntil(l.holds, l.releaseDelay(s.Ends)).Sub(now), 0)
	}
	return s
}

// releaseDelay returns how late among all nodes this one lets a request run again, from 0 to 1: the
// others learn from the first one that does.
func (l *Ledger) releaseDelay(ends int) float64 {
	b := binary.BigEndian.AppendUint64(make([]byte, 0, 16), l.salt)
	b = binary.BigEndian.AppendUint64(b, uint64(ends))
	const span = 1 << 53
	return float64(xxhash.Sum64(b)%span) / span
}

// Ended notes that a target ended under a request with a Print. It returns the record if that
// was news, else nothing.
func (l *Ledger) Ended(now time.Time, p Print, target string) []Record {
	return l.Learn(now, Record{
		Print: p,
		Ends: []End{
			{
				Target: TargetHash(target),
				At:     now,
			},
		},
	})
}

// Answered notes that a target answered a request with a Print. It returns the record if
// that was news, else nothing.
func (l *Ledger) Answered(p Print) []Record {
	r := l.records[p]
	if r == nil {
		return nil
	}
	return l.change(r, r.markAnswered)
}

// Learn merges the record of a peer. It returns it with all that is known if that was
// news, else nothing.
func (l *Ledger) Learn(now time.Time, of Record) []Record {
	r := l.records[of.Print]
	if r == nil {
		if len(of.Ends) == 0 || !now.Before(of.expiry(l.holds)) {
			return nil
		}
		r = &Record{
			Print: of.Print,
		}
		l.records[of.Print] = r
	}
	out := l.change(r, func() bool { return r.merge(of.Ends) })
	if len(out) > 0 {
		l.enforceBounds(now)
	}
	return out
}

// change applies fn to a record and returns the record if fn reports news.
func (l *Ledger) change(r *Record, fn func() bool) []Record {
	before := l.digestOf(r)
	news := fn()
	l.digest ^= before ^ l.digestOf(r)
	if !news {
		return nil
	}
	return []Record{r.clone()}
}

// digestOf returns what a record adds to the digest.
func (l *Ledger) digestOf(r *Record) uint64 {
	if !r.Shared() {
		return 0
	}
	return r.digest()
}

func (l *Ledger) drop(r *Record) {
	l.digest ^= l.digestOf(r)
	delete(l.records, r.Print)
}

// Shared returns the records that all nodes should know, those of the latest ends first.
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

// Forget drops the records that are of no use any more.
func (l *Ledger) Forget(now time.Time) {
	for _, r := range l.records {
		if !now.Before(r.expiry(l.holds)) {
			l.drop(r)
		}
	}
}

// enforceBounds drops the records with the oldest ends until there are no more than may be.
func (l *Ledger) enforceBounds(now time.Time) {
	l.Forget(now)
	l.enforceBound(maxShared, func(r *Record) bool { return r.Shared() })
	l.enforceBound(maxSingle, func(r *Record) bool { return !r.Shared() })
}

func (l *Ledger) enforceBound(most int, kind func(r *Record) bool) {
	var of []*Record
	for _, r := range l.records {
		if kind(r) {
			of = append(of, r)
		}
	}
	if len(of) <= most {
		return
	}
	slices.SortFunc(of, func(a, b *Record) int { return a.lastCrash().Compare(b.lastCrash()) })
	for _, r := range of[:len(of)-most] {
		l.drop(r)
	}
}
