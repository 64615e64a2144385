// SPDX-License-Identifier: Apache-2.0

package node

import (
	"slices"
	"time"

	"ploverjunction.example/ploverjunction/internal/attempt"
	"ploverjunction.example/ploverjunction/internal/dispatch"
	"ploverjunction.example/ploverjunction/internal/entry"
	"ploverjunction.example/ploverjunction/internal/outlier"
	"ploverjunction.example/ploverjunction/internal/signal"
	"ploverjunction.example/ploverjunction/internal/wire"
)

// handleGrant handles the final answer of a dispatcher.
func (d *dispatchController) handleGrant(peer string, q *entry.Query, p partition, g numberedGrant) reply {
	d.board.learnLimits(time.Now(), d.currentService(q.Service), g.grant.GetLimits()...)
	switch g.grant.GetVerdict() {
	case wire.Grant_FULL:
		d.markFull(time.Now(), p)
		return reply{
			full: true,
		}
	case wire.Grant_BUDGET, wire.Grant_UNKNOWN:
	default:
		d.recordGrant(dispatch.Dispatcher{
			Address:     peer,
			Incarnation: g.incarnation,
		}, q, p)
	}
	return d.choiceOfGrant(peer, q, p, g)
}

// choiceOfGrant converts an answer to a choice. The reply is not usable if the target is not in
// this node's configuration or accepts no request from it, or if the dispatcher has no such
// service.
func (d *dispatchController) choiceOfGrant(peer string, q *entry.Query, p partition, g numberedGrant) reply {
	switch g.grant.GetVerdict() {
	case wire.Grant_GRANTED:
	case wire.Grant_REFUSED:
		return reply{
			err: entry.NewNoTargetError(attempt.ReasonTargets, retryAfterOf(g.grant)),
		}
	case wire.Grant_BUDGET:
		return reply{
			err: entry.NewNoTargetError(attempt.ReasonBudget, retryAfterOf(g.grant)),
		}
	default:
		return reply{}
	}
	t := d.currentService(q.Service).Target(g.grant.GetTarget())
	if t == nil || t.Draining() {
		// The configurations of this node and of the dispatcher differ.
		result := wire.Done_IGNORED
		if t != nil {
			result = wire.Done_GONE
		}
		d.reportDone(peer, newDone(p, g, result, 0))
		return reply{}
	}
	if slices.Contains(d.board.closedHalls(q), t.DataHall()) {
		// The dispatcher may not have received the evacuation yet.
		d.reportDone(peer, newDone(p, g, wire.Done_IGNORED, 0))
		d.log.WithField("service", p.service).WithField("target", t.Key()).WithField("by", peer).
			WithField("hall", t.DataHall()).Info("granted target is in a closed data hall")
		return reply{
			unavailable: true,
		}
	}
	now := time.Now()
	permit := signal.Permit{
		At: now,
	}
	if l := g.grant.GetLimit(); l != nil {
		permit.Paced = true
		d.board.learnLimits(now, d.currentService(q.Service), l)
	}
	if status := d.board.targetStatus(now, t); !status.Permits(now, permit) {
		// This node received the signal from the target; the dispatcher may not have.
		done := newDone(p, g, wire.Done_IGNORED, 0)
		done.Leaving = status.Draining
		d.reportDone(peer, done)
		d.log.WithField("service", p.service).WithField("target", t.Key()).WithField("by", peer).
			WithField("leaving", status.Draining).WithField("rest_ms", status.Backoff.Milliseconds()).
			WithField("limited", status.Limit.Set).Info("granted target wants no request")
		return reply{
			unavailable: true,
		}
	}
	var reported reportedLoad
	c := choiceOf(t, peer, func(end outlier.Result, took time.Duration) {
		done := doneOf(p, g, end, d.board.targetStatus(time.Now(), t), took)
		done.Load = reported.message(time.Now())
		d.reportDone(peer, done)
		d.recordResult(peer, q, p, done, end)
	})
	c.Reported = reported.receive
	c.LossProbability = float64(g.grant.GetDoubt()) / 1000
	c.Trial = g.grant.GetTrial()
	c.Permit = permit
	c.HedgeAfter = time.Duration(g.grant.GetHedgeAfterMs()) * time.Millisecond
	return reply{
		choice: c,
		usable: true,
	}
}

// retryAfterOf returns after how long the caller of a refused request may return, 0 where the dispatcher
// named no time.
func retryAfterOf(g *wire.Grant) time.Duration {
	return time.Duration(g.GetRetryAfterMs()) * time.Millisecond
}

// recordResult records this node's own result with a target that a dispatcher chose, for the
// fallback. Its own scheduler has received the result already.
func (d *dispatchController) recordResult(dispatcher string, q *entry.Query, p partition, done *wire.Done, end outlier.Result) {
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	if end.Unreached && !end.PathLost {
		d.unreachableUntil[done.GetTarget()] = now.Add(unreachableTime)
	}
	if dispatcher == d.board.view.Load().Self().Address() {
		return
	}
	if home := d.home(q); home != p {
		// The fallback chooses among the targets of the home partition only.
		return
	}
	if s := d.touchScheduler(now, p); s != nil {
		took := time.Duration(done.GetTookMs()) * time.Millisecond
		s.RecordRemote(now, done.GetTarget(), q.Route, resultOfWire(done), took)
		s.ObserveLoad(dispatch.LoadReport{
			Target: done.GetTarget(),
			Load:   loadOfWire(done.GetLoad()),
			Since:  now.Add(-took - reportSlack),
			At:     now,
		})
	}
}
