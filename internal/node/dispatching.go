// SPDX-License-Identifier: Apache-2.0

package node

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"ploverjunction.example/ploverjunction/internal/attempt"
	"ploverjunction.example/ploverjunction/internal/dispatch"
	"ploverjunction.example/ploverjunction/internal/entry"
	"ploverjunction.example/ploverjunction/internal/fleetconfig"
	"ploverjunction.example/ploverjunction/internal/membership"
	"ploverjunction.example/ploverjunction/internal/outlier"
	"ploverjunction.example/ploverjunction/internal/wire"
)

// Times and counts of the joint choice.
const (
	// resendAfter is after how long an ask is sent again: datagrams are lost now
	// and then, and an answer takes a few milliseconds.
	resendAfter = 25 * time.Millisecond
	// giveUpAfter is after how long without an answer another dispatcher is asked.
	giveUpAfter = 70 * time.Millisecond
	// queuedBeat is how often an ask that waits is repeated, queuedSilence after
	// how long without an answer its dispatcher counts as lost.
	queuedBeat    = 100 * time.Millisecond
	queuedSilence = 350 * time.Millisecond
	// distrustTime is how long a dispatcher that did not answer isn't asked.
	distrustTime = time.Second
	// reportBeat is how often a dispatcher writes a line about each of its desks,
	// reportLeast how many asks in the window of the retry budget make that worth
	// it, and reportFailing from which belief on a failing target is named.
	reportBeat    = time.Second
	reportLeast   = 10
	reportFailing = 0.1
	// lostTime is how long a node doesn't use a target to which it could open no
	// connection: paths between two machines come back after some seconds.
	lostTime = 4 * time.Second
	// mostTried bounds the targets that an ask names, in keys of 20 bytes or so.
	mostTried = 24
	// dispatchers is how many nodes are asked, one after another, before a node
	// chooses alone.
	dispatchers = 2
	// deskBeat is how often the desks look at their queues.
	deskBeat = 50 * time.Millisecond
	// doneTries is how often the end of an attempt is told, every doneBeat, until
	// it is confirmed.
	doneTries = 4
	doneBeat  = 60 * time.Millisecond
)

// byItself names a choice that a node made without a dispatcher.
const byItself = "alone"

func dispatcherDuty(service string) string { return "dispatcher/" + service }

// dispatching chooses targets jointly and does this node's duty as a dispatcher.
// It may be used concurrently.
type dispatching struct {
	board     *Board
	messenger *messenger
	budget    dispatch.Budget
	// floor is the share of the working targets of each service that should have work.
	floor float64
	log   *logrus.Entry
	// short takes the probability that too few working targets of a service got work
	// lately.
	short func(service string, p float64)

	mu    sync.Mutex
	desks map[string]*desk
	// distrust is until when a dispatcher isn't asked.
	distrust map[string]time.Time
	// lost is until when this node doesn't reach a target.
	lost map[string]time.Time
	// ledgers are what this node got from each dispatcher of a service.
	ledgers map[string]*dispatch.Ledger
	// reported is when the desks were last written to the log; only run uses it.
	reported time.Time
	// pending are the ends of attempts that were not confirmed.
	pending map[uint64]*unconfirmed
}

// desk is the state of one service on this node.
type desk struct {
	*dispatch.Desk
	config *fleetconfig.Service
	// reported is set while the desk has so much work that lines tell of it.
	reported bool
}

func newDispatching(board *Board, m *messenger, b dispatch.Budget, log *logrus.Entry) *dispatching {
	d := &dispatching{
		board:     board,
		messenger: m,
		budget:    b,
		log:       log,
		short:     func(string, float64) {},
		desks:     map[string]*desk{},
		distrust:  map[string]time.Time{},
		lost:      map[string]time.Time{},
		pending:   map[uint64]*unconfirmed{},
		ledgers:   map[string]*dispatch.Ledger{},
	}
	m.ask = d.asked
	m.done = d.told
	m.taken = d.confirmed
	return d
}

// run serves the queues and repeats what was not confirmed, until the context
// ends.
func (d *dispatching) run(ctx context.Context) error {
	beat := time.NewTicker(deskBeat)
	defer beat.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-beat.C:
			d.advance(now)
			d.repeat(now)
			d.report(now)
		}
	}
}

