// SPDX-License-Identifier: Apache-2.0

package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"ploverjunction.example/ploverjunction/internal/dispatch"
)

// routeTimes are the response times of the routes of lessUrgentQueue.
var routeTimes = map[string]time.Duration{
	"short":  200 * time.Millisecond,
	"long":   4 * time.Second,
	"urgent": 200 * time.Millisecond,
}

// lessUrgentQueue is a scheduler whose requests wait for the single slot of one target. That of the
// other target is held for ever.
type lessUrgentQueue struct {
	*shareQueue
	running dispatch.Grant
}

func newLessUrgentQueue() *lessUrgentQueue {
	q := &lessUrgentQueue{
		shareQueue: &shareQueue{
			scheduler: newScheduler(
				dispatch.Target{
					Key:      "only",
					DataHall: "a",
					Slots:    1,
				},
				dispatch.Target{
					Key:      "other",
					DataHall: "a",
					Slots:    1,
				}),
			now:      start,
			requests: map[uint64]*dispatch.Request{},
		},
	}
	for _, route := range []string{"short", "long", "urgent"} {
		for range 60 {
			g := q.ask("", route, 0)
			q.now = q.now.Add(routeTimes[route])
			q.scheduler.Done(q.now, g.ID, g.Target, dispatch.ResultGood, routeTimes[route])
		}
	}
	q.ask("", "urgent", 0, "only")
	q.running = q.ask("", "urgent", 0, "other")
	q.now = q.now.Add(time.Second)
	q.scheduler.Advance(q.now)
	return q
}

func (q *lessUrgentQueue) ask(workspace, route string, priority int, unavailable ...string) dispatch.Grant {
	q.next++
	a := newRequest(q.now, q.next)
	a.Workspace, a.Route, a.Priority, a.Unavailable = workspace, route, priority, unavailable
	a.Deadline = q.now.Add(time.Hour)
	a.SoftDeadline = a.Deadline
	q.requests[q.next] = a
	return q.scheduler.RequestGrant(q.now, a)
}

// serve serves requests for a time and returns the work of each priority.
func (q *lessUrgentQueue) serve(t *testing.T, length time.Duration) map[int]time.Duration {
	t.Helper()
	work := map[int]time.Duration{}
	for began := q.now; q.now.Sub(began) < length; {
		a := q.requests[q.running.ID.Number]
		took := routeTimes[a.Route]
		work[a.Priority] += took
		q.now = q.now.Add(took)
		granted := append(q.scheduler.Done(q.now, a.ID, q.running.Target, dispatch.ResultGood, took), q.scheduler.Advance(q.now)...)
		if len(granted) != 1 {
			t.Fatalf("%d grants for a freed slot", len(granted))
		}
		q.running = granted[0]
	}
	return work
}

// cancelLessUrgent cancels the waiting requests of less urgent priorities.
func (q *lessUrgentQueue) cancelLessUrgent() {
	for _, a := range q.requests {
		if a.Priority > 0 && a.ID != q.running.ID {
			q.scheduler.Cancel(q.now, a.ID)
		}
	}
}

// Guards against less urgent work far above its share of 0.05 where a long request is granted for the credit of
// a short one: half of the work was less urgent. What is granted beyond the credit must be taken from
// what is credited later, also if no less urgent request waits at times.
func TestLessUrgentShareIsOfWork(t *testing.T) {
	tests := []struct {
		name string
		ask  func(q *lessUrgentQueue)
		// pause is set where the less urgent requests come anew each 50 s, and none wait for the last 5 s.
		pause bool
	}{
		{
			name: "the oldest is short and declines all free targets",
			ask: func(q *lessUrgentQueue) {
				q.ask("x", "short", 2, "only")
				for range 60 {
					q.ask("y", "long", 2)
				}
			},
		},
		{
			name: "short and long ones of several workspaces",
			ask: func(q *lessUrgentQueue) {
				for range 60 {
					q.ask("x", "short", 2)
					q.ask("y", "long", 2)
				}
			},
		},
		{
			name: "a short and a long one at times",
			ask: func(q *lessUrgentQueue) {
				q.ask("x", "short", 2, "only")
				q.ask("y", "long", 2)
			},
			pause: true,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			q := newLessUrgentQueue()
			for i := range 4000 {
				q.ask(fmt.Sprint("w", i%4), "urgent", 0)
			}
			work := map[int]time.Duration{}
			serve := func(length time.Duration) {
				for priority, w := range q.serve(t, length) {
					work[priority] += w
				}
			}
			if !tt.pause {
				tt.ask(q)
			}
			for range 8 {
				if tt.pause {
					tt.ask(q)
				}
				serve(45 * time.Second)
				if tt.pause {
					q.cancelLessUrgent()
				}
				serve(5 * time.Second)
			}
			if share := work[2].Seconds() / (work[0] + work[2]).Seconds(); share < 0.03 || share > 0.07 {
				t.Errorf("less urgent work has a share of %.3f, want 0.05: %v", share, work)
			}
		})
	}
}
