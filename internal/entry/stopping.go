// SPDX-License-Identifier: Apache-2.0

package entry

import (
	"fmt"
	"net/http"
	"time"

	"ploverjunction.example/ploverjunction/internal/attempt"
)

// This file refuses requests that cannot be answered before the end of a planned stop.

// StoppingError reports that a request was refused during a planned stop because too little time was left for its
// answer.
type StoppingError struct {
	// Needed is the time that the request needs: the usual time of such requests, or, if Bound is set, the longest time that
	// it may take. Left is the time after which unanswered requests were to be ended.
	Needed time.Duration
	Left   time.Duration
	Bound  bool
}

// Error names the time that the request needs and the time left.
func (e *StoppingError) Error() string {
	takes := "requests usually take"
	if e.Bound {
		takes = "the request may take"
	}
	return fmt.Sprintf("entry: planned stop: %s %v, %v left", takes, e.Needed, e.Left)
}

// plannedStop holds the times of a planned stop.
type plannedStop struct {
	// bounded is from when on a request must be answered by unanswered, when unanswered requests are ended, whatever is usual.
	bounded    time.Time
	unanswered time.Time
}

// ExpectEnd sets the time at which EndUnanswered will be called. From now on requests are refused that usually need longer than what
// is left until then, and from bounded on those that may need longer.
func (s *Server) ExpectEnd(bounded, unanswered time.Time) {
	s.stopping.Store(&plannedStop{
		bounded:    bounded,
		unanswered: unanswered,
	})
}

// checkTimeLeft refuses a request of which no attempt was made if a planned stop leaves too little time for it.
func (s *Server) checkTimeLeft(in *admission, now time.Time) *Error {
	stop := s.stopping.Load()
	if stop == nil {
		return nil
	}
	left := max(stop.unanswered.Sub(now), 0)
	// A request whose target works when unanswered requests are ended is cut, and some take longer than usual.
	bound := now.After(stop.bounded)
	needed := s.usualTime(in, now)
	if bound {
		needed = s.longestTime(in, now)
	}
	if needed < left {
		return nil
	}
	e := refuse(CodeNotReady, http.StatusServiceUnavailable)
	e.retryAfter = retryAfterDefault
	e.cause = &StoppingError{
		Needed: needed,
		Left:   left,
		Bound:  bound,
	}
	return e
}

// longestTime returns how long a request may take from now until its whole answer was delivered. It has an answer by its
// deadline, as an error if need be.
func (s *Server) longestTime(in *admission, now time.Time) time.Duration {
	t, _ := s.times.expected(in.route)
	return max(in.deadline.Sub(now), 0) + t.delivery
}

// usualTime returns how long a request is expected to take from now until its whole answer was delivered. For a route and a
// service without a known answer it is the target latency, or else the time until the deadline.
func (s *Server) usualTime(in *admission, now time.Time) time.Duration {
	deadline := max(in.deadline.Sub(now), 0)
	t, ok := s.times.expected(in.route)
	switch {
	case ok:
		return min(t.answer, deadline) + t.delivery
	case in.route.TargetLatency() > 0:
		return min(in.route.TargetLatency(), deadline)
	default:
		return deadline
	}
}

// unavailable returns a function that reports whether the attempt must not be sent to its target any more: the target is
// unavailable, or a planned stop leaves too little time for the request. Time is no reason if the request may have run
// already: another attempt may bring its caller an answer then, and a cut one proves no less.
func (t *try) unavailable(target func(now time.Time) bool) func(now time.Time) bool {
	if t.runs > 0 || t.hedge {
		return target
	}
	return func(now time.Time) bool {
		return target(now) || t.relay.server.checkTimeLeft(t.relay.admission, now) != nil
	}
}

// mayBegin reports whether a planned stop leaves enough time for the next attempt; the request may run already, or have
// run.
func (x *relay) mayBegin() bool {
	if x.tracker.PossibleRuns() > 0 || len(x.running) > 0 {
		return true
	}
	x.stopping = x.server.checkTimeLeft(x.admission, time.Now())
	return x.stopping == nil
}

// recordTime records how long the answer to a request and its delivery took.
func (x *relay) recordTime(began, answered, delivered time.Time) {
	x.server.times.add(x.admission.route, x.service.Name(), answered.Sub(began), delivered.Sub(answered))
}

// endedBody returns the error of a request whose body was being read when unanswered requests were ended; others keep
// their own.
func (s *Server) endedBody(in *admission, fail *Error) *Error {
	if s.unanswered.Err() == nil || fail.code != CodeDeadline || fail.outcome != attempt.OutcomeNotRun {
		return fail
	}
	if stopping := s.checkTimeLeft(in, time.Now()); stopping != nil {
		return stopping
	}
	return fail
}
