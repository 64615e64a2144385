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
}

// advance drops the places whose time has come.
func (r *returns) advance(now time.Time) {
	n, _ := slices.BinarySearchFunc(r.places, now, time.Time.Compare)
	r.places = slices.Delete(r.places, 0, n)
}

// reserve reserves the first place from first to latest that is interval away from all others. It
// reports whether there is one.
func (r *returns) reserve(first, latest time.Time, interval time.Duration) (time.Time, bool) {
	if len(r.places) >= maxPlaces {
		return time.Time{}, false
	}
	at, _ := slices.BinarySearchFunc(r.places, first.Add(1-interval), time.Time.Compare)
	place := first
	for ; at < len(r.places) && r.places[at].Sub(place) < interval; at++ {
		place = r.places[at].Add(interval)
	}
	if place.After(latest) {
		return time.Time{}, false
	}
	r.places = slices.Insert(r.places, at, place)
	return place, true
}

// refuse refuses a request behind work that takes the given time. A non-queueing request gets no place,
// because another dispatcher may have a target for it, and neither does a hedge, whose request goes on.
func (d *Scheduler) refuse(now time.Time, a *Request, wait time.Duration) Grant {
	g := Grant{
		ID:       a.ID,
		Decision: Refused,
	}
	if a.NonQueueing {
		g.Decision = NoneFree
		return g
	}
	if !a.Hedge {
		g.RetryAfter = d.retryAfter(now, a, wait, 0)
	}
	return g
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
		g.RetryAfter = d.retryAfter(now, a, wait, d.nextRetry(now))
	}
	return g
}

// retryAfter returns after how long a refused caller may return: at its place behind the waiting work and
// the callers refused before it, not before earliest. Callers for whom no place is left in the time in
// which a response is of use to them are spread over that time.
func (d *Scheduler) retryAfter(now time.Time, a *Request, wait, earliest time.Duration) time.Duration {
	d.returns.advance(now)
	usualTime := d.model.Route(now, a.Route).MedianLatency()
	first := now.Add(max(wait, minReturn))
	late := a.lateness()
	if late == 0 {
		late = max(a.Deadline.Sub(now), 0)
	}
	span := time.Duration(returnSpan * float64(late))
	latest := later(a.Deadline.Add(-usualTime), first.Add(span))
	place, ok := d.returns.reserve(later(first, now.Add(earliest)), latest, d.returnInterval(now, usualTime))
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
	slots := 0.0
	for _, t := range d.order {
		if !t.drains(now) {
			slots += t.limitedSlots(now, d.limitShare, usualTime) * d.servedShare(now, t)
		}
	}
	return time.Duration(float64(usualTime) / max(slots, 1))
}
