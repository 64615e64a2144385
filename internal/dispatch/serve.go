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

// serve refuses the requests that cannot be served any more and grants what the others can have now.
// A slot goes to a request of its own data hall first.
func (d *Scheduler) serve(now time.Time) []Grant {
	out := d.expire(now)
	defer func() { d.updateFreeSlot(now, d.free(now)) }()
	examinedBefore := d.examined
	defer func() { d.nextServe = now.Add(servePause * time.Duration(d.examined-examinedBefore)) }()
	for _, near := range [...]bool{true, false} {
		if d.queue.len() == 0 {
			break
		}
		free := d.free(now)
		// declinedTraits are those of requests of which one accepts none of the free targets. Requests
		// of its priority behind it have waited less and accept no worse ones.
		declinedTraits := map[traits]bool{}
		d.queue.each(now, func(w *waiting) passResult {
			k := w.group.traits
			if len(free) == 0 {
				return stopped
			}
			if declinedTraits[k] {
				return skipped
			}
			t := d.best(now, w, free)
			if t == nil {
				declinedTraits[k] = w.group.targets == "" && w == w.group.oldest()
				return declined
			}
			if near && t.DataHall != w.request.DataHall {
				return skipped
			}
			if k.late {
				d.lastFreeSlot = now
			}
			out = append(out, d.grant(now, t, w.request, false))
			if len(t.flights) >= d.slots(now, t) {
				free = slices.DeleteFunc(free, func(o *target) bool { return o == t })
			}
			return taken
		})
	}
	return out
}

// expire refuses the waiting requests that cannot be served any more.
func (d *Scheduler) expire(now time.Time) []Grant {
	var out []Grant
	known := expectations{}
	for _, a := range d.queue.expire(now, func(a *Request) bool { return d.overloaded(now, a) }) {
		d.outcomes.record(now, false)
		g, told := refusal(a)
		if e := known.of(now, d, a); told {
			g.RetryAfter = d.retryAfter(now, a, e, 0)
		}
		out = append(out, g)
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
		if t.drains(now) || d.queue.len() == 0 {
			break
		}
		declinedTraits := map[traits]bool{}
		d.queue.each(now, func(w *waiting) passResult {
			a := w.request
			k := w.group.traits
			if len(t.flights) >= d.slots(now, t) {
				return stopped
			}
			if near && t.DataHall != a.DataHall || slices.Contains(a.Tried, t.Key) || !t.open(now, a) || declinedTraits[k] {
				return skipped
			}
			if !d.accepts(now, w, t) {
				declinedTraits[k] = !k.restricted && w == w.group.oldest()
				return declined
			}
			if k.late {
				d.lastFreeSlot = now
			}
			out = append(out, d.grant(now, t, a, false))
			return taken
		})
	}
	return out
}
