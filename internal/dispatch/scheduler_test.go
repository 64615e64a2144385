// SPDX-License-Identifier: Apache-2.0

package dispatch_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"ploverjunction.example/ploverjunction/internal/dispatch"
)

// start is the time at which the schedulers of these tests are created.
var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func newScheduler(targets ...dispatch.Target) *dispatch.Scheduler {
	d := dispatch.NewScheduler(start, dispatch.Budget{
		Share:   0.2,
		Reserve: 50,
		Window:  10 * time.Second,
	}, rand.New(rand.NewPCG(1, 2)).Float64)
	d.Configure(start, targets)
	return d
}

// pool returns n targets of three slots, alternating between data halls a and b.
func pool(n int) []dispatch.Target {
	var out []dispatch.Target
	for i := range n {
		out = append(out, dispatch.Target{
			Key:      fmt.Sprintf("t%d", i),
			DataHall: string(rune('a' + i%2)),
			Slots:    3,
		})
	}
	return out
}

// goodAndBad returns two targets of one data hall: a good one with a single slot and one, made to
// fail by the test, with the given number of slots.
func goodAndBad(slots int) []dispatch.Target {
	return []dispatch.Target{
		{
			Key:      "good",
			DataHall: "a",
			Slots:    1,
		},
		{
			Key:      "bad",
			DataHall: "a",
			Slots:    slots,
		},
	}
}

// newRequest returns a grant request for an attempt that cannot be repeated.
func newRequest(now time.Time, n uint64) *dispatch.Request {
	return &dispatch.Request{
		ID: dispatch.ID{
			Node:   "n",
			Number: n,
		},
		DataHall:     "a",
		Kilobytes:    1,
		SoftDeadline: now.Add(time.Second),
		Deadline:     now.Add(3 * time.Second),
	}
}

func ExampleScheduler_RequestGrant() {
	d := newScheduler(dispatch.Target{
		Key:   "only",
		Slots: 1,
	})
	fmt.Println(d.RequestGrant(start, newRequest(start, 1)).Decision)
	fmt.Println(d.RequestGrant(start, newRequest(start, 2)).Decision)
	later := start.Add(200 * time.Millisecond)
	for _, g := range d.Done(later, dispatch.ID{
		Node:   "n",
		Number: 1,
	}, "only", dispatch.ResultGood, 200*time.Millisecond) {
		fmt.Println(g.ID.Number, g.Decision, g.Target)
	}
	// Output:
	// granted
	// queued
	// 2 granted only
}

// No target gets more requests than it has slots, and each request gets one answer, in whatever
// order attempts end.
func TestSlotsAreNeverExceeded(t *testing.T) {
	for seed := range uint64(20) {
		rng := rand.New(rand.NewPCG(seed, 0))
		d := newScheduler(pool(5)...)
		busy := map[string]int{}
		running := map[uint64]string{}
		answers := map[uint64]int{}
		now := start
		take := func(g dispatch.Grant) {
			if g.Decision == dispatch.Queued {
				return
			}
			answers[g.ID.Number]++
			if g.Decision == dispatch.Granted {
				running[g.ID.Number] = g.Target
				busy[g.Target]++
				if busy[g.Target] > 3 {
					t.Fatalf("seed %d: %d at %s", seed, busy[g.Target], g.Target)
				}
			}
		}
		for n := range uint64(300) {
			now = now.Add(time.Duration(rng.IntN(20)) * time.Millisecond)
			take(d.RequestGrant(now, newRequest(now, n)))
			for id, key := range running {
				if rng.IntN(3) == 0 {
					delete(running, id)
					busy[key]--
					for _, g := range d.Done(now, dispatch.ID{
						Node:   "n",
						Number: id,
					}, key, dispatch.Result(rng.IntN(5)), 100*time.Millisecond) {
						take(g)
					}
				}
			}
			for _, g := range d.Advance(now) {
				take(g)
			}
		}
		for n, count := range answers {
			if count != 1 {
				t.Fatalf("seed %d: request %d got %d answers", seed, n, count)
			}
		}
	}
}

