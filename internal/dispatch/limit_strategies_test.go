// SPDX-License-Identifier: Apache-2.0

package dispatch_test

import (
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"ploverjunction.example/ploverjunction/internal/dispatch"
	"ploverjunction.example/ploverjunction/internal/ratelimit"
)

var limitRuns = flag.Int("limit-plays", 2, "runs of each strategy to keep a target's limit")

// Parameters of a strategy run. The load exceeds the capacity of the targets without a limit.
const (
	strategyNodes  = 40
	strategyLength = 30 * time.Second
	strategyLoad   = 120.0
	strategyStep   = 5 * time.Millisecond
)

// limitStrategy decides which requests a target with a limit gets.
type limitStrategy interface {
	// tick advances the time; admit reports whether a request of a node goes to the target.
	tick(now time.Time)
	admit(now time.Time, node int) bool
	// end reports that a request of the target has ended.
	end(now time.Time, node int)
}

// perNode has each node grant at a fixed rate without a coordinator.
type perNode struct {
	rate   float64
	pacers []*ratelimit.Pacer
}

func newPerNode(rate float64, rng *rand.Rand) *perNode {
	w := &perNode{
		rate: rate,
	}
	for range strategyNodes {
		w.pacers = append(w.pacers, ratelimit.NewPacer(start, rng.Float64()))
	}
	return w
}

func (w *perNode) tick(time.Time) {}
func (w *perNode) admit(now time.Time, node int) bool {
	return w.pacers[node].Take(now, w.rate, 1) == 0
}
func (w *perNode) end(time.Time, int) {}

// byAllocator uses the target as a key of the allocator for workspace limits.
type byAllocator struct {
	limit     ratelimit.Limit
	allocator *ratelimit.Allocator
	limiters  []*ratelimit.Limiter
}

func newByAllocator(rate float64) *byAllocator {
	w := &byAllocator{
		limit: ratelimit.Limit{
			Rate:  rate,
			Burst: 1,
		},
		allocator: ratelimit.NewAllocator(1, start.Add(-time.Minute), ratelimit.Tolerance{
			Window: 4 * time.Second,
			Excess: 0.1,
			Slack:  2,
		}),
	}
	for range strategyNodes {
		w.limiters = append(w.limiters, ratelimit.NewLimiter(start))
	}
	return w
}

const strategyKey = "t0"

func (w *byAllocator) report(now time.Time, node, waiting int) int {
	r, l, ok := w.limiters[node].Report(now, strategyKey, waiting)
	if !ok {
		return 0
	}
	s := w.allocator.Report(now, strategyKey, l, fmt.Sprint(node), 1, r)
	return w.limiters[node].Apply(now, strategyKey, s, waiting)
}

func (w *byAllocator) tick(now time.Time) {
	for node, l := range w.limiters {
		for range l.Due(now) {
			w.report(now, node, 0)
		}
	}
}

func (w *byAllocator) admit(now time.Time, node int) bool {
	switch v, _ := w.limiters[node].Take(now, strategyKey, w.limit); v {
	case ratelimit.Admitted:
		return true
	case ratelimit.NeedsAllocator:
		return w.report(now, node, 1) > 0
	default:
		return false
	}
}
func (w *byAllocator) end(time.Time, int) {}

// atDispatcher has the dispatcher grant the target: paced, by the slots that the limit keeps busy
// (Little's law), or both.
type atDispatcher struct {
	rate   float64
	paced  bool
	slots  int
	pacer  *ratelimit.Pacer
	flight int
}

func (w *atDispatcher) tick(time.Time) {}
func (w *atDispatcher) admit(now time.Time, _ int) bool {
	if w.slots > 0 && w.flight >= w.slots {
		return false
	}
	if w.paced && w.pacer.Take(now, w.rate, 1+0.2*w.rate) > 0 {
		return false
	}
	w.flight++
	return true
}
func (w *atDispatcher) end(time.Time, int) { w.flight-- }

// strategyResult is the result of a run.
type strategyResult struct {
	// peak is the greatest number of requests in 4 s relative to maxAllowed, used the share of the
	// limit that was sent.
	peak, used float64
}

