// SPDX-License-Identifier: Apache-2.0

package dispatch

import "time"

const (
	// slotsShortAfter is for how long no good slot may have been free until slots count as short.
	slotsShortAfter = 500 * time.Millisecond
	// goodSlotBelow is the probability of failing below which a target's free slot is a good one:
	// failing targets always have some.
	goodSlotBelow = 0.5
	// retryAfterJitter is by which part of the wait the times differ that refused callers are
	// told, so that they don't all return at once.
	retryAfterJitter = 0.4
)

// updateFreeSlot notes whether there is a good slot that nothing took.
func (d *Desk) updateFreeSlot(now time.Time, free []*target) {
	for _, t := range free {
		if t.failureProbability(now) < goodSlotBelow {
			d.lastFreeSlot = now
			break
		}
	}
	d.queue.slotsShort = d.slotsShort(now)
}

// slotsShort reports whether asks wait for slots, and not for better targets than are free.
func (d *Desk) slotsShort(now time.Time) bool { return now.Sub(d.lastFreeSlot) > slotsShortAfter }

// overloaded reports whether an ask that can't be in time will hardly be served: for as long as
// it could wait no good slot was left over by what can. A burst that is over sooner is worked
// off, for a late answer is worth more than none.
func (d *Desk) overloaded(now time.Time, a *Ask) bool {
	return now.Sub(d.lastFreeSlot) > a.Deadline.Sub(a.Aim)
}

// maxExpectedWait returns the longest wait that an ask may expect and still be queued.
func (d *Desk) maxExpectedWait(now time.Time, a *Ask) time.Duration {
	if d.overloaded(now, a) {
		return a.Aim.Sub(now) - d.margin(now, a)
	}
	return time.Duration(maxQueueShare * float64(a.Deadline.Sub(now)))
}

// retryAfter returns when a refused caller may come back: when about what waits now is done.
func (d *Desk) retryAfter(wait time.Duration) time.Duration {
	return wait + time.Duration(retryAfterJitter*(d.random()-0.5)*float64(wait))
}
