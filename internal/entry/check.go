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

// admission is the result of the checks of a request; for a refused one it holds what was found
// until then.
type admission struct {
	config *fleetconfig.Config
	route  *fleetconfig.Route
	// workspace is the ID of the caller's workspace; it may be empty. owner is the workspace
	// itself, nil where none is needed.
	workspace string
	owner     *fleetconfig.Workspace
	// repeatable reports whether the request may run more than once.
	repeatable bool
	// rank is the priority under overload; 0 is served first.
	rank int
	// timeout is the time to the first byte of the answer.
	timeout  time.Duration
	deadline time.Time
	maxBody  int64
}

// workspaceID returns the ID of the request's workspace, "" where it is not known.
func (a *admission) workspaceID() string {
	if a == nil {
		return ""
	}
	return a.workspace
}

// regions returns the region restrictions of the request's route and workspace.
func (a *admission) regions() []fleetconfig.Regions {
	var out []fleetconfig.Regions
	if r := a.route.Regions(); len(r) > 0 {
		out = append(out, r)
	}
	if a.owner != nil && len(a.owner.Regions()) > 0 {
		out = append(out, a.owner.Regions())
	}
	return out
}

// admit checks a request before any work is done for it. The admission of a refused request may be
// nil.
func (s *Server) admit(r *http.Request, now time.Time) (*admission, *Error) {
	cfg := s.cfg.Config()
	if cfg == nil || len(cfg.Services()) == 0 {
		cfg = s.awaitConfig(r)
	}
	if cfg == nil {
		e := refuse(CodeNotReady, http.StatusServiceUnavailable)
		e.retryAfter = retryAfterDefault
		return nil, e
	}
	a, fail := s.check(cfg, r, now)
	if fail == nil || !fail.mayBeOutdated() || s.cfg.Current() {
		return a, fail
	}
	if !s.awaitCurrent(r) {
		return a, keyNotChecked(fail)
	}
	return s.check(s.cfg.Config(), r, now)
}

// check checks a request against a configuration.
func (s *Server) check(cfg *fleetconfig.Config, r *http.Request, now time.Time) (*admission, *Error) {
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
	a := &admission{
		config:  cfg,
		route:   route,
		maxBody: s.cfg.MaxBody,

		repeatable: route.Repeatable(),
	}
	var fail *Error
	if a.owner, fail = s.owner(r, a); fail != nil {
		return a, fail
	}
	a.rank = rank(cfg, a.owner, route)
	if maxBody := cfg.Limits().MaxBody(); maxBody > 0 {
		a.maxBody = maxBody
	}
	if route.MaxBody() > 0 {
		a.maxBody = route.MaxBody()
	}
	if r.ContentLength > a.maxBody {
		return a, refuse(CodeBodySize, http.StatusRequestEntityTooLarge)
	}
	a.timeout, fail = s.requestTimeout(r, route)
	if fail != nil {
		return a, fail
	}
	if h := peerHeadOf(r); h != nil {
		// The peer has charged the request to the limit.
		a.deadline = h.Deadline
		a.repeatable = a.repeatable && !h.NonRepeatable
		return a, nil
	}
	a.deadline = now.Add(a.timeout)
	if fail := s.checkTimeLeft(a, time.Now()); fail != nil {
		return a, fail
	}
	return a, s.checkLimit(r.Context(), a)
}

// checkForm refuses requests that a target may interpret differently.
func checkForm(r *http.Request) *Error {
	if r.Method == http.MethodConnect || r.Method == http.MethodTrace {
		return refuse(CodeMethod, http.StatusMethodNotAllowed)
	}
	if hasLengthAndChunks(r) {
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

func (s *Server) requestTimeout(r *http.Request, route *fleetconfig.Route) (time.Duration, *Error) {
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

// awaitConfig waits for the first configuration of a process that is starting.
func (s *Server) awaitConfig(r *http.Request) *fleetconfig.Config {
	ctx, cancel := context.WithTimeout(r.Context(), startWait(s.callerTimeout(r)))
	defer cancel()
	return s.cfg.AwaitConfig(ctx)
}

// callerTimeout returns how long the caller waits. An invalid header is refused later, once there
// is a configuration.
func (s *Server) callerTimeout(r *http.Request) time.Duration {
	d, err := s.cfg.Contract.CallerWait(r.Header)
	if err != nil || d == 0 {
		return s.cfg.Deadline
	}
	return d
}

// startWait returns how long a request, whose caller waits for d, waits for the first
// configuration and for other state that a starting node lacks.
func startWait(d time.Duration) time.Duration { return min(d/startWaitDivisor, maxStartWait) }
