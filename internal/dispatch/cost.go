// SPDX-License-Identifier: Apache-2.0

package dispatch

import "time"

// Weights of what a choice costs. The unit is the worth of one answer.
const (
	// unrepeatableFailureCost is the cost of a failed request that can't be repeated: its
	// answer is lost, and the share of requests that are served at all counts for
	// much more than one answer.
	unrepeatableFailureCost = 6
	// repeatableFailureCost is the same where another target can be asked, for which the
	// retry budget must pay.
	repeatableFailureCost = 1.5
	// retryFailureCost is the same where the attempt is a second one already.
	retryFailureCost = 4
	// crossHallCost is the cost of one KiB between data halls, from the users' prices.
	crossHallCost = 0.03
	// loadCost is what a full target costs more than an empty one: some slow down
	// when they are nearly full.
	loadCost = 0.04
	// warmupCost is what a starting target costs more than a warm one.
	warmupCost = 0.05
	// tieBreakNoise breaks ties by chance.
	tieBreakNoise = 0.002
	// waitCost and waitRate, by the second, are what waiting for a better target
	// costs; a target that is worse by less than that is taken at once.
	waitCost = 0.03
	waitRate = 2.5
	// maxWaitCost bounds that cost for what no other attempt can follow: waiting makes up
	// for bytes between data halls then, not for doubt.
	maxWaitCost = 0.5
)

// failureCost returns the cost of a failure of this attempt.
func (a *Ask) failureCost() float64 {
	switch {
	case !a.Repeatable:
		return unrepeatableFailureCost
	case a.Again:
		return retryFailureCost
	default:
		return repeatableFailureCost
	}
}

// waitCost returns what it costs an ask to have waited.
func (a *Ask) waitCost(waited time.Duration) float64 {
	c := waitRate * waited.Seconds()
	if !a.Repeatable || a.Again {
		c = min(c, maxWaitCost)
	}
	return waitCost + c
}

// baseCost returns what a target costs apart from its load.
func (d *Desk) baseCost(now time.Time, t *target, a *Ask) float64 {
	c := a.failureCost() * t.lossProbability(now)
	if t.DataHall != a.DataHall {
		c += crossHallCost * float64(a.Kilobytes)
	}
	if now.Before(t.warmUntil) {
		c += warmupCost
	}
	return c - d.coverageGain(now, t, a)
}

// cost returns what a target costs with its load.
func (d *Desk) cost(now time.Time, t *target, a *Ask) float64 {
	c := d.baseCost(now, t, a)
	c += loadCost * float64(len(t.flights)+1) / float64(max(t.Slots, 1))
	return c + tieBreakNoise*d.random()
}
