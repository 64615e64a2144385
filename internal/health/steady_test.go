// SPDX-License-Identifier: Apache-2.0

package health_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"ploverjunction.example/ploverjunction/internal/health"
)

func ExampleTarget_Steady() {
	m := health.NewModel(start)
	r := m.Route(start, "lookups")
	t := health.NewTarget(start, m)
	fail := func(now time.Time) {
		n := t.Begin(now, r)
		t.End(now.Add(3*time.Millisecond), n, health.Immediate)
	}
	fail(start)
	fail(start.Add(10 * time.Millisecond))
	now := start.Add(8 * time.Second)
	fmt.Println("may be working:", t.FailureProbability(now) < 0.6)
	fmt.Println("hardly for the last six seconds:", t.Steady(now, now.Add(-6*time.Second)) < 0.3)
	// Output:
	// may be working: true
	// hardly for the last six seconds: true
}

// A target that failed and has recovered is working, but has not been working
// without interruption.
func TestSteadyExcludesRecoveredTargets(t *testing.T) {
	const window = 4 * time.Second
	tests := []struct {
		name string
		// kinds are the results of attempts, one every half second up to now.
		kinds       []health.Kind
		least, most float64
	}{
		{
			name:  "answers all the time",
			kinds: []health.Kind{health.Good, health.Good, health.Good, health.Good, health.Good, health.Good, health.Good, health.Good, health.Good},
			least: 0.85,
			most:  1,
		},
		{
			name:  "failed a second ago, answers since",
			kinds: []health.Kind{health.Good, health.Good, health.Good, health.Good, health.Immediate, health.Immediate, health.Immediate, health.Good, health.Good},
			most:  0.05,
		},
		{
			name:  "fails",
			kinds: []health.Kind{health.Good, health.Good, health.Good, health.Good, health.Good, health.Good, health.Good, health.Immediate, health.Immediate},
			most:  0.2,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			m, r, at := trainedModel(t)
			target := health.NewTarget(at, m)
			for _, k := range tt.kinds {
				at = at.Add(500 * time.Millisecond)
				n := target.Begin(at, r)
				target.End(at.Add(medianLatency), n, k)
			}
			now := at.Add(medianLatency)
			if p := target.Steady(now, now.Add(-window)); p < tt.least || p > tt.most {
				t.Errorf("steady with probability %.3f, want %.2f to %.2f", p, tt.least, tt.most)
			}
		})
	}
}

// After any events, a target is no more likely to have been working all the time than
// to be working now, and the less likely the longer the time.
func TestSteadyIsBoundedByWorking(t *testing.T) {
	const slack = 1e-9
	properties := gopter.NewProperties(nil)
	properties.Property("steady", prop.ForAll(func(kinds []uint8, gaps []uint16) bool {
		m, r, now := trainedModel(t)
		target := health.NewTarget(now, m)
		for i := range min(len(kinds), len(gaps)) {
			now = now.Add(time.Duration(gaps[i]%1500) * time.Millisecond)
			n := target.Begin(now, r)
			target.End(now.Add(medianLatency), n, health.Kind(kinds[i]%uint8(health.Unreached+1)))
		}
		now = now.Add(medianLatency)
		before := 1 - target.FailureProbability(now)
		for window := time.Duration(0); window <= 6*time.Second; window += 500 * time.Millisecond {
			p := target.Steady(now, now.Add(-window))
			if p < 0 || p > before+slack {
				return false
			}
			before = p
		}
		return true
	}, gen.SliceOf(gen.UInt8()), gen.SliceOf(gen.UInt16())))
	properties.TestingRun(t)
}
