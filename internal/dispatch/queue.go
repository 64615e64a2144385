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

// ahead returns how many asks of the same or a more urgent priority wait.
func (q *queue) ahead(priority int) int {
	n := 0
	for _, w := range q.list {
		if w.ask.Priority <= priority {
			n++
		}
	}
	return n
}

// wait estimates how long an ask would wait.
func (q *queue) wait(d *Desk, priority int) time.Duration {
	slots := 0
	for _, t := range d.order {
		if !t.Leaving {
			slots += t.Slots
		}
	}
	return time.Duration(float64(q.ahead(priority)) * float64(d.usual) / float64(max(slots, 1)))
}

func (q *queue) has(id ID) bool {
	return slices.ContainsFunc(q.list, func(w *waiting) bool { return w.ask.ID == id })
}

func (q *queue) drop(id ID) {
	q.list = slices.DeleteFunc(q.list, func(w *waiting) bool { return w.ask.ID == id })
}

// each gives the asks in order and removes those for which taken returns true.
func (q *queue) each(taken func(*waiting) bool) {
	q.list = slices.DeleteFunc(q.list, taken)
}

// expire refuses what can't be served any more.
func (q *queue) expire(now time.Time) []Grant {
	var out []Grant
	q.each(func(w *waiting) bool {
		if now.Before(w.ask.Deadline) {
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
