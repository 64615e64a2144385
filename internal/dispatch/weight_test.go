// SPDX-License-Identifier: Apache-2.0

package dispatch_test

import (
	"testing"
	"time"

	"ploverjunction.example/ploverjunction/internal/dispatch"
)

// Guards against weights that stay those of the first request of a workspace that always has requests: the
// expected waits of others counted the former weight.
func TestChangedWeightCountsForOthers(t *testing.T) {
	queued := func(before float64) int {
		weights := map[string]float64{"a": before, "b": 1}
		q := newShareQueue(10, weights)
		for range 20 {
			q.request("a", 0)
			q.request("b", 0)
		}
		weights["a"] = 1000
		n := 0
		for range 400 {
			q.next++
			a := newRequest(q.now, q.next)
			a.Workspace = "b"
			a.SoftDeadline, a.Deadline = q.now.Add(20*time.Second), q.now.Add(30*time.Second)
			q.requests[q.next] = a
			if q.scheduler.RequestGrant(q.now, a).Decision == dispatch.Queued {
				n++
			}
		}
		return n
	}
	if want, got := queued(1000), queued(1); got != want {
		t.Errorf("%d requests of b are queued after the change, %d with the weight from the start", got, want)
	}
}

// Guards against a charge that is made with one weight and corrected with another one: a workspace whose weight
// is lowered while its attempts are under way would pay for all of their time with the new one.
func TestChargeIsCorrectedByItsWeight(t *testing.T) {
	weights := map[string]float64{"a": 1000, "b": 1}
	q := newShareQueue(1, weights)
	for range 20 {
		q.request("a", 0)
		q.request("b", 0)
	}
	if got := q.counts(1, usualTime); got["a"] != 1 {
		t.Fatalf("%v at the weight 1000", got)
	}
	weights["a"] = 1
	q.end(10 * usualTime)
	if got := q.counts(8, usualTime); got["a"] < 3 {
		t.Errorf("%v, want 4 each", got)
	}
}
