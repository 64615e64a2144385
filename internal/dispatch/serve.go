// SPDX-License-Identifier: Apache-2.0

package dispatch

import (
	"slices"
	"time"
)

// servePause is the time until the next pass over all waiting requests, for each target that the
// last pass examined. The cost of an attempt's end must not grow with the product of requests and
// targets, or an overloaded dispatcher would never catch up.
const servePause = time.Microsecond

// traits are the properties that decide whether a waiting request accepts a target.
type traits struct {
	dataHall   string
	route      string
	repeatable bool
	retry      bool
	kilobytes  int
	// restricted is set where some targets are unavailable to the request.
	restricted bool
	// late is set where the request cannot be answered by its soft deadline any more.
	late bool
}

func (q *queue) traits(now time.Time, w *waiting) traits {
	a := w.request
	return traits{
		dataHall:   a.DataHall,
		route:      a.Route,
		repeatable: a.Repeatable,
		retry:      a.Retry,
		kilobytes:  a.Kilobytes,
		restricted: len(a.Unavailable)+len(a.ClosedHalls) > 0,
		late:       !q.inTime(now, w),
	}
}

// serve refuses the requests that cannot be served any more and grants what the others can have now.
// A slot goes to a request of its own data hall first.
func (d *Scheduler) serve(now time.Time) []Grant {
	out := d.expire(now)
	defer func() { d.updateFreeSlot(now, d.free(now)) }()
	examinedBefore := d.examined
	defer func() { d.nextServe = now.Add(servePause * time.Duration(d.examined-examinedBefore)) }()
	for _, near := range [...]bool{true, false} {
		if len(d.queue.list) == 0 {
			break
		}
		free := d.free(now)
		// declined are the traits of requests of which one accepts none of the free targets. Those
		// behind it have waited less and accept no worse ones.
		declined := map[traits]bool{}
		d.queue.each(now, func(w *waiting) bool {
			k := d.queue.traits(now, w)
			if len(free) == 0 || declined[k] {
				return false
			}
			t := d.best(now, w, free)
			if t == nil {
				declined[k] = len(w.request.Tried)+len(w.request.Unavailable)+len(w.request.ClosedHalls) == 0
				return false
			}
			if near && t.DataHall != w.request.DataHall {
				return false
			}
			if k.late {
				d.lastFreeSlot = now
			}
			out = append(out, d.grant(now, t, w.request, false))
			if len(t.flights) >= d.slots(now, t) {
				free = slices.DeleteFunc(free, func(o *target) bool { return o == t })
			}
			return true
		})
	}
	return out
}

// expire refuses the waiting requests that cannot be served any more.
func (d *Scheduler) expire(now time.Time) []Grant {
	var out []Grant
	for _, a := range d.queue.expire(now, func(a *Request) bool { return d.overloaded(now, a) }) {
		d.outcomes.record(now, false)
		out = append(out, d.refuse(now, a, d.wait(now, a.Priority)))
	}
	return out
}

// serveFreed grants a freed slot to a waiting request without examining the other targets.
func (d *Scheduler) serveFreed(now time.Time, t *target) []Grant {
	out := d.expire(now)
	defer func() {
		if len(t.flights) < d.slots(now, t) {
			d.updateFreeSlot(now, []*target{t})
		}
	}()
	for _, near := range [...]bool{true, false} {
		if t.drains(now) || len(d.queue.list) == 0 {
			break
		}
		declined := map[traits]bool{}
		d.queue.each(now, func(w *waiting) bool {
			a := w.request
			k := d.queue.traits(now, w)
			if len(t.flights) >= d.slots(now, t) || near && t.DataHall != a.DataHall ||
				slices.Contains(a.Tried, t.Key) || !t.open(now, a) || declined[k] {
				return false
			}
			if !d.accepts(now, w, t) {
				declined[k] = !k.restricted
				return false
			}
			if k.late {
				d.lastFreeSlot = now
			}
			out = append(out, d.grant(now, t, a, false))
			return true
		})
	}
	return out
}
