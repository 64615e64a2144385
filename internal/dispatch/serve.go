// SPDX-License-Identifier: Apache-2.0

package dispatch

import (
	"slices"
	"time"
)

// servePause is how long the next look at all waiting asks is put off for each target that the last
// one examined. The cost of an attempt's end must not grow with the product of asks and targets:
// under overload a dispatcher would fall behind for good.
const servePause = time.Microsecond

// traits are what the choices for several asks have in common.
type traits struct {
	dataHall   string
	route      string
	repeatable bool
	again      bool
	kilobytes  int
	// barred is set where some targets can't be had.
	barred bool
	// late is set where an answer can't be worth most any more.
	late bool
}

func (q *queue) traits(now time.Time, w *waiting) traits {
	a := w.ask
	return traits{
		dataHall:   a.DataHall,
		route:      a.Route,
		repeatable: a.Repeatable,
		again:      a.Again,
		kilobytes:  a.Kilobytes,
		barred:     len(a.Barred)+len(a.Closed) > 0,
		late:       !q.inTime(now, w),
	}
}

// serve refuses what can't be served any more and grants what the queue can have now.
// A slot goes to an ask of its own data hall first.
func (d *Desk) serve(now time.Time) []Grant {
	out := d.expire(now)
	defer func() { d.updateFreeSlot(now, d.free(now)) }()
	looks := d.examined
	defer func() { d.nextServe = now.Add(servePause * time.Duration(d.examined-looks)) }()
	for _, near := range [...]bool{true, false} {
		if len(d.queue.list) == 0 {
			break
		}
		free := d.free(now)
		// declined are the traits of asks of which one takes none of the free targets: those
		// behind it have waited less, and take no worse ones.
		declined := map[traits]bool{}
		d.queue.each(now, func(w *waiting) bool {
			k := d.queue.traits(now, w)
			if len(free) == 0 || declined[k] {
				return false
			}
			t := d.best(now, w, free)
			if t == nil {
				declined[k] = len(w.ask.Tried)+len(w.ask.Barred)+len(w.ask.Closed) == 0
				return false
			}
			if near && t.DataHall != w.ask.DataHall {
				return false
			}
			if k.late {
				d.lastFreeSlot = now
			}
			out = append(out, d.grant(now, t, w.ask, false))
			if len(t.flights) >= d.slots(now, t) {
				free = slices.DeleteFunc(free, func(o *target) bool { return o == t })
			}
			return true
		})
	}
	return out
}

// expire refuses the asks that wait in vain.
func (d *Desk) expire(now time.Time) []Grant {
	out := d.queue.expire(now, func(a *Ask) bool { return d.overloaded(now, a) })
	if len(out) == 0 {
		return nil
	}
	c, limited := d.limitedCapacity(now)
	for i := range out {
		d.outcomes.record(now, false)
		if limited {
			out[i].RetryAfter = d.retryAfter(c.wait(len(d.queue.list)))
		}
	}
	return out
}

// serveFreed gives a slot that has become free to an ask that waits, without a look at the
// other targets.
func (d *Desk) serveFreed(now time.Time, t *target) []Grant {
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
			a := w.ask
			k := d.queue.traits(now, w)
			if len(t.flights) >= d.slots(now, t) || near && t.DataHall != a.DataHall ||
				slices.Contains(a.Tried, t.Key) || !t.open(now, a) || declined[k] {
				return false
			}
			if !d.accepts(now, w, t) {
				declined[k] = !k.barred
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
