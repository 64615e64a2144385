// SPDX-License-Identifier: Apache-2.0

package entry

import (
	"context"
	"io"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"ploverjunction.example/ploverjunction/internal/attempt"
	"ploverjunction.example/ploverjunction/internal/fleetconfig"
	"ploverjunction.example/ploverjunction/internal/forward"
	"ploverjunction.example/ploverjunction/internal/outlier"
	"ploverjunction.example/ploverjunction/internal/policy"
	"ploverjunction.example/ploverjunction/internal/quarantine"
	"ploverjunction.example/ploverjunction/internal/signal"
	"ploverjunction.example/ploverjunction/internal/task"
	"ploverjunction.example/ploverjunction/internal/traffic"
)

// relay carries one request from its admission to a target's answer. It belongs to the goroutine
// of the request, except in try.run.
type relay struct {
	server    *Server
	id        string
	req       *http.Request
	admission *admission
	service   *fleetconfig.Service
	started   time.Time
	body      *body
	// forAnswer is the memory reserved for the answer, in bytes.
	forAnswer int64
	tracker   *attempt.Tracker
	// tried are the keys of the targets that were tried. It is written by the attempts, under mu.
	mu    sync.Mutex
	tried []string
	// unreached are those among them to which no connection was opened.
	unreached []string
	header    http.Header
	lastErr   error
	// proofs are what proves of each failed attempt that it did not run, "none" for one that may have.
	proofs []string
	// launched counts the attempts that were started, except those that ended unsent.
	launched int
	unsent   int
	// vacant counts the attempts that reached nobody and whose place no other has taken.
	vacant int
	// running are the attempts whose result has not been read from results.
	running []*try
	results chan result
	// grants receives the targets granted to attempts.
	grants chan grant
	// sentAt is when the attempt that may need a hedge was sent.
	sentAt time.Time
	// fingerprints identify the request's content. suspect is set once a target is known to have
	// crashed under the request; quarantineWait is for how long it is then refused.
	fingerprints   quarantine.Fingerprints
	suspect        atomic.Bool
	quarantineWait atomic.Int64
	// winner is the attempt whose answer is delivered; settled is set once there is one.
	winner  *try
	settled atomic.Bool
	// fallback is an answer that is delivered only if no better one arrives.
	fallback *result
	// peerHead is set for a request of a peer. atPeer is set while a peer makes an attempt,
	// peerRefusal is its final answer. pathLost receives a value when this node is found to reach no
	// target of the service.
	peerHead    *PeerHead
	atPeer      atomic.Bool
	peerRefusal *PeerRefusal
	pathLost    chan struct{}
	// stopping is the answer to a request for which a planned stop leaves too little time, nil for others.
	stopping *Error
	// blockReason is why no other attempt may start, retryAfter when the caller may retry.
	blockReason attempt.Reason
	retryAfter  time.Duration
}

// result is the end of an attempt: an answer or an error.
type result struct {
	try    *try
	answer *forward.Answer
	err    error
}

// discard releases the answer and the target of a result.
func (r result) discard() {
	if r.answer != nil {
		r.answer.Close()
	}
	r.try.release()
}

// maxTries bounds the attempts of a request, regardless of its policy.
const maxTries = 16

// answer makes attempts until one answers or no other may follow. The answer's target stays in use
// until release is called.
func (x *relay) answer() (a *forward.Answer, release func(), fail *Error) {
	x.server.cfg.DepositRetry(x.service.Name())
	x.sendTrial()
	for {
		reason := x.launch()
		if reason != attempt.ReasonNone && x.fallback == nil {
			return nil, nil, x.giveUp(reason)
		}
		r := x.fallback
		if reason == attempt.ReasonNone {
			r = x.await()
		}
		if r == nil {
			continue
		}
		x.cancelOthers(r)
		x.winner = r.try
		return r.answer, r.try.release, nil
	}
}

// launch starts an attempt, or returns why it may not.
func (x *relay) launch() attempt.Reason {
	if x.blockReason != attempt.ReasonNone {
		return x.blockReason
	}
	if reason := x.allowAttempt(); reason != attempt.ReasonNone {
		return reason
	}
	if x.launched+x.unsent >= maxTries {
		return attempt.ReasonPolicy
	}
	reader, ok := x.body.open()
	if !ok {
		return attempt.ReasonPolicy
	}
	ctx, cancel := context.WithCancel(x.req.Context())
	t := &try{
		relay:  x,
		reader: reader,
		cancel: cancel,
		retry:  x.launched > 0,
		hedge:  len(x.running) > 0,

		replacement: x.vacant > 0,
		runs:        x.tracker.PossibleRuns(),
	}
	if t.replacement {
		x.vacant--
	}
	if t.hedge && !x.sentAt.IsZero() {
		t.age = time.Since(x.sentAt)
	}
	x.launched++
	x.running = append(x.running, t)
	go t.run(ctx)
	return attempt.ReasonNone
}

