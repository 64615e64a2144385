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
	// usualTime is the usual time of an answer to it, margin the time within which nearly all
	// of them come.
	usualTime time.Duration
	margin    time.Duration
	// minResponseTime is the least time in which an answer may come.
	minResponseTime time.Duration
	// bestCost is what the best target cost, busy ones too, at leastAt.
	bestCost   float64
	bestCostAt time.Time
}

// queue holds asks by priority and then by their arrival.
type queue struct {
	list []*waiting
	// slotsShort is set while slots are what asks wait for.
	slotsShort bool
}

func (q *queue) add(w *waiting) {
	at := len(q.list)
	for at > 0 && q.list[at-1].ask.Priority > w.ask.Priority {
		at--
	}
	q.list = slices.Insert(q.list, at, w)
}

// ahead returns how much work of the same or a more urgent priority waits that can
// still be answered in time: the sum of its usual times, and how many asks that is.
func (q *queue) ahead(now time.Time, priority int) (sum time.Duration, n int) {
	for _, w := range q.list {
		if w.ask.Priority <= priority && q.inTime(now, w) {
			sum += w.usualTime
			n++
		}
	}
	return sum, n
}

// inTime reports whether an answer to a waiting ask can still meet its aim. While slots are short,
// nearly all answers must, not half of them: slots would go to requests that come too late. A last
// attempt keeps its place: behind the others it would end at a target that fails.
func (q *queue) inTime(now time.Time, w *waiting) bool {
	if q.slotsShort && !w.ask.final() {
		return now.Add(w.margin).Before(w.ask.Aim)
	}
	return now.Add(w.usualTime).Before(w.ask.Aim)
}

func (q *queue) has(id ID) bool {
	return slices.ContainsFunc(q.list, func(w *waiting) bool { return w.ask.ID == id })
}

// updateUnavailable updates what a waiting ask can't get, by the ask that was sent again.
func (q *queue) updateUnavailable(a *Ask) {
	for _, w := range q.list {
		if w.ask.ID == a.ID && !(slices.Equal(w.ask.Barred, a.Barred) && slices.Equal(w.ask.Closed, a.Closed)) {
			w.ask.Barred, w.ask.Closed = a.Barred, a.Closed
			w.bestCostAt = time.Time{}
		}
	}
}

func (q *queue) drop(id ID) {
	q.list = slices.DeleteFunc(q.list, func(w *waiting) bool { return w.ask.ID == id })
}

// each gives the asks in order and removes those for which taken returns true. Asks
// that can still be answered in time come first: under overload the others would
// make all of them late.
func (q *queue) each(now time.Time, taken func(*waiting) bool) {
	for _, inTime := range [...]bool{true, false} {
		q.list = slices.DeleteFunc(q.list, func(w *waiting) bool {
			return q.inTime(now, w) == inTime && taken(w)
		})
	}
}

// expire refuses what can't be served any more; overloaded tells of an ask whether that is
// so as soon as it can't be in time.
func (q *queue) expire(now time.Time, overloaded func(*Ask) bool) []Grant {
	var out []Grant
	q.list = slices.DeleteFunc(q.list, func(w *waiting) bool {
		if w.ask.Deadline.Sub(now) >= w.minResponseTime && (q.inTime(now, w) || !overloaded(w.ask)) {
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
