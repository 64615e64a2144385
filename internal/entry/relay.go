// SPDX-License-Identifier: Apache-2.0

package entry

import (
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"time"

	"ploverjunction.example/ploverjunction/internal/attempt"
	"ploverjunction.example/ploverjunction/internal/balance"
	"ploverjunction.example/ploverjunction/internal/forward"
	"ploverjunction.example/ploverjunction/internal/outlier"
	"ploverjunction.example/ploverjunction/internal/policy"
)

// relay is the way of one request from its admission to a target's answer.
type relay struct {
	server *Server
	id     string
	req    *http.Request
	in     *admitted
	body   *body
	life   *attempt.Life
	tried  []string
	header http.Header
	last   error
}

// answer makes attempts until one answers or no other may follow. The pick of
// the answer's target stays taken until release is called.
func (x *relay) answer() (a *forward.Answer, release func(), fail *Error) {
	x.server.budget(x.in.route.Service().Name()).First()
	x.trial()
	for {
		a, pick, reason := x.attempt()
		if reason != attempt.ReasonNone {
			return nil, nil, x.giveUp(reason)
		}
		if a == nil {
			continue
		}
		if x.wanted(a) {
			a.Close()
			pick.Release()
			continue
		}
		return a, pick.Release, nil
	}
}

// attempt makes one attempt. It gives an answer, or neither an answer nor a
// reason if the attempt failed, or the reason against making it.
func (x *relay) attempt() (*forward.Answer, balance.Pick, attempt.Reason) {
	if reason := x.may(); reason != attempt.ReasonNone {
		return nil, balance.Pick{}, reason
	}
	reader, ok := x.body.next()
	if !ok {
		return nil, balance.Pick{}, attempt.ReasonPolicy
	}
	pool := x.server.cfg.Pool(x.in.route.Service().Name())
	if pool == nil {
		return nil, balance.Pick{}, attempt.ReasonTargets
	}
	pick, ok := pool.Pick(rand.Uint64, x.tried)
	if !ok {
		return nil, balance.Pick{}, attempt.ReasonTargets
	}
	x.tried = append(x.tried, pick.Address())
	flight := x.begin(pick.Address())
	a, err := x.server.client.Do(x.req.Context(), x.request(pick.Address(), reader))
	flight.End(time.Now(), x.end(a, err))
	if err != nil {
		pick.Release()
		x.failed(err)
		return nil, balance.Pick{}, attempt.ReasonNone
	}
	return a, pick, attempt.ReasonNone
}

func (x *relay) may() attempt.Reason {
	if x.req.Context().Err() != nil {
		return attempt.ReasonCaller
	}
	if x.body.failed != nil {
		return attempt.ReasonCaller
	}
	svc := x.in.route.Service()
	return x.life.May(time.Now(),
		func() bool {
			return svc.Policy().Retry(policy.Try{
				Attempt:    x.life.Attempts(),
				Outcome:    x.life.Outcome().String(),
				Repeatable: x.in.route.Repeatable(),
				Method:     x.req.Method,
				Route:      x.in.route.Name(),
				Class:      x.in.route.Class(),
			})
		},
		x.server.budget(svc.Name()).Retry,
	)
}

func (x *relay) failed(err error) {
	outcome := attempt.OutcomeUnknown
	var fe *forward.Error
	if errors.As(err, &fe) {
		outcome = fe.Outcome()
	}
	x.life.Ended(outcome)
	x.last = err
	x.server.log.WithField("request", x.id).WithField("attempt", x.life.Attempts()).WithError(err).Debug("attempt failed")
}

// wanted tells whether a repeatable request should rather be tried again than
// get this answer.
func (x *relay) wanted(a *forward.Answer) bool {
	if !x.in.route.Repeatable() || !gatewayFailure(a.Status()) {
		return false
	}
	if _, ok := x.body.next(); !ok {
		return false
	}
	x.life.Ended(attempt.OutcomeUnknown)
	return x.may() == attempt.ReasonNone
}

func gatewayFailure(status int) bool {
	switch status {
	case http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return true
	default:
		return false
	}
}

func (x *relay) giveUp(reason attempt.Reason) *Error {
	if f := x.body.fault(x.life.Outcome()); f != nil {
		return f
	}
	return gaveUp(x.life, reason, x.last)
}

func (x *relay) begin(target string) *outlier.Flight {
	r := x.in.route
	return x.server.cfg.Collector.Begin(time.Now(), r.Service().Name(), r.Class(), target)
}

func (x *relay) request(target string, reader io.Reader) *forward.Request {
	return &forward.Request{
		ID:       x.id,
		Target:   target,
		Method:   x.req.Method,
		Host:     x.req.Host,
		URI:      x.req.URL.RequestURI(),
		Header:   x.header,
		Body:     reader,
		Length:   x.body.length,
		Deadline: x.life.Deadline(),
	}
}

// end says what an attempt showed of its target.
func (x *relay) end(a *forward.Answer, err error) outlier.End {
	if a != nil {
		return outlier.End{
			Failed:  a.Status() >= http.StatusInternalServerError,
			Leaving: a.Leaving(),
		}
	}
	var fe *forward.Error
	if !errors.As(err, &fe) {
		return outlier.End{
			Ignored: true,
		}
	}
	return outlier.End{
		Failed:  true,
		Ignored: !fe.Against() || x.body.failed != nil,
		Leaving: fe.Leaving(),
	}
}
