// SPDX-License-Identifier: Apache-2.0

package dispatch

import "time"

// Weights of the cost of a choice, in units of the value of one answer.
const (
	// unrepeatableFailureCost is the cost of a failed request that cannot be repeated: its answer is
	// lost, and the share of requests that are served at all counts much more than one answer.
	unrepeatableFailureCost = 6
	// repeatableFailureCost applies where another target can be requested, at the expense of the
	// retry budget.
	repeatableFailureCost = 1.5
	// retryFailureCost applies where the attempt is already a retry.
	retryFailureCost = 4
	// crossHallCost is the cost of one KiB between data halls, from the users' prices.
	crossHallCost = 0.03
	// loadCost is the extra cost of a full target over an empty one: some targets slow down when
	// they are nearly full.
	loadCost = 0.04
	// warmupCost is the extra cost of a target that warms up.
	warmupCost = 0.05
	// tieBreakNoise scales the random term that breaks ties.
	tieBreakNoise = 0.002
	// waitCost, plus waitRate per second, is the cost of waiting for a better target; a target that
	// is worse by less than that is taken at once.
	waitCost = 0.03
	waitRate = 2.5
	// maxWaitCost bounds the wait cost of final attempts: it then makes up for bytes between data
	// halls, not for the probability of a failure.
	maxWaitCost = 0.5
)

// failureCost returns the cost of a failure of this attempt.
func (a *Request) failureCost() float64 {
	switch {
	case !a.Repeatable:
		return unrepeatableFailureCost
	case a.Retry:
		return retryFailureCost
	default:
		return repeatableFailureCost
	}
}

// waitCost returns the cost of having waited.
func (a *Request) waitCost(waited time.Duration) float64 {
	c := waitRate * waited.Seconds()
	if !a.Repeatable || a.Retry {
		c = min(c, maxWaitCost)
	}
	return waitCost + c
}

// baseCost returns the cost of a target without its load.
func (d *Scheduler) baseCost(now time.Time, t *target, a *Request) float64 {
	c := a.failureCost() * t.lossProbability(now)
	if t.DataHall != a.DataHall {
		c += crossHallCost * float64(a.Kilobytes)
	}
	if now.Before(t.warmupUntil) {
		c += warmupCost
	}
	return c - d.coverageGain(now, t, a)
}

// cost returns the cost of a target including its load.
func (d *Scheduler) cost(now time.Time, t *target, a *Request) float64 {
	c := d.baseCost(now, t, a)
	c += d.loadCostOf(now, t)
	return c + tieBreakNoise*d.random()
}