// After one quick failure requests that cannot be repeated avoid the target; some seconds later it
// gets work again.
func TestFailedTargetIsAvoidedThenReused(t *testing.T) {
	d := newScheduler(pool(6)...)
	first := d.RequestGrant(start, newRequest(start, 1))
	d.Done(start.Add(3*time.Millisecond), first.ID, first.Target, dispatch.ResultBad, 3*time.Millisecond)
	used := func(from time.Time, n uint64) int {
		hits := 0
		for i := range n {
			now := from.Add(time.Duration(i) * 10 * time.Millisecond)
			g := d.RequestGrant(now, newRequest(now, uint64(from.Sub(start))+10+i))
			if g.Target == first.Target {
				hits++
			}
			d.Done(now, g.ID, g.Target, dispatch.ResultGood, 200*time.Millisecond)
		}
		return hits
	}
	if hits := used(start.Add(5*time.Millisecond), 100); hits != 0 {
		t.Errorf("%d of 100 requests went to the target that had just failed", hits)
	}
	// A target without a good answer in the other data hall gets work only under load, so the second
	// half uses a single target.
	d = newScheduler(pool(1)...)
	d.RequestGrant(start, newRequest(start, 1))
	d.Done(start, dispatch.ID{
		Node:   "n",
		Number: 1,
	}, "t0", dispatch.ResultBad, 0)
	later := start.Add(6 * time.Second)
	if g := d.RequestGrant(later, newRequest(later, 2)); g.Decision != dispatch.Granted {
		t.Errorf("the only target got no work after it failed: %v", g.Decision)
	}
}

// A request that cannot be repeated waits for a busy working target rather than use the free slots
// of a failing one.
func TestRequestWaitsForWorkingTarget(t *testing.T) {
	d := newScheduler(goodAndBad(3)...)
	d.RecordRemote(start, "bad", "", dispatch.ResultBad, time.Millisecond)
	d.RecordRemote(start, "bad", "", dispatch.ResultBad, time.Millisecond)
	if g := d.RequestGrant(start, newRequest(start, 1)); g.Target != "good" {
		t.Fatalf("first request got %q", g.Target)
	}
	if g := d.RequestGrant(start, newRequest(start, 2)); g.Decision != dispatch.Queued {
		t.Fatalf("second request: %v %q", g.Decision, g.Target)
	}
	grants := d.Done(start.Add(300*time.Millisecond), dispatch.ID{
		Node:   "n",
		Number: 1,
	}, "good", dispatch.ResultGood, 300*time.Millisecond)
	if len(grants) != 1 || grants[0].Target != "good" {
		t.Fatalf("got %v", grants)
	}
}

// The final attempt of a repeatable request waits for a working target as well: if it fails the
// request is lost.
func TestFinalAttemptWaitsForWorkingTarget(t *testing.T) {
	d := newScheduler(goodAndBad(3)...)
	// The retry budget must not be empty.
	first := d.RequestGrant(start, newRequest(start, 1))
	d.Done(start, first.ID, first.Target, dispatch.ResultGood, time.Millisecond)
	now := start.Add(4 * time.Second)
	for range 3 {
		d.RecordRemote(now, "bad", "", dispatch.ResultBad, time.Millisecond)
	}
	if g := d.RequestGrant(now, newRequest(now, 2)); g.Target != "good" {
		t.Fatalf("first attempt got %q", g.Target)
	}
	a := newRequest(now, 3)
	a.Repeatable = true
	a.Retry = true
	if g := d.RequestGrant(now, a); g.Decision != dispatch.Queued {
		t.Fatalf("second attempt: %v %q", g.Decision, g.Target)
	}
	if grants := d.Advance(now.Add(500 * time.Millisecond)); len(grants) != 0 {
		t.Fatalf("after half a second: %v", grants)
	}
}

// A datagram that arrives again after its attempt ended takes no slot.
func TestRepeatedDatagramDoesNotReopenRequest(t *testing.T) {
	d := newScheduler(pool(1)...)
	g := d.RequestGrant(start, newRequest(start, 1))
	d.Done(start, g.ID, g.Target, dispatch.ResultGood, time.Millisecond)
	d.RequestGrant(start.Add(time.Millisecond), newRequest(start, 1))
	if s := d.Status(start); s.InFlight != 0 {
		t.Fatalf("%d in flight", s.InFlight)
	}
}

// The end of an attempt frees its slot whatever the result.
func TestEveryResultFreesTheSlot(t *testing.T) {
	results := []dispatch.Result{
		dispatch.ResultGood,
		dispatch.ResultBad,
		dispatch.ResultShed,
		dispatch.ResultUnreached,
		dispatch.ResultIgnored,
		dispatch.ResultGone,
	}
	for _, r := range results {
		d := newScheduler(pool(1)...)
		g := d.RequestGrant(start, newRequest(start, 1))
		d.Done(start, g.ID, g.Target, r, time.Millisecond)
		if s := d.Status(start); s.InFlight != 0 {
			t.Errorf("%v: %d in flight", r, s.InFlight)
		}
	}
}

