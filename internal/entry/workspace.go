// SPDX-License-Identifier: Apache-2.0

package entry

import (
	"context"
	"net/http"
	"time"

	"ploverjunction.example/ploverjunction/internal/fleetconfig"
)

// Bounds of requests whose key is not known yet.
const (
	// maxAwaitingConfig is how many requests of a node wait for news at a time. Anyone can send
	// keys that don't exist: they must not fill its memory.
	maxAwaitingConfig = 64
	// rankSpan is how many ranks of routes lie between two of workspaces.
	rankSpan = 1 << 8
)

// owner finds the workspace of a request, or says why it may not go on. It is nil
// where none is needed.
func (s *Server) owner(r *http.Request, a *admission) (*fleetconfig.Workspace, *Error) {
	if a.config.Workspaces() == 0 {
		return nil, nil
	}
	if !s.cfg.Keyed {
		a.workspace = r.Header.Get(s.cfg.WorkspaceHeader)
		owner := a.config.Workspace(a.workspace)
		if owner == nil {
			return nil, refuse(CodeWorkspace, http.StatusForbidden)
		}
		return owner, nil
	}
	key, shown := s.cfg.Contract.Credential(r.Header)
	if !shown {
		if a.route.Public() {
			return nil, nil
		}
		return nil, refuse(CodeNoKey, http.StatusUnauthorized)
	}
	owner := a.config.WorkspaceByKey(fleetconfig.DigestKey(key))
	if owner == nil {
		return nil, refuse(CodeKey, http.StatusUnauthorized)
	}
	a.workspace = owner.ID()
	if s.cfg.Trusted != nil && !s.cfg.Trusted() {
		return nil, keyNotChecked(refuse(CodeKey, http.StatusUnauthorized))
	}
	return owner, nil
}

// rank returns the rank of a request under overload: that of its workspace, and that
// of its route among requests of workspaces with the same one. Callers who don't say
// who they are come with the least urgent workspaces.
func rank(cfg *fleetconfig.Config, owner *fleetconfig.Workspace, route *fleetconfig.Route) int {
	priority := cfg.LeastUrgent()
	if owner != nil {
		priority = owner.Priority()
	}
	return priority*rankSpan + min(route.Priority(), rankSpan-1)
}

// mayBeOutdated reports whether a newer configuration may allow what was refused: a key
// that is not known may be one that was just given out.
func (e *Error) mayBeOutdated() bool { return e.code == CodeKey || e.code == CodeNoKey }

// keyNotChecked returns the answer to a request of which this node can't know whether the
// newest configuration allows it.
func keyNotChecked(cause *Error) *Error {
	e := refuse(CodeKeyUnsure, http.StatusServiceUnavailable)
	e.retryAfter = keyRetryAfter
	e.cause = cause
	return e
}

// keyRetryAfter is when a caller whose key could not be checked may come back. Nodes that
// lost the platform are back in touch within seconds, and another one may be.
const keyRetryAfter = time.Second

// awaitCurrent waits until this node can know the newest configuration, for the part of the
// caller's time that a request of a starting node waits for the first one.
func (s *Server) awaitCurrent(r *http.Request) bool {
	if s.awaitingConfig.Add(1) > maxAwaitingConfig {
		s.awaitingConfig.Add(-1)
		return false
	}
	defer s.awaitingConfig.Add(-1)
	ctx, cancel := context.WithTimeout(r.Context(), startWait(s.callerTimeout(r)))
	defer cancel()
	return s.cfg.AwaitCurrent(ctx)
}

// checkLimit takes a request into account of its workspace's limit.
func (s *Server) checkLimit(ctx context.Context, a *admission) *Error {
	if a.owner == nil {
		return nil
	}
	if over := s.cfg.Limit(ctx, a.owner, startWait(a.timeout)); over != nil {
		e := refuse(CodeRate, http.StatusTooManyRequests)
		e.retryAfter = over.Wait
		e.cause = over
		return e
	}
	return nil
}

// LimitError says why a request is beyond the limit of its workspace.
type LimitError struct {
	// Wait is when the caller may come back.
	Wait time.Duration
	// By says who decided.
	By string
	// Rate is the limit in requests a second. Level are the tokens that were left for all
	// nodes and Kept the part of the rate that is kept back for nodes out of reach, by what
	// the allocator said Age ago.
	Rate  float64
	Level float64
	Kept  float64
	Age   time.Duration
}

// Error says who decided.
func (e *LimitError) Error() string { return "entry: beyond the limit, by " + e.By }
