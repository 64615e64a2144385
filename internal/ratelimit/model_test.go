// SPDX-License-Identifier: Apache-2.0

package ratelimit_test

import (
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"ploverjunction.example/ploverjunction/internal/ratelimit"
)

var rounds = flag.Int("rounds", 1, "how many runs each scenario of the model gets, each with its own seed")

// scenario is a workspace, its callers and the faults of the nodes.
type scenario struct {
	name    string
	limit   ratelimit.Limit
	nodes   int
	callers int
	// usedNodes is the number of nodes among which the callers choose theirs.
	usedNodes int
	// load is what the callers send as a share of the limit, peakLoad the same from 15 s to
	// 25 s; 0 means no peak.
	load, peakLoad float64
	loss           float64
	// faults schedules the faults.
	faults func(m *model)
	// maxFalseRefusals is the greatest share of requests that may be refused although the
	// workspace kept to its limit.
	maxFalseRefusals float64
}

const duration = 40 * time.Second

func scenarios() []scenario {
	middle := ratelimit.Limit{
		Rate:  22,
		Burst: 22,
	}
	large := ratelimit.Limit{
		Rate:  181,
		Burst: 181,
	}
	small := ratelimit.Limit{
		Rate:  1.5,
		Burst: 2,
	}
	cutThird := func(from, to time.Duration) func(m *model) {
		return func(m *model) {
			for i := 2; i < len(m.nodes); i += 3 {
				m.fail(i, false, from, to)
			}
		}
	}
	return []scenario{
		{
			name:             "calm",
			limit:            middle,
			nodes:            113,
			callers:          19,
			usedNodes:        113,
			load:             0.625,
			maxFalseRefusals: 1e-5,
		},
		{
			name:             "calm, large",
			limit:            large,
			nodes:            113,
			callers:          150,
			usedNodes:        113,
			load:             0.625,
			maxFalseRefusals: 1e-5,
		},
		{
			name:             "calm, a thousand nodes",
			limit:            large,
			nodes:            1000,
			callers:          150,
			usedNodes:        1000,
			load:             0.625,
			maxFalseRefusals: 1e-5,
		},
		{
			name:             "calm, small, a single caller",
			limit:            small,
			nodes:            113,
			callers:          1,
			usedNodes:        113,
			load:             0.5,
			maxFalseRefusals: 1e-5,
		},
		{
			name:             "calm, all callers on one node",
			limit:            middle,
			nodes:            113,
			callers:          19,
			usedNodes:        1,
			load:             0.8,
			maxFalseRefusals: 1e-5,
		},
		{
			name:             "close to the limit",
			limit:            large,
			nodes:            113,
			callers:          150,
			usedNodes:        113,
			load:             0.9,
			maxFalseRefusals: 1e-3,
		},
		{
			name:             "lost packets",
			limit:            middle,
			nodes:            113,
			callers:          19,
			usedNodes:        113,
			load:             0.625,
			loss:             0.03,
			maxFalseRefusals: 1e-3,
		},
		{
			name:             "a third of the nodes cut off",
			limit:            middle,
			nodes:            113,
			callers:          19,
			usedNodes:        113,
			load:             0.625,
			faults:           cutThird(10*time.Second, 22*time.Second),
			maxFalseRefusals: 1.5e-2,
		},
		{
			name:      "a third of the nodes cut off, large, at peak load",
			limit:     large,
			nodes:     113,
			callers:   150,
			usedNodes: 113,
			load:      0.625,
			peakLoad:  4.7,
			faults:    cutThird(10*time.Second, 22*time.Second),
		},
		{
			name:      "a third of the nodes cut off for long before the peak load",
			limit:     middle,
			nodes:     113,
			callers:   40,
			usedNodes: 113,
			load:      0.625,
			peakLoad:  4.7,
			faults:    cutThird(time.Second, 30*time.Second),
		},
		{
			name:      "a third of the nodes cut off at the start of the peak load",
			limit:     middle,
			nodes:     113,
			callers:   19,
			usedNodes: 113,
			load:      0.625,
			peakLoad:  4.7,
			faults:    cutThird(15*time.Second, 27*time.Second),
		},
		{
			name:             "the allocator is killed",
			limit:            middle,
			nodes:            113,
			callers:          19,
			usedNodes:        113,
			load:             0.625,
			faults:           func(m *model) { m.fail(0, true, 10*time.Second, 13*time.Second) },
			maxFalseRefusals: 3e-3,
		},
		{
			name:      "the allocator is killed at peak load",
			limit:     large,
			nodes:     113,
			callers:   150,
			usedNodes: 113,
			load:      0.625,
			peakLoad:  4.7,
			faults: func(m *model) {
				m.fail(0, true, 18*time.Second, 21*time.Second)
				m.move(0, 23*time.Second, 200*time.Millisecond)
			},
		},
		{
			name:      "nodes disagree on the allocator for seconds",
			limit:     large,
			nodes:     113,
			callers:   150,
			usedNodes: 113,
			load:      0.625,
			faults: func(m *model) {
				for i := range 4 {
					m.move(i%2, time.Duration(10+4*i)*time.Second, 3*time.Second)
				}
			},
			maxFalseRefusals: 1e-3,
		},
		{
			name:      "all nodes are killed and restarted three times at peak load",
			limit:     middle,
			nodes:     113,
			callers:   19,
			usedNodes: 113,
			load:      0.625,
			peakLoad:  4.7,
			faults: func(m *model) {
				for _, at := range []time.Duration{16 * time.Second, 18 * time.Second, 20 * time.Second} {
					for i := range m.nodes {
						m.fail(i, true, at, at+700*time.Millisecond)
					}
				}
			},
		},
		{
			name:      "a third of the nodes cut off, a fifth loses power, the allocator among both",
			limit:     middle,
			nodes:     113,
			callers:   19,
			usedNodes: 113,
			load:      0.625,
			faults: func(m *model) {
				m.fail(0, false, 3*time.Second, 15*time.Second)
				cutThird(3*time.Second, 15*time.Second)(m)
				for i := 1; i < len(m.nodes); i += 5 {
					m.fail(i, true, 11*time.Second, 14*time.Second)
				}
				m.move(0, 16*time.Second, propagation)
			},
			maxFalseRefusals: 4e-2,
		},
		{
			name:      "all nodes lose power",
			limit:     middle,
			nodes:     113,
			callers:   19,
			usedNodes: 113,
			load:      0.625,
			faults: func(m *model) {
				for i := range m.nodes {
					m.fail(i, true, 16*time.Second, 16*time.Second+700*time.Millisecond)
				}
			},
			maxFalseRefusals: 4e-3,
		},
		{
			name:      "a fifth of the nodes restarted in turn",
			limit:     middle,
			nodes:     113,
			callers:   19,
			usedNodes: 113,
			load:      0.625,
			faults: func(m *model) {
				for i := 1; i < len(m.nodes); i += 5 {
					at := time.Duration(10+i/10) * time.Second
					m.fail(i, true, at, at+2*time.Second)
				}
			},
			maxFalseRefusals: 1e-3,
		},
	}
}

