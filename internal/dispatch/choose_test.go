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

// A request of some KiB waits some milliseconds for a slot in its own data hall before it goes to
// another one.
func TestRequestWaitsForOwnDataHall(t *testing.T) {
	d, now := newTrainedScheduler(twoHalls()...)
	d.RequestGrant(now, newRequest(now, 1))
	a := newRequest(now, 2)
	a.Kilobytes = 5
	if g := d.RequestGrant(now, a); g.Decision != dispatch.Queued {
		t.Fatalf("at once: %v %q", g.Decision, g.Target)
	}
	grants := d.Advance(now.Add(100 * time.Millisecond))
	if len(grants) != 1 || grants[0].Target != "far" {
		t.Fatalf("after 100 ms: %v", grants)
	}
}

// A freed slot goes to a request of its own data hall, although one of another data hall has waited
// longer.
func TestFreedSlotGoesToOwnDataHall(t *testing.T) {
	d, now := newTrainedScheduler(twoHalls()...)
	var far dispatch.Grant
	for n, hall := range []string{"b", "a", "a", "b"} {
		a := newRequest(now, uint64(n+1))
		a.DataHall = hall
		a.Kilobytes = 5
		if g := d.RequestGrant(now, a); n == 0 {
			far = g
		}
	}
	grants := d.Done(now.Add(usualTime), far.ID, far.Target, dispatch.ResultGood, usualTime)
	if len(grants) != 1 || grants[0].ID.Number != 4 {
		t.Fatalf("got %v", grants)
	}
}

// If no request can be repeated, a failed target is tried again after some seconds although others
// have free slots.
func TestFailedTargetIsTriedByUnrepeatableRequests(t *testing.T) {
	d, now := newTrainedScheduler(pool(6)...)
	for range 3 {
		d.RecordRemote(now, "t0", "", dispatch.ResultBad, time.Millisecond)
	}
	tried := time.Duration(0)
	for n := range uint64(400) {
		at := now.Add(time.Duration(n) * 20 * time.Millisecond)
		g := d.RequestGrant(at, newRequest(at, n))
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

// Repeatable requests are used to try targets, but large answers do not cross data halls for it.
func TestTrialsOfLargeAnswersStayInTheDataHall(t *testing.T) {
	d, now := newTrainedScheduler(pool(6)...)
	for range 3 {
		d.RecordRemote(now, "t1", "", dispatch.ResultBad, time.Millisecond)
	}
	tried := map[int]bool{}
	for n := range uint64(400) {
		at := now.Add(time.Duration(n) * 10 * time.Millisecond)
		a := newRequest(at, n)
		a.Repeatable = true
		if n < 200 {
			a.Kilobytes = 90
		}
		g := d.RequestGrant(at, a)
		if g.Target == "t1" {
			tried[a.Kilobytes] = true
		}
		d.Done(at, g.ID, g.Target, dispatch.ResultGood, usualTime)
	}
	if tried[90] || !tried[1] {
		t.Errorf("target of the other data hall tried with answers of these sizes in KiB: %v", tried)
	}
}

// Slots of failing targets do not count as capacity: requests that would wait too long are refused
// at once with a RetryAfter.
func TestFailingTargetsDoNotCountAsCapacity(t *testing.T) {
	d, now := newTrainedScheduler(goodAndBad(2)...)
	for range 4 {
		d.RecordRemote(now, "bad", "", dispatch.ResultBad, time.Millisecond)
	}
	queued := 0
	for n := range uint64(20) {
		a := newRequest(now, n)
		a.Deadline = now.Add(6 * usualTime)
		g := d.RequestGrant(now, a)
		if g.Decision == dispatch.Refused {
			if g.RetryAfter < 3*usualTime || g.RetryAfter > 6*usualTime {
				t.Errorf("RetryAfter is %v", g.RetryAfter)
			}
			break
		}
		queued++
	}
	// One is in flight. The others are as many as the target serves in three fifths of the time to
	// the deadline.
	if queued < 4 || queued > 6 {
		t.Errorf("%d requests granted or queued, want about 5", queued)
	}
}
