// SPDX-License-Identifier: Apache-2.0

package dispatch

import "time"

// affords reports whether the retry budget allows a request. share is the usable share of the
// reserve.
func (d *Scheduler) affords(now time.Time, a *Request, share float64) bool {
	d.window.advance(now, d.started, d.budget)
	d.window.recordRequest(now, d.budget)
	d.remote.record(now, a.ID.Node, a.RemoteGrants)
	if !a.Retry || a.Replacement {
		return true
	}
	d.recordRetry(now, a)
	left := d.retriesLeft(now, share)
	return left >= 1 && !d.withholds(now, a, left)
}

// charge counts a request n times in the retry budget. Each attempt is counted once, however often a
// target is requested for it.
func (d *Scheduler) charge(a *Request, n float64) {
	switch {
	case a.Replacement:
	case a.Retry:
		d.window.addRetry(n)
	default:
		d.window.addFirst(n)
		if !a.Unrecorded || d.window.complete(d.budget) {
			d.window.earn(n)
		}
	}
}

// retries returns the retries that the budget allows in the window and those spent. share is the
// usable share of the reserve. First attempts granted by other dispatchers pay for the retries that
// these granted and for no others, and the reserve is divided in proportion to first attempts:
// several dispatchers may serve at the same time, and each knows what the others granted.
func (d *Scheduler) retries(now time.Time, share float64) (all, spent float64) {
	firsts, retries := d.remote.sums(now, d.budget)
	if own, _ := d.window.sums(); firsts > 0 {
		share *= own / (own + firsts)
	}
	all, spent = d.window.allowed(now, d.budget, share)
	return all, spent + max(retries-usableShare*d.budget.Share*firsts, 0)
}

// nextRetry returns the time until the budget allows a retry, 0 if it allows one now.
func (d *Scheduler) nextRetry(now time.Time) time.Duration {
	d.window.advance(now, d.started, d.budget)
	return d.window.until(now, d.started, d.budget, 1-d.retriesLeft(now, 1))
}

// retriesLeft returns the retries that the budget still allows.
func (d *Scheduler) retriesLeft(now time.Time, share float64) float64 {
	all, spent := d.retries(now, share)
	return all - spent
}
