// SPDX-License-Identifier: Apache-2.0

// Package attempt decides the life of one request: what each attempt proved and
// whether another may follow. It is pure: it opens nothing, logs nothing and
// takes the time as an argument.
package attempt

import "time"

// Outcome is what is known about a request's run on its target.
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

// Reason says why the life of a request ended without an answer.
type Reason uint8

// Reasons for giving up.
const (
	ReasonNone Reason = iota
	// ReasonDeadline means that the time of the request is over.
	ReasonDeadline
	// ReasonUnproved means that a request that must not be repeated may have run.
	ReasonUnproved
	// ReasonPolicy means that the policy of the service allows no other attempt.
	ReasonPolicy
	// ReasonBudget means that the service's retry budget is spent.
	ReasonBudget
	// ReasonCaller means that the caller is gone.
	ReasonCaller
	// ReasonTargets means that no target can take the request.
	ReasonTargets
	// ReasonQuarantine means that targets end under the request.
	ReasonQuarantine
	// ReasonRest means that all targets that stay want no request from this node now.
	ReasonRest
	// ReasonClosed means that all targets are in data halls that are evacuated, or in regions
	// where the request may not be served.
	ReasonClosed
)

// String returns the reason in words.
func (r Reason) String() string {
	return [...]string{"none", "deadline", "may have run", "policy", "retry budget", "caller gone", "no target", "targets end under it", "all targets rest", "no open data hall"}[r]
}

// Life is one request from its arrival to its final answer. It isn't safe for
// concurrent use.
type Life struct {
	repeatable bool
	deadline   time.Time
	attempts   int
	// mayHaveRun is set once an attempt ended that is not proved to have not run; runs
	// counts those attempts.
	mayHaveRun bool
	runs       int
}

// NewLife returns a request without attempts.
func NewLife(repeatable bool, deadline time.Time) *Life {
	return &Life{
		repeatable: repeatable,
		deadline:   deadline,
	}
}

// Deadline returns the time after which no attempt may begin or go on.
func (l *Life) Deadline() time.Time { return l.deadline }

// Continue gives the rest of an answer that broke off a deadline of its own: a
// deadline is about the first byte, and a download may take longer.
func (l *Life) Continue(deadline time.Time) { l.deadline = deadline }

// Attempts returns the number of attempts that ended.
func (l *Life) Attempts() int { return l.attempts }

// Runs returns the number of attempts that may have run.
func (l *Life) Runs() int { return l.runs }

// Repeatable reports whether the request may run more than once.
func (l *Life) Repeatable() bool { return l.repeatable }

// Ended records the end of an attempt.
func (l *Life) Ended(o Outcome) {
	l.attempts++
	if o != OutcomeNotRun {
		l.mayHaveRun = true
		l.runs++
	}
}

// Copied notes a copy of the request whose end nobody waits for: from then on it
// can't be said that the request has not run.
func (l *Life) Copied() { l.mayHaveRun = true }

// Outcome returns what is known about all attempts together: not run only if
// that is proved for each one.
func (l *Life) Outcome() Outcome {
	if l.mayHaveRun {
		return OutcomeUnknown
	}
	return OutcomeNotRun
}

// May returns ReasonNone if another attempt may begin at now, else the reason
// against it. The seams ask only when they are needed: policy whether the
// service's policy allows it, and budget whether the retry budget pays for it.
// The rule that a request which must not be repeated never follows an unproved
// attempt stands above any policy.
func (l *Life) May(now time.Time, policy, budget func() bool) Reason {
	switch {
	case !now.Before(l.deadline):
		return ReasonDeadline
	case l.attempts == 0:
		return ReasonNone
	case l.mayHaveRun && !l.repeatable:
		return ReasonUnproved
	case !policy():
		return ReasonPolicy
	case !budget():
		return ReasonBudget
	default:
		return ReasonNone
	}
}
