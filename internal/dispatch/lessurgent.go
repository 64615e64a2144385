// SPDX-License-Identifier: Apache-2.0

package dispatch

import "math"

// lessUrgentShare is the share of the granted work that priorities less urgent than the first one
// get while they wait: at this share the most urgent requests lose at most one slot in 20, and a
// service of 60 slots still answers some less urgent requests of 1 s by a soft deadline of 2 s.
const lessUrgentShare = 0.05

// lessUrgent returns the priority less urgent than the most urgent waiting one whose turn it is by
// its share of the work, if any: the one of the request that has waited longest.
func (q *queue) lessUrgent() (priority int, due bool) {
	first := math.MaxInt
	for p, c := range q.shares.classes {
		if c.inTime > 0 {
			first = min(first, p)
		}
	}
	var oldest *waiting
	for _, g := range q.groups {
		if g.late || g.priority <= first {
			continue
		}
		if w := g.oldest(); oldest == nil || w.number < oldest.number {
			oldest = w
		}
	}
	if oldest == nil {
		q.shares.lessUrgentCredit = min(q.shares.lessUrgentCredit, 0)
		return 0, false
	}
	needed := oldest.usualTime.Seconds()
	q.shares.lessUrgentCredit = min(q.shares.lessUrgentCredit, needed)
	return oldest.request.Priority, q.shares.lessUrgentCredit >= needed
}

// creditLessUrgent records a grant while slots are short: part of its work is credited to the less
// urgent priorities that wait, and what these are granted before more urgent ones is taken from it. The
// credit becomes negative where the request that was granted is longer than the one that was due: were
// this forgiven, long requests would be granted for the credit of short ones that decline the free
// targets. It becomes no less than the work of that request, because more urgent requests may have
// declined the target.
func (s *shares) creditLessUrgent(w *waiting) {
	urgent, lessUrgent := false, false
	for p, c := range s.classes {
		urgent = urgent || c.inTime > 0 && p < w.request.Priority
		lessUrgent = lessUrgent || c.inTime > 0 && p > w.request.Priority
	}
	switch work := w.usualTime.Seconds(); {
	case urgent:
		s.lessUrgentCredit = max(s.lessUrgentCredit-work, min(s.lessUrgentCredit, -work))
	case lessUrgent:
		s.lessUrgentCredit += lessUrgentShare * work
	}
}
