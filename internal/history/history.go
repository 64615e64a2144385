// SPDX-License-Identifier: Apache-2.0

// Package history checks recorded histories of a fleet against its guarantees. A
// history holds the answers that callers received and the requests that targets ran,
// independent of how they were recorded.
package history

import (
	"fmt"
	"time"
)

// Outcomes as sent to callers.
const (
	OutcomeDone    = "done"
	OutcomeNotRun  = "not-run"
	OutcomeUnknown = "unknown"
)

// Call is one request of a caller.
type Call struct {
	// Key identifies the request; its runs have the same key.
	Key        string
	Repeatable bool
	// Outcome is the outcome that the caller received; empty if it got no answer.
	Outcome string
	// Status is the HTTP status that the caller received.
	Status int
	// Complete is set if the answer is complete, Correct if its bytes are those of this
	// request.
	Complete bool
	Correct  bool
}

// Run is one run of a request on a target.
type Run struct {
	Key    string
	Target string
	At     time.Time
	// Deadline is the deadline sent with the request; zero means none.
	Deadline time.Time
}

// History is the recorded calls and runs.
type History struct {
	Calls []Call
	Runs  []Run
}

// Guarantee is a guarantee of the fleet.
type Guarantee string

// Guarantees that Check checks.
const (
	GuaranteeAtMostOnce Guarantee = "at most once"
	GuaranteeNotRun     Guarantee = "not run"
	GuaranteeDone       Guarantee = "done"
	GuaranteeComplete   Guarantee = "whole answer"
	GuaranteeDeadline   Guarantee = "no run after the deadline"
)

// Violation is one violated guarantee.
type Violation struct {
	promise Guarantee
	key     string
	detail  string
}

// Guarantee returns the violated guarantee.
func (v Violation) Guarantee() Guarantee { return v.promise }

// Key returns the key of the request.
func (v Violation) Key() string { return v.key }

// String describes the violation.
func (v Violation) String() string {
	return fmt.Sprintf("%s: %s: %s", v.promise, v.key, v.detail)
}

// Check returns all violations in a history. slack is the greatest difference between
// the clocks that gave the deadlines and the times of the runs.
func Check(h History, slack time.Duration) []Violation {
	runs := map[string][]Run{}
	for _, r := range h.Runs {
		runs[r.Key] = append(runs[r.Key], r)
	}
	var out []Violation
	for i := range h.Calls {
		out = append(out, checkCall(&h.Calls[i], runs[h.Calls[i].Key], slack)...)
	}
	return out
}

func checkCall(c *Call, runs []Run, slack time.Duration) []Violation {
	var out []Violation
	report := func(p Guarantee, format string, args ...any) {
		out = append(out, Violation{
			promise: p,
			key:     c.Key,
			detail:  fmt.Sprintf(format, args...),
		})
	}
	if !c.Repeatable && len(runs) > 1 {
		report(GuaranteeAtMostOnce, "ran %d times", len(runs))
	}
	if c.Outcome == OutcomeNotRun && len(runs) > 0 {
		report(GuaranteeNotRun, "ran %d times", len(runs))
	}
	if c.Outcome == OutcomeDone && len(runs) == 0 {
		report(GuaranteeDone, "never ran")
	}
	if c.Outcome == OutcomeDone && c.Complete && !c.Correct {
		report(GuaranteeComplete, "a complete answer with wrong bytes")
	}
	for _, r := range runs {
		if !r.Deadline.IsZero() && r.At.After(r.Deadline.Add(slack)) {
			report(GuaranteeDeadline, "run %v after the deadline on %s", r.At.Sub(r.Deadline), r.Target)
		}
	}
	return out
}
