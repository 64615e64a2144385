// SPDX-License-Identifier: Apache-2.0

package entry

import (
	"net/http"
	"sync/atomic"
	"time"
)

const (
	// smallBody is up to how many bytes a body counts for nothing: requests with small bodies
	// and answers are served however many large ones wait for slow callers or targets.
	smallBody = 4 << 10
	// streamBuffers is what a body takes that is passed on as it comes.
	streamBuffers = 64 << 10
	// memoryRetryAfter is when a caller may come back whose body found no room.
	memoryRetryAfter = time.Second
)

// memory bounds what a node holds of bodies in one direction. It may be used concurrently.
type memory struct {
	// limit is in bytes; 0 is no bound.
	limit int64
	used  atomic.Int64
}

// reserve reserves bytes for a body, and reports whether there is room for them. What it returns gives
// them back, once.
func (m *memory) reserve(n int64) (release func(), ok bool) {
	if m.limit == 0 || n <= smallBody {
		return func() {}, true
	}
	if m.used.Add(n) > m.limit {
		m.used.Add(-n)
		return nil, false
	}
	return func() { m.used.Add(-n) }, true
}

// bodyCost returns how many bytes of a body of a length are held at once, -1 for one that isn't known.
func bodyCost(length, hold int64) int64 {
	switch {
	case length < 0:
		return hold + streamBuffers
	case length > hold:
		return streamBuffers
	default:
		return length
	}
}

// reserve takes the memory that a request needs for its body and its answer, or refuses it before
// any of it is read. The answer's size is that of the route's others.
func (s *Server) reserve(r *http.Request, in *admission) (release func(), fail *Error) {
	up, ok := s.inbound.reserve(bodyCost(r.ContentLength, s.cfg.HoldBody))
	if !ok {
		return nil, noMemory()
	}
	down, ok := s.outbound.reserve(bodyCost(int64(s.sizes.expected(in.route))<<10, s.cfg.HoldBody))
	if !ok {
		up()
		return nil, noMemory()
	}
	return func() {
		up()
		down()
	}, nil
}

func noMemory() *Error {
	e := refuse(CodeMemory, http.StatusServiceUnavailable)
	e.retryAfter = memoryRetryAfter
	return e
}

// Held returns how many bytes of requests and of answers are held at most for those under way.
func (s *Server) Held() (requests, answers int64) {
	return s.inbound.used.Load(), s.outbound.used.Load()
}
