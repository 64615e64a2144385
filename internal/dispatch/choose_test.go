// SPDX-License-Identifier: Apache-2.0

package dispatch_test

import (
	"testing"
	"time"

	"ploverjunction.example/ploverjunction/internal/dispatch"
)

// twoHalls returns one target of one slot in each of two data halls.
func twoHalls() []dispatch.Target {
	return []dispatch.Target{
		{
			Key:      "near",
			DataHall: "a",
			Slots:    1,
		},
		{
			Key:      "far",
			DataHall: "b",
			Slots:    1,
		},
	}
}

// A request of some KiB waits some milliseconds for a slot in its own data hall
// before it goes to another one.
func TestRequestWaitsForOwnDataHall(t *testing.T) {
	d, now := newTrainedScheduler(twoHalls()...)
	d.Ask(now, newRequest(now, 1))
	a := newRequest(now, 2)
	a.Kilobytes = 5
	if g := d.Ask(now, a); g.Verdict != dispatch.Queued {
		t.Fatalf("at once: %v %q", g.Verdict, g.Target)
	}
	grants := d.Advance(now.Add(100 * time.Millisecond))
	if len(grants) != 1 || grants[0].Target != "far" {
		t.Fatalf("after 100 ms: %v", grants)
	}
}

// A slot that becomes free goes to a request of its own data hall, though another
// one has waited longer.
func TestFreedSlotGoesToOwnDataHall(t *testing.T) {
	d, now := newTrainedScheduler(twoHalls()...)
	var far dispatch.Grant
	for n, hall := range []string{"b", "a", "a", "b"} {
		a := newRequest(now, uint64(n+1))
		a.DataHall = hall
		a.Kilobytes = 5
		if g := d.Ask(now, a); n == 0 {
			far = g
		}
	}
	grants := d.Done(now.Add(usualTime), far.ID, far.Target, dispatch.ResultGood, usualTime)
	if len(grants) != 1 || grants[0].ID.Number != 4 {
		t.Fatalf("got %v", grants)
	}
}

// Where nothing can be repeated, a target that failed is tried again after some
// seconds, though the others have free slots.
func TestFailedTargetIsTriedByUnrepeatableRequests(t *testing.T) {
	d, now := newTrainedScheduler(pool(6)...)
	for range 3 {
		d.Note(now, "t0", "", dispatch.ResultBad, time.Millisecond)
	}
	tried := time.Duration(0)
	for n := range uint64(400) {
		at := now.Add(time.Duration(n) * 20 * time.Millisecond)
		g := d.Ask(at, newRequest(at, n))
		if g.Target == "t0" {
			tried = at.Sub(now)
			break
		}
		d.Done(at, g.ID, g.Target, dispatch.ResultGood, usualTime)
	}
	if tried < 4*time.Second || tried > 6*time.Second {
		t.Errorf("tried again after %v, want about 5 s", tried)
	}
}

// Targets are tried by what can be repeated; large answers don't cross data halls for
// it.
func TestTrialsOfLargeAnswersStayInTheDataHall(t *testing.T) {
	d, now := newTrainedScheduler(pool(6)...)
	for range 3 {
		d.Note(now, "t1", "", dispatch.ResultBad, time.Millisecond)
	}
	tried := map[int]bool{}
	for n := range uint64(400) {
		at := now.Add(time.Duration(n) * 10 * time.Millisecond)
		a := newRequest(at, n)
		a.Repeatable = true
		if n < 200 {
			a.Kilobytes = 90
		}
		g := d.Ask(at, a)
		if g.Target == "t1" {
			tried[a.Kilobytes] = true
		}
		d.Done(at, g.ID, g.Target, dispatch.ResultGood, usualTime)
	}
	if tried[90] || !tried[1] {
		t.Errorf("the target of the other data hall was tried by answers of these sizes in KiB: %v", tried)
	}
}

// The slots of failing targets don't count in what a queue can be served with: what
// would wait too long is refused at once and told when to come back.
func TestFailingTargetsDoNotCountAsCapacity(t *testing.T) {
	d, now := newTrainedScheduler(goodAndBad(2)...)
	for range 4 {
		d.Note(now, "bad", "", dispatch.ResultBad, time.Millisecond)
	}
	queued := 0
	for n := range uint64(20) {
		a := newRequest(now, n)
		a.Deadline = now.Add(6 * usualTime)
		g := d.Ask(now, a)
		if g.Verdict == dispatch.Refused {
			if g.RetryAfter < 3*usualTime || g.RetryAfter > 6*usualTime {
				t.Errorf("told to come back after %v", g.RetryAfter)
			}
			break
		}
		queued++
	}
	// One at the target, and what it can do in three fifths of the time.
	if queued < 4 || queued > 6 {
		t.Errorf("%d asks were taken, want about 5", queued)
	}
}
