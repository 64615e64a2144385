// SPDX-License-Identifier: Apache-2.0

package node

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"ploverjunction.example/ploverjunction/internal/admission"
	"ploverjunction.example/ploverjunction/internal/attempt"
	"ploverjunction.example/ploverjunction/internal/balance"
	"ploverjunction.example/ploverjunction/internal/entry"
	"ploverjunction.example/ploverjunction/internal/fleetconfig"
	"ploverjunction.example/ploverjunction/internal/outlier"
)

// independentChooser chooses targets by the requests that this node has in flight and by the
// ejection decisions on the blackboard. It may be used concurrently.
type independentChooser struct {
	board   *Board
	budgets sync.Map
}

// choose returns a target at once, or an error with the reason why there is none.
func (a *independentChooser) choose(_ context.Context, q *entry.Query) (entry.Choice, error) {
	pool := a.board.pool(q.Service.Name())
	if pool == nil {
		return entry.Choice{}, entry.NewNoTargetError(attempt.ReasonTargets, 0)
	}
	now := time.Now()
	if err := a.board.refuseClosed(q); err != nil {
		return entry.Choice{}, err
	}
	if err := a.board.refuseBackoff(now, q.Service); err != nil {
		return entry.Choice{}, err
	}
	unavailable := a.board.unavailable(now, q.Service, "")
	excluded := slices.Concat(unavailable.keys(), a.board.targetsOverShare(now, q.Service, ""), a.board.closedTargets(q))
	pick, ok := pool.Pick(rand.Uint64, q.Tried, excluded)
	if !ok {
		return entry.Choice{}, entry.NewNoTargetError(attempt.ReasonTargets, a.board.shareWait(now, q.Service))
	}
	c, ok := a.permitted(now, q.Service, pick)
	if !ok {
		return entry.Choice{}, entry.NewNoTargetError(attempt.ReasonTargets, a.board.shareWait(now, q.Service))
	}
	return c, nil
}

// permitted returns the choice of a pick, if this node's share of the target's limit pays for it.
func (a *independentChooser) permitted(now time.Time, s *fleetconfig.Service, pick balance.Pick) (entry.Choice, bool) {
	c, ok := picked(s, pick)
	if !ok {
		return c, false
	}
	if c.Permit, ok = a.board.sharePermit(now, s.Target(c.Key)); !ok {
		pick.Release()
		return entry.Choice{}, false
	}
	return c, true
}

// trial picks a target on trial for a copy of a repeatable request.
func (a *independentChooser) trial(s *fleetconfig.Service) (entry.Choice, bool) {
	pool := a.board.pool(s.Name())
	if pool == nil || pool.Trials() == 0 {
		return entry.Choice{}, false
	}
	pick, ok := pool.PickTrial(rand.Uint64)
	if !ok {
		return entry.Choice{}, false
	}
	return a.permitted(time.Now(), s, pick)
}

// picked returns the choice of a pick. The pool may be of an older configuration than the
// request's; a target that is not in the request's is not used.
func picked(s *fleetconfig.Service, pick balance.Pick) (entry.Choice, bool) {
	t := s.Target(pick.Key())
	if t == nil {
		pick.Release()
		return entry.Choice{}, false
	}
	return choiceOf(t, byThisNode, func(outlier.Result, time.Duration) { pick.Release() }), true
}

// choiceOf returns the choice of a target; by names the node that chose.
func choiceOf(t *fleetconfig.Target, by string, done func(outlier.Result, time.Duration)) entry.Choice {
	return entry.Choice{
		Address:     t.Address(),
		Key:         t.Key(),
		ID:          t.ID(),
		Incarnation: incarnationOf(t),
		DataHall:    t.DataHall(),
		By:          by,
		Done:        done,
	}
}

func (a *independentChooser) budget(service string) *admission.Budget {
	if b, ok := a.budgets.Load(service); ok {
		return b.(*admission.Budget)
	}
	b, _ := a.budgets.LoadOrStore(service, admission.NewBudget())
	return b.(*admission.Budget)
}

func (a *independentChooser) first(service string)      { a.budget(service).Deposit() }
func (a *independentChooser) retry(service string) bool { return a.budget(service).Withdraw() }
