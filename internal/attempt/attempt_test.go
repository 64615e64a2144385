// SPDX-License-Identifier: Apache-2.0

package attempt_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"ploverjunction.example/ploverjunction/internal/attempt"
)

var start = time.Unix(1_000_000, 0)

func yes() bool { return true }

func no() bool { return false }

func ExampleTracker() {
	reservation := attempt.NewTracker(false, start.Add(time.Second))
	fmt.Println(reservation.Allow(start, yes, yes))
	reservation.Record(attempt.OutcomeNotRun)
	fmt.Println(reservation.Allow(start, yes, yes), reservation.Outcome())
	reservation.Record(attempt.OutcomeUnknown)
	fmt.Println(reservation.Allow(start, yes, yes), reservation.Outcome())
	// Output:
	// none
	// none not-run
	// may have run unknown
}

// A copy whose outcome is not awaited may run: the caller must not get the outcome not-run.
func TestCopyMayHaveRun(t *testing.T) {
	l := attempt.NewTracker(true, start.Add(time.Second))
	l.RecordCopy()
	l.Record(attempt.OutcomeNotRun)
	if o := l.Outcome(); o != attempt.OutcomeUnknown {
		t.Errorf("outcome %v with a copy in flight", o)
	}
	if r := l.Allow(start, yes, yes); r != attempt.ReasonNone {
		t.Errorf("a copy prevents another attempt: %v", r)
	}
}

func TestMay(t *testing.T) {
	cases := []struct {
		name       string
		repeatable bool
		ended      []attempt.Outcome
		at         time.Duration
		policy     func() bool
		budget     func() bool
		want       attempt.Reason
	}{
		{
			name:       "first",
			repeatable: false,
			ended:      nil,
			at:         0,
			policy:     no,
			budget:     no,
			want:       attempt.ReasonNone,
		},
		{
			name:       "first but late",
			repeatable: false,
			ended:      nil,
			at:         time.Second,
			policy:     yes,
			budget:     yes,
			want:       attempt.ReasonDeadline,
		},
		{
			name:       "after not run",
			repeatable: false,
			ended:      []attempt.Outcome{attempt.OutcomeNotRun},
			at:         0,
			policy:     yes,
			budget:     yes,
			want:       attempt.ReasonNone,
		},
		{
			name:       "after unknown",
			repeatable: false,
			ended:      []attempt.Outcome{attempt.OutcomeUnknown},
			at:         0,
			policy:     yes,
			budget:     yes,
			want:       attempt.ReasonMayHaveRun,
		},
		{
			name:       "after done",
			repeatable: false,
			ended:      []attempt.Outcome{attempt.OutcomeDone},
			at:         0,
			policy:     yes,
			budget:     yes,
			want:       attempt.ReasonMayHaveRun,
		},
		{
			name:       "unknown stays",
			repeatable: false,
			ended:      []attempt.Outcome{attempt.OutcomeUnknown, attempt.OutcomeNotRun},
			at:         0,
			policy:     yes,
			budget:     yes,
			want:       attempt.ReasonMayHaveRun,
		},
		{
			name:       "repeatable after unknown",
			repeatable: true,
			ended:      []attempt.Outcome{attempt.OutcomeUnknown},
			at:         0,
			policy:     yes,
			budget:     yes,
			want:       attempt.ReasonNone,
		},
		{
			name:       "policy",
			repeatable: true,
			ended:      []attempt.Outcome{attempt.OutcomeUnknown},
			at:         0,
			policy:     no,
			budget:     yes,
			want:       attempt.ReasonPolicy,
		},
		{
			name:       "budget",
			repeatable: true,
			ended:      []attempt.Outcome{attempt.OutcomeUnknown},
			at:         0,
			policy:     yes,
			budget:     no,
			want:       attempt.ReasonBudget,
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			l := attempt.NewTracker(c.repeatable, start.Add(time.Second))
			for _, o := range c.ended {
				l.Record(o)
			}
			if got := l.Allow(start.Add(c.at), c.policy, c.budget); got != c.want {
				t.Fatalf("got %q, want %q", got, c.want)
			}
		})
	}
}

// For all outcomes, a non-repeatable request has at most one attempt that may have run, and
// its outcome is not-run only if it has none.
func TestAtMostOnceProperty(t *testing.T) {
	p := gopter.NewProperties(nil)
	p.Property("at most one attempt may have run", prop.ForAll(
		func(outcomes []int) bool {
			l := attempt.NewTracker(false, start.Add(time.Second))
			ran := 0
			for _, o := range outcomes {
				if l.Allow(start, yes, yes) != attempt.ReasonNone {
					break
				}
				l.Record(attempt.Outcome(o))
				if attempt.Outcome(o) != attempt.OutcomeNotRun {
					ran++
				}
			}
			outcome := l.Outcome()
			return ran <= 1 && (outcome == attempt.OutcomeNotRun) == (ran == 0)
		},
		gen.SliceOfN(10, gen.IntRange(0, 2)),
	))
	p.TestingRun(t)
}
