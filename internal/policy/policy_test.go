// SPDX-License-Identifier: Apache-2.0

package policy_test

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"ploverjunction.example/ploverjunction/internal/policy"
)

func ExampleCompile() {
	p, err := policy.Compile(policy.Text{
		Sick:  "score >= threshold && reporters >= 2",
		Retry: `outcome == "not-run" || repeatable && attempt < 2`,
		Floor: "capacity * 0.7",
	})
	if err != nil {
		fmt.Println(err)
		return
	}
	fmt.Println(p.Sick(policy.Health{
		Score:     9,
		Threshold: 7,
		Reporters: 1,
	}))
	fmt.Println(p.Retry(policy.Attempt{
		Attempt: 3,
		Outcome: "not-run",
	}))
	fmt.Printf("%.1f\n", p.Floor(18, 6))
	_, err = policy.Compile(policy.Text{
		Floor: "capacity *\n targts",
	})
	fmt.Println(strings.SplitN(err.Error(), " (", 2)[0])
	// Output:
	// false
	// true
	// 12.6
	// policy: floor:2:2: undeclared reference to 'targts'
}

func TestCompileRefuses(t *testing.T) {
	cases := []struct {
		name string
		text policy.Text
		part string
	}{
		{
			name: "type",
			text: policy.Text{
				Sick: "score",
			},
			part: "sick",
		},
		{
			name: "floor type",
			text: policy.Text{
				Floor: "targets",
			},
			part: "floor",
		},
		{
			name: "syntax",
			text: policy.Text{
				Retry: "attempt <",
			},
			part: "retry",
		},
		{
			name: "unknown name",
			text: policy.Text{
				Retry: "now() > 1",
			},
			part: "retry",
		},
		{
			name: "loop",
			text: policy.Text{
				Sick: "[1, 2].exists(x, x > 1)",
			},
			part: "sick",
		},
		{
			name: "cost",
			text: policy.Text{
				Retry: strings.Repeat(`route.matches("(a+)+$") || `, 30) + "true",
			},
			part: "retry",
		},
		{
			name: "length",
			text: policy.Text{
				Sick: strings.Repeat(" ", 5000) + "true",
			},
			part: "sick",
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := policy.Compile(c.text)
			var pe *policy.Error
			if !errors.As(err, &pe) {
				t.Fatalf("got %v, want a *policy.Error", err)
			}
			if pe.Expression() != c.part || pe.Line() < 1 || pe.Column() < 1 {
				t.Fatalf("part %q at %d:%d", pe.Expression(), pe.Line(), pe.Column())
			}
		})
	}
}

// A policy whose evaluation fails must not take targets out of service, lower the
// floor or cause retries.
func TestEvaluationErrorKeepsTargetsInService(t *testing.T) {
	p, err := policy.Compile(policy.Text{
		Sick:  "1 / (reporters - reporters) > 0",
		Retry: "1 / (attempt - attempt) > 0",
		Floor: "double(1 / (targets - targets))",
	})
	if err != nil {
		t.Fatal(err)
	}
	if p.Sick(policy.Health{
		Reporters: 3,
	}) || p.Retry(policy.Attempt{
		Attempt: 1,
	}) || p.Floor(12, 4) != 12 {
		t.Fatal("failed evaluation counted as sick, allowed a retry or lowered the floor")
	}
}

func TestFloorIsClamped(t *testing.T) {
	for text, want := range map[string]float64{"-5.0": 0, "1e9": 12, "0.0/0.0": 12, "6.0": 6} {
		p, err := policy.Compile(policy.Text{
			Floor: text,
		})
		if err != nil {
			t.Fatal(err)
		}
		if got := p.Floor(12, 4); got != want {
			t.Errorf("%s gives %v, want %v", text, got, want)
		}
	}
}

// The policy of a service is evaluated at each tick for each target with evidence,
// and for each retry. It must remain a small share of the cost of either.
func TestEvaluationGuard(t *testing.T) {
	short, err := policy.Compile(policy.Text{
		Sick: "score >= threshold",
	})
	if err != nil {
		t.Fatal(err)
	}
	long, err := policy.Compile(policy.Text{
		Sick: "score >= threshold && (reporters >= 2 || data_halls >= 2) && bad > 0.3 * (good + bad)",
	})
	if err != nil {
		t.Fatal(err)
	}
	h := policy.Health{
		Score:     9,
		Threshold: 7,
		Good:      1,
		Bad:       9,
		Reporters: 3,
		DataHalls: 2,
	}
	for name, p := range map[string]*policy.Program{
		"short": short,
		"long":  long,
	} {
		allocs := testing.AllocsPerRun(1000, func() { p.Sick(h) })
		t.Logf("%s: %v allocations", name, allocs)
		if allocs > 25 {
			t.Errorf("%s: %v allocations per evaluation", name, allocs)
		}
	}
}
