// SPDX-License-Identifier: Apache-2.0

package entry

import (
	"fmt"
	"net/http"
	"time"

	"ploverjunction.example/ploverjunction/internal/attempt"
)

// Code names a refusal or failure in answers to callers. Codes are stable.
type Code string

// Codes of refusals and failures.
const (
	CodeBadRequest     Code = "bad-request"
	CodeBadPath        Code = "bad-path"
	CodeNoRoute        Code = "no-route"
	CodeMethod         Code = "method-not-allowed"
	CodeWorkspace      Code = "unknown-workspace"
	CodeNoKey          Code = "no-key"
	CodeKey            Code = "unknown-key"
	CodeKeyNotChecked  Code = "key-not-checked"
	CodeRate           Code = "rate-limit"
	CodeBodySize       Code = "body-too-large"
	CodeBody           Code = "body-broken"
	CodeNotReady       Code = "not-ready"
	CodeNoTarget       Code = "no-target"
	CodeDeadline       Code = "deadline"
	CodeFailed         Code = "target-failed"
	CodeOutcomeUnknown Code = "outcome-unknown"
	CodeQuarantined    Code = "targets-end"
	CodeMemory         Code = "no-memory"
)

// Error is the final answer to a request that was not answered by a target.
type Error struct {
	code       Code
	status     int
	outcome    attempt.Outcome
	retryAfter time.Duration
	cause      error
}

// Error names the code, the outcome and the cause.
func (e *Error) Error() string {
	s := fmt.Sprintf("entry: %s (%s)", e.code, e.outcome)
	if e.cause != nil {
		s += ": " + e.cause.Error()
	}
	return s
}

// Unwrap returns the cause, or nil.
func (e *Error) Unwrap() error { return e.cause }

// Code returns the code of the failure.
func (e *Error) Code() Code { return e.code }

// Status returns the HTTP status.
func (e *Error) Status() int { return e.status }

// refuse returns the error of a request that was not run.
func refuse(code Code, status int) *Error {
	return &Error{
		code:    code,
		status:  status,
		outcome: attempt.OutcomeNotRun,
	}
}

// retryAfterDefault is the Retry-After of short-lived failures: about the time until a slot of a
// target becomes free.
const retryAfterDefault = 250 * time.Millisecond

// newFinalError returns the final answer of a request whose attempts all failed. retryAfter is
// when the caller may retry; 0 means retryAfterDefault.
func newFinalError(tracker *attempt.Tracker, reason attempt.Reason, retryAfter time.Duration, cause error) *Error {
	e := &Error{
		code:       CodeFailed,
		status:     http.StatusBadGateway,
		outcome:    tracker.Outcome(),
		retryAfter: retryAfter,
		cause:      cause,
	}
	if retryAfter <= 0 {
		e.retryAfter = retryAfterDefault
	}
	switch {
	case reason == attempt.ReasonDeadline && e.outcome != attempt.OutcomeNotRun:
		e.code = CodeDeadline
		e.status = http.StatusGatewayTimeout
	case e.outcome == attempt.OutcomeNotRun:
		e.code = CodeNoTarget
		e.status = http.StatusServiceUnavailable
	case !tracker.Repeatable():
		e.code = CodeOutcomeUnknown
	}
	return e
}
