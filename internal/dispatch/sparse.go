// SPDX-License-Identifier: Apache-2.0

package dispatch

import "time"

// Where requests are few for the targets, one that is sent to each in turn learns nothing of any: a
// target that fails part of its requests gets the next one before that is known. The choice then
// stays with targets that answered lately, as many as the load keeps busy, which is the myopic
// policy for channels with two states (Zhao, Krishnamachari and Liu, "On myopic sensing for
// multi-channel opportunistic access", IEEE Trans. Wireless Commun. 2008). Targets that join still
// get a first request each.

const (
	// newTargetShare is the greatest share of the requests that goes to targets that joined.
	newTargetShare = 0.25
	// minCounted is how many requests a rate is told by, or countedTime over which time they
	// are counted.
	minCounted  = 20
	countedTime = time.Second
)

// arrivalRate returns how many first attempts come in a second since this desk has the role, and whether
// that is known yet. Nodes have desks long before they take it up.
func (d *Desk) arrivalRate(now time.Time) (rate float64, known bool) {
	d.window.advance(now, d.started, d.budget)
	firsts, _ := d.window.sums()
	counted := min(max(now.Sub(d.window.since), time.Millisecond), d.budget.Window)
	return firsts / counted.Seconds(), firsts >= minCounted || counted >= countedTime
}

// sparse reports whether the requests that come can't reach the floor of the targets within the
// time that it asks for, however they are spread.
func (d *Desk) sparse(now time.Time) bool {
	staying := float64(len(d.order) - d.draining)
	rate, known := d.arrivalRate(now)
	return known && rate*spreadTime.Seconds() < d.floor*staying
}

// nextNewTarget returns the target that waits longest for its first request, or nil if none is due.
func (d *Desk) nextNewTarget(now time.Time, a *Ask) *target {
	for len(d.newTargets) > 0 {
		t := d.targets[d.newTargets[0]]
		if t != nil && t.lastGranted.IsZero() && !t.drains(now) {
			break
		}
		d.newTargets = d.newTargets[1:]
	}
	if len(d.newTargets) == 0 {
		return nil
	}
	rate, _ := d.arrivalRate(now)
	pause := time.Duration(float64(time.Second) / (newTargetShare * max(rate, 1)))
	t := d.targets[d.newTargets[0]]
	if now.Sub(d.outcomes.lastSpread) < pause || !t.open(now, a) || len(t.flights) >= d.slots(now, t) {
		return nil
	}
	d.outcomes.lastSpread = now
	return t
}
