// SPDX-License-Identifier: Apache-2.0

package dispatch_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"ploverjunction.example/ploverjunction/internal/dispatch"
)

// connections plays the requests of 87 nodes to 86 targets and returns the share of them
// that found an idle connection. Nodes keep connections for idle.
func connections(repeatable bool, idle time.Duration) float64 {
	const (
		nodes     = 87
		perSecond = 350
		work      = 230 * time.Millisecond
	)
	d := newDesk(spreadOver(86)...)
	rng := rand.New(rand.NewPCG(3, 4))
	kept := map[string]time.Duration{}
	var ends steps
	all, reused := 0, 0
	at := time.Duration(0)
	for n := uint64(1); at < 20*time.Second; n++ {
		at += time.Duration(rng.ExpFloat64() / perSecond * float64(time.Second))
		for len(ends) > 0 && ends[0].at <= at {
			heap.Pop(&ends).(step).do()
		}
		now := start.Add(at)
		a := ask(now, n)
		a.ID.Node = fmt.Sprint("node-", rng.IntN(nodes))
		a.Repeatable = repeatable
		g := d.Ask(now, a)
		if g.Verdict != dispatch.Granted {
			continue
		}
		conn := a.ID.Node + " " + g.Target
		all++
		if since, ok := kept[conn]; ok && at-since < idle {
			reused++
		}
		delete(kept, conn)
		took := time.Duration(float64(work) * (0.5 + rng.ExpFloat64()/2))
		end := at + took
		heap.Push(&ends, step{
			at: end,
			do: func() {
				kept[conn] = end
				d.Done(start.Add(end), g.ID, g.Target, dispatch.ResultGood, took)
			},
		})
	}
	return float64(reused) / float64(all)
}

// A node's requests go to targets to which it has an idle connection. Without regard to
// them 24 and 5 of 100 requests found one.
func TestIdleConnectionsAreUsed(t *testing.T) {
	tests := []struct {
		name       string
		repeatable bool
		idle       time.Duration
		least      float64
	}{
		{
			name:       "lookups",
			repeatable: true,
			idle:       6 * time.Second,
			least:      0.6,
		},
		{
			name:  "reservations",
			idle:  1500 * time.Millisecond,
			least: 0.25,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			got := connections(tt.repeatable, tt.idle)
			t.Logf("%.0f%% found an idle connection", 100*got)
			if got < tt.least {
				t.Errorf("want at least %.0f%%", 100*tt.least)
			}
		})
	}
}
