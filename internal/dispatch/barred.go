// SPDX-License-Identifier: Apache-2.0

package dispatch

import "time"

// This file is about what targets said of themselves to the nodes that ask: that they leave,
// which binds all, or that they want nothing from the node, which binds its asks.

// barred reports whether no target that stays may get the ask now. Where all leave, others may
// appear at any moment.
func (d *Desk) barred(now time.Time, a *Ask) bool {
	if len(a.Barred) == 0 {
		return false
	}
	stay := 0
	for _, t := range d.order {
		if t.open(now, a) {
			return false
		}
		if !t.leaves(now) {
			stay++
		}
	}
	return stay > 0
}

// renew takes in that an ask which waits came again, with the targets that are barred by now.
func (d *Desk) renew(now time.Time, a *Ask) Grant {
	if d.barred(now, a) {
		d.queue.drop(a.ID)
		d.closed[a.ID] = now
		d.ends.note(now, false)
		return a.unserved(Refused, 0)
	}
	d.queue.bar(a.ID, a.Barred)
	return Grant{
		ID:      a.ID,
		Verdict: Queued,
	}
}

// Leaves takes in that a target told a node that it leaves. It gets no work from then on,
// whoever asks.
func (d *Desk) Leaves(now time.Time, key string) {
	t := d.targets[key]
	if t == nil || t.leaves(now) {
		return
	}
	t.left = now.Add(leftUnnamed)
	if t.Named {
		t.left = now.Add(leftNamed)
	}
	d.covered = coverage{}
}
