// SPDX-License-Identifier: Apache-2.0

package quarantine

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Times and counts of records.
const (
	// sharedThreshold is from how many ends on all nodes know of a request: any of them may have
	// seen it answered.
	sharedThreshold = 2
	// maxCrashes bounds the ends that a record keeps: more than come before all nodes know of a
	// request that comes twenty times a second (TestWays).
	maxCrashes = 12
	// maxHoldCrashes is up to how many ends a further one makes the request be refused for longer.
	maxHoldCrashes = 6
	// sameCrashTime is within which two reports of the same target are of one end: nodes notice it
	// within some tens of milliseconds, and a process takes longer to come back.
	sameCrashTime = 500 * time.Millisecond
	// crashRetention is how long an end counts: requests that come again each few minutes are
	// found too.
	crashRetention = 10 * time.Minute
)

// holdTimes are how long a request is refused after its last end, by the number of ends; it isn't
// where that is 0. After each it may run once more: that costs a target and what that works
// on, and frees those that were harmless. No request has more than three such runs in a day.
type holdTimes [maxHoldCrashes + 1]time.Duration

// defaultHolds refuse from three ends on. Two come to four in a thousand harmless requests
// while two targets a second crash for other reasons, three to none in five thousand; the
// third end costs a target more (TestWays).
var defaultHolds = holdTimes{
	3: time.Minute,
	4: 10 * time.Minute,
	5: time.Hour,
	6: 24 * time.Hour,
}

// End is the end of a target under a request.
type End struct {
	// Target is a hash of the target's key.
	Target uint32
	At     time.Time
	// Answered is set where a target answered the request since.
	Answered bool
}

// TargetHash returns what names a target in an End.
func TargetHash(key string) uint32 { return uint32(xxhash.Sum64String(key)) }

// Record is what is known of one request. Records of one request add up in any order.
type Record struct {
	Print Print
	// Ends are in the order of time.
	Ends []End
}

// Count returns how many targets ended under the request since it was last answered.
func (r *Record) Count() int {
	n := 0
	for _, e := range r.Ends {
		if !e.Answered {
			n++
		}
	}
	return n
}

// Shared reports whether all nodes should know the record.
func (r *Record) Shared() bool { return len(r.Ends) >= sharedThreshold }

// lastCrash returns when the last target ended under the request.
func (r *Record) lastCrash() time.Time { return r.Ends[len(r.Ends)-1].At }

// holdTime returns for how long the request is refused after its last end.
func (r *Record) holdTime(h *holdTimes) time.Duration { return h[min(r.Count(), maxHoldCrashes)] }

// heldUntil returns until when the request is refused; late is from 0 to 1.
func (r *Record) heldUntil(h *holdTimes, late float64) time.Time {
	hold := r.holdTime(h)
	return r.lastCrash().Add(hold + time.Duration(late*float64(hold)))
}

// expiry returns when the record is of no use any more.
func (r *Record) expiry(h *holdTimes) time.Time { return r.heldUntil(h, 1).Add(crashRetention) }

// merge adds the ends of another record, and reports whether they say anything new. Two
// of them are never one: else nodes whose times differ by a few milliseconds would not come
// to know the same, and tell each other for as long as they remember.
func (r *Record) merge(ends []End) bool {
	news := false
	var taken []End
	for _, e := range ends {
		if known := r.matching(e, taken); known != nil {
			news = news || e.Answered && !known.Answered
			known.Answered = known.Answered || e.Answered
			taken = append(taken, *known)
			continue
		}
		if r.add(e) {
			news = true
			taken = append(taken, e)
		}
	}
	return news
}

// matching returns the known end that e is a report of, or nil; taken are those that others are
// reports of.
func (r *Record) matching(e End, taken []End) *End {
	for i := range r.Ends {
		known := &r.Ends[i]
		other := slices.ContainsFunc(taken, func(t End) bool { return t.Target == known.Target && t.At.Equal(known.At) })
		if !other && known.Target == e.Target && e.At.Sub(known.At).Abs() < sameCrashTime {
			return known
		}
	}
	return nil
}

// add adds an end, and reports false if it is older than all that are kept.
func (r *Record) add(e End) bool {
	if len(r.Ends) == maxCrashes && e.At.Before(r.Ends[0].At) {
		return false
	}
	at, _ := slices.BinarySearchFunc(r.Ends, e, func(a, b End) int { return a.At.Compare(b.At) })
	r.Ends = slices.Insert(r.Ends, at, e)
	if len(r.Ends) > maxCrashes {
		r.Ends = slices.Delete(r.Ends, 0, 1)
	}
	return true
}

// markAnswered notes that a target answered the request, and reports whether that is new.
func (r *Record) markAnswered() bool {
	news := false
	for i := range r.Ends {
		news = news || !r.Ends[i].Answered
		r.Ends[i].Answered = true
	}
	return news
}

// digest returns a hash of what the record says; times, which differ by the ways that news
// take, don't count.
func (r *Record) digest() uint64 {
	ends := make([]uint64, 0, maxCrashes)
	for _, e := range r.Ends {
		n := uint64(e.Target) << 1
		if e.Answered {
			n |= 1
		}
		ends = append(ends, n)
	}
	slices.Sort(ends)
	b := append(make([]byte, 0, fingerprintSize+8*maxCrashes), r.Print[:]...)
	for _, n := range ends {
		b = binary.BigEndian.AppendUint64(b, n)
	}
	return xxhash.Sum64(b)
}

// clone returns a copy that shares nothing with the record.
func (r *Record) clone() Record {
	return Record{
		Print: r.Print,
		Ends:  slices.Clone(r.Ends),
	}
}
