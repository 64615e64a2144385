// SPDX-License-Identifier: Apache-2.0

// Package contract says in which headers callers, the fleet and targets tell each
// other what they need to know about one request. The project's own names are in
// Plover; where the fleet runs on another platform, an adapter gives that one's.
package contract

import (
	"net/http"
	"time"

	"ploverjunction.example/ploverjunction/internal/attempt"
)

// Refusal says why a target did not run a request.
type Refusal uint8

// Refusals of targets.
const (
	// RefusalNone means that the target did not refuse.
	RefusalNone Refusal = iota
	// RefusalShed means that the target had no room or no time left.
	RefusalShed
	// RefusalOther means that another process answers at the target's address.
	RefusalOther
)

// Contract names the headers and reads them. It must not be changed once it is in
// use; all functions may be called concurrently.
type Contract struct {
	// RequestID is the header that names the request.
	RequestID string
	// CallersID is set where callers name their requests: their name travels
	// unchanged, and a target's success must carry it back.
	CallersID bool
	// Outcome is the header of the outcome in answers to callers, "" for none.
	Outcome string
	// ExpectTarget is the header that names the one life of a target's process
	// that may run the request.
	ExpectTarget string
	// Forwarded is set where requests to targets get Via and X-Forwarded headers.
	Forwarded bool
	// Reserved are the headers that only the fleet sets.
	Reserved []string
	// CallerWait returns how long the caller waits, 0 if it doesn't say.
	CallerWait func(h http.Header) (time.Duration, error)
	// Credential returns the key that a request shows of its caller's workspace.
	// shown is set where it shows one, however malformed; a malformed key is "".
	Credential func(h http.Header) (key string, shown bool)
	// SetDeadline tells a target until when it may work.
	SetDeadline func(h http.Header, deadline, now time.Time)
	// Refused reports whether an answer proves that the target has not run the
	// request and never will.
	Refused func(status int, h http.Header) Refusal
	// Leaving reports whether an answer says that its target is leaving.
	Leaving func(h http.Header) bool
	// Backoff returns for how long an answer's target wants nothing from this node, as the
	// function of that name does.
	Backoff func(status int, h http.Header) (time.Duration, error)
	// Limit returns the requests a second that an answer's target accepts from the whole
	// fleet, as the function that Limit returns does.
	Limit func(h http.Header) (rate float64, named bool, err error)
	// RetryAfter formats when a refused caller should come back.
	RetryAfter func(d time.Duration) string
}

// Headers of the project's own contract.
const (
	// HeaderRequestID names the request; a target may echo it.
	HeaderRequestID = "Plover-Request-Id"
	// HeaderOutcome carries "done", "not-run" or "unknown". A target that
	// refuses a request before running it says "not-run" in it.
	HeaderOutcome = "Plover-Outcome"
	// HeaderDeadline carries the absolute time limit in milliseconds since 1970.
	HeaderDeadline = "Plover-Deadline"
	// HeaderState carries "leaving" in the answers of a target that drains.
	HeaderState = "Plover-State"
	// HeaderLimit carries, in the answers of a target in need, the requests a second that
	// it accepts from the whole fleet, as a decimal number.
	HeaderLimit = "Plover-Limit"
	// HeaderTimeout carries how long the caller waits, as a Go duration such as
	// "1500ms". The route's deadline caps it.
	HeaderTimeout = "Plover-Timeout"
	// HeaderExpect carries the ID of the target that may run the request.
	HeaderExpect = "Plover-Expect-Target"
	// stateLeaving is the value of HeaderState.
	stateLeaving = "leaving"
)

// Plover returns the project's own contract.
func Plover() *Contract {
	return &Contract{
		RequestID:    HeaderRequestID,
		Outcome:      HeaderOutcome,
		ExpectTarget: HeaderExpect,
		Forwarded:    true,
		Reserved: []string{
			HeaderRequestID,
			HeaderOutcome,
			HeaderDeadline,
			HeaderState,
			HeaderExpect,
		},
		CallerWait:  callerWait,
		Credential:  Credential("Bearer"),
		SetDeadline: setDeadline,
		Refused:     refused,
		Leaving:     func(h http.Header) bool { return h.Get(HeaderState) == stateLeaving },
		Backoff: func(status int, h http.Header) (time.Duration, error) {
			return Backoff(status, refused(status, h) == RefusalShed, h)
		},
		Limit:      Limit(HeaderLimit),
		RetryAfter: WholeSeconds,
	}
}

func refused(status int, h http.Header) Refusal {
	full := status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests
	notRun := h.Get(HeaderOutcome) == attempt.OutcomeNotRun.String()
	switch {
	case full && notRun:
		return RefusalShed
	case status == http.StatusMisdirectedRequest && notRun:
		return RefusalOther
	default:
		return RefusalNone
	}
}
