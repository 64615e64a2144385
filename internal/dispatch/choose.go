// SPDX-License-Identifier: Apache-2.0

package dispatch

import (
	"slices"
	"time"
)

// best returns the target that an ask should get now, or nil if it should wait.
// since is when it began to wait.
func (d *Desk) best(now, since time.Time, a *Ask) *target {
	free := d.cheapest(now, a, func(t *target) bool { return len(t.flights) < d.slots(now, t) })
	if free == nil {
		return nil
	}
	waited := float64(now.Sub(since)) / float64(max(d.patience(since, a), 1))
	if waited >= 1 {
		return free
	}
	all := d.cheapest(now, a, func(*target) bool { return true })
	// The longer an ask has waited the worse a target it takes: one that failed
	// gets work again when its slots are needed.
	worse := d.quality(now, free, a) - d.quality(now, all, a)
	if worse > a.waitCost(now.Sub(since))+waited*a.failureCost()*d.model.LostFailing() {
		return nil
	}
	return free
}

// inTimeShare is the share of answers that must still be in time after an ask has
// waited.
const inTimeShare = 0.9

// patience returns how long an ask waits for a better target than is free. What
// can be repeated once more waits as long as an answer can still be in time. A
// last attempt waits longer: a late answer is worth more than a failure, and
// failing targets always have free slots.
func (d *Desk) patience(since time.Time, a *Ask) time.Duration {
	if !a.Repeatable || a.Again {
		return time.Duration(lastPatience * float64(a.Deadline.Sub(since)))
	}
	return max(a.Aim.Sub(since)-d.model.Route(since, a.Route).Within(inTimeShare), 0)
}

func (d *Desk) slots(now time.Time, t *target) int {
	if now.Before(t.warmUntil) {
		return max(int(coldSlots*float64(t.Slots)), 1)
	}
	return t.Slots
}

// cheapest returns the target with the least cost of those that fit; targets that
// were tried before count only when there is no other.
func (d *Desk) cheapest(now time.Time, a *Ask, fits func(*target) bool) *target {
	var best *target
	least, bestTried := 0.0, false
	for _, t := range d.order {
		if t.Leaving || !fits(t) {
			continue
		}
		tried := slices.Contains(a.Tried, t.Key)
		if best != nil && tried && !bestTried {
			continue
		}
		c := d.cost(now, t, a)
		if best == nil || bestTried && !tried || c < least {
			best, least, bestTried = t, c, tried
		}
	}
	return best
}
