// SPDX-License-Identifier: Apache-2.0

package entry

import (
	"context"
	"net"
	"net/http"
	"strings"
	"time"

	"ploverjunction.example/ploverjunction/internal/fleetconfig"
)

// admitted is a request that passed all checks.
type admitted struct {
	config    *fleetconfig.Config
	route     *fleetconfig.Route
	workspace string
	// wait is the time to the first byte of an answer.
	wait     time.Duration
	deadline time.Time
	maxBody  int64
}

// admit checks a request before any work is done for it.
func (s *Server) admit(r *http.Request, now time.Time) (*admitted, *Error) {
	cfg := s.cfg.Config()
	if cfg == nil || len(cfg.Services()) == 0 {
		cfg = s.await(r)
	}
	if cfg == nil {
		e := refuse(CodeNotReady, http.StatusServiceUnavailable)
		e.retryAfter = comeBack
		return nil, e
	}
	if err := checkForm(r); err != nil {
		return nil, err
	}
	route, match := cfg.Route(hostOnly(r.Host), r.URL.Path, r.Method)
	switch match {
	case fleetconfig.MatchNone:
		return nil, refuse(CodeNoRoute, http.StatusNotFound)
	case fleetconfig.MatchPath:
		return nil, refuse(CodeMethod, http.StatusMethodNotAllowed)
	}
	a := &admitted{
		config:    cfg,
		route:     route,
		workspace: r.Header.Get(s.cfg.WorkspaceHeader),
		maxBody:   s.cfg.MaxBody,
	}
	if most := cfg.Limits().MaxBody(); most > 0 {
		a.maxBody = most
	}
	if route.MaxBody() > 0 {
		a.maxBody = route.MaxBody()
	}
	if r.ContentLength > a.maxBody {
		return nil, refuse(CodeBodySize, http.StatusRequestEntityTooLarge)
	}
	wait, err := s.callerWait(r, route)
	if err != nil {
		return nil, err
	}
	a.wait = wait
	a.deadline = now.Add(wait)
	return a, s.checkWorkspace(a, now)
}

// checkForm refuses requests whose meaning a target may read otherwise.
func checkForm(r *http.Request) *Error {
	if r.Method == http.MethodConnect || r.Method == http.MethodTrace {
		return refuse(CodeMethod, http.StatusMethodNotAllowed)
	}
	if bothLengths(r) {
		return refuse(CodeBadRequest, http.StatusBadRequest)
	}
	p := r.URL.Path
	if !strings.HasPrefix(p, "/") || r.URL.IsAbs() && r.URL.Host != r.Host {
		return refuse(CodeBadPath, http.StatusBadRequest)
	}
	// A target may resolve dot segments and read "\" as "/": the request would
	// then reach another route's path.
	if strings.ContainsAny(p, "\\\x00") || hasDotSegment(p) {
		return refuse(CodeBadPath, http.StatusBadRequest)
	}
	return nil
}

func hasDotSegment(path string) bool {
	for seg := range strings.SplitSeq(path, "/") {
		if seg == "." || seg == ".." {
			return true
		}
	}
	return false
}

func hostOnly(hostport string) string {
	host, _, err := net.SplitHostPort(hostport)
	if err != nil {
		host = hostport
	}
	return strings.ToLower(host)
}

func (s *Server) callerWait(r *http.Request, route *fleetconfig.Route) (time.Duration, *Error) {
	longest := route.Deadline()
	if longest == 0 {
		longest = s.cfg.Deadline
	}
	d, err := s.cfg.Contract.CallerWait(r.Header)
	if err != nil {
		e := refuse(CodeBadRequest, http.StatusBadRequest)
		e.cause = err
		return 0, e
	}
	if d == 0 {
		return longest, nil
	}
	return min(d, longest), nil
}

func (s *Server) checkWorkspace(a *admitted, now time.Time) *Error {
	if a.config.Workspaces() == 0 {
		return nil
	}
	w := a.config.Workspace(a.workspace)
	if w == nil {
		return refuse(CodeWorkspace, http.StatusForbidden)
	}
	wait := s.limiter.Admit(now, w.ID(), w.Rate(), w.Burst(), s.cfg.Nodes())
	if wait > 0 {
		e := refuse(CodeRate, http.StatusTooManyRequests)
		e.retryAfter = wait
		return e
	}
	return nil
}

// await waits a moment for the first configuration of a process that starts.
func (s *Server) await(r *http.Request) *fleetconfig.Config {
	d, err := s.cfg.Contract.CallerWait(r.Header)
	if err != nil || d == 0 {
		// What is wrong with the request is told once there is a configuration.
		d = s.cfg.Deadline
	}
	ctx, cancel := context.WithTimeout(r.Context(), startWait(d))
	defer cancel()
	return s.cfg.AwaitConfig(ctx)
}

// startWait returns how long the request of a caller that waits for d waits for the first
// configuration.
func startWait(d time.Duration) time.Duration { return min(d/startPart, startMost) }
