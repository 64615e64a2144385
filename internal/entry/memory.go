// SPDX-License-Identifier: Apache-2.0

package entry

import (
	"net/http"
	"time"

	"ploverjunction.example/ploverjunction/internal/forward"
	"ploverjunction.example/ploverjunction/internal/memory"
)

const (
	// smallBody is the size in bytes up to which a body is not counted: requests with small bodies
	// and answers are served however many large ones wait for slow callers or targets.
	smallBody = 4 << 10
	// streamBuffers is the memory in bytes that a streamed body takes: 32 KiB to copy, 32 KiB for the
	// target's connection, 32 KiB for the beginning of a request's body or the caller's connection
	// and its stacks, and 64 KiB that the kernel holds for a caller or target that is slow.
	streamBuffers = 160 << 10
	// callerBuffer is the size in bytes of the kernel's buffer in each direction of a caller's
	// connection; Linux doubles it. A caller 1.4 ms away can still be sent 40 MB per second.
	callerBuffer = 32 << 10
	// memoryRetryAfter is the Retry-After of requests refused for lack of memory.
	memoryRetryAfter = time.Second
)

// reserveBody reserves n bytes for a body and reports whether they were available. release returns
// them and must be called once.
func reserveBody(b *memory.Budget, n int64) (release func(), ok bool) {
	if !b.Bounded() || n <= smallBody {
		return func() {}, true
	}
	if !b.Reserve(n) {
		return nil, false
	}
	return func() { b.Release(n) }, true
}

// chargeBody counts n bytes of a body that is there already, whether or not they were available. Bodies
// that come later are refused in turn. release returns them and must be called once.
func chargeBody(b *memory.Budget, n int64) (release func()) {
	if !b.Bounded() || n <= 0 {
		return func() {}
	}
	b.Charge(n)
	return func() { b.Release(n) }
}

// bodyCost returns how many bytes of a body of the given length are held at once; -1 means that
// the length is unknown.
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

// reserve reserves memory for a request's body and its answer, or refuses the request before its
// body is read. The expected size of the answer is that of the route; forAnswer is what is reserved
// for it.
func (s *Server) reserve(r *http.Request, in *admission) (release func(), forAnswer int64, fail *Error) {
	up, ok := reserveBody(s.requestBodies, bodyCost(r.ContentLength, s.cfg.HoldBody))
	if !ok {
		return nil, 0, noMemory()
	}
	forAnswer = bodyCost(int64(s.sizes.expected(in.route))<<10, s.cfg.HoldBody)
	if forAnswer <= smallBody {
		forAnswer = 0
	}
	down, ok := reserveBody(s.answerBodies, forAnswer)
	if !ok {
		up()
		return nil, 0, noMemory()
	}
	return func() {
		up()
		down()
	}, forAnswer, nil
}

// chargeAnswer counts what an answer takes beyond what was reserved for it.
func (x *relay) chargeAnswer(a *forward.Answer) (release func()) {
	cost := bodyCost(a.Length(), x.server.cfg.HoldBody)
	if cost <= smallBody {
		return func() {}
	}
	return chargeBody(x.server.answerBodies, cost-x.forAnswer)
}

func noMemory() *Error {
	e := refuse(CodeMemory, http.StatusServiceUnavailable)
	e.retryAfter = memoryRetryAfter
	return e
}

// Held returns an upper bound of the bytes held for the requests and answers in flight.
func (s *Server) Held() (requests, answers int64) {
	return s.requestBodies.Used(), s.answerBodies.Used()
}
