// SPDX-License-Identifier: Apache-2.0

package dispatch

import "time"

// Where requests are few for the number of targets, spreading them yields no usable estimate of any
// target: one that fails a share of its requests gets its next one before that is known. The choice
// then stays with targets that answered recently, as many as the load keeps busy, which is the
// myopic policy for channels with two states (Zhao, Krishnamachari and Liu, "On myopic sensing for
// multi-channel opportunistic access", IEEE Trans. Wireless Commun. 2008). Each new target still
// gets a first request.

const (
	// newTargetShare is the greatest share of the requests that goes to new targets.
	newTargetShare = 0.25
	// minCounted is the number of requests from which their rate is known, countedTime the time
	// after which it is known in any case.
	minCounted  = 20
	countedTime = time.Second
)

// arrivalRate returns the rate of first attempts, per second, since this scheduler took up the role
// of dispatcher, and whether enough of them were counted. Nodes have schedulers long before they
// take up the role.
func (d *Scheduler) arrivalRate(now time.Time) (rate float64, known bool) {
	d.window.advance(now, d.started, d.budget)
	firsts, _ := d.window.sums()
	counted := min(max(now.Sub(d.window.since), time.Millisecond), d.budget.Window)
	return firsts / counted.Seconds(), firsts >= minCounted || counted >= countedTime
}

// sparse reports whether requests are too few to reach the floor of the targets within spreadTime,
// however they are spread.
func (d *Scheduler) sparse(now time.Time) bool {
	staying := float64(len(d.order) - d.draining)
	rate, known := d.arrivalRate(now)
	return known && rate*spreadTime.Seconds() < d.floor*staying
}

// nextNewTarget returns the target that has waited longest for its first request, or nil if none is
// due.
func (d *Scheduler) nextNewTarget(now time.Time, a *Request) *target {
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