// dispatcher returns the node that should be asked for a service: the first in
// rank of those that are trusted.
func (d *dispatching) dispatcher(service string) (membership.Node, bool) {
	now := time.Now()
	view := d.board.view.Load()
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, node := range view.Duty(dispatcherDuty(service), "", 2*dispatchers) {
		if !now.Before(d.distrust[node.Address()]) {
			return node, true
		}
	}
	return membership.Node{}, false
}

func (d *dispatching) doubt(peer string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.distrust[peer] = time.Now().Add(distrustTime)
}

// choose takes a target for an attempt: from the dispatcher, from the next one if
// it doesn't answer, else alone.
func (d *dispatching) choose(ctx context.Context, q *entry.Query) (entry.Choice, error) {
	ctx, cancel := context.WithDeadline(ctx, q.Deadline)
	defer cancel()
	q.Tried = d.avoid(q)
	for range dispatchers {
		node, ok := d.dispatcher(q.Service.Name())
		if !ok {
			break
		}
		g, answered := d.askOne(ctx, node.Address(), q)
		if ctx.Err() != nil {
			return entry.Choice{}, ended(ctx)
		}
		if !answered {
			d.doubt(node.Address())
			d.log.WithField("peer", node.Address()).WithField("service", q.Service.Name()).Warn("dispatcher did not answer")
			continue
		}
		if g.grant.GetVerdict() != wire.Grant_BUDGET {
			d.took(node.Address(), q)
		}
		c, usable, err := d.take(node.Address(), q, g)
		if usable || err != nil {
			return c, err
		}
		break
	}
	return d.chooseAlone(q)
}

// avoid returns the targets that this node should not get: those that can't be reached
// from here and, after them, those that the request was sent to.
func (d *dispatching) avoid(q *entry.Query) []string {
	now := time.Now()
	var out []string
	d.mu.Lock()
	defer d.mu.Unlock()
	for key, until := range d.lost {
		if now.After(until) {
			delete(d.lost, key)
		} else if q.Service.Target(key) != nil && len(out)+len(q.Tried) < mostTried {
			out = append(out, key)
		}
	}
	return append(out, q.Tried...)
}

// ended says why a wait for a target was broken off.
func ended(ctx context.Context) error {
	if context.Cause(ctx) == context.DeadlineExceeded {
		return entry.NewNoTargetError(attempt.ReasonDeadline, 0)
	}
	return entry.NewNoTargetError(attempt.ReasonCaller, 0)
}

// granted is an answer with the number of the ask that it answers.
type granted struct {
	grant  *wire.Grant
	number uint64
}

// askOne asks one dispatcher and waits for its last word.
func (d *dispatching) askOne(ctx context.Context, peer string, q *entry.Query) (granted, bool) {
	id, answers, end := d.messenger.call()
	defer end()
	send := func() { d.sendAsk(peer, id, q) }
	send()
	heard := time.Now()
	resend := time.NewTicker(resendAfter)
	defer resend.Stop()
	limit := giveUpAfter
	for {
		select {
		case <-ctx.Done():
			d.cancel(peer, q, id)
			return granted{}, false
		case in := <-answers:
			g := in.GetGrant()
			if g.GetVerdict() != wire.Grant_QUEUED {
				return granted{
					grant:  g,
					number: id,
				}, true
			}
			heard = time.Now()
			limit = queuedSilence
			resend.Reset(queuedBeat)
		case now := <-resend.C:
			if now.Sub(heard) >= limit {
				d.cancel(peer, q, id)
				return granted{}, false
			}
			send()
		}
	}
}

// cancel tells a dispatcher that an ask has ended without an attempt.
func (d *dispatching) cancel(peer string, q *entry.Query, id uint64) {
	d.tell(peer, &wire.Done{
		Service: q.Service.Name(),
		Request: id,
	})
}

// took notes what a dispatcher, or this node alone, gave for an attempt.
func (d *dispatching) took(by string, q *entry.Query) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.ledger(q.Service.Name()).Took(time.Now(), by, q.Again)
}

