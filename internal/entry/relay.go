// SPDX-License-Identifier: Apache-2.0

package entry

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"ploverjunction.example/ploverjunction/internal/admission"
	"ploverjunction.example/ploverjunction/internal/attempt"
	"ploverjunction.example/ploverjunction/internal/balance"
	"ploverjunction.example/ploverjunction/internal/forward"
	"ploverjunction.example/ploverjunction/internal/outlier"
	"ploverjunction.example/ploverjunction/internal/policy"
	"ploverjunction.example/ploverjunction/internal/task"
)

// relay is the way of one request from its admission to a target's answer. It
// belongs to the goroutine of the request, but for try.run.
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
	// running are the tries whose end hasn't been read from results.
	running []*try
	results chan result
	// spare is an answer that is given only if no better one comes.
	spare *result
}

// try is one attempt under way.
type try struct {
	relay  *relay
	pick   balance.Pick
	flight *outlier.Flight
	req    *forward.Request
	cancel context.CancelFunc
	// counted is set once the attempt has been counted in the request's life.
	counted bool
}

// result is the end of a try: an answer or an error.
type result struct {
	try    *try
	answer *forward.Answer
	err    error
}

// discard gives up what a result holds.
func (r result) discard() {
	if r.answer != nil {
		r.answer.Close()
	}
	r.try.pick.Release()
}

// maxTries bounds the attempts of a request, whatever its policy says.
const maxTries = 16

// answer makes attempts until one answers or no other may follow. The pick of
// the answer's target stays taken until release is called.
func (x *relay) answer() (a *forward.Answer, release func(), fail *Error) {
	x.budget().First()
	x.trial()
	for {
		reason := x.launch()
		if reason != attempt.ReasonNone && x.spare == nil {
			return nil, nil, x.giveUp(reason)
		}
		r := x.spare
		if reason == attempt.ReasonNone {
			r = x.await()
		}
		if r == nil {
			continue
		}
		x.abandon(r)
		return r.answer, r.try.pick.Release, nil
	}
}

func (x *relay) budget() *admission.Budget {
	return x.server.budget(x.in.route.Service().Name())
}

// launch begins an attempt, or gives the reason against it.
func (x *relay) launch() attempt.Reason {
	if reason := x.may(); reason != attempt.ReasonNone {
		return reason
	}
	reader, ok := x.body.next()
	if !ok || len(x.tried) >= maxTries {
		return attempt.ReasonPolicy
	}
	pool := x.server.cfg.Pool(x.in.route.Service().Name())
	if pool == nil {
		return attempt.ReasonTargets
	}
	pick, ok := pool.Pick(rand.Uint64, x.tried)
	if !ok {
		return attempt.ReasonTargets
	}
	x.tried = append(x.tried, pick.Address())
	ctx, cancel := context.WithCancel(x.req.Context())
	t := &try{
		relay:  x,
		pick:   pick,
		flight: x.begin(pick.Address()),
		req:    x.request(pick.Address(), reader),
		cancel: cancel,
	}
	x.running = append(x.running, t)
	go t.run(ctx)
	return attempt.ReasonNone
}

// run makes the attempt and reports its end to the relay, which reads it.
func (t *try) run(ctx context.Context) {
	x := t.relay
	a, err := x.server.client.Do(ctx, t.req)
	end := endOf(a, err)
	end.Ignored = end.Ignored || x.body.broken() != nil
	t.flight.End(time.Now(), end)
	x.results <- result{
		try:    t,
		answer: a,
		err:    err,
	}
}

// await waits for the answer of one of the tries that are running. A repeatable
// request that takes unusually long is sent to another target as well
// (Dean and Barroso, "The tail at scale", CACM 2013). It gives nil when all
// tries have failed.
func (x *relay) await() *result {
	hedge := time.NewTimer(x.hedgeAfter())
	defer hedge.Stop()
	for len(x.running) > 0 {
		select {
		case r := <-x.results:
			x.running = slices.DeleteFunc(x.running, func(t *try) bool { return t == r.try })
			if x.accept(r) {
				return &r
			}
		case <-hedge.C:
			x.hedge()
		}
	}
	return nil
}

// hedgeAfter returns after how long another target is asked as well.
func (x *relay) hedgeAfter() time.Duration {
	r := x.in.route
	if !r.Repeatable() || x.body.stream != nil {
		return time.Until(x.life.Deadline()) + time.Hour
	}
	return x.server.cfg.Collector.Slow(r.Service().Name(), r.Class())
}

// hedge asks another target while the first is still expected to answer.
func (x *relay) hedge() {
	for _, t := range x.running {
		x.count(t, attempt.OutcomeUnknown)
	}
	x.launch()
}

// count notes in the request's life that an attempt may be followed by another.
func (x *relay) count(t *try, o attempt.Outcome) {
	if !t.counted {
		t.counted = true
		x.life.Ended(o)
	}
}

// accept tells whether a result is the answer for the caller. Any other is noted
// and given up, or kept as a spare.
func (x *relay) accept(r result) bool {
	if r.err != nil {
		r.discard()
		x.failed(r)
		return false
	}
	if !x.replaceable(r.answer) {
		return true
	}
	x.count(r.try, attempt.OutcomeUnknown)
	if x.spare != nil {
		x.spare.discard()
	}
	x.spare = &r
	return false
}

// abandon ends the tries that lost to another one. Their ends are read by the
// server.
func (x *relay) abandon(won *result) {
	if x.spare != nil && x.spare != won {
		x.spare.discard()
	}
	x.spare = nil
	lost := len(x.running)
	if lost == 0 {
		return
	}
	for _, t := range x.running {
		t.cancel()
	}
	x.running = nil
	ctx := context.WithoutCancel(x.req.Context())
	x.server.own(task.Go(ctx, "lost tries", func(context.Context) error {
		for range lost {
			r := <-x.results
			r.discard()
		}
		return nil
	}))
}

func (x *relay) may() attempt.Reason {
	if x.req.Context().Err() != nil {
		return attempt.ReasonCaller
	}
	if x.body.broken() != nil {
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
		x.budget().Retry,
	)
}

// failed notes an attempt that failed.
func (x *relay) failed(r result) {
	outcome := attempt.OutcomeUnknown
	var fe *forward.Error
	if errors.As(r.err, &fe) {
		outcome = fe.Outcome()
	}
	x.count(r.try, outcome)
	x.last = r.err
	x.server.log.WithField("request", x.id).WithField("attempt", x.life.Attempts()).WithError(r.err).Debug("attempt failed")
}

// replaceable tells whether another target may give a repeatable request a better
// answer than this one.
func (x *relay) replaceable(a *forward.Answer) bool {
	_, again := x.body.next()
	return x.in.route.Repeatable() && gatewayFailure(a.Status()) && again
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
		Header:   x.header.Clone(),
		Body:     reader,
		Length:   x.body.length,
		Deadline: x.life.Deadline(),
	}
}

// endOf says what an attempt showed of its target.
func endOf(a *forward.Answer, err error) outlier.End {
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
		Ignored: !fe.Against(),
		Leaving: fe.Leaving(),
	}
}