// await waits for the answer of one of the running attempts. A repeatable request that takes
// unusually long is also sent to another target (Dean and Barroso, "The tail at scale", CACM
// 2013). It returns nil when all attempts have failed.
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
			if r.try.hedge && (budgetSpent(r.err) || unsent(r.err)) {
				hedge.Reset(hedgeRetryDelay)
			}
		case g := <-x.grants:
			if len(x.running) > 1 {
				continue
			}
			x.sentAt = g.at
			if g.hedgeAfter > 0 && x.hedgeable() {
				hedge.Reset(time.Until(g.at.Add(g.hedgeAfter)))
			}
		case <-hedge.C:
			x.hedge()
		case <-x.pathLost:
			if x.hedgeable() && x.needsPeer() {
				x.hedge()
			}
		}
	}
	return nil
}

// recordOnce records the outcome of an attempt that may be followed by another, unless it is
// recorded already.
func (x *relay) recordOnce(t *try, o attempt.Outcome) {
	if !t.counted {
		t.counted = true
		x.tracker.Record(o)
	}
}

// accept reports whether a result is the answer for the caller. Any other is recorded and
// discarded, or kept as the fallback.
func (x *relay) accept(r result) bool {
	if r.err != nil {
		r.discard()
		x.recordFailure(r)
		return false
	}
	x.recordSize(r.answer)
	if r.try.peer != "" || !x.replaceable(r.answer) {
		return true
	}
	x.recordOnce(r.try, attempt.OutcomeUnknown)
	if x.fallback != nil {
		x.fallback.discard()
	}
	x.fallback = &r
	return false
}

// cancelOthers cancels the remaining attempts. Their results are read by a task of the server.
func (x *relay) cancelOthers(winner *result) {
	x.settled.Store(true)
	if x.fallback != nil && x.fallback != winner {
		x.fallback.discard()
	}
	x.fallback = nil
	cancelled := len(x.running)
	if cancelled == 0 {
		return
	}
	for _, t := range x.running {
		t.cancel()
	}
	x.running = nil
	ctx := context.WithoutCancel(x.req.Context())
	x.server.track(task.Go(ctx, "lost tries", func(context.Context) error {
		for range cancelled {
			r := <-x.results
			r.discard()
		}
		return nil
	}))
}

func (x *relay) allowAttempt() attempt.Reason {
	if x.req.Context().Err() != nil {
		return attempt.ReasonCaller
	}
	if x.body.readError() != nil {
		return attempt.ReasonCaller
	}
	if !x.mayBegin() {
		return attempt.ReasonStopping
	}
	if held := x.quarantineWait.Load(); held > 0 {
		x.retryAfter = time.Duration(held)
		return attempt.ReasonQuarantine
	}
	return x.tracker.Allow(time.Now(),
		func() bool {
			if maxAttempts := x.admission.route.MaxAttempts(); maxAttempts > 0 && x.tracker.PossibleRuns() >= maxAttempts {
				return false
			}
			return x.service.Policy().Retry(policy.Attempt{
				Attempt:    x.tracker.Attempts(),
				Outcome:    x.tracker.Outcome().String(),
				Repeatable: x.admission.repeatable,
				Method:     x.req.Method,
				Route:      x.admission.route.Name(),
				Class:      x.admission.route.Class(),
			})
		},
		func() bool { return x.vacant > 0 || x.server.cfg.WithdrawRetry(x.service.Name()) },
	)
}

// recordEarlierRuns records the attempts that the peer of a request made before.
func (x *relay) recordEarlierRuns() {
	if x.peerHead == nil {
		return
	}
	x.tried = slices.Clone(x.peerHead.Avoid)
	if x.peerHead.Counted {
		x.vacant++
	}
	for range x.peerHead.Runs {
		x.tracker.Record(attempt.OutcomeUnknown)
		x.launched++
	}
}

func (x *relay) startAttempt(target string) *outlier.Attempt {
	return x.beginAttempt(time.Now(), target)
}

func (x *relay) beginAttempt(started time.Time, target string) *outlier.Attempt {
	return x.server.cfg.Collector.Begin(started, x.service.Name(), x.admission.route.Class(), target)
}

func (x *relay) request(c Choice, reader io.Reader) *forward.Request {
	return &forward.Request{
		ID:         x.id,
		Target:     c.Address,
		Scope:      traffic.ScopeOf(x.server.cfg.DataHall, c.DataHall),
		Expect:     c.ID,
		Repeatable: x.admission.repeatable,
		Method:     x.req.Method,
		Host:       x.req.Host,
		URI:        x.req.URL.RequestURI(),
		Header:     x.header.Clone(),
		Body:       reader,
		Length:     x.body.length,
		Deadline:   x.tracker.Deadline(),
		Observe:    func(n signal.Signal, err error) { x.observe(c, n, err) },
		Unavailable: func(now time.Time) bool {
			return x.server.cfg.Config().Evacuated(c.DataHall) ||
				!x.server.cfg.Signals.Status(now, c.Incarnation).Permits(now, c.Permit)
		},
	}
}
