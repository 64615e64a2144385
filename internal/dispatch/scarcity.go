// SPDX-License-Identifier: Apache-2.0

package dispatch

import "time"

const (
	// rejectionPeriod is the length of each of the two periods over which rejections are counted: a
	// service that begins to reject is noticed before its callers' soft deadlines.
	rejectionPeriod = time.Second
	// minAttempts is the number of ended attempts below which the share of rejections is unknown.
	minAttempts = 20
	// rejectedRecently is for how long a target that rejected a request counts as rejecting.
	rejectedRecently = 2 * time.Second
	// lossPriorities is the number of priorities that are told apart; less urgent ones count as the last.
	lossPriorities = 4
	// lossClasses is the number of classes of requests by what they lose without a retry: four for each
	// priority, and one for requests whose response would be late anyway.
	lossClasses = 4*lossPriorities + 1
	lateClass   = lossClasses - 1
)

// rejections counts the results of attempts and the requests for retries over the last one to two
// seconds.
type rejections struct {
	all, rejected [2]int
	// retries are the requests for retries by class.
	retries [2][lossClasses]int
	rotated time.Time
	// withheld counts the retries that were withheld for other requests since the scheduler began.
	withheld int
}

func (r *rejections) advance(now time.Time) {
	past := now.Sub(r.rotated)
	if past < rejectionPeriod {
		return
	}
	r.all[1], r.rejected[1], r.retries[1] = r.all[0], r.rejected[0], r.retries[0]
	if past >= 2*rejectionPeriod {
		r.all[1], r.rejected[1], r.retries[1] = 0, 0, [lossClasses]int{}
	}
	r.all[0], r.rejected[0], r.retries[0] = 0, 0, [lossClasses]int{}
	r.rotated = now
}

// record counts the result of an attempt that reached a target.
func (r *rejections) record(now time.Time, result Result) {
	r.advance(now)
	switch result {
	case ResultShed, ResultBackoff:
		r.rejected[0]++
	case ResultGood, ResultBad:
	default:
		return
	}
	r.all[0]++
}

// share returns the share of the attempts that targets rejected, 0 while it is unknown.
func (r *rejections) share(now time.Time) float64 {
	r.advance(now)
	all := r.all[0] + r.all[1]
	if all < minAttempts {
		return 0
	}
	return float64(r.rejected[0]+r.rejected[1]) / float64(all)
}

// demandAbove returns the requests for retries, per second, that lose more than those of a class.
func (r *rejections) demandAbove(now time.Time, class int) float64 {
	r.advance(now)
	n := 0
	for c := range class {
		n += r.retries[0][c] + r.retries[1][c]
	}
	return float64(n) / (rejectionPeriod + now.Sub(r.rotated)).Seconds()
}

// scarce reports whether targets reject a greater share of the attempts than the retry budget pays for.
func (d *Scheduler) scarce(now time.Time) bool {
	return d.rejections.share(now) > usableShare*d.budget.Share
}

// rejects reports whether requests that the target does not serve are rejected by it like by the others:
// they have not run, and waiting for another target gains nothing.
func (d *Scheduler) rejects(now time.Time, t *target) bool {
	return now.Sub(t.lastRejected) < rejectedRecently && t.lastRejected.After(t.lastBad) && d.scarce(now)
}

// servedShare returns the share of the requests that the target serves.
func (d *Scheduler) servedShare(now time.Time, t *target) float64 {
	if d.rejects(now, t) {
		return 1 - d.rejections.share(now)
	}
	return 1 - t.failureProbability(now)
}

// recordResult counts the result of an attempt at a target.
func (d *Scheduler) recordResult(now time.Time, t *target, r Result) {
	d.rejections.record(now, r)
	switch r {
	case ResultShed:
		t.lastRejected = now
	case ResultBad:
		t.lastBad = now
	}
}

// lossClass returns the class of a request by what it loses without a retry, from 0 for most: its
// priority, then whether its caller cannot repeat it, then whether its caller cannot return before the
// soft deadline. A request whose response would be late anyway loses least.
func (d *Scheduler) lossClass(now time.Time, a *Request) int {
	served := now.Add(d.model.Route(now, a.Route).MedianLatency())
	if served.After(a.SoftDeadline) {
		return lateClass
	}
	class := 4 * min(max(a.Priority, 0), lossPriorities-1)
	if a.Repeatable {
		class += 2
	}
	if served.Add(d.nextRetry(now)).Before(a.SoftDeadline) {
		class++
	}
	return class
}

// recordRetry counts a request for a retry. A hedge is repeated until it is granted and is not counted.
func (d *Scheduler) recordRetry(now time.Time, a *Request) {
	if a.Hedge {
		return
	}
	d.rejections.advance(now)
	d.rejections.retries[0][d.lossClass(now, a)]++
}

// withholds reports whether a retry is withheld, of the number left, for requests that lose more without
// one. While retries are scarce, one is granted only if the budget also pays for what such requests will
// need until the window frees it again. A hedge, whose request goes on, comes last.
func (d *Scheduler) withholds(now time.Time, a *Request, left float64) bool {
	if !d.scarce(now) {
		return false
	}
	class := lateClass
	if !a.Hedge {
		class = d.lossClass(now, a)
	}
	if left-d.window.needed(d.budget, d.rejections.demandAbove(now, class)) >= 1 {
		return false
	}
	if !a.Hedge {
		d.rejections.withheld++
	}
	return true
}
