// SPDX-License-Identifier: Apache-2.0

package dispatch

import (
	"slices"
	"time"
)

const (
	// slotsShortAfter is the time without a good free slot after which slots are short.
	slotsShortAfter = 500 * time.Millisecond
	// goodSlotBelow is the failure probability below which a target's free slot is a good one:
	// failing targets always have free slots.
	goodSlotBelow = 0.5
	// failingTrialInterval is the interval at which a failing target gets a request that cannot be
	// repeated while slots are short. Without these, targets that work again are found later than their
	// slots are needed.
	failingTrialInterval = 3 * time.Second
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
	return now.Sub(d.lastFreeSlot) > a.lateness()
}

// maxExpectedWait returns the longest expected wait with which a request is still queued.
func (d *Scheduler) maxExpectedWait(now time.Time, a *Request) time.Duration {
	if d.overloaded(now, a) {
		// A caller's own wait may end before the target latency of its route.
		return min(a.SoftDeadline.Sub(now), a.Deadline.Sub(now)) - d.margin(now, a)
	}
	return time.Duration(maxQueueShare * float64(a.Deadline.Sub(now)))
}

// refuseOverloaded answers a request whose expected wait is too long. It is refused, unless a target that
// works or only rejects requests has a free slot: the waiting requests declined that one.
func (d *Scheduler) refuseOverloaded(now time.Time, a *Request, wait time.Duration) Grant {
	if d.infeasible(now, a) {
		return d.refuse(now, a, wait)
	}
	t := d.cheapest(now, a, d.free(now))
	// A limit pays for the next grant at some time, and that one belongs to the waiting requests.
	if t == nil || t.limit.bounded(now) || t.failureProbability(now) >= goodSlotBelow && !d.rejects(now, t) {
		return d.refuse(now, a, wait)
	}
	return d.grant(now, t, a, false)
}

// surelyFails reports whether a waiting request that cannot be repeated should not take the free slot of a
// target. A request that has waited for long finds the slots of working targets short. Targets that fail
// at once then always have free ones and would take all requests that wait, so that slots would not even
// seem short. The request takes the slot where that is a trial, or where no target works.
func (d *Scheduler) surelyFails(now time.Time, w *waiting, t *target) bool {
	return !w.request.Repeatable && now.Sub(w.since) > slotsShortAfter && t.failureProbability(now) >= goodSlotBelow &&
		now.Sub(t.lastGranted) < failingTrialInterval &&
		d.coverageGain(now, t, w.request) < trialMinGain && d.anyWorking(now, w.request)
}

// anyWorking reports whether a target that may be granted to the request works.
func (d *Scheduler) anyWorking(now time.Time, a *Request) bool {
	return slices.ContainsFunc(d.order, func(t *target) bool {
		return t.open(now, a) && t.failureProbability(now) < goodSlotBelow
	})
}
