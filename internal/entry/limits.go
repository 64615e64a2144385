// SPDX-License-Identifier: Apache-2.0

package entry

import (
	"fmt"
	"net/http"
	"time"

	"ploverjunction.example/ploverjunction/internal/attempt"
	"ploverjunction.example/ploverjunction/internal/fleetconfig"
)

// Limits of callers' connections where the configuration publishes none.
const (
	headerTimeout = 10 * time.Second
	callerIdle    = 2 * time.Minute
	// unusedGrace is how long a connection without a byte of a request stays open during a planned stop: as long as in
	// net/http.
	unusedGrace = 5 * time.Second
	// maxHeaderSize is the greatest size in bytes of a header that can be published.
	maxHeaderSize = 1 << 20
)

// limits returns the published limits, nil before the first configuration.
func (s *Server) limits() *fleetconfig.Limits {
	cfg := s.cfg.Config()
	if cfg == nil {
		return nil
	}
	return cfg.Limits()
}

// maxHeader returns the greatest size of a request's header in bytes.
func (s *Server) maxHeader() int64 {
	if l := s.limits(); l != nil && l.MaxHeader() > 0 {
		return min(l.MaxHeader(), maxHeaderSize)
	}
	if s.cfg.MaxHeader > 0 {
		return min(s.cfg.MaxHeader, maxHeaderSize)
	}
	return maxHeaderSize
}

// headerTimeout returns how long a request's header may take.
func (s *Server) headerTimeout() time.Duration {
	if l := s.limits(); l != nil && l.HeaderTimeout() > 0 {
		return l.HeaderTimeout()
	}
	return headerTimeout
}

// idleTimeout returns how long a caller's connection may be idle.
func (s *Server) idleTimeout() time.Duration {
	if l := s.limits(); l != nil && l.IdleTimeout() > 0 {
		return l.IdleTimeout()
	}
	return callerIdle
}

// headRefusal returns the answer to a request whose header is not read to its end: it was not run.
func (s *Server) headRefusal(status int) string {
	c := s.cfg.Contract
	text := fmt.Sprintf("HTTP/1.1 %d %s\r\nContent-Length: 0\r\nConnection: close\r\n", status, http.StatusText(status))
	if c.Outcome != "" {
		text += c.Outcome + ": " + attempt.OutcomeNotRun.String() + "\r\n"
	}
	if status == http.StatusServiceUnavailable {
		text += "Retry-After: " + c.RetryAfter(memoryRetryAfter) + "\r\n"
	}
	return text + "\r\n"
}
