// SPDX-License-Identifier: Apache-2.0

package dispatch

import (
	"slices"
	"time"
)

const (
	// maxPlaces bounds the reserved places: their order is searched for each refusal.
	maxPlaces = 4096
	// minReturn is the shortest RetryAfter; a shorter one would be rounded to none in messages.
	minReturn = time.Millisecond
	// returnSpan is the share of the time between both deadlines within which places are reserved
	// where the waiting work takes longer than the request has time; the share of the time to the
	// deadline where that is not after the soft deadline.
	returnSpan = 0.5
)

// returns holds the places of refused callers: the times, in order, at which they were told to return.
// A place is advice and holds no slot, so it never causes a refusal. It expires when its time comes.
type returns struct {
	places []time.Time
	// now is the time of the last advance. searched holds, for the searches since then, the time before
	// which no place is left: thousands of requests that expire at one time search from the same one.
	now      time.Time
	searched map[search]time.Time
}

// search identifies the searches of a place: by the first time, counted from now, and the interval.
type search struct {
	first, interval time.Duration
}

// advance drops the places whose time has come.
func (r *returns) advance(now time.Time) {
	if now.Equal(r.now) {
		return
	}
	r.now = now
	if r.searched == nil {
		r.searched = map[search]time.Time{}
	}
	clear(r.searched)
	n, _ := slices.BinarySearchFunc(r.places, now, time.Time.Compare)
	r.places = slices.Delete(r.places, 0, n)
}

// reserve reserves the first place from first to latest that is interval away from all others. It
// reports whether there is one.
func (r *returns) reserve(first, latest time.Time, interval time.Duration) (time.Time, bool) {
	if len(r.places) >= maxPlaces {
		return time.Time{}, false
	}
	s := search{
		first:    first.Sub(r.now),
		interval: interval,
	}
	place := later(first, r.searched[s])
	at, _ := slices.BinarySearchFunc(r.places, place.Add(1-interval), time.Time.Compare)
	for ; at < len(r.places) && r.places[at].Sub(place) < interval; at++ {
		place = r.places[at].Add(interval)
	}
	r.searched[s] = place
	if place.After(latest) {
		return time.Time{}, false
	}
	r.places = slices.Insert(r.places, at, place)
	return place, true
}

// expectation is what the caller of a refused request finds: the wait behind the waiting work, and the
// interval at which slots become free for requests of its usual time.
type expectation struct {
	wait, usualTime, interval time.Duration
}

// expect completes the expectation of a request behind work that takes the given time.
func (d *Scheduler) expect(now time.Time, a *Request, wait time.Duration) expectation {
	usualTime := d.model.Route(now, a.Route).MedianLatency()
	return expectation{
		wait:      wait,
		usualTime: usualTime,
		interval:  d.returnInterval(now, usualTime),
	}
}

// expectationKey identifies the requests that have equal expectations at one time.
type expectationKey struct {
	priority         int
	route, workspace string
}

// expectations holds the expectations of requests that are refused at one time. Each takes a pass over
// all targets.
type expectations map[expectationKey]expectation

// of returns the expectation of a request.
func (e expectations) of(now time.Time, d *Scheduler, a *Request) expectation {
	key := expectationKey{
		priority:  a.Priority,
		route:     a.Route,
		workspace: a.Workspace,
	}
	if known, ok := e[key]; ok {
		return known
	}
	wait, _ := d.wait(now, a)
	e[key] = d.expect(now, a, wait)
	return e[key]
}

// refuse refuses a request behind work that takes the given time.
func (d *Scheduler) refuse(now time.Time, a *Request, wait time.Duration) Grant {
	g, told := refusal(a)
	if told {
		g.RetryAfter = d.retryAfter(now, a, d.expect(now, a, wait), 0)
	}
	return g
}

// refusal returns the refusal of a request and whether its caller is told a time. A non-queueing request
// gets no place, because another dispatcher may have a target for it, and neither does a hedge, whose
// request goes on.
func refusal(a *Request) (g Grant, told bool) {
	g = Grant{
		ID:       a.ID,
		Decision: Refused,
	}
	if a.NonQueueing {
		g.Decision = NoneFree
	}
	return g, !a.NonQueueing && !a.Hedge
}

// refuseExpected refuses a request behind the work that would be served before it.
func (d *Scheduler) refuseExpected(now time.Time, a *Request) Grant {
	wait, _ := d.wait(now, a)
	return d.refuse(now, a, wait)
}

// refuseRetry refuses a retry or a hedge that the retry budget does not allow. The caller of a retry may
// return when the budget allows the next one.
func (d *Scheduler) refuseRetry(now time.Time, a *Request) Grant {
	g := Grant{
		ID:       a.ID,
		Decision: OverBudget,
	}
	if !a.Hedge {
		wait, _ := d.wait(now, a)
		g.RetryAfter = d.retryAfter(now, a, d.expect(now, a, wait), d.nextRetry(now))
	}
	return g
}

// retryAfter returns after how long a refused caller may return: at its place behind the waiting work and
// the callers refused before it, not before earliest. Callers for whom no place is left in the time in
// which a response is of use to them are spread over that time.
func (d *Scheduler) retryAfter(now time.Time, a *Request, e expectation, earliest time.Duration) time.Duration {
	d.returns.advance(now)
	first := now.Add(max(e.wait, minReturn))
	late := a.lateness()
	if late == 0 {
		late = max(a.Deadline.Sub(now), 0)
	}
	span := time.Duration(returnSpan * float64(late))
	latest := later(a.Deadline.Add(-e.usualTime), first.Add(span))
	place, ok := d.returns.reserve(later(first, now.Add(earliest)), latest, e.interval)
	if !ok {
		place = first.Add(time.Duration(d.random() * float64(latest.Sub(first))))
	}
	return place.Sub(now)
}

// returnInterval returns the mean time between two moments at which slots of working targets become free
// for requests of the given duration.
func (d *Scheduler) returnInterval(now time.Time, usualTime time.Duration) time.Duration {
	usualTime = max(usualTime, time.Millisecond)
	if c, all := d.limitedCapacity(now); all {
		return time.Duration(float64(time.Second) / max(c.rate, minLimitRate))
	}
	return time.Duration(float64(usualTime) / d.workingSlots(now, usualTime))
}