// simulateStrategy sends requests to all nodes, each of which uses the target with the limit if it
// may, else another one.
func simulateStrategy(w limitStrategy, rate float64, takes time.Duration, seed uint64) strategyResult {
	rng := rand.New(rand.NewPCG(seed, 5))
	var sent []time.Time
	var ends []limitEnd
	for now := start; now.Before(start.Add(strategyLength)); now = now.Add(strategyStep) {
		w.tick(now)
		for len(ends) > 0 && !now.Before(ends[0].at) {
			w.end(now, int(ends[0].id.Number))
			ends = ends[1:]
		}
		for n := rng.ExpFloat64(); n < strategyLoad*strategyStep.Seconds(); n += rng.ExpFloat64() {
			node := rng.IntN(strategyNodes)
			if !w.admit(now, node) {
				continue
			}
			sent = append(sent, now)
			ends = append(ends, limitEnd{
				at: now.Add(takes),
				id: dispatch.ID{
					Number: uint64(node),
				},
			})
		}
	}
	return strategyResult{
		peak: float64(maxInWindow(sent)) / (1.1*4*rate + 2),
		used: float64(len(sent)) / (rate * strategyLength.Seconds()),
	}
}

// The implemented strategy keeps to the allowed number and uses the limit, whatever the limit and
// the response time; each of the others fails one of the two.
func TestLimitStrategies(t *testing.T) {
	t.Parallel()
	little := func(rate float64, takes time.Duration) int {
		return max(int(math.Round(rate*takes.Seconds())), 1)
	}
	strategies := []struct {
		name string
		make func(rate float64, takes time.Duration, rng *rand.Rand) limitStrategy
		// holds is set where the strategy must keep to the allowed number.
		holds bool
	}{
		{
			name: "each node keeps the limit",
			make: func(rate float64, _ time.Duration, rng *rand.Rand) limitStrategy { return newPerNode(rate, rng) },
		},
		{
			name: "each node an equal share",
			make: func(rate float64, _ time.Duration, rng *rand.Rand) limitStrategy {
				return newPerNode(rate/strategyNodes, rng)
			},
		},
		{
			name: "workspace allocator",
			make: func(rate float64, _ time.Duration, _ *rand.Rand) limitStrategy { return newByAllocator(rate) },
		},
		{
			name: "slots by Little's law",
			make: func(rate float64, takes time.Duration, _ *rand.Rand) limitStrategy {
				return &atDispatcher{
					rate:  rate,
					slots: little(rate, takes),
				}
			},
		},
		{
			name: "paced and slots",
			make: func(rate float64, takes time.Duration, _ *rand.Rand) limitStrategy {
				return &atDispatcher{
					rate:  rate,
					paced: true,
					pacer: ratelimit.NewPacer(start, 0),
					slots: little(rate, takes),
				}
			},
		},
		{
			name: "paced by the dispatcher (implemented)",
			make: func(rate float64, _ time.Duration, _ *rand.Rand) limitStrategy {
				return &atDispatcher{
					rate:  rate,
					paced: true,
					pacer: ratelimit.NewPacer(start, 0),
				}
			},
			holds: true,
		},
	}
	for _, strategy := range strategies {
		for _, rate := range []float64{0.5, 1.6, 2.6, 10, 50} {
			for _, takes := range []time.Duration{50 * time.Millisecond, 700 * time.Millisecond} {
				worst, used := 0.0, 0.0
				for seed := range uint64(*limitRuns) {
					r := simulateStrategy(strategy.make(rate, takes, rand.New(rand.NewPCG(seed, 6))), rate, takes, seed)
					worst = max(worst, r.peak)
					used += r.used / float64(*limitRuns)
				}
				t.Logf("%-32s limit %4.1f, work %5v: peak of the allowed number %5.2f, used %4.2f", strategy.name, rate, takes, worst, used)
				if strategy.holds && (worst > 1 || used < 0.9) {
					t.Errorf("%s: peak of %.2f of the allowed number, %.2f of the limit used", strategy.name, worst, used)
				}
			}
		}
	}
}
