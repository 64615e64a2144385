// SPDX-License-Identifier: Apache-2.0

// Package history checks recorded histories of a fleet against its promises. A
// history is what callers were told and what targets ran, whatever recorded it.
package history

import (
	"fmt"
	"time"
)

// Outcome values as callers see them.
const (
	OutcomeDone    = "done"
	OutcomeNotRun  = "not-run"
	OutcomeUnknown = "unknown"
)

// Call is one request of a caller.
type Call struct {
	// Key names the request; it is the same in the runs of the request.
	Key        string
	Repeatable bool
	// Outcome is what the caller was told; empty if it got no answer.
	Outcome string
	// Status is the status that the caller got.
	Status int
	// Whole is set if the answer came to its stated end, Right if its bytes are
	// those of this request.
	Whole bool
	Right bool
}

// Run is one run of a request on a target.
type Run struct {
	Key    string
	Target string
	At     time.Time
	// Deadline is the time limit that came with the request; zero means none.
	Deadline time.Time
}

// History is a recorded history.
type History struct {
	Calls []Call
	Runs  []Run
}

// Promise names what was broken.
type Promise string

// Promises that a history can break.
const (
	PromiseAtMostOnce Promise = "at most once"
	PromiseNotRun     Promise = "not run"
	PromiseDone       Promise = "done"
	PromiseWhole      Promise = "whole answer"
	PromiseDeadline   Promise = "no run after the deadline"
)

// Violation is one broken promise.
type Violation struct {
	promise Promise
	key     string
	detail  string
}

// Promise returns what was broken.
func (v Violation) Promise() Promise { return v.promise }

// Key returns the request for which it was broken.
func (v Violation) Key() string { return v.key }

// String describes the violation.
func (v Violation) String() string {
	return fmt.Sprintf("%s: %s: %s", v.promise, v.key, v.detail)
}

// Check returns all broken promises of a history. slack is how far the clocks
// behind deadlines and runs may differ.
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
	broken := func(p Promise, format string, args ...any) {
		out = append(out, Violation{
			promise: p,
			key:     c.Key,
			detail:  fmt.Sprintf(format, args...),
		})
	}
	if !c.Repeatable && len(runs) > 1 {
		broken(PromiseAtMostOnce, "ran %d times", len(runs))
	}
	if c.Outcome == OutcomeNotRun && len(runs) > 0 {
		broken(PromiseNotRun, "ran %d times", len(runs))
	}
	if c.Outcome == OutcomeDone && len(runs) == 0 {
		broken(PromiseDone, "never ran")
	}
	if c.Outcome == OutcomeDone && c.Whole && !c.Right {
		broken(PromiseWhole, "a whole answer with other bytes")
	}
	for _, r := range runs {
		if !r.Deadline.IsZero() && r.At.After(r.Deadline.Add(slack)) {
			broken(PromiseDeadline, "run %v after the deadline on %s", r.At.Sub(r.Deadline), r.Target)
		}
	}
	return out
}
