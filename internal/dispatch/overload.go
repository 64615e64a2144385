// SPDX-License-Identifier: Apache-2.0

package dispatch

import "time"

const (
	// slotsShortAfter is the time without a good free slot after which slots are short.
	slotsShortAfter = 500 * time.Millisecond
	// goodSlotBelow is the failure probability below which a target's free slot is a good one:
	// failing targets always have free slots.
	goodSlotBelow = 0.5
	// retryAfterJitter is the share of the wait over which RetryAfter is spread, so that refused
	// callers do not all return at once.
	retryAfterJitter = 0.4
)

// updateFreeSlot records whether a good slot is left over.
func (d *Scheduler) updateFreeSlot(now time.Time, free []*target) {
	for _, t := range free {
		if t.failureProbability(now) < goodSlotBelow {
			d.lastFreeSlot = now
			break
		}
	}
	d.queue.slotsShort = d.slotsShort(now)
}

// slotsShort reports whether requests wait for slots rather than for better targets.
func (d *Scheduler) slotsShort(now time.Time) bool { return now.Sub(d.lastFreeSlot) > slotsShortAfter }

// overloaded reports whether a request that cannot be answered in time is unlikely to be served: for
// as long as it could wait, requests that can be answered in time left over no good slot. A shorter
// burst is worked off, because a late answer is worth more than none.
func (d *Scheduler) overloaded(now time.Time, a *Request) bool {
	return now.Sub(d.lastFreeSlot) > a.Deadline.Sub(a.SoftDeadline)
}

// maxExpectedWait returns the longest expected wait with which a request is still queued.
func (d *Scheduler) maxExpectedWait(now time.Time, a *Request) time.Duration {
	if d.overloaded(now, a) {
		return a.SoftDeadline.Sub(now) - d.margin(now, a)
	}
	return time.Duration(maxQueueShare * float64(a.Deadline.Sub(now)))
}

// retryAfter returns when a refused caller may retry: about when the waiting requests are served.
func (d *Scheduler) retryAfter(wait time.Duration) time.Duration {
	return wait + time.Duration(retryAfterJitter*(d.random()-0.5)*float64(wait))
}
