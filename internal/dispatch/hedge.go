// SPDX-License-Identifier: Apache-2.0

package dispatch

import "time"

// Parameters of second attempts beside one that goes on.
const (
	// hedgeQuantile is the share of good answers that have come when a second target may
	// be asked for the first time.
	hedgeQuantile = 0.75
	// hedgeMinSilence is the probability of silence from which a second attempt is made
	// while the retry budget is hardly used, hedgeMost the same when it is spent but
	// for hedgeKept: that part is for attempts that failed.
	hedgeMinSilence = 0.1
	hedgeMaxSilence = 0.9
	hedgeFree       = 0.4
	hedgeReserve    = 0.1
)

// allowsHedge reports whether a second attempt beside one that goes on is worth a repeat:
// the more of the retry budget is spent, the surer it must be that the first one
// gets no answer.
func (d *Desk) allowsHedge(now time.Time, a *Ask) bool {
	d.window.advance(now, d.started, d.budget)
	all, repeats := d.retries(now, 1)
	if all < 1 || a.Age <= 0 || d.infeasible(now, a) {
		return false
	}
	spent := repeats / all
	price := min(max((spent-hedgeFree)/(1-hedgeReserve-hedgeFree), 0), 1)
	return spent < 1-hedgeReserve && d.silenceProbability(now, a) >= hedgeMinSilence+price*(hedgeMaxSilence-hedgeMinSilence)
}

// silenceProbability returns the probability that the attempt of a request that goes on gets no
// answer.
func (d *Desk) silenceProbability(now time.Time, a *Ask) float64 {
	route := d.model.Route(now, a.Route)
	p := d.model.Share()
	if n := len(a.Tried); n > 0 && d.targets[a.Tried[n-1]] != nil {
		p = d.targets[a.Tried[n-1]].failureProbability(now)
	}
	return d.model.Silent(route, p, a.Age)
}

// hedgeAfter returns what the grant of an attempt said.
func (t *target) hedgeAfter(id ID) time.Duration {
	if t == nil || t.flights[id].route == nil {
		return 0
	}
	return t.flights[id].route.Within(hedgeQuantile)
}
