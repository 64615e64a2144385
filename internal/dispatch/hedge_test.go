// SPDX-License-Identifier: Apache-2.0

package dispatch_test

import (
	"testing"
	"time"

	"ploverjunction.example/ploverjunction/internal/dispatch"
)

// usualTime is the mean response time in these tests.
const usualTime = 200 * time.Millisecond

// newTrainedScheduler returns a scheduler whose targets have answered for some time, and the time
// after that. The response times lie between half the usual time and one and a half.
func newTrainedScheduler(targets ...dispatch.Target) (*dispatch.Scheduler, time.Time) {
	d := newScheduler(targets...)
	now := start
	for n := range uint64(400) {
		now = now.Add(30 * time.Millisecond)
		a := newRequest(now, 1_000_000+n)
		a.DataHall = string(rune('a' + n%2))
		a.Kilobytes = 5
		g := d.RequestGrant(now, a)
		took := usualTime/2 + time.Duration(n%20)*usualTime/20
		d.Done(now, g.ID, g.Target, dispatch.ResultGood, took)
	}
	return d, now
}

// newHedge returns a request for a hedge of an attempt at first that has been silent for age.
func newHedge(now time.Time, n uint64, age time.Duration, first string) *dispatch.Request {
	a := newRequest(now, n)
	a.Repeatable, a.Retry, a.Hedge, a.Age = true, true, true, age
	a.Tried = []string{first}
	return a
}

// A hedge is granted if the first target is probably silent, not if it merely has not answered yet.
func TestHedgeNeedsSilence(t *testing.T) {
	tests := []struct {
		name string
		age  time.Duration
		want dispatch.Decision
	}{
		{
			name: "not sent yet",
			want: dispatch.OverBudget,
		},
		{
			name: "usual time",
			age:  usualTime,
			want: dispatch.OverBudget,
		},
		{
			name: "three times the usual time",
			age:  3 * usualTime,
			want: dispatch.Granted,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			d, now := newTrainedScheduler(pool(6)...)
			first := newRequest(now, 1)
			first.Repeatable = true
			g := d.RequestGrant(now, first)
			later := now.Add(tt.age)
			if got := d.RequestGrant(later, newHedge(later, 2, tt.age, g.Target)); got.Decision != tt.want {
				t.Errorf("got %v, want %v", got.Decision, tt.want)
			}
		})
	}
}

// The more of the retry budget is spent, the surer it must be that the first target is silent.
func TestHedgeThresholdRisesWithSpentBudget(t *testing.T) {
	d, now := newTrainedScheduler(pool(20)...)
	age := 2 * usualTime
	for n := range uint64(200) {
		a := newRequest(now, n)
		a.Repeatable, a.Retry = true, true
		g := d.RequestGrant(now, a)
		if g.Decision != dispatch.Granted {
			t.Fatalf("retry %d: %v", n, g.Decision)
		}
		d.Done(now, g.ID, g.Target, dispatch.ResultGood, usualTime)
		h := d.RequestGrant(now, newHedge(now, 1000+n, age, "t0"))
		if h.Decision == dispatch.OverBudget {
			if n == 0 {
				t.Fatal("no hedge while the budget was hardly used")
			}
			sure := d.RequestGrant(now, newHedge(now, 2000+n, 8*usualTime, "t0"))
			if sure.Decision != dispatch.Granted {
				t.Errorf("hedge of a surely silent attempt: %v, with %.0f retries left", sure.Decision, d.Status(now).RetriesLeft)
			}
			return
		}
		d.Done(now, h.ID, h.Target, dispatch.ResultIgnored, 0)
	}
	t.Fatal("hedges were granted until the budget was exhausted")
}

// A hedge waits for a working target even if its answer will be late: it is the final attempt.
func TestHedgeWaitsForWorkingTarget(t *testing.T) {
	d, now := newTrainedScheduler(goodAndBad(3)...)
	for range 4 {
		d.RecordRemote(now, "bad", "", dispatch.ResultBad, time.Millisecond)
	}
	if g := d.RequestGrant(now, newRequest(now, 1)); g.Target != "good" {
		t.Fatalf("first request got %q", g.Target)
	}
	a := newHedge(now, 2, 4*usualTime, "bad")
	a.Tried = []string{"elsewhere"}
	a.SoftDeadline = now.Add(usualTime)
	if g := d.RequestGrant(now, a); g.Decision != dispatch.Queued {
		t.Fatalf("hedge: %v %q", g.Decision, g.Target)
	}
	if grants := d.Advance(now.Add(usualTime / 2)); len(grants) != 0 {
		t.Fatalf("after half of the usual time: %v", grants)
	}
}

// A request that is unlikely to be answered in the time left is refused at once and leaves the slot
// to others.
func TestInfeasibleRequestIsRefused(t *testing.T) {
	d, now := newTrainedScheduler(dispatch.Target{
		Key:      "only",
		DataHall: "a",
		Slots:    1,
	})
	first := d.RequestGrant(now, newRequest(now, 1))
	waiting, late := newRequest(now, 2), newRequest(now, 3)
	waiting.Deadline = now.Add(2 * usualTime)
	late.Deadline = now.Add(usualTime / 4)
	if g := d.RequestGrant(now, late); g.Decision != dispatch.Refused {
		t.Errorf("with hardly any time left: %v", g.Decision)
	}
	if g := d.RequestGrant(now, waiting); g.Decision != dispatch.Queued {
		t.Fatalf("with time left: %v", g.Decision)
	}
	grants := d.Done(now.Add(2*usualTime-usualTime/4), first.ID, first.Target, dispatch.ResultGood, usualTime)
	if len(grants) != 1 || grants[0].Decision != dispatch.Refused {
		t.Errorf("after the wait: %v", grants)
	}
}
