// SPDX-License-Identifier: Apache-2.0

package dispatch

import (
	"slices"
	"time"
)

// bestCostInterval is how long the cost of the best target is cached for a waiting request. Failure
// probabilities change within some hundreds of milliseconds.
const bestCostInterval = 50 * time.Millisecond

// free returns the targets with a free slot. The result is valid until the next call.
func (d *Scheduler) free(now time.Time) []*target {
	d.freeBuffer = d.freeBuffer[:0]
	for _, t := range d.order {
		if !t.drains(now) && len(t.flights) < d.slots(now, t) {
			d.freeBuffer = append(d.freeBuffer, t)
		}
	}
	return d.freeBuffer
}

// best returns the free target that a request should get now, or nil if it should wait.
func (d *Scheduler) best(now time.Time, w *waiting, free []*target) *target {
	t := d.cheapest(now, w.request, free)
	if t == nil || !d.accepts(now, w, t) {
		return nil
	}
	return t
}

// accepts reports whether a request should take the target now rather than wait for a better one.
func (d *Scheduler) accepts(now time.Time, w *waiting, t *target) bool {
	a := w.request
	if d.rejects(now, t) {
		return true
	}
	if d.surelyFails(now, w, t) {
		return false
	}
	waited := float64(now.Sub(w.since)) / float64(max(d.maxWait(w.since, a), 1))
	if waited >= 1 {
		return true
	}
	if now.Sub(w.bestCostAt) >= bestCostInterval {
		w.bestCost = d.baseCost(now, d.cheapest(now, a, d.order), a)
		w.bestCostAt = now
	}
	// The longer a request has waited, the worse a target it takes: one that failed gets work again
	// when its slots are needed.
	worse := d.baseCost(now, t, a) - w.bestCost
	return worse <= a.waitCost(now.Sub(w.since))+waited*a.failureCost()*d.model.LostFailing()
}

// safeTimeShare is the share of answers that must still be in time after a request has waited.
const safeTimeShare = 0.9

// maxWait returns how long a request waits for a better target than is free. A request that can be
// retried waits as long as an answer can still be in time. A final attempt waits longer: a late
// answer is worth more than a failure, and failing targets always have free slots.
func (d *Scheduler) maxWait(since time.Time, a *Request) time.Duration {
	if !a.Repeatable || a.Retry {
		return time.Duration(finalWaitShare * float64(a.Deadline.Sub(since)))
	}
	return max(a.SoftDeadline.Sub(since)-d.model.Route(since, a.Route).LatencyQuantile(safeTimeShare), 0)
}

func (d *Scheduler) slots(now time.Time, t *target) int {
	if d.exhausted(now, t) {
		return 0
	}
	if t.backoff.active() && d.anyAccepting(now) {
		return t.backoff.slots(now)
	}
	slots := t.load.slots(now, t.Slots)
	if now.Before(t.warmupUntil) {
		return min(max(int(warmupSlotShare*float64(t.Slots)), 1), slots)
	}
	return slots
}

// cheapest returns the candidate of the lowest cost. Targets already tried are chosen only
// if there is no other.
func (d *Scheduler) cheapest(now time.Time, a *Request, candidates []*target) *target {
	var best *target
	minCost, bestTried := 0.0, false
	d.examined += len(candidates)
	for _, t := range candidates {
		if !t.open(now, a) || d.exhausted(now, t) {
			continue
		}
		tried := slices.Contains(a.Tried, t.Key)
		if best != nil && tried && !bestTried {
			continue
		}
		c := d.cost(now, t, a)
		if best == nil || bestTried && !tried || c < minCost {
			best, minCost, bestTried = t, c, tried
		}
	}
	return best
}
