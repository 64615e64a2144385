// SPDX-License-Identifier: Apache-2.0

package entry

import (
	"fmt"
	"net"
	"net/http"

	"ploverjunction.example/ploverjunction/internal/quarantine"
)

// QuarantineError reports that targets crashed under a request.
type QuarantineError struct {
	status quarantine.Status
}

// Error names the number of crashes and the fingerprint.
func (e *QuarantineError) Error() string {
	return fmt.Sprintf("entry: %d targets crashed under request %s", e.status.Crashes, e.status.Fingerprint)
}

// quarantine returns the refusal of a request under which too many targets crashed, or nil. The
// refused request was not run; the answer says when the caller may retry.
func (x *relay) quarantine() *Error {
	s := x.server.cfg.Quarantined(x.fingerprints)
	x.suspect.Store(s.Suspect())
	if !s.Held() {
		return nil
	}
	e := refuse(CodeQuarantined, http.StatusServiceUnavailable)
	e.retryAfter = s.Wait
	e.cause = &QuarantineError{
		status: s,
	}
	return e
}

// fingerprintsOf returns the fingerprints of a request's content. The host is the route's: callers
// of a route for any host may reach each node under a different one.
func fingerprintsOf(r *http.Request, in *admission, b *body) quarantine.Fingerprints {
	return quarantine.NewFingerprints(quarantine.Request{
		Method: r.Method,
		Host:   in.route.Host(),
		URI:    r.URL.RequestURI(),
		Caller: callerOf(r, in),
		Body:   b.prefix(),
		Length: b.length,
	})
}

// callerOf names the caller: the workspace, or the address where there is none.
func callerOf(r *http.Request, in *admission) string {
	if in.workspace != "" {
		return in.workspace
	}
	ip, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		return r.RemoteAddr
	}
	return ip
}
