// SPDX-License-Identifier: Apache-2.0

package entry

import (
	"fmt"
	"net"
	"net/http"

	"ploverjunction.example/ploverjunction/internal/quarantine"
)

// QuarantineError says that targets ended under a request.
type QuarantineError struct {
	status quarantine.Status
}

// Error says how many did.
func (e *QuarantineError) Error() string {
	return fmt.Sprintf("entry: %d targets ended under the request %s", e.status.Crashes, e.status.Fingerprint)
}

// quarantine looks at what the fleet knows of the request. It returns the answer to one under
// which too many targets ended: it has not run this time, and its caller learns when it may.
func (x *relay) quarantine() *Error {
	s := x.server.cfg.Quarantined(x.fingerprints)
	x.suspect.Store(s.Suspect())
	if !s.Held() {
		return nil
	}
	e := refuse(CodeQuarantine, http.StatusServiceUnavailable)
	e.retryAfter = s.Wait
	e.cause = &QuarantineError{
		status: s,
	}
	return e
}

// fingerprintsOf returns what names a request by what it asks for. The host is the route's: callers
// of a route for any host may reach each node by another one.
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

// callerOf names who asks: the workspace, or the address where there is none.
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
