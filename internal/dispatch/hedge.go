// SPDX-License-Identifier: Apache-2.0

package dispatch

import "time"

// Parameters of hedges: second attempts beside one that is under way.
const (
	// hedgeQuantile is the share of good answers that have come when a hedge may first be requested.
	hedgeQuantile = 0.75
	// hedgeMinSilence is the silence probability from which a hedge is granted while at most
	// hedgeFree of the retry budget is spent. It rises to hedgeMaxSilence when the budget is spent
	// but for hedgeReserve, which is withheld for attempts that failed.
	hedgeMinSilence = 0.1
	hedgeMaxSilence = 0.9
	hedgeFree       = 0.4
	hedgeReserve    = 0.1
)

// allowsHedge reports whether a hedge is worth a retry: the more of the retry budget is spent, the
// surer it must be that the first attempt gets no answer.
func (d *Scheduler) allowsHedge(now time.Time, a *Request) bool {
	d.window.advance(now, d.started, d.budget)
	all, retries := d.retries(now, 1)
	if all < 1 || a.Age <= 0 || d.infeasible(now, a) {
		return false
	}
	spent := retries / all
	price := min(max((spent-hedgeFree)/(1-hedgeReserve-hedgeFree), 0), 1)
	return spent < 1-hedgeReserve && d.silenceProbability(now, a) >= hedgeMinSilence+price*(hedgeMaxSilence-hedgeMinSilence)
}

// silenceProbability returns the probability that the attempt under way gets no answer.
func (d *Scheduler) silenceProbability(now time.Time, a *Request) float64 {
	route := d.model.Route(now, a.Route)
	p := d.model.FailingShare()
	if n := len(a.Tried); n > 0 && d.targets[a.Tried[n-1]] != nil {
		p = d.targets[a.Tried[n-1]].failureProbability(now)
	}
	return d.model.SilenceProbability(route, p, a.Age)
}

// hedgeAfter returns the HedgeAfter for a grant that is repeated, or 0 for an unknown attempt.
func (t *target) hedgeAfter(id ID) time.Duration {
	if t == nil || t.flights[id].route == nil {
		return 0
	}
	return t.flights[id].route.LatencyQuantile(hedgeQuantile)
}
