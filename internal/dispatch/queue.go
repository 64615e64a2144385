// SPDX-License-Identifier: Apache-2.0

package dispatch

import (
	"slices"
	"time"
)

// waiting is one ask in the queue.
type waiting struct {
	ask   *Ask
	since time.Time
}

// queue holds asks by priority and then by their arrival.
type queue struct {
	list []*waiting
}

func (q *queue) add(now time.Time, a *Ask) {
	at := len(q.list)
	for at > 0 && q.list[at-1].ask.Priority > a.Priority {
		at--
	}
	q.list = slices.Insert(q.list, at, &waiting{
		ask:   a,
		since: now,
	})
}

// ahead returns how many asks of the same or a more urgent priority wait that can
// still be answered in time, if a request takes usual.
func (q *queue) ahead(now time.Time, usual time.Duration, priority int) int {
	n := 0
	for _, w := range q.list {
		if w.ask.Priority <= priority && w.inTime(now, usual) {
			n++
		}
	}
	return n
}

// inTime tells whether an answer can still be worth most.
func (w *waiting) inTime(now time.Time, usual time.Duration) bool {
	return now.Add(usual).Before(w.ask.Aim)
}

// wait estimates how long an ask would wait.
func (q *queue) wait(now time.Time, d *Desk, priority int) time.Duration {
	slots := 0
	for _, t := range d.order {
		if !t.Leaving {
			slots += t.Slots
		}
	}
	return time.Duration(float64(q.ahead(now, d.usual, priority)) * float64(d.usual) / float64(max(slots, 1)))
}

func (q *queue) has(id ID) bool {
	return slices.ContainsFunc(q.list, func(w *waiting) bool { return w.ask.ID == id })
}

func (q *queue) drop(id ID) {
	q.list = slices.DeleteFunc(q.list, func(w *waiting) bool { return w.ask.ID == id })
}

// each gives the asks in order and removes those for which taken returns true. Asks
// that can still be answered in time come first: under overload the others would
// make all of them late.
func (q *queue) each(now time.Time, usual time.Duration, taken func(*waiting) bool) {
	for _, inTime := range [...]bool{true, false} {
		q.list = slices.DeleteFunc(q.list, func(w *waiting) bool {
			return w.inTime(now, usual) == inTime && taken(w)
		})
	}
}

// expire refuses what hopeless says can't be served any more.
func (q *queue) expire(hopeless func(*Ask) bool) []Grant {
	var out []Grant
	q.list = slices.DeleteFunc(q.list, func(w *waiting) bool {
		if !hopeless(w.ask) {
			return false
		}
		out = append(out, Grant{
			ID:      w.ask.ID,
			Verdict: Refused,
		})
		return true
	})
	return out
}
