// SPDX-License-Identifier: Apache-2.0

package dispatch_test

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"ploverjunction.example/ploverjunction/internal/dispatch"
)

// A target that sheds a request of one node is likely to shed those of others, and works well all
// the same. Of three ways to use this, under the same loads, most requests are answered in time and
// fewest are shed if no node uses the target for a moment.
func TestBackoffStrategies(t *testing.T) {
	t.Parallel()
	strategies := []struct {
		name      string
		result    dispatch.Result
		signalled bool
	}{
		{
			name:   "only the node backs off",
			result: dispatch.ResultBackoff,
		},
		{
			name:   "shed counts against health",
			result: dispatch.ResultShed,
		},
		{
			name:      "all nodes back off briefly",
			result:    dispatch.ResultBackoff,
			signalled: true,
		},
	}
	got := make([]backoffResult, len(strategies))
	for i, w := range strategies {
		for _, c := range backoffCases() {
			var sum backoffResult
			for seed := range uint64(2) {
				sum.add(simulateBackoff(c, w.result, w.signalled, seed))
			}
			t.Logf("%s: %g/s, %g of the targets shed %g for %v: %v", w.name, c.load, c.share, c.refusedShare, c.backoff, sum)
			got[i].add(sum)
		}
		t.Logf("%s: %v", w.name, got[i])
	}
	nodeOnly, health, all := got[0], got[1], got[2]
	if waited := all.waited / time.Duration(all.refused); waited > 100*time.Millisecond {
		t.Errorf("requests that are not served are refused after %v on average", waited)
	}
	if all.onTime < health.onTime || all.onTime < nodeOnly.onTime {
		t.Errorf("%d requests answered by the soft deadline, want at least %d and %d", all.onTime, nodeOnly.onTime, health.onTime)
	}
	if all.shed > min(health.shed, nodeOnly.shed) {
		t.Errorf("%d requests shed, want at most %d and %d", all.shed, nodeOnly.shed, health.shed)
	}
}

// While a third of the targets shed requests the floor of the others holds: in each 2 s requests
// reach at least 70% of them.
func TestBackoffKeepsFloor(t *testing.T) {
	t.Parallel()
	for _, c := range backoffCases() {
		if c.share == 1 {
			continue
		}
		t.Run(fmt.Sprintf("%g per s, %g for %v", c.load, c.refusedShare, c.backoff), func(t *testing.T) {
			p := runBackoff(c, dispatch.ResultBackoff, true, 1)
			for from := backoffWarmup; from+floorWindow <= backoffEnd; from += modelInterval {
				all, got := 0, 0
				for i := int(math.Ceil(c.share * backoffTargets)); i < backoffTargets; i++ {
					all++
					if slices.ContainsFunc(p.reached[fmt.Sprint("t", i)], func(at time.Duration) bool { return at >= from && at < from+floorWindow }) {
						got++
					}
				}
				if float64(got) < floorShare*float64(all) {
					t.Errorf("from %v on requests reached %d of the %d targets that accept them", from, got, all)
				}
			}
		})
	}
}

// A backoff does not raise the failure probability of its target, and no node is granted the target
// at once.
func TestBackoffIsNoFailure(t *testing.T) {
	d := newScheduler(pool(2)...)
	now := start
	for n := uint64(0); ; n++ {
		g := d.RequestGrant(now, newRequest(now, n))
		if g.Target == "t0" {
			d.BackOff(now, g.Target, g.ID, 3*time.Second)
			d.Done(now, g.ID, g.Target, dispatch.ResultBackoff, time.Millisecond)
			break
		}
		if n == 100 {
			t.Fatal("t0 got no request")
		}
	}
	before := d.Status(now).Targets[0].FailureProbability
	if before > 0.03 {
		t.Errorf("failure probability of the target is %v", before)
	}
	for n := range uint64(20) {
		if g := d.RequestGrant(now, newRequest(now, 1000+n)); g.Target == "t0" {
			t.Fatal("another node got the target at once")
		}
	}
}
