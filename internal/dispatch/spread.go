// SPDX-License-Identifier: Apache-2.0

package dispatch

import "time"

// Parameters of the spread of work over targets while many requests fail. The
// users' floor asks for 70% of the sound targets within 2 s while more than a
// tenth of the requests fail.
const (
	// spreadFrom is the share of failed attempts from which on work is spread.
	spreadFrom = 0.085
	// spreadLeast is how many attempts must have ended for a share to count.
	spreadLeast = 20
	// spreadTime is within which time a target should get work, spreadShare how
	// many of the targets.
	spreadTime  = 1600 * time.Millisecond
	spreadShare = 0.8
	// spreadBeat is the least time between two requests that go to a target for
	// this reason.
	spreadBeat = 100 * time.Millisecond
	// endsTime is how long the two halves of the counts of ends last.
	endsTime = time.Second
)

// ends counts how the last attempts of requests ended in the last one to two
// seconds.
type ends struct {
	all  [2]int
	bad  [2]int
	turn time.Time
	// spread is when a request last went to a neglected target.
	spread time.Time
}

func (e *ends) advance(now time.Time) {
	if past := now.Sub(e.turn); past >= endsTime {
		e.all[1], e.bad[1] = e.all[0], e.bad[0]
		if past >= 2*endsTime {
			e.all[1], e.bad[1] = 0, 0
		}
		e.all[0], e.bad[0] = 0, 0
		e.turn = now
	}
}

func (e *ends) note(now time.Time, r Result) {
	e.advance(now)
	// A caller that left was not served either.
	e.all[0]++
	if r != ResultGood {
		e.bad[0]++
	}
}

// many tells whether so many attempts fail that work must be spread.
func (e *ends) many(now time.Time) bool {
	e.advance(now)
	all, bad := e.all[0]+e.all[1], e.bad[0]+e.bad[1]
	return all >= spreadLeast && float64(bad) >= spreadFrom*float64(all)
}

// neglected returns a target that got no work for a while, if many requests fail
// and too many targets are left out: of those the one that is least likely to fail.
// Beliefs may be wrong; leaving out what works would overload the rest.
func (d *Desk) neglected(now time.Time, a *Ask) *target {
	if a.Again || now.Sub(d.ends.spread) < spreadBeat || !d.ends.many(now) {
		return nil
	}
	var best *target
	out, all := 0, 0
	for _, t := range d.order {
		if t.Leaving {
			continue
		}
		all++
		if now.Sub(t.granted) < spreadTime {
			continue
		}
		out++
		if len(t.flights) < t.Slots && (best == nil || t.health.failingAt(now) < best.health.failingAt(now)) {
			best = t
		}
	}
	if float64(out) <= (1-spreadShare)*float64(all) {
		return nil
	}
	d.ends.spread = now
	return best
}
