// SPDX-License-Identifier: Apache-2.0

package dispatch_test

import (
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"ploverjunction.example/ploverjunction/internal/dispatch"
	"ploverjunction.example/ploverjunction/internal/health"
	"ploverjunction.example/ploverjunction/internal/signal"
)

// Guards against absurd values in a handover, and against dropping the valid ones with them.
func TestAbsurdValuesAreDropped(t *testing.T) {
	good := dispatch.TargetHandover{
		Key:                "t1",
		FailureProbability: 0.9,
		GrantAge:           time.Second,
		InFlight:           2,
	}
	for _, p := range []float64{math.NaN(), math.Inf(1), -0.1, 1.1} {
		for _, inFlight := range []int{-1, signal.MaxLoad + 1} {
			d := newScheduler(pool(2)...)
			usual := d.Status(start)
			d.Import(start, dispatch.Handover{
				Model: health.ModelState{
					Failures: health.RateState{
						Events:  p,
						Seconds: -1,
					},
					Failing: []float64{1, 1, math.NaN(), 1, 1},
					Working: []float64{1},
					Routes: []health.RouteState{
						{
							Name:      strings.Repeat("r", 1000),
							Working:   []float64{0, 0, 0, 0, math.Inf(1)},
							Quantiles: []float64{1, 2, 3, 4, 5, 6, 7, 8, 9, 8},
							Responses: 100,
						},
					},
				},
				Targets: []dispatch.TargetHandover{
					good,
					{
						Key:                "t0",
						FailureProbability: p,
						GrantAge:           time.Duration(math.MaxInt64),
						InFlight:           inFlight,
					},
					{
						Key:                "unknown",
						FailureProbability: 0.5,
					},
				},
				Rejections: dispatch.RejectionCounts{
					All:      [2]int{10, 10},
					Rejected: [2]int{11, 0},
				},
			})
			s := d.Status(start)
			if s.FailureRate != usual.FailureRate || s.LostFailing != usual.LostFailing || s.RejectedShare != 0 {
				t.Errorf("%v, %d: absurd counts are in use", p, inFlight)
			}
			if s.Targets[0] != usual.Targets[0] {
				t.Errorf("%v, %d: %+v", p, inFlight, s.Targets[0])
			}
			if s.Targets[1].FailureProbability < 0.8 || s.Targets[1].Foreign != 2 {
				t.Errorf("%v, %d: the valid values are not in use: %+v", p, inFlight, s.Targets[1])
			}
		}
	}
}

// randomHandover returns a handover of which many values are absurd.
func randomHandover(seed uint64) dispatch.Handover {
	rng := rand.New(rand.NewPCG(seed, 9))
	number := func() float64 {
		switch rng.IntN(6) {
		case 0:
			return []float64{math.NaN(), math.Inf(1), math.Inf(-1), -1, math.MaxFloat64, -math.MaxFloat64}[rng.IntN(6)]
		case 1:
			return math.Float64frombits(rng.Uint64())
		default:
			return rng.Float64() * math.Pow(10, float64(rng.IntN(8)))
		}
	}
	integer := func() int {
		if rng.IntN(4) == 0 {
			return int(rng.Uint64())
		}
		return rng.IntN(100) - 5
	}
	numbers := func(usual int) (out []float64) {
		n := usual
		if rng.IntN(4) == 0 {
			n = rng.IntN(20)
		}
		for range n {
			out = append(out, number())
		}
		if rng.IntN(2) == 0 {
			slices.Sort(out)
		}
		return out
	}
	h := dispatch.Handover{
		Model: health.ModelState{
			Failures:   health.RateState{Events: number(), Seconds: number()},
			Recoveries: health.RateState{Events: number(), Seconds: number()},
			Failing:    numbers(5),
			Working:    numbers(5),
		},
		Rejections: dispatch.RejectionCounts{
			All:      [2]int{integer(), integer()},
			Rejected: [2]int{integer(), integer()},
			Age:      time.Duration(integer()) * time.Millisecond,
		},
	}
	for i := range rng.IntN(300) {
		h.Model.Routes = append(h.Model.Routes, health.RouteState{
			Name:      strings.Repeat("r", i),
			Working:   numbers(5),
			Quantiles: numbers(10),
			Responses: integer(),
		})
	}
	for range rng.IntN(20) {
		h.Targets = append(h.Targets, dispatch.TargetHandover{
			Key:                pool(12)[rng.IntN(12)].Key,
			FailureProbability: number(),
			GrantAge:           time.Duration(integer()) * time.Millisecond,
			InFlight:           integer(),
		})
	}
	for range rng.IntN(20) {
		h.Workspaces = append(h.Workspaces, dispatch.WorkspaceLead{
			Workspace: string(rune('a' + rng.IntN(5))),
			Priority:  rng.IntN(3),
			Lead:      number(),
		})
	}
	return h
}

