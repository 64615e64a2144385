// SPDX-License-Identifier: Apache-2.0

package dispatch

import "time"

// affords reports whether the retry budget pays for an ask. part is the share of the
// reserve that may be used.
func (d *Desk) affords(now time.Time, a *Ask, share float64) bool {
	d.window.advance(now, d.started, d.budget)
	d.window.recordRequest(now, d.budget)
	d.remote.record(now, a.ID.Node, a.Elsewhere)
	return !a.Again || d.retriesLeft(now, share) >= 1
}

// charge counts an ask n times in the retry budget.
func (d *Desk) charge(a *Ask, n float64) {
	if a.Again {
		d.window.addRetry(n)
		return
	}
	d.window.addFirst(n)
}

// retries returns how many repeats the budget pays for in the window and how many of
// them were made, by others too. part is the share of the reserve that this desk may
// use.
func (d *Desk) retries(now time.Time, share float64) (all, spent float64) {
	firsts, repeats := d.remote.sums(now, d.budget)
	all, spent = d.window.allowed(now, d.budget, share)
	return all + usableShare*d.budget.Share*firsts, spent + repeats
}

// retriesLeft returns how many repeats the budget still pays for.
func (d *Desk) retriesLeft(now time.Time, share float64) float64 {
	all, spent := d.retries(now, share)
	return all - spent
}
