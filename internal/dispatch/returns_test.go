// SPDX-License-Identifier: Apache-2.0

package dispatch_test

import (
	"slices"
	"testing"
	"time"

	"ploverjunction.example/ploverjunction/internal/dispatch"
)

// burst requests n grants at once and returns the RetryAfter of those that are refused.
func burst(d *dispatch.Scheduler, now time.Time, first, n uint64) []time.Duration {
	var out []time.Duration
	for i := range n {
		if g := d.RequestGrant(now, newRequest(now, first+i)); g.Decision == dispatch.Refused {
			out = append(out, g.RetryAfter)
		}
	}
	return out
}

// Callers refused at one moment return one after another, at the rate at which slots become free. With a
// random share of the wait they returned in no order, several at the same moment.
func TestRefusedCallersReturnInOrder(t *testing.T) {
	d, now := newTrainedScheduler(pool(6)...)
	told := burst(d, now, 1, 250)
	if len(told) < 20 {
		t.Fatalf("%d refused", len(told))
	}
	interval := usualTime / 18
	inOrder := 0
	for i := 1; i < len(told); i++ {
		if gap := told[i] - told[i-1]; gap > interval/2 && gap < 2*interval {
			inOrder++
		} else {
			break
		}
	}
	if inOrder < 20 {
		t.Errorf("%d callers in order: %v", inOrder, told[:min(len(told), 30)])
	}
	if d.Status(now).Places < inOrder {
		t.Errorf("%d places", d.Status(now).Places)
	}
}

// Places end with the time in which a response is of use to the caller, and expire. Without a bound,
// callers refused later would be told times after the end of the overload.
func TestPlacesAreBounded(t *testing.T) {
	d, now := newTrainedScheduler(pool(6)...)
	told := burst(d, now, 1, 2000)
	a := newRequest(now, 0)
	if latest := a.Deadline.Sub(now); slices.Max(told) > latest {
		t.Errorf("a caller is told %v, its deadline is in %v", slices.Max(told), latest)
	}
	if n := d.Status(now).Places; n == 0 || n > 300 {
		t.Errorf("%d places", n)
	}
	if n := d.Status(now.Add(3 * time.Second)).Places; n != 0 {
		t.Errorf("%d places after their time", n)
	}
}

// A place holds no slot: a request for which a slot is free is granted whatever callers are expected, and a
// caller that returns early finds its place behind the others.
func TestPlacesHoldNoSlot(t *testing.T) {
	d, now := newTrainedScheduler(pool(6)...)
	told := burst(d, now, 1, 250)
	early := burst(d, now, 1000, 1)
	if len(early) != 1 || early[0] <= slices.Max(told[:5]) {
		t.Errorf("a caller that returns early is told %v, the first were told %v", early, told[:5])
	}
	for _, s := range d.Status(now).Targets {
		if s.InFlight == 0 {
			t.Fatal("a target is idle")
		}
	}
	later := now.Add(2 * time.Second)
	d.Advance(later)
	for n := range uint64(250) {
		for _, key := range []string{"t0", "t1", "t2", "t3", "t4", "t5"} {
			d.Done(later, dispatch.ID{
				Node:   "n",
				Number: n,
			}, key, dispatch.ResultGood, usualTime)
		}
	}
	if g := d.RequestGrant(later, newRequest(later, 2000)); g.Decision != dispatch.Granted {
		t.Errorf("with free slots: %v", g.Decision)
	}
}

