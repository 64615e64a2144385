// SPDX-License-Identifier: Apache-2.0

package entry

import (
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"ploverjunction.example/ploverjunction/internal/attempt"
	"ploverjunction.example/ploverjunction/internal/forward"
)

// This file has peers make the attempts for requests whose targets this node does not reach.

const (
	// maxPeers is how many peers are asked in turn for one attempt, a round trip each.
	maxPeers = 4
	// peerMargin is how much earlier the deadline of a peer is, so that its answer is in time.
	peerMargin = 20 * time.Millisecond
)

// Peer is another node that may make attempts for this one.
type Peer struct {
	Address string
	// Forward has the peer answer a request. Its error is a *forward.ViaError, not accepted if it is
	// proved that the peer made no attempt and another one may be able to.
	Forward func(r *http.Request, h *PeerHead) (*http.Response, error)
}

// PeerHead is what a node and a peer that makes attempts for it agree on besides the request.
type PeerHead struct {
	// ID is the ID of the request, Service the service that its node chose.
	ID      string
	Service string
	// Caller is the address of the caller.
	Caller string
	// Started is when the request arrived.
	Started  time.Time
	Deadline time.Time
	// Runs is the number of attempts of its node that may have run. Counted is set where the retry
	// budget has counted the next attempt.
	Runs    int
	Counted bool
	// NonRepeatable is set where the configuration of its node does not allow the request to run more
	// than once. The peer may have another version of it.
	NonRepeatable bool
	// Avoid are keys of targets that must not get the request: it was sent to them before, or they
	// signalled its node that they drain or back off.
	Avoid []string
}

// PeerRefusal is the final answer of a peer to a request that no target answered.
type PeerRefusal struct {
	Code       Code
	Status     int
	Outcome    attempt.Outcome
	RetryAfter time.Duration
}

// Error names the code and the outcome.
func (e *PeerRefusal) Error() string {
	return "entry: peer: " + string(e.Code) + " (" + e.Outcome.String() + ")"
}

// needsPeer reports whether attempts of the request are left to peers: this node reaches no target
// of its service. A request of a peer is never passed on.
func (x *relay) needsPeer() bool {
	return x.peerHead == nil && x.server.cfg.Peers != nil && x.server.reach.Lost(x.service.Name())
}

// runAtPeer has a peer make the attempt, and reports whether the attempt has ended. It has not if all
// peers are unable; the body can still be sent then.
func (t *try) runAtPeer(ctx context.Context) bool {
	x := t.relay
	x.atPeer.Store(true)
	var unable error
	for _, p := range x.server.cfg.Peers(x.service.Name(), maxPeers) {
		reader, ok := x.body.open()
		if !ok {
			break
		}
		t.chosen = time.Now()
		a, err := x.server.client.Do(ctx, x.peerRequest(t, p, reader))
		if err != nil && !x.acceptedByPeer(err) {
			x.server.cfg.PeerUnable(x.service.Name(), p.Address)
			unable = err
			continue
		}
		t.endAtPeer(p, a, err)
		return true
	}
	reader, ok := x.body.open()
	if !ok {
		t.endAtPeer(Peer{}, nil, unable)
		return true
	}
	t.reader = reader
	x.atPeer.Store(false)
	return false
}

// endAtPeer sends the result of an attempt that a peer made.
func (t *try) endAtPeer(p Peer, a *forward.Answer, err error) {
	t.peer = p.Address
	t.relay.logPeer(t, a, err)
	t.relay.results <- result{
		try:    t,
		answer: a,
		err:    err,
	}
}

// acceptedByPeer reports whether a request that failed at a peer ended there.
func (x *relay) acceptedByPeer(err error) bool {
	var via *forward.ViaError
	return !errors.As(err, &via) || via.Accepted
}

func (x *relay) peerRequest(t *try, p Peer, body io.Reader) *forward.Request {
	h := &PeerHead{
		ID:       x.id,
		Service:  x.service.Name(),
		Caller:   x.req.RemoteAddr,
		Started:  x.started,
		Deadline: x.tracker.Deadline().Add(-peerMargin),
		Runs:     t.runs,
		Counted:  t.replacement,

		NonRepeatable: !x.admission.repeatable,
	}
	x.mu.Lock()
	for _, key := range x.tried {
		if !slices.Contains(x.unreached, key) {
			h.Avoid = append(h.Avoid, key)
		}
	}
	x.mu.Unlock()
	if x.server.cfg.Unavailable != nil {
		h.Avoid = append(h.Avoid, x.server.cfg.Unavailable(x.service)...)
	}
	header := endToEnd(x.server.cfg.Contract, x.req.Header)
	for _, name := range []string{"Range", "If-Range"} {
		if v := x.header.Get(name); v != "" {
			header.Set(name, v)
		}
	}
	if x.server.cfg.Contract.Forwarded {
		header.Add("Via", via)
	}
	return &forward.Request{
		ID:     x.id,
		Target: p.Address,

		Repeatable: x.admission.repeatable,

		Method:   x.req.Method,
		Host:     x.req.Host,
		URI:      x.req.URL.RequestURI(),
		Header:   header,
		Body:     body,
		Length:   x.body.length,
		Deadline: x.tracker.Deadline(),
		Via:      func(r *http.Request) (*http.Response, error) { return p.Forward(r, h) },
	}
}

// recordPeerRefusal records the final answer of a peer, which is that of the request.
func (x *relay) recordPeerRefusal(t *try, e *PeerRefusal) {
	x.recordOnce(t, e.Outcome)
	x.proofs = append(x.proofs, peerProof(e))
	x.peerRefusal = e
	x.blockReason = attempt.ReasonTargets
	x.retryAfter = e.RetryAfter
	x.lastErr = e
}

// peerProof returns what a peer's refusal proves of its attempts.
func peerProof(e *PeerRefusal) string {
	if e.Outcome != attempt.OutcomeNotRun {
		return "none"
	}
	return string(forward.ProofPeer)
}

// refusedByPeer returns the final answer of a request that a peer refused. A request of which an
// earlier attempt may have run is not answered as one that has not.
func (x *relay) refusedByPeer() *Error {
	e := x.peerRefusal
	if x.tracker.Outcome() != e.Outcome {
		return newFinalError(x.tracker, attempt.ReasonTargets, e.RetryAfter, e)
	}
	out := &Error{
		code:       e.Code,
		status:     e.Status,
		outcome:    e.Outcome,
		retryAfter: e.RetryAfter,
		cause:      e,
	}
	// A time below a millisecond is 0 in the peer's message.
	if out.status == http.StatusServiceUnavailable && out.retryAfter <= 0 {
		out.retryAfter = retryAfterDefault
	}
	return out
}

// logPeer logs an attempt that a peer made.
func (x *relay) logPeer(t *try, a *forward.Answer, err error) {
	l := x.server.log.WithFields(logrus.Fields{
		"request":  x.id,
		"service":  x.service.Name(),
		"revision": x.admission.config.Position().Revision(),
		"peer":     t.peer,
		"took_ms":  time.Since(t.chosen).Milliseconds(),
		"again":    t.retry,
	})
	if broken := x.body.readError(); broken != nil {
		l = l.WithField("body_error", broken.Error())
	}
	if err != nil {
		l.WithError(err).Warn("attempt at a peer failed")
		return
	}
	l.WithField("status", a.Status()).Info("attempt answered by a peer")
}
