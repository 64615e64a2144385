// SPDX-License-Identifier: Apache-2.0

package dispatch_test

import (
	"testing"
	"time"

	"ploverjunction.example/ploverjunction/internal/dispatch"
)

// rejecting returns a scheduler whose targets have rejected a share of the requests for two seconds, while
// urgent retries were requested, and the time after that.
func rejecting(every uint64) (*dispatch.Scheduler, time.Time) {
	d, now := newTrainedScheduler(pool(20)...)
	for n := range uint64(200) {
		now = now.Add(10 * time.Millisecond)
		a := newRequest(now, 2_000_000+n)
		g := d.RequestGrant(now, a)
		result := dispatch.ResultGood
		if n%every == 0 {
			result = dispatch.ResultShed
		}
		d.Done(now, g.ID, g.Target, result, usualTime)
		if result != dispatch.ResultShed {
			continue
		}
		r := newRequest(now, 3_000_000+n)
		r.Retry = true
		g = d.RequestGrant(now, r)
		d.Done(now, g.ID, g.Target, dispatch.ResultGood, usualTime)
	}
	return d, now
}

// grantedRetries requests retries of a kind until one is denied and returns the number granted.
func grantedRetries(d *dispatch.Scheduler, now time.Time, first uint64, modify func(*dispatch.Request)) int {
	for n := range 1000 {
		a := newRequest(now, first+uint64(n))
		a.Retry = true
		modify(a)
		g := d.RequestGrant(now, a)
		if g.Decision == dispatch.OverBudget {
			return n
		}
		d.Done(now, g.ID, g.Target, dispatch.ResultGood, usualTime)
	}
	return 1000
}

// While targets reject requests, retries are left for the requests that lose most without one: in order of
// arrival, requests that lose little would take them all. Those that get none are told at once.
func TestScarceRetriesGoToThoseThatLoseMost(t *testing.T) {
	kinds := []struct {
		name   string
		modify func(*dispatch.Request)
	}{
		{
			name:   "response would be late",
			modify: func(a *dispatch.Request) { a.SoftDeadline = a.SoftDeadline.Add(-950 * time.Millisecond) },
		},
		{
			name:   "less urgent",
			modify: func(a *dispatch.Request) { a.Priority = 2 },
		},
		{
			name:   "repeatable",
			modify: func(a *dispatch.Request) { a.Repeatable = true },
		},
	}
	for _, tt := range kinds {
		t.Run(tt.name, func(t *testing.T) {
			d, now := rejecting(2)
			left := d.Status(now).RetriesLeft
			if share := d.Status(now).RejectedShare; share < 0.3 || share > 0.6 {
				t.Fatalf("rejected share is %.2f", share)
			}
			few := grantedRetries(d, now, 1, tt.modify)
			most := grantedRetries(d, now, 5000, func(*dispatch.Request) {})
			t.Logf("%.0f left: %d granted, then %d of those that lose most", left, few, most)
			if most < 5 || float64(few) > 0.7*left {
				t.Errorf("%.0f left: %d granted, then %d of those that lose most", left, few, most)
			}
			if d.Status(now).RetriesWithheld == 0 {
				t.Error("no retry counts as withheld")
			}
		})
	}
}

// While the retry budget pays for all rejected requests, or where all lose the same, none is withheld.
func TestRetriesAreNotWithheldWithoutNeed(t *testing.T) {
	for _, tt := range []struct {
		name   string
		every  uint64
		modify func(*dispatch.Request)
	}{
		{
			name:   "few rejections",
			every:  20,
			modify: func(a *dispatch.Request) { a.Priority = 2 },
		},
		{
			name:   "all lose the same",
			every:  2,
			modify: func(*dispatch.Request) {},
		},
	} {
		t.Run(tt.name, func(t *testing.T) {
			d, now := rejecting(tt.every)
			left := d.Status(now).RetriesLeft
			if n := grantedRetries(d, now, 1, tt.modify); float64(n) < left-1 {
				t.Errorf("%d of %.0f granted", n, left)
			}
			if n := d.Status(now).RetriesWithheld; n != 0 {
				t.Errorf("%d withheld", n)
			}
		})
	}
}

// One of four targets rejects its requests. Requests wait for the others: it was taken to reject like the
// others where a quarter of the targets is enough for that.
func TestRejectingTargetOfFewIsAvoided(t *testing.T) {
	targets := pool(4)
	for i := range targets {
		targets[i].DataHall = "a"
	}
	d, now := newTrainedScheduler(targets...)
	for range 7 {
		d.RecordRemote(now, "t0", "", dispatch.ResultShed, time.Millisecond)
	}
	now = now.Add(10 * time.Millisecond)
	for n := range uint64(10) {
		g := d.RequestGrant(now, newRequest(now, 1+n))
		if g.Target == "t0" {
			t.Fatalf("request %d was granted the target that rejects", n)
		}
		if n == 9 && g.Decision != dispatch.Queued {
			t.Errorf("request %d: %v", n, g.Decision)
		}
	}
}
