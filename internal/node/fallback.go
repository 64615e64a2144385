// SPDX-License-Identifier: Apache-2.0

package node

import (
	"time"

	"ploverjunction.example/ploverjunction/internal/attempt"
	"ploverjunction.example/ploverjunction/internal/dispatch"
	"ploverjunction.example/ploverjunction/internal/entry"
	"ploverjunction.example/ploverjunction/internal/outlier"
	"ploverjunction.example/ploverjunction/internal/wire"
)

// chooseFallback chooses a target of a partition by the state of this node alone.
func (d *dispatchController) chooseFallback(q *entry.Query, p partition) (entry.Choice, error) {
	now := time.Now()
	self := d.board.view.Load().Self()
	unavailable := d.board.unavailable(now, d.currentService(q.Service), p.hall)
	a := &dispatch.Request{
		ID: dispatch.ID{
			Node:   self.Address(),
			Number: d.messenger.calls.Add(1),
		},
		DataHall:     self.DataHall(),
		Repeatable:   q.Repeatable,
		Retry:        q.Retry,
		Replacement:  q.Replacement,
		Hedge:        q.Hedge,
		Age:          q.FirstAttemptAge,
		Kilobytes:    q.Kilobytes,
		Priority:     q.Priority,
		Workspace:    q.Workspace,
		SoftDeadline: q.SoftDeadline,
		Deadline:     q.Deadline,
		Tried:        q.Tried,
		Unavailable:  append(unavailable.backingOff, d.board.targetsOverShare(now, d.currentService(q.Service), p.hall)...),
		Draining:     unavailable.draining,
		ClosedHalls:  d.board.closedHalls(q),
		Route:        q.Route,
		Unrecorded:   d.unrecorded(now),
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	ledger := d.ledger(p)
	a.RemoteGrants = ledger.RemoteGrants(now, self.Address())
	s := d.touchScheduler(now, p)
	if s == nil {
		return entry.Choice{}, entry.NewNoTargetError(attempt.ReasonTargets, 0)
	}
	g := s.GrantIsolated(now, a, 1/float64(d.board.nodes()))
	if g.Decision == dispatch.OverBudget {
		return entry.Choice{}, entry.NewNoTargetError(attempt.ReasonBudget, 0)
	}
	if !q.Replacement {
		ledger.Record(now, dispatch.Dispatcher{
			Address: self.Address(),
		}, q.Retry)
	}
	d.notify()
	t := s.config.Target(g.Target)
	if t == nil {
		return entry.Choice{}, entry.NewNoTargetError(attempt.ReasonTargets, d.board.shareWait(now, d.currentService(q.Service)))
	}
	permit, ok := d.board.sharePermit(now, t)
	if !ok {
		d.deliver(p, s.Cancel(now, a.ID))
		return entry.Choice{}, entry.NewNoTargetError(attempt.ReasonTargets, d.board.shareWait(now, d.currentService(q.Service)))
	}
	own := numberedGrant{
		grant: &wire.Grant{
			Target: t.Key(),
		},
		number: a.ID.Number,
	}
	var reported reportedLoad
	c := choiceOf(t, byThisNode, func(end outlier.Result, took time.Duration) {
		done := doneOf(p, own, end, d.board.targetStatus(time.Now(), t), took)
		done.Load = reported.message(time.Now())
		d.recordDone(a.ID.Node, done)
	})
	c.Reported = reported.receive
	c.Permit = permit
	return c, nil
}
