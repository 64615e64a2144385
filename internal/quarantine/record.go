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
	// sharedThreshold is the number of crashes from which on a record is sent to all nodes: any
	// of them may have received an answer to the request.
	sharedThreshold = 2
	// maxCrashes bounds the crashes in a record: more than happen before all nodes have the record
	// of a request that arrives twenty times a second (TestStrategies).
	maxCrashes = 12
	// maxHoldCrashes is the number of crashes up to which each one extends the hold time.
	maxHoldCrashes = 6
	// sameCrashTime is the time within which two reports about a target are of one crash: nodes
	// detect it within some tens of milliseconds, and a process takes longer to restart.
	sameCrashTime = 500 * time.Millisecond
	// crashRetention is how long a crash counts: long enough for requests that are repeated every
	// few minutes.
	crashRetention = 10 * time.Minute
)

// holdTimes is how long a request is refused after its last crash, by the number of crashes; 0
// means not at all. After each hold the request may run once more: if it is harmful, that costs
// a target and its other requests; if not, it is released. No request has more than three such
// runs in a day.
type holdTimes [maxHoldCrashes + 1]time.Duration

// defaultHolds refuse a request from three crashes on. While two targets a second crash for other
// reasons, four in a thousand harmless requests get two crashes, and none in five thousand get
// three; waiting for the third crash costs one more target (TestStrategies).
var defaultHolds = holdTimes{
	3: time.Minute,
	4: 10 * time.Minute,
	5: time.Hour,
	6: 24 * time.Hour,
}

// Crash is the crash of a target under a request.
type Crash struct {
	// Target is a hash of the target's key.
	Target uint32
	At     time.Time
	// Answered is set where a target has answered the request since.
	Answered bool
}

// TargetHash returns the hash that identifies a target in a Crash.
func TargetHash(key string) uint32 { return uint32(xxhash.Sum64String(key)) }

// Record holds the crashes under one request. Records of one request can be merged in any order.
type Record struct {
	Fingerprint Fingerprint
	// Crashes are the crashes in order of time.
	Crashes []Crash
}

// Count returns how many targets crashed under the request since it was last answered.
func (r *Record) Count() int {
	n := 0
	for _, c := range r.Crashes {
		if !c.Answered {
			n++
		}
	}
	return n
}

// Shared reports whether the record is to be sent to all nodes.
func (r *Record) Shared() bool { return len(r.Crashes) >= sharedThreshold }

// lastCrash returns the time of the last crash.
func (r *Record) lastCrash() time.Time { return r.Crashes[len(r.Crashes)-1].At }

// holdTime returns for how long the request is refused after its last crash.
func (r *Record) holdTime(h *holdTimes) time.Duration { return h[min(r.Count(), maxHoldCrashes)] }

// heldUntil returns until when the request is refused. delay, from 0 to 1, is the fraction of the
// hold time by which the release is delayed.
func (r *Record) heldUntil(h *holdTimes, delay float64) time.Time {
	hold := r.holdTime(h)
	return r.lastCrash().Add(hold + time.Duration(delay*float64(hold)))
}

// expiry returns when the record can be dropped.
func (r *Record) expiry(h *holdTimes) time.Time { return r.heldUntil(h, 1).Add(crashRetention) }

// merge adds the crashes of another record, and reports whether that changed anything. Two of
// these crashes are never merged into one: else the records of nodes whose times differ by a few
// milliseconds would not converge, and be exchanged until they expire.
func (r *Record) merge(crashes []Crash) bool {
	changed := false
	var matched []Crash
	for _, c := range crashes {
		if known := r.matching(c, matched); known != nil {
			changed = changed || c.Answered && !known.Answered
			known.Answered = known.Answered || c.Answered
			matched = append(matched, *known)
			continue
		}
		if r.add(c) {
			changed = true
			matched = append(matched, c)
		}
	}
	return changed
}

// matching returns the recorded crash that c reports, or nil; matched are those that are matched
// already.
func (r *Record) matching(c Crash, matched []Crash) *Crash {
	for i := range r.Crashes {
		known := &r.Crashes[i]
		other := slices.ContainsFunc(matched, func(t Crash) bool { return t.Target == known.Target && t.At.Equal(known.At) })
		if !other && known.Target == c.Target && c.At.Sub(known.At).Abs() < sameCrashTime {
			return known
		}
	}
	return nil
}

// add inserts a crash, and reports false if the record is full and c is older than all in it.
func (r *Record) add(c Crash) bool {
	if len(r.Crashes) == maxCrashes && c.At.Before(r.Crashes[0].At) {
		return false
	}
	at, _ := slices.BinarySearchFunc(r.Crashes, c, func(a, b Crash) int { return a.At.Compare(b.At) })
	r.Crashes = slices.Insert(r.Crashes, at, c)
	if len(r.Crashes) > maxCrashes {
		r.Crashes = slices.Delete(r.Crashes, 0, 1)
	}
	return true
}

// markAnswered marks all crashes as followed by an answer, and reports whether that changed any.
func (r *Record) markAnswered() bool {
	changed := false
	for i := range r.Crashes {
		changed = changed || !r.Crashes[i].Answered
		r.Crashes[i].Answered = true
	}
	return changed
}

// digest returns a hash of the record without its times, which differ by the delays of updates.
func (r *Record) digest() uint64 {
	crashes := make([]uint64, 0, maxCrashes)
	for _, c := range r.Crashes {
		n := uint64(c.Target) << 1
		if c.Answered {
			n |= 1
		}
		crashes = append(crashes, n)
	}
	slices.Sort(crashes)
	b := append(make([]byte, 0, fingerprintSize+8*maxCrashes), r.Fingerprint[:]...)
	for _, n := range crashes {
		b = binary.BigEndian.AppendUint64(b, n)
	}
	return xxhash.Sum64(b)
}

// clone returns a deep copy of the record.
func (r *Record) clone() Record {
	return Record{
		Fingerprint: r.Fingerprint,
		Crashes:     slices.Clone(r.Crashes),
	}
}
