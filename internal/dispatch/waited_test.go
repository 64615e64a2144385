// SPDX-License-Identifier: Apache-2.0

package dispatch_test

import (
	"slices"
	"testing"
	"time"

	"ploverjunction.example/ploverjunction/internal/dispatch"
)

// Guards against waiting requests that lose their place when the dispatcher role moves, and against an
// absurd waiting time that passes all others for long.
func TestWaitingRequestKeepsItsPlace(t *testing.T) {
	d := newScheduler(dispatch.Target{
		Key:      "only",
		DataHall: "a",
		Slots:    1,
	})
	running := d.RequestGrant(start, newRequest(start, 1)).ID
	now := start
	waited := []time.Duration{0, 300 * time.Millisecond, 100 * time.Millisecond, 2 * time.Hour, time.Minute, -time.Hour}
	for i, w := range waited {
		a := newRequest(now, uint64(i+2))
		a.Waited = w
		if g := d.RequestGrant(now, a); g.Decision != dispatch.Queued {
			t.Fatalf("request %d: %s", i, g.Decision)
		}
		now = now.Add(10 * time.Millisecond)
	}
	var order []uint64
	for range waited {
		now = now.Add(20 * time.Millisecond)
		grants := d.Done(now, running, "only", dispatch.ResultGood, 20*time.Millisecond)
		if len(grants) != 1 || grants[0].Decision != dispatch.Granted {
			t.Fatalf("after %v: %v", order, grants)
		}
		running = grants[0].ID
		order = append(order, running.Number)
	}
	if want := []uint64{5, 6, 3, 4, 2, 7}; !slices.Equal(order, want) {
		t.Errorf("granted in the order %v, want %v", order, want)
	}
}
