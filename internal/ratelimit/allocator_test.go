// SPDX-License-Identifier: Apache-2.0

package ratelimit_test

import (
	"testing"
	"time"

	"ploverjunction.example/ploverjunction/internal/ratelimit"
)

// report returns the report of a node with some waiting requests.
func report(waiting int) ratelimit.Report {
	return ratelimit.Report{
		Waiting:  waiting,
		Demand:   1,
		Interval: time.Second,
	}
}

func newAllocator(life uint64) *ratelimit.Allocator {
	return ratelimit.NewAllocator(life, start.Add(-time.Minute), tolerance)
}

// When the role moves, the level of the bucket moves with it.
func TestNewAllocatorKeepsBucketLevel(t *testing.T) {
	one, two := newAllocator(1), newAllocator(2)
	s := one.Report(start, "w", ten, "n", 1, report(100))
	if s.Admitted != 10 {
		t.Fatalf("%d admitted of a burst of 10", s.Admitted)
	}
	r := report(100)
	r.Level, r.Rate, r.RateSum, r.Allocator, r.Age = s.Level, s.Rate, s.RateSum, s.Allocator, time.Millisecond
	if s := two.Report(start.Add(time.Millisecond), "w", ten, "n", 1, r); s.Admitted > 0 {
		t.Errorf("%d admitted by the second allocator, right after the whole burst", s.Admitted)
	}
}

// Requests that a node admitted while isolated for a moment are taken out of the bucket.
func TestIsolatedRequestsAreCharged(t *testing.T) {
	a := newAllocator(1)
	a.Report(start, "w", ten, "n", 1, report(0))
	r := report(100)
	r.Isolated = 8
	if s := a.Report(start.Add(100*time.Millisecond), "w", ten, "n", 1, r); s.Admitted > 2 {
		t.Errorf("%d admitted of a burst of 10, 8 of which the node used while isolated", s.Admitted)
	}
}

// A new allocator takes the requests out of the bucket that nodes admitted since the last answer
// of the former one, beyond the refill since then.
func TestNewAllocatorChargesIsolatedRequests(t *testing.T) {
	one, two := newAllocator(1), newAllocator(2)
	s := one.Report(start, "w", ten, "n", 1, report(0))
	r := report(100)
	r.Isolated = 9
	r.IsolatedRecent = 8
	r.Level, r.Rate, r.RateSum, r.Allocator, r.Age = s.Level, 1, s.RateSum, s.Allocator, time.Second
	if s := two.Report(start.Add(time.Second), "w", ten, "n", 1, r); s.Admitted > 3 {
		t.Errorf("%d admitted of a burst of 10, 8 of which the node used while isolated and 1 of which was refilled", s.Admitted)
	}
}

// An allocator that has just started sends the first node only a share of its isolated rate, as
// other nodes may use another allocator.
func TestNewAllocatorReducesIsolatedRate(t *testing.T) {
	r := report(0)
	r.Demand = 20
	a := ratelimit.NewAllocator(1, start.Add(-time.Second), tolerance)
	if s := a.Report(start, "w", ten, "n", 1, r); s.Rate > 3 {
		t.Errorf("%.1f of 10 requests a second while isolated", s.Rate)
	}
	if s := a.Report(start.Add(2*time.Second), "w", ten, "n", 1, r); s.Rate < 9 {
		t.Errorf("%.1f of 10 requests a second while isolated, 2 s later", s.Rate)
	}
}

// While the former allocator may still answer nodes that have not reported to the new one, the
// new one grants the others only their share, however often they report before an answer.
func TestTwoAllocatorsShareTheBurst(t *testing.T) {
	one, two := newAllocator(1), newAllocator(2)
	one.Report(start, "w", ten, "stays", 1, report(0))
	s := one.Report(start, "w", ten, "n", 1, report(0))
	r := report(100)
	r.Level, r.Rate, r.RateSum, r.Allocator, r.Age = s.Level, s.Rate, s.RateSum, s.Allocator, time.Millisecond
	r.Waiting = 0
	two.Report(start.Add(time.Millisecond), "w", ten, "n", 1, r)
	two.Report(start.Add(time.Millisecond), "w", ten, "n", 1, r)
	r.Waiting = 100
	if s := two.Report(start.Add(time.Millisecond), "w", ten, "n", 1, r); s.Admitted < 4 || s.Admitted > 6 {
		t.Errorf("%d admitted of a burst of 10 for one of two nodes", s.Admitted)
	}
	if s := two.Report(start.Add(3*time.Second), "w", ten, "n", 1, report(100)); s.Admitted < 8 {
		t.Errorf("%d admitted 3 s later", s.Admitted)
	}
}

// The rate of a silent node is withheld until the node has restarted.
func TestRateOfSilentNodesIsWithheld(t *testing.T) {
	a := newAllocator(1)
	r := report(0)
	r.Demand = 5
	a.Report(start, "w", ten, "silent", 1, r)
	a.Report(start, "w", ten, "n", 1, r)
	later := start.Add(3 * time.Second)
	if s := a.Report(later, "w", ten, "n", 1, r); s.Withheld < 3 {
		t.Errorf("%.1f of 10 requests a second withheld for a silent node that had half", s.Withheld)
	}
	a.NodeStarted("silent", 2)
	if s := a.Report(later, "w", ten, "n", 1, r); s.Withheld > 0 {
		t.Errorf("%.1f withheld for a node that has restarted", s.Withheld)
	}
}