func (p scenario) run(w method, seed uint64) *model {
	m := newModel(w, p.limit, p.nodes, seed)
	m.loss = p.loss
	m.callers(p.callers, p.usedNodes, p.load*p.limit.Rate, 0, duration)
	if p.peakLoad > 0 {
		m.callers(p.callers, p.usedNodes, (p.peakLoad-p.load)*p.limit.Rate, 15*time.Second, 25*time.Second)
	}
	if p.faults != nil {
		p.faults(m)
	}
	m.run(duration)
	return m
}

// total sums the rounds of a scenario.
type total struct {
	result
	messages int
	// most is the greatest number of requests that ran in a window, as a share of the allowed
	// number.
	most float64
}

func (p scenario) total(w method) total {
	var sum total
	for round := range *rounds {
		m := p.run(w, uint64(round+1))
		sum.requests += m.result.requests
		sum.admitted += m.result.admitted
		sum.refused += m.result.refused
		sum.refusedByBucket += m.result.refusedByBucket
		sum.waited += m.result.waited
		sum.messages += m.messages
		ran, allowed := m.maxInWindow()
		sum.most = max(sum.most, float64(ran)/allowed)
	}
	return sum
}

// falseRefusals is the share of requests that were refused beyond those that a single ideal
// bucket would have refused.
func (t total) falseRefusals() float64 {
	return float64(max(t.refused-t.refusedByBucket, 0)) / float64(max(t.requests, 1))
}

