// SPDX-License-Identifier: Apache-2.0

package dispatch

import (
	"slices"
	"time"
)

// waiting is a queued request.
type waiting struct {
	request *Request
	since   time.Time
	// usualTime is the usual response time, margin the time within which nearly all answers come.
	usualTime time.Duration
	margin    time.Duration
	// minResponseTime is the least remaining time in which an answer may come.
	minResponseTime time.Duration
	// bestCost is the cost of the best target at bestCostAt, busy ones included.
	bestCost   float64
	bestCostAt time.Time
}

// queue holds requests by priority and then by arrival.
type queue struct {
	list []*waiting
	// slotsShort is set while requests wait for slots rather than for better targets.
	slotsShort bool
}

func (q *queue) add(w *waiting) {
	at := len(q.list)
	for at > 0 && q.list[at-1].request.Priority > w.request.Priority {
		at--
	}
	q.list = slices.Insert(q.list, at, w)
}

// ahead returns the work of the same or a more urgent priority that can still be answered in time:
// the sum of the usual response times and the number of requests.
func (q *queue) ahead(now time.Time, priority int) (sum time.Duration, n int) {
	for _, w := range q.list {
		if w.request.Priority <= priority && q.inTime(now, w) {
			sum += w.usualTime
			n++
		}
	}
	return sum, n
}

// inTime reports whether a waiting request can still be answered by its soft deadline. While slots
// are short it requires this of nearly all answers rather than of half, or slots would go to requests
// that are answered too late. A final attempt keeps its place: behind the others it would end at a
// failing target.
func (q *queue) inTime(now time.Time, w *waiting) bool {
	if q.slotsShort && !w.request.final() {
		return now.Add(w.margin).Before(w.request.SoftDeadline)
	}
	return now.Add(w.usualTime).Before(w.request.SoftDeadline)
}

func (q *queue) has(id ID) bool {
	return slices.ContainsFunc(q.list, func(w *waiting) bool { return w.request.ID == id })
}

// updateUnavailable updates the unavailable targets and closed data halls of a waiting request from
// a repeated one.
func (q *queue) updateUnavailable(a *Request) {
	for _, w := range q.list {
		if w.request.ID == a.ID && !(slices.Equal(w.request.Unavailable, a.Unavailable) && slices.Equal(w.request.ClosedHalls, a.ClosedHalls)) {
			w.request.Unavailable, w.request.ClosedHalls = a.Unavailable, a.ClosedHalls
			w.bestCostAt = time.Time{}
		}
	}
}

func (q *queue) drop(id ID) {
	q.list = slices.DeleteFunc(q.list, func(w *waiting) bool { return w.request.ID == id })
}

// each calls taken for the requests in order and removes those for which it returns true. Requests
// that can still be answered in time come first: under overload the others would make all of them
// late.
func (q *queue) each(now time.Time, taken func(*waiting) bool) {
	for _, inTime := range [...]bool{true, false} {
		q.list = slices.DeleteFunc(q.list, func(w *waiting) bool {
			return q.inTime(now, w) == inTime && taken(w)
		})
	}
}

// expire removes and returns the requests that cannot be served any more. Those for which overloaded
// returns true are removed as soon as they cannot be answered in time.
func (q *queue) expire(now time.Time, overloaded func(*Request) bool) []*Request {
	var out []*Request
	q.list = slices.DeleteFunc(q.list, func(w *waiting) bool {
		if w.request.Deadline.Sub(now) >= w.minResponseTime && (q.inTime(now, w) || !overloaded(w.request)) {
			return false
		}
		out = append(out, w.request)
		return true
	})
	return out
}
