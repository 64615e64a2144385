// SPDX-License-Identifier: Apache-2.0

package health_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"ploverjunction.example/ploverjunction/internal/health"
)

// start is the start time of all models in these tests.
var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// medianLatency is the latency of an answer in these tests.
const medianLatency = 200 * time.Millisecond

// trainedModel returns a model, a route whose answers take about medianLatency, and the
// time at which that was learned.
func trainedModel(t testing.TB) (*health.Model, *health.Route, time.Time) {
	t.Helper()
	m := health.NewModel(start)
	r := m.Route(start, "route")
	rng := rand.New(rand.NewPCG(1, 2))
	for range 200 {
		took := medianLatency/2 + time.Duration(rng.Int64N(int64(medianLatency)))
		if err := r.RecordLatency(took); err != nil {
			t.Fatal(err)
		}
	}
	return m, r, start
}

func ExampleTarget_FailureProbability() {
	m := health.NewModel(start)
	r := m.Route(start, "lookups")
	t := health.NewTarget(start, m)
	fmt.Println("at the start:", t.FailureProbability(start) > 0.1)
	now := start
	for range 2 {
		n := t.Begin(now, r)
		now = now.Add(3 * time.Millisecond)
		t.End(now, n, health.Immediate)
	}
	fmt.Println("after two quick failures:", t.FailureProbability(now) > 0.9)
	// Output:
	// at the start: false
	// after two quick failures: true
}

// An attempt in flight is evidence against its target once it has waited longer than
// nearly all answers take.
func TestUnansweredAttemptCountsByItsAge(t *testing.T) {
	tests := []struct {
		name        string
		age         time.Duration
		least, most float64
	}{
		{
			name: "usual",
			age:  medianLatency,
			most: 0.06,
		},
		{
			name:  "twice the usual latency",
			age:   2 * medianLatency,
			least: 0.2,
			most:  1,
		},
		{
			name:  "five times the usual latency",
			age:   5 * medianLatency,
			least: 0.28,
			most:  1,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			m, r, now := trainedModel(t)
			target := health.NewTarget(now, m)
			target.Begin(now, r)
			p := target.FailureProbability(now.Add(tt.age))
			if p < tt.least || p > tt.most {
				t.Errorf("failing with probability %.3f, want %.2f to %.2f", p, tt.least, tt.most)
			}
		})
	}
}

// An attempt that was abandoned, because its caller disconnected or another target was
// faster, is the same evidence as an attempt in flight of that age.
func TestAbandonedAttemptCountsByItsAge(t *testing.T) {
	m, r, now := trainedModel(t)
	for _, age := range []time.Duration{20 * time.Millisecond, 3 * medianLatency} {
		target := health.NewTarget(now, m)
		n := target.Begin(now, r)
		end := now.Add(age)
		running := target.FailureProbability(end)
		target.End(end, n, health.Open)
		if p := target.FailureProbability(end); p != running {
			t.Errorf("abandoned after %v: %.3f, in flight %.3f", age, p, running)
		}
	}
}

// The result of an attempt counts at the time at which it was sent: answers to later
// ones outweigh a time-out that is reported after them.
func TestLaterAnswersOutweighAnOldTimeout(t *testing.T) {
	m, r, now := trainedModel(t)
	target := health.NewTarget(now, m)
	old := target.Begin(now, r)
	for range 4 {
		now = now.Add(medianLatency)
		n := target.Begin(now, r)
		target.End(now.Add(medianLatency/2), n, health.Good)
	}
	now = now.Add(medianLatency)
	target.End(now, old, health.Silent)
	if p := target.FailureProbability(now); p > 0.1 {
		t.Errorf("failing with probability %.3f after four answers to later requests", p)
	}
}

// Once the model has learned that a route's requests are never answered, whatever
// their target, they don't raise the failure probability of targets.
func TestUnansweredRouteIsNoEvidence(t *testing.T) {
	m, good, now := trainedModel(t)
	unanswered := m.Route(now, "mute")
	target := health.NewTarget(now, m)
	after := 0.0
	for i := range 200 {
		now = now.Add(50 * time.Millisecond)
		route, kind := good, health.Good
		if i%4 == 0 {
			route, kind = unanswered, health.Silent
		}
		n := target.Begin(now, route)
		now = now.Add(50 * time.Millisecond)
		target.End(now, n, kind)
		if i%10 == 0 {
			m.Advance(now)
		}
		if kind == health.Silent {
			after = target.FailureProbability(now)
		}
	}
	if after > 0.1 {
		t.Errorf("failing with probability %.3f after one more silent request of that route", after)
	}
	n := target.Begin(now, good)
	target.End(now, n, health.Silent)
	if p := target.FailureProbability(now); p < 0.08 {
		t.Errorf("failing with probability %.3f after silence on a route that is answered", p)
	}
}