func (t total) String() string {
	n := float64(max(t.requests, 1))
	return fmt.Sprintf("%d requests, %.5f refused, %.5f falsely, %.2f of the bound, %.3f waited, %.2f messages each",
		t.requests, float64(t.refused)/n, t.falseRefusals(), t.most, float64(t.waited)/n, float64(t.messages)/n)
}

// The fleet admits no more than the limit and its tolerance in any window, and a workspace that
// keeps to its limit is not refused, under all faults of nodes.
func TestFleetKeepsLimits(t *testing.T) {
	for _, p := range scenarios() {
		t.Run(p.name, func(t *testing.T) {
			got := p.total(reserving)
			t.Log(got)
			if got.most > 1 {
				t.Errorf("%.2f times the allowed requests ran in a window", got.most)
			}
			if p.peakLoad == 0 && got.falseRefusals() > p.maxFalseRefusals {
				t.Errorf("%.6f of the requests refused falsely, at most %.6f", got.falseRefusals(), p.maxFalseRefusals)
			}
		})
	}
}

// TestCompareMethods logs the results of all methods; go test -v -run TestCompareMethods
// -rounds 20 prints the table of docs/design.
func TestCompareMethods(t *testing.T) {
	for _, p := range scenarios() {
		for _, w := range []method{equal, asking, reserving} {
			t.Logf("%-60s %-10s %s", p.name, [...]string{"equal", "asking", "reserving"}[w], p.total(w))
		}
	}
}

// randomScenario returns a scenario with a load and faults drawn from a seed.
func randomScenario(seed uint64) scenario {
	r := rand.New(rand.NewPCG(seed, 2))
	limit := ratelimit.Limit{
		Rate: 1 + 200*math.Pow(r.Float64(), 3),
	}
	limit.Burst = math.Ceil(limit.Rate * (0.5 + r.Float64()))
	p := scenario{
		limit:   limit,
		nodes:   3 + r.IntN(110),
		callers: 1 + r.IntN(120),
		load:    0.2 + 0.7*r.Float64(),
		loss:    0.05 * r.Float64(),
	}
	p.usedNodes = 1 + r.IntN(p.nodes)
	if r.IntN(3) > 0 {
		p.peakLoad = 1 + 6*r.Float64()
	}
	p.faults = func(m *model) {
		for range 1 + r.IntN(5) {
			randomFault(r, m)
		}
	}
	return p
}

func randomFault(r *rand.Rand, m *model) {
	at := time.Duration(5+r.IntN(25)) * time.Second
	share := 0.4 * r.Float64()
	switch r.IntN(5) {
	case 0, 1:
		kill := r.IntN(2) == 0
		length := time.Duration(500+r.IntN(9000)) * time.Millisecond
		for i := range m.nodes {
			if r.Float64() < share {
				m.fail(i, kill, at, at+length)
			}
		}
	case 2:
		for i := range m.nodes {
			m.fail(i, true, at, at+700*time.Millisecond)
		}
	case 3:
		m.move(r.IntN(len(m.nodes)), at, time.Duration(r.IntN(2000))*time.Millisecond)
	default:
		m.at(start.Add(at), func(now time.Time) { m.fail(m.role, r.IntN(2) == 0, now.Sub(start)+1, now.Sub(start)+3*time.Second) })
	}
}

// No random schedule of cuts, kills, restarts and moves of the allocator exceeds the bound.
func TestRandomSchedulesKeepLimits(t *testing.T) {
	p := gopter.DefaultTestParametersWithSeed(1)
	p.MinSuccessfulTests = 40 * *rounds
	properties := gopter.NewProperties(p)
	var sum total
	properties.Property("no window has more than the bound", prop.ForAll(
		func(seed uint64) bool {
			m := randomScenario(seed).run(reserving, seed)
			sum.requests += m.result.requests
			ran, allowed := m.maxInWindow()
			sum.most = max(sum.most, float64(ran)/allowed)
			return float64(ran) <= allowed
		},
		gen.UInt64(),
	))
	properties.TestingRun(t)
	t.Logf("%d requests, at most %.2f of the bound", sum.requests, sum.most)
}

