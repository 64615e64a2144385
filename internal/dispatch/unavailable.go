// SPDX-License-Identifier: Apache-2.0

package dispatch

import "time"

// unavailable reports whether none of the targets that do not drain is available to the requesting
// node. Where all are draining, others may join at any time.
func (d *Scheduler) unavailable(now time.Time, a *Request) bool {
	if len(a.Unavailable)+len(a.ClosedHalls) == 0 {
		return false
	}
	staying := 0
	for _, t := range d.order {
		if t.open(now, a) {
			return false
		}
		if !t.drains(now) {
			staying++
		}
	}
	return staying > 0
}

// renew updates the unavailable targets of a waiting request from a repeated one.
func (d *Scheduler) renew(now time.Time, a *Request) Grant {
	if d.unavailable(now, a) {
		d.queue.drop(a.ID)
		d.ended[a.ID] = now
		d.outcomes.record(now, false)
		return d.refuseExpected(now, a)
	}
	d.queue.updateUnavailable(now, a)
	return Grant{
		ID:       a.ID,
		Decision: Queued,
	}
}

// MarkDraining stops granting the target to any node.
func (d *Scheduler) MarkDraining(now time.Time, key string) {
	t := d.targets[key]
	if t == nil || t.drains(now) {
		return
	}
	t.drainingUntil = now.Add(drainWithoutID)
	if t.HasID {
		t.drainingUntil = now.Add(drainWithID)
	}
	d.lastCoverage = coverage{}
}
