// SPDX-License-Identifier: Apache-2.0

package node

import (
	"context"
	"errors"
	"time"

	"ploverjunction.example/ploverjunction/internal/attempt"
	"ploverjunction.example/ploverjunction/internal/dispatch"
	"ploverjunction.example/ploverjunction/internal/entry"
	"ploverjunction.example/ploverjunction/internal/membership"
	"ploverjunction.example/ploverjunction/internal/wire"
)

// This file is the side of a node that asks dispatchers for targets.

// dispatcher returns the node that should be asked for a part: the first in rank of
// those that are trusted.
func (d *dispatchController) dispatcher(p partition) (membership.Node, bool) {
	now := time.Now()
	view := d.board.view.Load()
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, node := range p.holders(view) {
		if !now.Before(d.unresponsiveUntil[node.Address()]) {
			return node, true
		}
	}
	return membership.Node{}, false
}

func (d *dispatchController) markUnresponsive(peer string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.unresponsiveUntil[peer] = time.Now().Add(dispatcherBackoff)
}

// choose takes a target for an attempt: from the dispatcher of this node's part of the
// service, from that of another part where no target of the own one is free, else alone.
func (d *dispatchController) choose(ctx context.Context, q *entry.Query) (entry.Choice, error) {
	ctx, cancel := context.WithDeadline(ctx, q.Deadline)
	defer cancel()
	q.Tried = d.excludedTargets(q)
	for range maxUnavailableGrants {
		if err := d.board.refuseClosed(q); err != nil {
			return entry.Choice{}, err
		}
		if err := d.board.refuseBackoff(time.Now(), d.newest(q.Service)); err != nil {
			return entry.Choice{}, err
		}
		r := d.chooseJointly(ctx, q)
		switch {
		case r.refused():
			return entry.Choice{}, d.withRetryAfter(q, r.err)
		case !r.unavailable:
			return r.choice, r.err
		}
	}
	return d.chooseFallback(q, d.lockedHome(q))
}

// withRetryAfter returns the refusal of a request with the time that this node knows: all targets may
// have come to rest while it waited.
func (d *dispatchController) withRetryAfter(q *entry.Query, refusal error) error {
	if err := d.board.refuseClosed(q); err != nil {
		return err
	}
	if err := d.board.refuseBackoff(time.Now(), d.newest(q.Service)); err != nil {
		return err
	}
	return refusal
}

// chooseJointly takes a target that another node may have chosen. Where that one had told this
// node that it wants no request, the reply is barred: the next ask names the target.
func (d *dispatchController) chooseJointly(ctx context.Context, q *entry.Query) reply {
	home, others := d.partitionsFor(time.Now(), q)
	first := d.requestFromPartition(ctx, q, home, dispatchers, len(others) > 0 && mayPassOn(q))
	r := first
	for _, p := range others {
		if r.settled() {
			break
		}
		r = d.requestFromPartition(ctx, q, p, 1, true)
	}
	switch {
	case r.settled():
		return r
	case first.refused():
		return first
	case first.full:
		if r = d.requestFromPartition(ctx, q, home, dispatchers, false); r.usable || r.err != nil {
			return r
		}
	}
	if first.unavailable || r.unavailable {
		return reply{
			unavailable: true,
		}
	}
	c, err := d.chooseFallback(q, home)
	return reply{
		choice: c,
		err:    err,
	}
}

// reply is what came of asking for a target of a part. Without any of its values set
// nobody answered, or this node doesn't know the target.
type reply struct {
	choice entry.Choice
	err    error
	// usable is set where there is a choice, full where no target is free now.
	usable bool
	full   bool
	// unavailable is set where the target that was granted wants no request from this node.
	unavailable bool
}

// settled reports whether no other part need be asked.
func (r reply) settled() bool { return r.usable || r.err != nil && !r.refused() }

// refused reports whether the targets of the part can't take the request in time.
func (r reply) refused() bool {
	var none *entry.NoTargetError
	return errors.As(r.err, &none) && none.Reason() == attempt.ReasonTargets
}

// requestFromPartition asks the dispatcher of a part, and those behind it in rank if it doesn't
// answer.
func (d *dispatchController) requestFromPartition(ctx context.Context, q *entry.Query, p partition, tries int, passing bool) reply {
	for range tries {
		node, ok := d.dispatcher(p)
		if !ok {
			return reply{}
		}
		g, answered := d.requestFrom(ctx, node.Address(), q, p, passing)
		if ctx.Err() != nil {
			return reply{
				err: noTargetCause(ctx),
			}
		}
		if answered {
			return d.handleGrant(node.Address(), q, p, g)
		}
		d.markUnresponsive(node.Address())
		d.log.WithField("peer", node.Address()).WithField("service", p.service).WithField("hall", p.hall).Warn("dispatcher did not answer")
	}
	return reply{}
}