// Guards against values of another process that end this one, make estimates leave their bounds, take
// a target out of service, or stop the queue. Exporting what was imported must give valid values again.
func TestImportOfArbitraryValues(t *testing.T) {
	p := gopter.DefaultTestParametersWithSeed(1)
	p.MinSuccessfulTests = 300
	properties := gopter.NewProperties(p)
	imported := 0
	// The least probability is the share of the time that targets fail at the bounds of the rates.
	const minProbability = 0.002 / (0.002 + 2)
	properties.Property("within the bounds", prop.ForAll(
		func(seed uint64) bool {
			d := newScheduler(pool(10)...)
			now := start
			if d.Import(now, randomHandover(seed)) == dispatch.Imported {
				imported++
			}
			served := 0
			for n := range uint64(60) {
				a := newRequest(now, n)
				a.Workspace = string(rune('a' + n%5))
				g := d.RequestGrant(now, a)
				s := d.Status(now)
				if !(s.FailureRate >= 0.002 && s.FailureRate <= 0.4 && s.RecoveryRate >= 0.08 && s.RecoveryRate <= 2) ||
					!(s.LostFailing >= 0 && s.LostFailing <= 1) || !(s.RejectedShare >= 0 && s.RejectedShare <= 1) {
					return false
				}
				for _, target := range s.Targets {
					if !(target.FailureProbability >= minProbability && target.FailureProbability <= 0.985) || target.Foreign > 2*target.Slots {
						return false
					}
				}
				now = now.Add(30 * time.Millisecond)
				for _, g := range append(d.Advance(now), g) {
					if g.Decision == dispatch.Granted {
						served++
						d.Done(now, g.ID, g.Target, dispatch.ResultGood, 30*time.Millisecond)
					}
				}
			}
			h := d.Export(now)
			again := newSuccessor(now, 1)
			return served >= 20 && len(h.Model.Routes) <= 256 && again.Import(now, h) == dispatch.Imported
		},
		gen.UInt64().WithShrinker(gopter.NoShrinker),
	))
	properties.TestingRun(t)
	if imported < 300 {
		t.Errorf("only %d imports", imported)
	}
}

// Guards against a message without bound: of many targets those granted last are exported.
func TestHandoverIsBounded(t *testing.T) {
	d := newScheduler(pool(1500)...)
	g := d.RequestGrant(start, newRequest(start, 1))
	for i := range 400 {
		a := newRequest(start, uint64(i+2))
		a.Route = strings.Repeat("r", i+1)
		a.Workspace = strings.Repeat("w", i+1)
		d.RequestGrant(start, a)
	}
	h := d.Export(start)
	if len(h.Targets) != 1000 || len(h.Model.Routes) != 256 || len(h.Workspaces) != 256 {
		t.Errorf("%d targets, %d routes, %d workspaces", len(h.Targets), len(h.Model.Routes), len(h.Workspaces))
	}
	if !slices.ContainsFunc(h.Targets, func(e dispatch.TargetHandover) bool { return e.Key == g.Target && e.InFlight > 0 }) {
		t.Error("a target with an attempt in flight is not exported")
	}
}
