// SPDX-License-Identifier: Apache-2.0

package entry

import (
	"errors"
	"net/http"
	"slices"
	"time"

	"ploverjunction.example/ploverjunction/internal/attempt"
	"ploverjunction.example/ploverjunction/internal/forward"
	"ploverjunction.example/ploverjunction/internal/outlier"
)

// recordFailure records an attempt that failed or got no target.
func (x *relay) recordFailure(r result) {
	var none *NoTargetError
	if errors.As(r.err, &none) {
		if r.try.hedge && none.reason != attempt.ReasonDeadline {
			// The earlier attempt continues, and may be followed by another if it fails.
			if none.reason == attempt.ReasonBudget {
				x.launched--
			}
			return
		}
		x.blockReason = none.reason
		x.retryAfter = none.retryAfter
		return
	}
	if unsent(r.err) {
		x.discountUnsent(r.try)
		return
	}
	var refusal *PeerRefusal
	if errors.As(r.err, &refusal) {
		x.recordPeerRefusal(r.try, refusal)
		return
	}
	outcome := attempt.OutcomeUnknown
	var fe *forward.Error
	if errors.As(r.err, &fe) {
		outcome = fe.Outcome()
	}
	x.recordOnce(r.try, outcome)
	x.recordProof(r.err)
	x.lastErr = r.err
	if unreached(r.err) {
		x.launched--
		x.unsent++
		x.vacant++
		x.mu.Lock()
		x.unreached = append(x.unreached, r.try.choice.Key)
		x.mu.Unlock()
	}
}

// recordProof records what proves that a failed attempt did not run.
func (x *relay) recordProof(err error) {
	proof := "none"
	var fe *forward.Error
	if errors.As(err, &fe) && fe.Proof() != "" {
		proof = string(fe.Proof())
	}
	x.proofs = append(x.proofs, proof)
}

// unreached reports whether no connection to the target was opened, so that the attempt reached
// nobody and the next one is no retry.
func unreached(err error) bool {
	var fe *forward.Error
	return errors.As(err, &fe) && fe.Kind() == forward.KindConnect && fe.Outcome() == attempt.OutcomeNotRun
}

// unsent reports whether nothing was sent because the target became unavailable after it was
// chosen, or because the connection was not to be used again.
func unsent(err error) bool {
	var fe *forward.Error
	return errors.As(err, &fe) && fe.Outcome() == attempt.OutcomeNotRun &&
		(fe.Kind() == forward.KindUnavailable || fe.Kind() == forward.KindUntrusted)
}

// discountUnsent takes back an attempt that was not sent: the next attempt is no retry and takes nothing
// from the retry budget.
func (x *relay) discountUnsent(t *try) {
	x.launched--
	x.unsent++
	x.vacant++
	x.mu.Lock()
	defer x.mu.Unlock()
	if at := slices.Index(x.tried, t.choice.Key); at >= 0 {
		x.tried = slices.Delete(x.tried, at, at+1)
	}
}

// replaceable reports whether another target may give a repeatable request a better answer.
func (x *relay) replaceable(a *forward.Answer) bool {
	return x.admission.repeatable && retryableStatus(a.Status()) && x.body.sendable()
}

// retryableStatus reports whether another target may answer without this failure.
func retryableStatus(status int) bool {
	switch status {
	case http.StatusInternalServerError, http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return true
	default:
		return false
	}
}

func (x *relay) giveUp(reason attempt.Reason) *Error {
	if f := x.body.failure(x.tracker.Outcome()); f != nil {
		return f
	}
	if reason == attempt.ReasonStopping && x.tracker.Outcome() == attempt.OutcomeNotRun {
		return x.stopping
	}
	if x.peerRefusal != nil {
		return x.refusedByPeer()
	}
	return newFinalError(x.tracker, reason, x.retryAfter, x.lastErr)
}

// expired reports whether the request ends unanswered with an attempt that fails now: its caller
// is gone, or its deadline has passed.
func (x *relay) expired() bool {
	return !x.settled.Load() && (x.req.Context().Err() != nil || time.Until(x.tracker.Deadline()) <= 0)
}

// resultOf returns what an attempt showed of its target.
func resultOf(a *forward.Answer, err error) outlier.Result {
	if a != nil {
		return outlier.Result{
			Failed:   a.Status() >= http.StatusInternalServerError,
			Draining: a.Draining(),
		}
	}
	var fe *forward.Error
	if !errors.As(err, &fe) {
		return outlier.Result{
			Ignored: true,
		}
	}
	return outlier.Result{
		Failed:   true,
		Ignored:  !fe.CountsAgainstTarget(),
		Draining: fe.Draining(),
		Shed:     fe.Kind() == forward.KindShed,
		Replaced: fe.Kind() == forward.KindOtherTarget,

		Unreached: fe.Kind() == forward.KindConnect,
	}
}

// withBody returns the result of an attempt after the body of its answer was read, with the error of reading it.
func withBody(end outlier.Result, err error) outlier.Result {
	var fe *forward.Error
	if errors.As(err, &fe) {
		end.Failed = true
		end.Ignored = !fe.CountsAgainstTarget()
	}
	return end
}