// excludedTargets returns the targets that this node should not get: those that can't be reached
// from here and, after them, those that the request was sent to.
func (d *dispatchController) excludedTargets(q *entry.Query) []string {
	now := time.Now()
	var out []string
	d.mu.Lock()
	defer d.mu.Unlock()
	for key, until := range d.unreachableUntil {
		if now.After(until) {
			delete(d.unreachableUntil, key)
		} else if q.Service.Target(key) != nil && len(out)+len(q.Tried) < maxTried {
			out = append(out, key)
		}
	}
	return append(out, q.Tried...)
}

// noTargetCause says why a wait for a target was broken off.
func noTargetCause(ctx context.Context) error {
	if context.Cause(ctx) == context.DeadlineExceeded {
		return entry.NewNoTargetError(attempt.ReasonDeadline, 0)
	}
	return entry.NewNoTargetError(attempt.ReasonCaller, 0)
}

// numberedGrant is an answer with the number of the ask that it answers.
type numberedGrant struct {
	grant  *wire.Grant
	number uint64
}

// requestFrom asks one dispatcher and waits for its final grant.
func (d *dispatchController) requestFrom(ctx context.Context, peer string, q *entry.Query, p partition, passing bool) (numberedGrant, bool) {
	id, answers, end := d.messenger.call()
	defer end()
	refused := d.takeRefused(p.service)
	send := func() { d.sendGrantRequest(peer, id, q, p, passing, refused) }
	send()
	lastAnswer := time.Now()
	resend := time.NewTicker(resendInterval)
	defer resend.Stop()
	limit := answerTimeout
	for {
		select {
		case <-ctx.Done():
			d.cancel(peer, p, id)
			return numberedGrant{}, false
		case in := <-answers:
			g := in.GetGrant()
			if g.GetVerdict() != wire.Grant_QUEUED {
				return numberedGrant{
					grant:  g,
					number: id,
				}, true
			}
			lastAnswer = time.Now()
			limit = queuedTimeout
			resend.Reset(queuedInterval)
		case now := <-resend.C:
			if now.Sub(lastAnswer) >= limit {
				d.cancel(peer, p, id)
				return numberedGrant{}, false
			}
			send()
		}
	}
}

// cancel tells a dispatcher that an ask has ended without an attempt.
func (d *dispatchController) cancel(peer string, p partition, id uint64) {
	d.reportDone(peer, &wire.Done{
		Service:  p.service,
		DataHall: p.hall,
		Request:  id,
	})
}

// recordGrant notes what a dispatcher, or this node alone, gave for an attempt.
func (d *dispatchController) recordGrant(by string, q *entry.Query, p partition) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.ledger(p).Took(time.Now(), by, q.Again)
}

// remoteGrants returns what this node got from other dispatchers than the one named.
func (d *dispatchController) remoteGrants(by string, p partition) dispatch.Spending {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.ledger(p).Elsewhere(time.Now(), by)
}

// ledger returns the ledger of a part. d.mu is held.
func (d *dispatchController) ledger(p partition) *dispatch.Ledger {
	l := d.ledgers[p]
	if l == nil {
		l = dispatch.NewLedger(time.Now(), d.budget)
		d.ledgers[p] = l
	}
	return l
}

func (d *dispatchController) sendGrantRequest(peer string, id uint64, q *entry.Query, p partition, passing bool, refused int) {
	now := time.Now()
	spent := d.remoteGrants(peer, p)
	unavailable := d.board.unavailable(now, d.newest(q.Service), p.hall)
	out := &wire.Datagram{
		Call: id,
		Body: &wire.Datagram_Ask{
			Ask: &wire.Ask{
				Service:     p.service,
				DataHall:    p.hall,
				Passing:     passing,
				Repeatable:  q.Repeatable,
				Again:       q.Again,
				Hedge:       q.Hedge,
				AgeMs:       uint32(q.Age.Milliseconds()),
				Kilobytes:   uint32(q.Kilobytes),
				Priority:    uint32(q.Priority),
				AimMs:       uint32(max(q.Aim.Sub(now).Milliseconds(), 0)),
				DeadlineMs:  uint32(max(q.Deadline.Sub(now).Milliseconds(), 0)),
				Tried:       q.Tried,
				Barred:      unavailable.backingOff[:min(len(unavailable.backingOff), maxTried)],
				Leaving:     unavailable.draining[:min(len(unavailable.draining), maxTried)],
				Route:       q.Route,
				Refused:     uint32(refused),
				ClosedHalls: d.board.closedHalls(q),
				Limits:      d.board.limits(now, d.newest(q.Service), p.hall),

				FirstsElsewhere:  uint32(spent.Firsts),
				RepeatsElsewhere: uint32(spent.Repeats),
			},
		},
	}
	if peer == d.board.view.Load().Self().Address() {
		out.From = d.messenger.self()
		d.handleGrantRequest(out)
		return
	}
	d.messenger.send(peer, out)
}
