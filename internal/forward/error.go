// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"fmt"

	"ploverjunction.example/ploverjunction/internal/attempt"
)

// Kind names how an attempt failed.
type Kind string

// Kinds of failed attempts.
const (
	// KindConnect means that no connection could be opened.
	KindConnect Kind = "no connection"
	// KindExpired means that the deadline passed before the first byte was sent.
	KindExpired Kind = "deadline before sending"
	// KindEnded means that a connection was used after its attempt ended.
	KindEnded Kind = "attempt has ended"
	// KindTimeout means that no answer came before the deadline.
	KindTimeout Kind = "deadline"
	// KindReset means that the connection broke before the answer's end.
	KindReset Kind = "connection broken"
	// KindShed means that the target refused the request before running it.
	KindShed Kind = "refused by the target"
	// KindUnproven means that the target answered a request that must not be repeated with the status of
	// a refusal, but did not say that it has not run.
	KindUnproven Kind = "refusal without proof"
	// KindUnavailable means that the target was unavailable, so that nothing was sent.
	KindUnavailable Kind = "target wants no request now"
	// KindUntrusted means that nothing was sent, as a surplus answer on the connection could be taken
	// for that to the request.
	KindUntrusted Kind = "connection may have surplus answers"
	// KindForeign means that the answer belongs to another request, or that it does not carry the ID of
	// this one where targets must echo it.
	KindForeign Kind = "answer to another request"
	// KindOtherTarget means that another process has the target's address.
	KindOtherTarget Kind = "another target at the address"
	// KindStall means that the answer's body made no progress.
	KindStall Kind = "answer stalled"
	// KindEndless means that the answer's body did not end in time, or that there were too many interim responses.
	KindEndless Kind = "answer without end"
	// KindMalformed means that the answer is none by the protocol.
	KindMalformed Kind = "malformed answer"
	// KindMemory means that there was no memory for the head of the answer, which is large then. It counts against the
	// target: ordinary heads need none.
	KindMemory Kind = "no memory for the answer"
	// KindPeer means that a peer that was to make the attempt did not.
	KindPeer Kind = "peer failed"
	// KindCaller means that the caller is gone or its body broke.
	KindCaller Kind = "caller gone"
)

// Proof is what proves that an attempt did not run.
type Proof string

// Proofs that an attempt did not run.
const (
	// ProofUnwritten means that no byte of the request was written.
	ProofUnwritten Proof = "unwritten"
	// ProofRefusal means that the target refused the request.
	ProofRefusal Proof = "refusal"
	// ProofPeer means that a peer made no attempt, or has a proof for each of its own.
	ProofPeer Proof = "peer"
)

// Error is a failed attempt.
type Error struct {
	kind     Kind
	target   string
	outcome  attempt.Outcome
	proof    Proof
	draining bool
	evidence *Evidence
	cause    error
}

// Error names the target and the failure.
func (e *Error) Error() string {
	s := fmt.Sprintf("forward: %s: %s", e.target, e.kind)
	if e.cause != nil {
		s += ": " + e.cause.Error()
	}
	return s
}

// Unwrap returns the cause, or nil.
func (e *Error) Unwrap() error { return e.cause }

// Kind returns how the attempt failed.
func (e *Error) Kind() Kind { return e.kind }

// Outcome returns what is known about whether the request ran.
func (e *Error) Outcome() attempt.Outcome { return e.outcome }

// Proof returns what proves that the request did not run, "" where nothing does.
func (e *Error) Proof() Proof { return e.proof }

// Draining reports whether the target signalled that it is draining.
func (e *Error) Draining() bool { return e.draining }

// Evidence returns what is known of the answer with which the attempt failed, or nil if there was none.
func (e *Error) Evidence() *Evidence { return e.evidence }

// CountsAgainstTarget reports whether the failure counts against the target. Load shedding is healthy; a late
// start or a caller that is gone is not the target's fault.
func (e *Error) CountsAgainstTarget() bool {
	switch e.kind {
	case KindShed, KindOtherTarget, KindExpired, KindEnded, KindCaller, KindUnavailable, KindUntrusted:
		return false
	default:
		return true
	}
}

// ViaError is the failure of a Request.Via.
type ViaError struct {
	// Accepted is set where the request may have run, or was refused for good.
	Accepted bool
	Cause    error
}

// Error describes the cause.
func (e *ViaError) Error() string { return "forward: via a peer: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *ViaError) Unwrap() error { return e.Cause }