// Each refusal names a time, whatever its reason, except where the request goes on elsewhere.
func TestEveryRefusalNamesATime(t *testing.T) {
	unavailable := func(now time.Time) *dispatch.Request {
		a := newRequest(now, 5000)
		for i := range 6 {
			a.Unavailable = append(a.Unavailable, pool(6)[i].Key)
		}
		return a
	}
	retry := func(now time.Time) *dispatch.Request {
		a := newRequest(now, 5001)
		a.Retry = true
		return a
	}
	tests := []struct {
		name   string
		modify func(now time.Time) *dispatch.Request
		want   dispatch.Decision
		told   bool
	}{
		{
			name:   "no target available to the node",
			modify: unavailable,
			want:   dispatch.Refused,
			told:   true,
		},
		{
			name: "no target available, could be passed on",
			modify: func(now time.Time) *dispatch.Request {
				a := unavailable(now)
				a.NonQueueing = true
				return a
			},
			want: dispatch.NoneFree,
		},
		{
			name:   "exhausted retry budget",
			modify: retry,
			want:   dispatch.OverBudget,
			told:   true,
		},
		{
			name: "hedge",
			modify: func(now time.Time) *dispatch.Request {
				a := retry(now)
				a.Repeatable, a.Hedge, a.Age = true, true, 8*usualTime
				return a
			},
			want: dispatch.OverBudget,
		},
		{
			name: "hardly any time left",
			modify: func(now time.Time) *dispatch.Request {
				a := newRequest(now, 5002)
				a.SoftDeadline = now.Add(usualTime / 8)
				a.Deadline = now.Add(usualTime / 8)
				return a
			},
			want: dispatch.Refused,
			told: true,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			d, now := newTrainedScheduler(pool(6)...)
			if tt.want == dispatch.OverBudget {
				exhaust(t, d, now)
			} else {
				burst(d, now, 1, 40)
			}
			g := d.RequestGrant(now, tt.modify(now))
			if g.Decision != tt.want || (g.RetryAfter > 0) != tt.told {
				t.Errorf("%v, RetryAfter is %v", g.Decision, g.RetryAfter)
			}
		})
	}
}

// exhaust spends the retry budget.
func exhaust(t *testing.T, d *dispatch.Scheduler, now time.Time) {
	t.Helper()
	for n := range uint64(1000) {
		a := newRequest(now, 10_000+n)
		a.Retry = true
		g := d.RequestGrant(now, a)
		if g.Decision == dispatch.OverBudget {
			return
		}
		d.Done(now, g.ID, g.Target, dispatch.ResultGood, usualTime)
	}
	t.Fatal("the retry budget is not exhausted")
}

// A request that is refused after it was queued is told a time too: the slots that it waited for were lost.
func TestExpiredRequestIsToldATime(t *testing.T) {
	d, now := newTrainedScheduler(pool(1)...)
	burst(d, now, 1, 8)
	grants := d.Advance(now.Add(2900 * time.Millisecond))
	refused := 0
	for _, g := range grants {
		if g.Decision != dispatch.Refused {
			continue
		}
		refused++
		if g.RetryAfter <= 0 {
			t.Errorf("request %d is refused without a time", g.ID.Number)
		}
	}
	if refused == 0 {
		t.Error("no request expired")
	}
}

// Guards against negative times of return where the caller's own wait ends before the target latency of its
// route: they were sent as 49 days.
func TestImpatientCallersAreToldATime(t *testing.T) {
	d, now := newTrainedScheduler(pool(6)...)
	var told []time.Duration
	record := func(g dispatch.Grant) {
		if g.Decision == dispatch.Refused {
			told = append(told, g.RetryAfter)
		}
	}
	for i := range uint64(200) {
		a := newRequest(now, 10_000+i)
		a.SoftDeadline, a.Deadline = now.Add(8*time.Second), now.Add(2*time.Second)
		record(d.RequestGrant(now, a))
	}
	for at := now; at.Before(now.Add(4 * time.Second)); at = at.Add(50 * time.Millisecond) {
		for _, g := range d.Advance(at) {
			record(g)
		}
	}
	if len(told) < 100 || slices.Min(told) <= 0 {
		t.Errorf("%d refused, the least time is %v", len(told), slices.Min(told))
	}
}

// newSchedulerAfterLoss returns a scheduler that lost all targets but one behind a queue for thirty.
func newSchedulerAfterLoss() (*dispatch.Scheduler, time.Time) {
	d, now := newTrainedScheduler(pool(30)...)
	burst(d, now, 1, 3000)
	var lost []string
	for _, p := range pool(30)[1:] {
		lost = append(lost, p.Key)
	}
	d.Update(now, nil, lost)
	return d, now
}

// Guards against impatient callers that return at the same moment after a loss of slots: between their soft
// deadline and their deadline there is no time over which they could be spread.
func TestImpatientCallersAreSpread(t *testing.T) {
	d, now := newSchedulerAfterLoss()
	var told []time.Duration
	for i := range uint64(200) {
		a := newRequest(now, 10_000+i)
		a.SoftDeadline, a.Deadline = now.Add(8*time.Second), now.Add(3*time.Second)
		if g := d.RequestGrant(now, a); g.Decision == dispatch.Refused {
			told = append(told, g.RetryAfter)
		}
	}
	n := len(told)
	slices.Sort(told)
	if distinct := len(slices.Compact(told)); n < 100 || distinct < n*9/10 {
		t.Errorf("%d callers return at %d times", n, distinct)
	}
}
