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
	// rejectingShare is the share of the targets from which a service counts as rejecting by their last
	// results. It is above the share of rejections that the retry budget usually pays for, a fifth, because
	// some more targets than that may have rejected their last request by chance.
	rejectingShare = 0.25
	// minRejecting is the least number of such targets: one or two may be at fault themselves.
	minRejecting = 3
	// countInterval is the interval at which they are counted, so that the cost of a decision does not grow
	// with the number of targets. Targets reject within some milliseconds.
	countInterval = 5 * time.Millisecond
	// maxRejectedInRow is the number of rejections in a row from which a target is taken to reject all
	// requests: one that rejects four in five has a probability of 1 in 800 to get there.
	maxRejectedInRow = 30
	// rejectingTrialInterval is the interval at which a target that rejects all requests gets one: of the
	// first attempts of a service of 60 requests per second with six such targets, this takes one in ten,
	// half of what the retry budget usually pays for.
	rejectingTrialInterval = time.Second
	// maxLossClasses bounds the classes that are counted: priorities come from other nodes.
	maxLossClasses = 256
)

// lossClass is a class of requests by what they lose without a retry.
type lossClass struct {
	// late is set where the response would be late anyway; such requests lose least.
	late     bool
	priority int
	// repeatable is set where the caller can repeat the request, returnsInTime where it can return before
	// the soft deadline.
	repeatable    bool
	returnsInTime bool
}

// losesMore reports whether requests of the class lose more than those of another one.
func (c lossClass) losesMore(other lossClass) bool {
	switch {
	case c.late != other.late:
		return other.late
	case c.priority != other.priority:
		return c.priority < other.priority
	case c.repeatable != other.repeatable:
		return other.repeatable
	default:
		return other.returnsInTime && !c.returnsInTime
	}
}

// rejections counts the results of attempts and the requests for retries over the last one to two
// seconds.
type rejections struct {
	all, rejected [2]int
	// retries are the requests for retries by class.
	retries [2]map[lossClass]int
	rotated time.Time
	// many is set where many targets rejected their last request, as of countedAt.
	many      bool
	countedAt time.Time
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
		r.all[1], r.rejected[1], r.retries[1] = 0, 0, nil
	}
	r.all[0], r.rejected[0], r.retries[0] = 0, 0, map[lossClass]int{}
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
func (r *rejections) demandAbove(now time.Time, class lossClass) float64 {
	r.advance(now)
	n := 0
	for _, period := range r.retries {
		for c, count := range period {
			if c.losesMore(class) {
				n += count
			}
		}
	}
	return float64(n) / (rejectionPeriod + now.Sub(r.rotated)).Seconds()
}

// retriesScarce reports whether targets reject a greater share of the attempts than the retry budget pays for.
func (d *Scheduler) retriesScarce(now time.Time) bool {
	return d.rejections.share(now) > usableShare*d.budget.Share
}

// rejecting reports whether the service as a whole rejects requests.
func (d *Scheduler) rejecting(now time.Time) bool {
	d.countRejecting(now)
	return d.rejections.many || d.retriesScarce(now)
}

// rejects reports whether requests that the target does not serve are rejected by it like by the others:
// they have not run, and waiting for another target gains nothing.
func (d *Scheduler) rejects(now time.Time, t *target) bool {
	return t.onlyRejects(now) && d.rejecting(now) && !t.rejectsAll(now)
}

// rejectsAll reports whether the target rejected too many requests in a row for one that rejects like the
// others, and not yet long enough ago for a trial. It always has free slots and would draw all requests.
func (t *target) rejectsAll(now time.Time) bool {
	return t.rejectedInRow >= maxRejectedInRow && now.Sub(later(t.lastGranted, t.lastRejected)) < rejectingTrialInterval
}

// countRejecting counts the targets that rejected their last request. These are known after some requests
// per target, while the share of rejections still consists of the results before. Targets that reject all
// requests don't count: the others may serve all.
func (d *Scheduler) countRejecting(now time.Time) {
	r := &d.rejections
	if now.Sub(r.countedAt) < countInterval {
		return
	}
	n, all := 0, 0
	for _, t := range d.order {
		if t.drains(now) {
			continue
		}
		all++
		if t.rejectedInRow > 0 && t.rejectedInRow < maxRejectedInRow && now.Sub(t.lastRejected) < rejectedRecently {
			n++
		}
	}
	r.countedAt = now
	r.many = n >= min(minRejecting, max(all, 1)) && float64(n) >= rejectingShare*float64(all)
}

// onlyRejects reports whether the target recently rejected a request and failed none since.
func (t *target) onlyRejects(now time.Time) bool {
	return now.Sub(t.lastRejected) < rejectedRecently && t.lastRejected.After(t.lastBad)
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
		t.rejectedInRow++
	case ResultBad:
		t.lastBad = now
		t.rejectedInRow = 0
	case ResultGood:
		t.rejectedInRow = 0
	}
}

// lossClass returns the class of a request by what it loses without a retry.
func (d *Scheduler) lossClass(now time.Time, a *Request) lossClass {
	served := now.Add(d.model.Route(now, a.Route).MedianLatency())
	if served.After(a.SoftDeadline) {
		return lossClass{
			late: true,
		}
	}
	return lossClass{
		priority:      a.Priority,
		repeatable:    a.Repeatable,
		returnsInTime: served.Add(d.nextRetry(now)).Before(a.SoftDeadline),
	}
}

// recordRetry counts a request for a retry. A hedge is repeated until it is granted and is not counted.
func (d *Scheduler) recordRetry(now time.Time, a *Request) {
	if a.Hedge {
		return
	}
	d.rejections.advance(now)
	if retries, class := d.rejections.retries[0], d.lossClass(now, a); retries[class] > 0 || len(retries) < maxLossClasses {
		retries[class]++
	}
}

// withholds reports whether a retry is withheld, of the number left, for requests that lose more without
// one. While retries are scarce, one is granted only if the budget also pays for what such requests will
// need until the window frees it again. A hedge, whose request goes on, comes last.
func (d *Scheduler) withholds(now time.Time, a *Request, left float64) bool {
	if !d.retriesScarce(now) {
		return false
	}
	class := lossClass{
		late: true,
	}
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
