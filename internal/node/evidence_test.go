// SPDX-License-Identifier: Apache-2.0

package node_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"ploverjunction.example/ploverjunction/internal/membership"
	"ploverjunction.example/ploverjunction/internal/node"
	"ploverjunction.example/ploverjunction/internal/outlier"
	"ploverjunction.example/ploverjunction/internal/wire"
)

// reportCost is the volume of a node's reports.
type reportCost struct {
	bytes, calls, good, bad, sent float64
}

// runReports simulates the reports of one node of a fleet for some minutes. Requests go to random
// targets of random services; a fraction badShare of them are bad.
func runReports(nodes, halls, services, perService int, rate, badShare float64, minutes int) reportCost {
	var list []membership.Node
	for i := range nodes {
		list = append(list, membership.NewNode(fmt.Sprintf("192.0.%d.%d:1", i/250, i%250), fmt.Sprint("hall", i%halls)))
	}
	r := node.NewReporter(list[0], list)
	rng := rand.New(rand.NewPCG(1, 2))
	const tick = 250 * time.Millisecond
	var c reportCost
	start := time.Unix(1_000_000, 0)
	steps := minutes * int(time.Minute/tick)
	for i := range steps {
		now := start.Add(time.Duration(i) * tick)
		for range int(rate * tick.Seconds()) {
			counts := outlier.Counts{
				Target: fmt.Sprint("target", rng.IntN(perService)),
				Good:   1,
			}
			if rng.Float64() < badShare {
				counts.Good, counts.Bad = 0, 1
			}
			c.sent += counts.Good
			r.Collect(now, []outlier.Evidence{
				{
					Service: fmt.Sprint("service", rng.IntN(services)),
					Counts:  counts,
				},
			})
		}
		for _, list := range r.Due(now) {
			c.calls++
			c.bytes += float64(proto.Size(&wire.ReportBatch{
				Reports: list,
			}))
			for _, report := range list {
				for _, t := range report.GetTargets() {
					c.good += float64(t.GetGood())
					c.bad += float64(t.GetBad())
				}
			}
		}
	}
	seconds := float64(steps) * tick.Seconds()
	c.bytes /= seconds
	c.calls /= seconds
	return c
}

// Reports must stay within the budget of a node at the target size, and those that are sampled must
// count for those left out, so that observers see the true rates.
func TestReportsAtTheTargetSize(t *testing.T) {
	cases := []struct {
		name     string
		nodes    int
		services int
		rate     float64
		most     float64
	}{
		{
			name:     "today",
			nodes:    40,
			services: 3,
			rate:     40,
			most:     1000,
		},
		{
			name:     "target size",
			nodes:    1000,
			services: 290,
			rate:     210,
			most:     600,
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			got := runReports(c.nodes, 9, c.services, 30, c.rate, 0.005, 10)
			t.Logf("%.0f B/s in %.1f calls/s, %.0f of %.0f good requests reported", got.bytes, got.calls, got.good, got.sent)
			if got.bytes > c.most {
				t.Errorf("%.0f B/s, want at most %.0f", got.bytes, c.most)
			}
			if got.good < 0.8*got.sent || got.good > 1.2*got.sent {
				t.Errorf("%.0f good requests reported of %.0f", got.good, got.sent)
			}
			if got.bad == 0 {
				t.Error("no bad request reported")
			}
		})
	}
}