// Schedules that exceeded the bound in earlier versions, each with its cause.
func TestRegressionSchedulesKeepLimits(t *testing.T) {
	cases := []struct {
		seed  uint64
		cause string
	}{
		{
			seed:  13851397076599963006,
			cause: "requests that nodes admitted while isolated for a moment were not counted",
		},
		{
			seed:  10898030621105848525,
			cause: "the same, on a single node whose messages were lost",
		},
		{
			seed:  2072232561873951862,
			cause: "two allocators while nodes are cut off: the new one withheld nothing for nodes that had not reported",
		},
		{
			seed:  3078590772652911192,
			cause: "the role returned to a node whose bucket was full again",
		},
		{
			seed:  14226080656114097079,
			cause: "the role moved while nodes were cut off that had not reported to the new allocator",
		},
		{
			seed:  14062110097941572667,
			cause: "the role moved twice while nodes were cut off: the third allocator received nothing about them",
		},
		{
			seed:  8617675912744631306,
			cause: "two of the four nodes of a workspace were among the quarter of the fleet that was cut off",
		},
		{
			seed:  16843925177621939102,
			cause: "the same",
		},
		{
			seed:  11264488150609043883,
			cause: "no node reached the allocator for 0.8 s while the load grew; the next one charged nothing for that, and two seconds later half of the nodes were cut off",
		},
		{
			seed:  16808133188926828126,
			cause: "two allocators had the role for a second, and each granted the whole burst",
		},
		{
			seed:  10351649816035511048,
			cause: "all nodes were killed, and each admitted two requests before it joined the others",
		},
		{
			seed:  14458407777275000294,
			cause: "a node that reported was counted several times, so that nothing was withheld for those that had not",
		},
		{
			seed:  14695942328729045481,
			cause: "three nodes took the role within a second of the start of all, and sent the whole limit to the first node that reported",
		},
		{
			seed:  16476342405244761277,
			cause: "nodes were cut off for longer than their rate was withheld after a move of the role",
		},
	}
	for _, c := range cases {
		m := randomScenario(c.seed).run(reserving, c.seed)
		if ran, allowed := m.maxInWindow(); float64(ran) > allowed {
			t.Errorf("seed %d: %d ran in a window, allowed %v; cause of the earlier fault: %s", c.seed, ran, allowed, c.cause)
		}
	}
}

// A lower limit holds one window after nodes have received it, a higher one at once.
func TestLimitChanges(t *testing.T) {
	const change = 20 * time.Second
	for _, factor := range []float64{0.25, 3} {
		p := scenarios()[1]
		m := newModel(reserving, p.limit, p.nodes, 7)
		m.callers(p.callers, p.usedNodes, p.load*p.limit.Rate, 0, duration)
		m.run(change)
		m.limit = ratelimit.Limit{
			Rate:  factor * p.limit.Rate,
			Burst: factor * p.limit.Burst,
		}
		before := len(m.result.ran)
		refused := m.result.refused
		m.run(duration)
		var later []time.Time
		for _, at := range m.result.ran[before:] {
			if at.Sub(start) >= change+tolerance.Window {
				later = append(later, at)
			}
		}
		if got := maxIn(later); float64(got) > bound(m.limit) {
			t.Errorf("limit times %v: %d ran in a window, allowed %v", factor, got, bound(m.limit))
		}
		if goodput := float64(len(later)) / (duration - change - tolerance.Window).Seconds(); factor < 1 && goodput < 0.95*m.limit.Rate {
			t.Errorf("limit times %v: %.1f requests a second of %.1f that are allowed", factor, goodput, m.limit.Rate)
		}
		if factor > 1 && m.result.refused > refused {
			t.Errorf("%d requests refused after the limit was raised", m.result.refused-refused)
		}
	}
}
