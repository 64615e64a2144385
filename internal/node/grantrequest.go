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

// This file requests grants of targets from dispatchers.

// dispatcher returns the responsive node that ranks first for a partition.
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

// choose returns a target for an attempt: from the dispatcher of this node's partition of the
// service, from that of another partition if no target of the first is free, else by the fallback
// of this node.
func (d *dispatchController) choose(ctx context.Context, q *entry.Query) (entry.Choice, error) {
	ctx, cancel := context.WithDeadline(ctx, q.Deadline)
	defer cancel()
	q.Tried = d.excludedTargets(q)
	for range maxUnavailableGrants {
		if err := d.board.refuseClosed(q); err != nil {
			return entry.Choice{}, err
		}
		if err := d.board.refuseBackoff(time.Now(), d.currentService(q.Service)); err != nil {
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

// withRetryAfter returns the refusal of a request, with a time to retry where this node has one:
// all targets may have begun to back off while the request waited.
func (d *dispatchController) withRetryAfter(q *entry.Query, refusal error) error {
	if err := d.board.refuseClosed(q); err != nil {
		return err
	}
	if err := d.board.refuseBackoff(time.Now(), d.currentService(q.Service)); err != nil {
		return err
	}
	return refusal
}

// chooseJointly returns a target that another node may have chosen. If that target accepts no
// request from this node, the reply is unavailable; the next grant request names the target.
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

// reply is the result of a grant request for a partition. It is the zero value if nobody answered
// or the target is not in this node's configuration.
type reply struct {
	choice entry.Choice
	err    error
	// usable is set if there is a choice, full if no target is free now.
	usable bool
	full   bool
	// unavailable is set if the granted target accepts no request from this node.
	unavailable bool
}

// settled reports whether no other partition needs to be tried.
func (r reply) settled() bool { return r.usable || r.err != nil && !r.refused() }

// refused reports whether the targets of the partition cannot serve the request in time.
func (r reply) refused() bool {
	var none *entry.NoTargetError
	return errors.As(r.err, &none) && none.Reason() == attempt.ReasonTargets
}

// requestFromPartition requests a grant from the dispatcher of a partition, and from the next in
// rank if it does not answer.
func (d *dispatchController) requestFromPartition(ctx context.Context, q *entry.Query, p partition, tries int, nonQueueing bool) reply {
	for silent := 0; silent < tries; {
		node, ok := d.dispatcher(p)
		if !ok {
			return reply{}
		}
		g, end := d.requestFrom(ctx, node.Address(), q, p, nonQueueing)
		if ctx.Err() != nil {
			return reply{
				err: noTargetCause(ctx),
			}
		}
		switch end {
		case answered:
			return d.handleGrant(node.Address(), q, p, g)
		case moved:
			continue
		}
		silent++
		d.markUnresponsive(node.Address())
		d.log.WithField("peer", node.Address()).WithField("service", p.service).WithField("hall", p.hall).Warn("dispatcher did not answer")
	}
	return reply{}
}

// excludedTargets returns the targets not to be granted: those unreachable from this node, followed
// by those that the request was already sent to.
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

// noTargetCause returns the error of a wait for a target that ctx ended.
func noTargetCause(ctx context.Context) error {
	if context.Cause(ctx) == context.DeadlineExceeded {
		return entry.NewNoTargetError(attempt.ReasonDeadline, 0)
	}
	return entry.NewNoTargetError(attempt.ReasonCaller, 0)
}

// numberedGrant is a grant with the number of the request that it answers.
type numberedGrant struct {
	grant  *wire.Grant
	number uint64
	// incarnation is that of the dispatcher, 0 if it is this node.
	incarnation uint64
}

// requestEnd is how a request to one dispatcher ended.
type requestEnd uint8

const (
	// unanswered means that the dispatcher did not answer in time, or that the context ended.
	unanswered requestEnd = iota
	// answered means that it sent a final answer.
	answered
	// moved means that the role moved while the request was queued.
	moved
)

// movedFrom reports whether another node than peer holds the role for a partition, given the node that
// ranked first when the request was sent to peer. A first node that did not answer has not got the role
// back by ranking first still.
func (d *dispatchController) movedFrom(peer, first string, p partition) bool {
	node, ok := d.dispatcher(p)
	return ok && node.Address() != peer && node.Address() != first && node.Address() == d.first(p)
}

// first returns the address of the node that ranks first for a partition, "" if there is none.
func (d *dispatchController) first(p partition) string {
	if holders := p.holders(d.board.view.Load()); len(holders) > 0 {
		return holders[0].Address()
	}
	return ""
}

// requestFrom requests a grant from one dispatcher and waits for the final answer. A queued request is
// withdrawn if the role moves: the former dispatcher gets no requests of other workspaces any more, so
// that a busy workspace would be granted all of its slots.
func (d *dispatchController) requestFrom(ctx context.Context, peer string, q *entry.Query, p partition, nonQueueing bool) (numberedGrant, requestEnd) {
	id, answers, end := d.messenger.call()
	defer end()
	refused := d.takeRefused(p.service)
	first := d.first(p)
	send := func() { d.sendGrantRequest(peer, id, q, p, nonQueueing, refused) }
	send()
	lastAnswer := time.Now()
	resend := time.NewTicker(resendInterval)
	defer resend.Stop()
	limit := answerTimeout
	for {
		select {
		case <-ctx.Done():
			d.cancel(peer, p, id)
			return numberedGrant{}, unanswered
		case in := <-answers:
			g := in.GetGrant()
			if g.GetVerdict() != wire.Grant_QUEUED {
				q.QueuedAt = time.Time{}
				return numberedGrant{
					grant:       g,
					number:      id,
					incarnation: in.GetFrom().GetIncarnation(),
				}, answered
			}
			lastAnswer = time.Now()
			if q.QueuedAt.IsZero() {
				q.QueuedAt = lastAnswer
			}
			limit = queuedTimeout
			resend.Reset(queuedInterval)
		case now := <-resend.C:
			if now.Sub(lastAnswer) >= limit {
				d.cancel(peer, p, id)
				return numberedGrant{}, unanswered
			}
			if limit == queuedTimeout && d.movedFrom(peer, first, p) {
				d.cancel(peer, p, id)
				return numberedGrant{}, moved
			}
			send()
		}
	}
}

// cancel reports to a dispatcher that a grant request ended without an attempt.
func (d *dispatchController) cancel(peer string, p partition, id uint64) {
	d.reportDone(peer, &wire.Done{
		Service:  p.service,
		DataHall: p.hall,
		Request:  id,
	})
}

// recordGrant records in the ledger that a dispatcher counted an attempt. Later grant requests for
// the attempt replace this one.
func (d *dispatchController) recordGrant(by dispatch.Dispatcher, q *entry.Query, p partition) {
	if q.Replacement {
		return
	}
	q.Replacement = true
	d.mu.Lock()
	defer d.mu.Unlock()
	d.ledger(p).Record(time.Now(), by, q.Retry)
}

// unrecorded reports whether this node has recorded grants for less than the window of the retry
// budget.
func (d *dispatchController) unrecorded(now time.Time) bool {
	return now.Sub(d.started) < d.budget.Window
}

// remoteGrants returns what dispatchers other than by granted to this node.
func (d *dispatchController) remoteGrants(by string, p partition) dispatch.AttemptCounts {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.ledger(p).RemoteGrants(time.Now(), by)
}

// ledger returns the ledger of a partition. d.mu is held.
func (d *dispatchController) ledger(p partition) *dispatch.Ledger {
	l := d.ledgers[p]
	if l == nil {
		l = dispatch.NewLedger(time.Now(), d.budget)
		d.ledgers[p] = l
	}
	return l
}

// waitedMS returns for how long dispatchers have queued the grant request, in milliseconds.
func waitedMS(now time.Time, q *entry.Query) uint32 {
	if q.QueuedAt.IsZero() {
		return 0
	}
	return uint32(max(now.Sub(q.QueuedAt).Milliseconds(), 0))
}

func (d *dispatchController) sendGrantRequest(peer string, id uint64, q *entry.Query, p partition, nonQueueing bool, refusals int) {
	now := time.Now()
	remote := d.remoteGrants(peer, p)
	unavailable := d.board.unavailable(now, d.currentService(q.Service), p.hall)
	out := &wire.Datagram{
		Call: id,
		Body: &wire.Datagram_Ask{
			Ask: &wire.Ask{
				Service:     p.service,
				DataHall:    p.hall,
				Passing:     nonQueueing,
				Repeatable:  q.Repeatable,
				Again:       q.Retry,
				Replaces:    q.Replacement,
				Hedge:       q.Hedge,
				AgeMs:       uint32(q.FirstAttemptAge.Milliseconds()),
				Kilobytes:   uint32(q.Kilobytes),
				Priority:    uint32(q.Priority),
				Workspace:   q.Workspace,
				AimMs:       uint32(max(q.SoftDeadline.Sub(now).Milliseconds(), 0)),
				DeadlineMs:  uint32(max(q.Deadline.Sub(now).Milliseconds(), 0)),
				Tried:       q.Tried,
				Barred:      unavailable.backingOff[:min(len(unavailable.backingOff), maxTried)],
				Leaving:     unavailable.draining[:min(len(unavailable.draining), maxTried)],
				Route:       q.Route,
				Refused:     uint32(refusals),
				ClosedHalls: d.board.closedHalls(q),
				Limits:      d.board.limits(now, d.currentService(q.Service), p.hall),

				WaitedMs:         waitedMS(now, q),
				Unrecorded:       d.unrecorded(now),
				FirstsElsewhere:  uint32(remote.Firsts),
				RepeatsElsewhere: uint32(remote.Retries),
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