// When all targets become slower, answers are late at first; no target is estimated
// to fail once the new latencies are learned.
func TestCommonSlowdownIsNotFailing(t *testing.T) {
	m, r, now := trainedModel(t)
	target := health.NewTarget(now, m)
	for i := range 400 {
		took := 3*medianLatency + time.Duration(i%7)*10*time.Millisecond
		n := target.Begin(now, r)
		now = now.Add(took)
		if err := r.RecordLatency(took); err != nil {
			t.Fatal(err)
		}
		target.End(now, n, r.EndKind(true, took))
		m.Advance(now)
	}
	target.Begin(now, r)
	if p := target.FailureProbability(now.Add(3 * medianLatency)); p > 0.1 {
		t.Errorf("failing with probability %.3f after the new usual latency", p)
	}
}

// simulatedTarget is a target with its true state.
type simulatedTarget struct {
	failing bool
	target  *health.Target
}

// The rates at which targets begin and stop failing, and the share of requests that
// failing ones lose, are learned from the results of attempts.
func TestRatesAreLearned(t *testing.T) {
	const (
		failureRate, recoveryRate = 0.06, 0.3
		lost                      = 0.75
		step                      = 100 * time.Millisecond
	)
	tests := []struct {
		name string
		kind health.Kind
		took time.Duration
	}{
		{
			name: "errors at once",
			kind: health.Immediate,
			took: 2 * time.Millisecond,
		},
		{
			name: "silence",
			kind: health.Silent,
			took: 1200 * time.Millisecond,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			m, r, now := trainedModel(t)
			rng := rand.New(rand.NewPCG(5, 6))
			channels := make([]simulatedTarget, 12)
			for i := range channels {
				channels[i].target = health.NewTarget(now, m)
			}
			for range 600 {
				now = now.Add(step)
				for i := range channels {
					c := &channels[i]
					rate := failureRate
					if c.failing {
						rate = recoveryRate
					}
					if rng.Float64() < rate*step.Seconds() {
						c.failing = !c.failing
					}
					if rng.IntN(3) != 0 {
						continue
					}
					if c.failing && rng.Float64() < lost {
						c.target.Record(now, r, tt.kind, tt.took)
					} else {
						c.target.Record(now, r, health.Good, medianLatency)
					}
				}
				m.Advance(now)
			}
			gotFailure, gotRecovery := m.Rates()
			if gotFailure < failureRate/2.5 || gotFailure > failureRate*2.5 || gotRecovery < recoveryRate/2.5 || gotRecovery > recoveryRate*2.5 {
				t.Errorf("learned rates %.3f/s to begin and %.3f/s to stop failing, true are %v and %v", gotFailure, gotRecovery, failureRate, recoveryRate)
			}
			if got := m.LostFailing(); got < lost-0.2 || got > lost+0.15 {
				t.Errorf("learned that failing targets lose a share of %.2f, true is %v", got, lost)
			}
		})
	}
}

// All estimates are probabilities after any sequence of events.
func TestEstimatesAreProbabilities(t *testing.T) {
	properties := gopter.NewProperties(nil)
	properties.Property("between 0 and 1", prop.ForAll(func(seed uint64) bool {
		rng := rand.New(rand.NewPCG(seed, 1))
		m := health.NewModel(start)
		target := health.NewTarget(start, m)
		now := start
		var open []uint64
		for range 300 {
			now = now.Add(time.Duration(rng.IntN(400)) * time.Millisecond)
			r := m.Route(now, fmt.Sprint(rng.IntN(400)))
			switch rng.IntN(4) {
			case 0:
				open = append(open, target.Begin(now, r))
			case 1:
				target.Record(now, r, health.Kind(rng.IntN(int(health.Unreached)+1)), time.Duration(rng.IntN(3000))*time.Millisecond)
			case 2:
				if len(open) > 0 {
					target.End(now, open[0], health.Kind(rng.IntN(int(health.Unreached)+1)))
					open = open[1:]
				}
			default:
				m.Advance(now)
			}
			for _, p := range []float64{target.FailureProbability(now), target.LossProbability(now), m.FailingShare(), m.LostFailing()} {
				if !(p >= 0 && p <= 1) {
					return false
				}
			}
		}
		return true
	}, gen.UInt64()))
	properties.TestingRun(t)
}