// elsewhere returns what this node got from other dispatchers than the one named.
func (d *dispatching) elsewhere(by, service string) dispatch.Spending {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.ledger(service).Elsewhere(time.Now(), by)
}

// ledger returns the ledger of a service. d.mu is held.
func (d *dispatching) ledger(service string) *dispatch.Ledger {
	l := d.ledgers[service]
	if l == nil {
		l = dispatch.NewLedger(time.Now(), d.budget)
		d.ledgers[service] = l
	}
	return l
}

func (d *dispatching) sendAsk(peer string, id uint64, q *entry.Query) {
	now := time.Now()
	spent := d.elsewhere(peer, q.Service.Name())
	out := &wire.Datagram{
		Call: id,
		Body: &wire.Datagram_Ask{
			Ask: &wire.Ask{
				Service:    q.Service.Name(),
				Repeatable: q.Repeatable,
				Again:      q.Again,
				Hedge:      q.Hedge,
				AgeMs:      uint32(q.Age.Milliseconds()),
				Kilobytes:  uint32(q.Kilobytes),
				Priority:   uint32(q.Priority),
				AimMs:      uint32(max(q.Aim.Sub(now).Milliseconds(), 0)),
				DeadlineMs: uint32(max(q.Deadline.Sub(now).Milliseconds(), 0)),
				Tried:      q.Tried,
				Route:      q.Route,

				FirstsElsewhere:  uint32(spent.Firsts),
				RepeatsElsewhere: uint32(spent.Repeats),
			},
		},
	}
	if peer == d.board.view.Load().Self().Address() {
		out.From = d.messenger.self()
		d.asked(out)
		return
	}
	d.messenger.send(peer, out)
}

// take turns an answer into a choice. It isn't usable if this node doesn't know
// the target or the dispatcher not the service.
func (d *dispatching) take(peer string, q *entry.Query, g granted) (c entry.Choice, usable bool, err error) {
	switch g.grant.GetVerdict() {
	case wire.Grant_GRANTED:
	case wire.Grant_REFUSED:
		return entry.Choice{}, true, entry.NewNoTargetError(attempt.ReasonTargets, time.Duration(g.grant.GetRetryAfterMs())*time.Millisecond)
	case wire.Grant_BUDGET:
		return entry.Choice{}, true, entry.NewNoTargetError(attempt.ReasonBudget, 0)
	default:
		return entry.Choice{}, false, nil
	}
	t := d.target(q.Service, g.grant.GetTarget())
	if t == nil || t.Leaving() {
		// One of the two doesn't know yet what the other knows.
		result := wire.Done_IGNORED
		if t != nil {
			result = wire.Done_GONE
		}
		d.tell(peer, doneOf(q.Service.Name(), g, result, 0))
		return entry.Choice{}, false, nil
	}
	c = choiceOf(t, peer, func(end outlier.End, took time.Duration) {
		done := doneOf(q.Service.Name(), g, resultOf(end), took)
		done.Lost = end.Lost
		d.tell(peer, done)
		d.note(peer, q, t.Key(), end, took)
	})
	c.Doubt = float64(g.grant.GetDoubt()) / 1000
	c.Trial = g.grant.GetTrial()
	c.HedgeAfter = time.Duration(g.grant.GetHedgeAfterMs()) * time.Millisecond
	return c, true, nil
}

// target finds a target in the newest configuration, or in that of the request.
func (d *dispatching) target(s *fleetconfig.Service, key string) *fleetconfig.Target {
	if c := d.board.currentConfig(); c != nil && c.Service(s.Name()) != nil {
		s = c.Service(s.Name())
	}
	return s.Target(key)
}

// note keeps what this node saw itself of a target that a dispatcher chose, for when
// it must choose alone. Its own desk has been told already.
func (d *dispatching) note(dispatcher string, q *entry.Query, key string, end outlier.End, took time.Duration) {
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	if end.Unreached {
		d.lost[key] = now.Add(lostTime)
	}
	if dispatcher == d.board.view.Load().Self().Address() {
		return
	}
	if dk := d.desk(now, q.Service.Name()); dk != nil {
		dk.Note(now, key, q.Route, dispatch.Result(resultOf(end)), took)
	}
}
