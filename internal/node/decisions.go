// SPDX-License-Identifier: Apache-2.0

package node

import (
	"context"
	"time"

	"ploverjunction.example/ploverjunction/internal/membership"
	"ploverjunction.example/ploverjunction/internal/outlier"
	"ploverjunction.example/ploverjunction/internal/task"
	"ploverjunction.example/ploverjunction/internal/wire"
)

// broadcastDecisions sends new ejection decisions to all nodes of the data hall. They are rare; a
// node that misses one ejects the target on its own evidence.
func (o *evidenceController) broadcastDecisions(ctx context.Context, calls *task.Group, now time.Time, decisions []outlier.Decision) {
	if len(decisions) == 0 {
		return
	}
	batch := &wire.VerdictBatch{
		From: o.link.self(),
	}
	for _, decision := range decisions {
		o.deliver(now, decision, outlier.Key(decision.Target))
		batch.Verdicts = append(batch.Verdicts, &wire.Verdict{
			Service: decision.Service,
			Target:  outlier.Key(decision.Target),
			Score:   float32(decision.Score),
			LeaseMs: uint32(decision.Lease.Milliseconds()),
			Leaving: decision.Draining,
		})
	}
	o.sendDecisions(ctx, calls, batch)
}

func (o *evidenceController) sendDecisions(ctx context.Context, calls *task.Group, batch *wire.VerdictBatch) {
	view := o.board.view.Load()
	for _, n := range view.Peers() {
		if n.DataHall() != view.Self().DataHall() {
			continue
		}
		calls.Go(ctx, "verdict", func(ctx context.Context) error {
			err := o.link.sendDecisions(ctx, n.Address(), batch)
			if err != nil {
				o.link.failed(n.Address())
			}
			return err
		})
	}
}

// handleDecisions applies the ejection decisions of a node, if that is an observer of this node's
// data hall by this node's own view of the fleet.
func (o *evidenceController) handleDecisions(now time.Time, in *wire.VerdictBatch) {
	for _, v := range in.GetVerdicts() {
		if !o.hasRole(in.GetFrom(), v.GetService()) {
			continue
		}
		o.deliver(now, outlier.Decision{
			Service:  v.GetService(),
			Score:    float64(v.GetScore()),
			Lease:    time.Duration(v.GetLeaseMs()) * time.Millisecond,
			Draining: v.GetLeaving(),
		}, v.GetTarget())
	}
}

// trustedRanks is up to which rank an observer's ejection decisions are accepted: views differ by
// nodes that only one of them suspects.
const trustedRanks = 3

func (o *evidenceController) hasRole(from *wire.Node, service string) bool {
	view := o.board.view.Load()
	for _, n := range view.Role(observerRole(service), view.Self().DataHall(), trustedRanks) {
		if n == membership.NewNode(from.GetAddress(), from.GetDataHall()) {
			return true
		}
	}
	return false
}
