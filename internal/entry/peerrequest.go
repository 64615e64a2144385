// SPDX-License-Identifier: Apache-2.0

package entry

import (
	"context"
	"net/http"
	"time"

	"ploverjunction.example/ploverjunction/internal/attempt"
	"ploverjunction.example/ploverjunction/internal/fleetconfig"
)

// This file serves requests of peers that reach no target themselves.

// PeerWriter is the way back to a peer. Refuse and WriteHeader exclude each other.
type PeerWriter interface {
	http.ResponseWriter
	// Accept accepts the head of the request and waits for its body; the peer may be gone by then.
	Accept() error
	// Refuse sends the final answer to a request that no target answered. unable is set if another
	// node may be able to make attempts.
	Refuse(e *PeerRefusal, unable bool)
	// Service returns the service that the request's node chose.
	Service() string
}

// drainInterval is the time between two checks whether the requests of peers have ended.
const drainInterval = 10 * time.Millisecond

// peerHeadKey is the context key of the PeerHead of a request.
type peerHeadKey struct{}

// peerHeadOf returns the head of a request of a peer, or nil for a caller's.
func peerHeadOf(r *http.Request) *PeerHead {
	h, _ := r.Context().Value(peerHeadKey{}).(*PeerHead)
	return h
}

// BeginPeer counts an exchange with a peer until end is called. A planned stop waits for its end: the last part of the
// answer is sent after ServePeer has returned.
func (s *Server) BeginPeer() (end func()) {
	s.peerRequests.Add(1)
	return func() { s.peerRequests.Add(-1) }
}

// ServePeer makes the attempts for a request of a peer, within BeginPeer. The peer has charged it to the limit of its
// workspace and records how it ended.
func (s *Server) ServePeer(w PeerWriter, r *http.Request, h *PeerHead) error {
	s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	r = r.WithContext(context.WithValue(r.Context(), peerHeadKey{}, h))
	if s.closing.Load() || s.reach.Lost(h.Service) {
		refuseUnable(w)
		return nil
	}
	in, fail := s.admit(r, h.Started)
	if fail != nil {
		s.refuse(w, h.ID, in, fail)
		return nil
	}
	if !in.route.Uses(h.Service) {
		// The route leads elsewhere by the configuration of this node, which is older or newer than its peer's.
		refuseUnable(w)
		return nil
	}
	if err := w.Accept(); err != nil {
		return err
	}
	s.forward(w, r, h.ID, h.Started, in)
	return nil
}

// refuseUnable refuses a request that another node may be able to serve.
func refuseUnable(w PeerWriter) {
	w.Refuse(&PeerRefusal{
		Code:   CodeNoTarget,
		Status: http.StatusServiceUnavailable,

		Outcome: attempt.OutcomeNotRun,
	}, true)
}

// unableFor reports whether another node may serve a request of a peer that ends with an error.
func (s *Server) unableFor(w PeerWriter, e *Error) bool {
	switch e.code {
	case CodeMemory, CodeNotReady, CodeKeyNotChecked:
		return true
	default:
		return e.outcome == attempt.OutcomeNotRun && s.reach.Lost(w.Service())
	}
}

// serviceOf returns the service of a request: the one that its node chose, or one of the route by weight.
func serviceOf(r *http.Request, in *admission, random uint64) *fleetconfig.Service {
	if h := peerHeadOf(r); h != nil {
		return in.config.Service(h.Service)
	}
	return in.route.ChooseService(random)
}

// waitForPeerRequests waits until the requests of peers have ended, or the context ends.
func (s *Server) waitForPeerRequests(ctx context.Context) error {
	tick := time.NewTicker(drainInterval)
	defer tick.Stop()
	for s.peerRequests.Load() > 0 {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		}
	}
	return nil
}