// An attempt whose end is never reported holds its slot only until its deadline.
func TestUnreportedEndFreesSlotAtDeadline(t *testing.T) {
	d := newScheduler(dispatch.Target{
		Key:   "only",
		Slots: 1,
	})
	d.RequestGrant(start, newRequest(start, 1))
	late := start.Add(3 * time.Second)
	d.RequestGrant(late, newRequest(late, 2))
	grants := d.Advance(late.Add(600 * time.Millisecond))
	if len(grants) != 1 || grants[0].Decision != dispatch.Granted {
		t.Fatalf("got %v", grants)
	}
}

// Under overload, requests that can be answered in time are served before those that cannot.
func TestFeasibleRequestsAreServedFirst(t *testing.T) {
	d := newScheduler(dispatch.Target{
		Key:   "only",
		Slots: 1,
	})
	d.RequestGrant(start, newRequest(start, 1))
	old := newRequest(start, 2)
	old.SoftDeadline = start.Add(100 * time.Millisecond)
	d.RequestGrant(start, old)
	now := start.Add(200 * time.Millisecond)
	d.RequestGrant(now, newRequest(now, 3))
	grants := d.Done(now, dispatch.ID{
		Node:   "n",
		Number: 1,
	}, "only", dispatch.ResultGood, 200*time.Millisecond)
	if len(grants) != 1 || grants[0].ID.Number != 3 {
		t.Fatalf("got %v", grants)
	}
}

// Under overload, more urgent requests are served first.
func TestUrgentRequestsAreServedFirst(t *testing.T) {
	d := newScheduler(dispatch.Target{
		Key:   "only",
		Slots: 1,
	})
	d.RequestGrant(start, newRequest(start, 1))
	low, high := newRequest(start, 2), newRequest(start, 3)
	low.Priority, high.Priority = 2, 1
	d.RequestGrant(start, low)
	d.RequestGrant(start, high)
	grants := d.Done(start, dispatch.ID{
		Node:   "n",
		Number: 1,
	}, "only", dispatch.ResultGood, 200*time.Millisecond)
	if len(grants) != 1 || grants[0].ID.Number != 3 {
		t.Fatalf("got %v", grants)
	}
}

// A target that joins gets work although the others already have good answers.
func TestNewTargetGetsWork(t *testing.T) {
	d := newScheduler(pool(4)...)
	d.Configure(start, append(pool(4), dispatch.Target{
		Key:      "new",
		DataHall: "a",
		Slots:    3,
		Warmup:   time.Second,
	}))
	got := false
	for n := range uint64(200) {
		now := start.Add(2*time.Second + time.Duration(n)*10*time.Millisecond)
		g := d.RequestGrant(now, newRequest(now, n))
		got = got || g.Target == "new"
		if n >= 6 {
			d.Done(now, dispatch.ID{
				Node:   "n",
				Number: n - 6,
			}, g.Target, dispatch.ResultGood, 60*time.Millisecond)
		}
	}
	if !got {
		t.Fatal("the new target got no request")
	}
}

// Large answers stay in their data hall as long as a target there works.
func TestLargeAnswersStayInTheDataHall(t *testing.T) {
	d := newScheduler(pool(4)...)
	for n := range uint64(6) {
		a := newRequest(start, n)
		a.Repeatable, a.Kilobytes = true, 90
		g := d.RequestGrant(start, a)
		if g.Decision != dispatch.Granted || g.Target != "t0" && g.Target != "t2" {
			t.Fatalf("request %d: %v %q", n, g.Decision, g.Target)
		}
	}
}

// A node that reaches no dispatcher gets a target whatever the slots in use.
func TestIsolatedRequestsNeverWait(t *testing.T) {
	d := newScheduler(pool(1)...)
	for n := range uint64(10) {
		if g := d.GrantIsolated(start, newRequest(start, n), 0.1); g.Decision != dispatch.Granted {
			t.Fatalf("request %d: %v", n, g.Decision)
		}
	}
}

// Draining targets get no requests, not even from isolated nodes.
func TestDrainingTargetGetsNoRequests(t *testing.T) {
	d := newScheduler(dispatch.Target{
		Key:      "leaving",
		Slots:    3,
		Draining: true,
	})
	if g := d.RequestGrant(start, newRequest(start, 1)); g.Decision != dispatch.Queued {
		t.Errorf("got %v", g.Decision)
	}
	if g := d.GrantIsolated(start, newRequest(start, 2), 1); g.Decision != dispatch.Refused {
		t.Errorf("isolated: got %v", g.Decision)
	}
}
