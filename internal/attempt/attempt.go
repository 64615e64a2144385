// SPDX-License-Identifier: Apache-2.0

// Package attempt tracks the attempts of one request: what is proved about each, and whether
// another may follow. It is pure: it opens nothing, logs nothing and takes the time as an
// argument.
package attempt

import "time"

// Outcome is what is known about the run of a request on its target.
type Outcome uint8

// Outcomes. They are part of the contract with callers.
const (
	// OutcomeUnknown means that the target may or may not have run the request.
	OutcomeUnknown Outcome = iota
	// OutcomeNotRun means that it is proved that no target ran the request.
	OutcomeNotRun
	// OutcomeDone means that the target answered.
	OutcomeDone
)

// String returns the outcome as callers see it.
func (o Outcome) String() string {
	switch o {
	case OutcomeNotRun:
		return "not-run"
	case OutcomeDone:
		return "done"
	default:
		return "unknown"
	}
}

// Reason is why a request ended without an answer.
type Reason uint8

// Reasons for ending a request.
const (
	ReasonNone Reason = iota
	// ReasonDeadline means that the deadline of the request has passed.
	ReasonDeadline
	// ReasonMayHaveRun means that a non-repeatable request may have run.
	ReasonMayHaveRun
	// ReasonPolicy means that the policy of the service allows no other attempt.
	ReasonPolicy
	// ReasonBudget means that the service's retry budget is spent.
	ReasonBudget
	// ReasonCaller means that the caller has disconnected.
	ReasonCaller
	// ReasonTargets means that no target can accept the request.
	ReasonTargets
	// ReasonQuarantine means that targets crash under the request.
	ReasonQuarantine
	// ReasonBackoff means that all targets that do not drain are backing off.
	ReasonBackoff
	// ReasonStopping means that a planned stop leaves too little time for another attempt.
	ReasonStopping
	// ReasonClosedDataHalls means that all targets are in closed data halls: evacuated ones, or those
	// outside the request's regions.
	ReasonClosedDataHalls
)

// String returns the reason for logs and answers.
func (r Reason) String() string {
	return [...]string{"none", "deadline", "may have run", "policy", "retry budget", "caller gone", "no target", "targets end under it", "all targets rest", "planned stop", "no open data hall"}[r]
}

// Tracker is one request from its arrival to its final answer. It isn't safe for
// concurrent use.
type Tracker struct {
	repeatable bool
	deadline   time.Time
	attempts   int
	// mayHaveRun is set once an attempt ended without a proof that it did not run; runs
	// counts those attempts.
	mayHaveRun bool
	runs       int
}

// NewTracker returns a Tracker without attempts.
func NewTracker(repeatable bool, deadline time.Time) *Tracker {
	return &Tracker{
		repeatable: repeatable,
		deadline:   deadline,
	}
}

// Deadline returns the time after which no attempt may start or continue.
func (t *Tracker) Deadline() time.Time { return t.deadline }

// SetDeadline sets a new deadline for the rest of an interrupted answer: the first deadline
// is that of the first byte, and a download may take longer.
func (t *Tracker) SetDeadline(deadline time.Time) { t.deadline = deadline }

// Attempts returns the number of attempts that ended.
func (t *Tracker) Attempts() int { return t.attempts }

// PossibleRuns returns the number of attempts that may have run.
func (t *Tracker) PossibleRuns() int { return t.runs }

// Repeatable reports whether the request may run more than once.
func (t *Tracker) Repeatable() bool { return t.repeatable }

// Record records the outcome of an attempt.
func (t *Tracker) Record(o Outcome) {
	t.attempts++
	if o != OutcomeNotRun {
		t.mayHaveRun = true
		t.runs++
	}
}

// RecordCopy records a copy of the request whose outcome is not awaited: the request may have
// run from then on.
func (t *Tracker) RecordCopy() { t.mayHaveRun = true }

// Outcome returns the outcome of all attempts together: OutcomeNotRun only if that is
// proved for each one.
func (t *Tracker) Outcome() Outcome {
	if t.mayHaveRun {
		return OutcomeUnknown
	}
	return OutcomeNotRun
}

// Allow returns ReasonNone if another attempt may start at now, else the reason against
// it. policy reports whether the service's policy allows it; budget takes from the retry
// budget, and reports whether that had enough. Each is called only when needed. No policy can allow
// another attempt for a non-repeatable request that may have run.
func (t *Tracker) Allow(now time.Time, policy, budget func() bool) Reason {
	switch {
	case !now.Before(t.deadline):
		return ReasonDeadline
	case t.attempts == 0:
		return ReasonNone
	case t.mayHaveRun && !t.repeatable:
		return ReasonMayHaveRun
	case !policy():
		return ReasonPolicy
	case !budget():
		return ReasonBudget
	default:
		return ReasonNone
	}
}
