// SPDX-License-Identifier: Apache-2.0

// Package contract defines the headers of requests and answers between callers, the fleet
// and targets. Plover has the project's own names; where the fleet runs on another platform,
// an adapter provides those of the platform.
package contract

import (
	"net/http"
	"slices"
	"time"

	"ploverjunction.example/ploverjunction/internal/attempt"
	"ploverjunction.example/ploverjunction/internal/signal"
)

// Refusal is why a target did not run a request.
type Refusal uint8

// Refusals of targets.
const (
	// RefusalNone means that the target did not refuse.
	RefusalNone Refusal = iota
	// RefusalShed means that the target had no capacity or no time left.
	RefusalShed
	// RefusalOtherTarget means that another process answers at the target's address.
	RefusalOtherTarget
)

// Contract holds the names of the headers and the functions that read and write them. It
// must not be changed once it is in use; all functions may be called concurrently.
type Contract struct {
	// RequestID is the header with the ID of the request.
	RequestID string
	// CallersID is set where callers choose the IDs: they are forwarded unchanged, and
	// a target must echo them in all answers.
	CallersID bool
	// Outcome is the header with the outcome in answers to callers, "" for none.
	Outcome string
	// ExpectTarget is the header with the incarnation of the target that may run the
	// request.
	ExpectTarget string
	// Forwarded is set where requests to targets get Via and X-Forwarded headers.
	Forwarded bool
	// Reserved are the headers that only the fleet sets.
	Reserved []string
	// CallerWait returns how long the caller waits, 0 without the header.
	CallerWait func(h http.Header) (time.Duration, error)
	// Credential returns the key of the caller's workspace in a request. shown is set
	// where there is one, even if it is malformed; a malformed key is "".
	Credential func(h http.Header) (key string, shown bool)
	// SetDeadline sets the header with the deadline for a target.
	SetDeadline func(h http.Header, deadline, now time.Time)
	// Refused reports whether an answer says that the target has not run the request and never
	// will. That holds for the request whose ID the answer carries.
	Refused func(status int, h http.Header) Refusal
	// Promises reports whether a status tells callers that their request has not run and never
	// will; nil means that none does.
	Promises func(status int) bool
	// Draining reports whether an answer says that its target drains.
	Draining func(h http.Header) bool
	// Backoff returns for how long this node backs off from the target of an answer, as the
	// function of that name does.
	Backoff func(status int, h http.Header) (time.Duration, error)
	// Limit returns the requests a second that an answer's target accepts from the whole
	// fleet, as the function that Limit returns does.
	Limit func(h http.Header) (rate float64, named bool, err error)
	// Load returns the load that an answer's target reports, as the function that Load returns
	// does.
	Load func(h http.Header) (signal.Load, error)
	// RetryAfter formats after how long a refused caller should retry.
	RetryAfter func(d time.Duration) string
}

// Headers of the project's own contract.
const (
	// HeaderRequestID carries the ID of the request; a target may echo it.
	HeaderRequestID = "Plover-Request-Id"
	// HeaderOutcome carries "done", "not-run" or "unknown". A target that
	// refuses a request before running it sets it to "not-run".
	HeaderOutcome = "Plover-Outcome"
	// HeaderDeadline carries the deadline in milliseconds since 1970.
	HeaderDeadline = "Plover-Deadline"
	// HeaderState carries "leaving" in the answers of a target that drains.
	HeaderState = "Plover-State"
	// HeaderLimit carries, in the answers of a target with a limit, the requests a second
	// that it accepts from the whole fleet, as a decimal number.
	HeaderLimit = "Plover-Limit"
	// HeaderLoad carries, in the answers of a target that reports its load, the requests that it
	// runs, those in its own queue and its slots: "3,0,8".
	HeaderLoad = "Plover-Load"
	// HeaderTimeout carries how long the caller waits, as a Go duration such as
	// "1500ms", which is capped by the route's deadline.
	HeaderTimeout = "Plover-Timeout"
	// HeaderExpectTarget carries the ID of the target that may run the request.
	HeaderExpectTarget = "Plover-Expect-Target"
	// stateLeaving is the value of HeaderState.
	stateLeaving = "leaving"
)

// Plover returns the project's own contract.
func Plover() *Contract {
	return &Contract{
		RequestID:    HeaderRequestID,
		Outcome:      HeaderOutcome,
		ExpectTarget: HeaderExpectTarget,
		Forwarded:    true,
		Reserved: []string{
			HeaderRequestID,
			HeaderOutcome,
			HeaderDeadline,
			HeaderState,
			HeaderExpectTarget,
		},
		CallerWait:  callerWait,
		Credential:  Credential("Bearer"),
		SetDeadline: setDeadline,
		Refused:     refused,
		Draining:    func(h http.Header) bool { return h.Get(HeaderState) == stateLeaving },
		Backoff: func(status int, h http.Header) (time.Duration, error) {
			return Backoff(status, refused(status, h) == RefusalShed, h)
		},
		Limit:      Limit(HeaderLimit),
		Load:       Load(HeaderLoad),
		RetryAfter: FormatSeconds,
	}
}

func refused(status int, h http.Header) Refusal {
	full := status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests
	// An answer that also names another outcome proves nothing.
	outcomes := h.Values(HeaderOutcome)
	notRun := len(outcomes) > 0 && !slices.ContainsFunc(outcomes, func(o string) bool { return o != attempt.OutcomeNotRun.String() })
	switch {
	case full && notRun:
		return RefusalShed
	case status == http.StatusMisdirectedRequest && notRun:
		return RefusalOtherTarget
	default:
		return RefusalNone
	}
}
