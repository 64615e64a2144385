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
	// maxAwaitingConfig bounds the requests of a node that wait for a configuration with their
	// key. Anyone can send keys that do not exist; they must not exhaust its memory.
	maxAwaitingConfig = 64
	// rankSpan is the number of ranks for routes within one workspace priority.
	rankSpan = 1 << 8
)

// owner returns the workspace of a request, or why the request is refused. The workspace is nil
// where none is needed.
func (s *Server) owner(r *http.Request, a *admission) (*fleetconfig.Workspace, *Error) {
	if a.config.Workspaces() == 0 {
		return nil, nil
	}
	if !s.cfg.KeyIdentity {
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

// rank returns the priority of a request under overload: the workspace's first, then the route's.
// Callers without a workspace rank with the least urgent workspaces.
func rank(cfg *fleetconfig.Config, owner *fleetconfig.Workspace, route *fleetconfig.Route) int {
	priority := cfg.LeastUrgent()
	if owner != nil {
		priority = owner.Priority()
	}
	return priority*rankSpan + min(route.Priority(), rankSpan-1)
}

// mayBeOutdated reports whether a newer configuration may allow what was refused: an unknown key
// may have just been issued.
func (e *Error) mayBeOutdated() bool { return e.code == CodeKey || e.code == CodeNoKey }

// keyNotChecked returns the refusal of a request that the newest configuration may allow, where
// this node cannot have that configuration.
func keyNotChecked(cause *Error) *Error {
	e := refuse(CodeKeyNotChecked, http.StatusServiceUnavailable)
	e.retryAfter = keyRetryAfter
	e.cause = cause
	return e
}

// keyRetryAfter is the Retry-After of callers whose key could not be checked. Nodes that lost the
// platform reconnect within seconds, and another node may be connected.
const keyRetryAfter = time.Second

// awaitCurrent waits until this node can have the newest configuration, for at most startWait of
// the caller's timeout.
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

// checkLimit charges a request to its workspace's limit.
func (s *Server) checkLimit(ctx context.Context, a *admission) *Error {
	if a.owner == nil {
		return nil
	}
	if limitErr := s.cfg.Limit(ctx, a.owner, startWait(a.timeout)); limitErr != nil {
		e := refuse(CodeRate, http.StatusTooManyRequests)
		e.retryAfter = limitErr.Wait
		e.cause = limitErr
		return e
	}
	return nil
}

// LimitError reports that a request exceeds the limit of its workspace.
type LimitError struct {
	// Wait is when the caller may retry.
	Wait time.Duration
	// By names who decided.
	By string
	// Rate is the limit in requests per second. Level are the tokens left for all nodes and Kept
	// the share of the rate withheld for unreachable nodes, as the allocator reported Age ago.
	Rate       float64
	TokensLeft float64
	Withheld   float64
	Age        time.Duration
}

// Error names who decided.
func (e *LimitError) Error() string { return "entry: limit exceeded, decided by " + e.By }
