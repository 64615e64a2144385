// SPDX-License-Identifier: Apache-2.0

package node

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/sirupsen/logrus"

	"ploverjunction.example/ploverjunction/internal/dispatch"
	"ploverjunction.example/ploverjunction/internal/fleetconfig"
	"ploverjunction.example/ploverjunction/internal/wire"
)

// This file serves the grant requests of other nodes, as a dispatcher.

func (d *dispatchController) advance(now time.Time) {
	d.mu.Lock()
	grants := map[partition][]dispatch.Grant{}
	for p, s := range d.schedulers {
		if now.Sub(s.lastUsed) > schedulerIdleTimeout {
			delete(d.schedulers, p)
			continue
		}
		if current := d.currentScheduler(now, p); current != nil {
			grants[p] = current.Advance(now)
		}
	}
	d.mu.Unlock()
	for p, list := range grants {
		d.deliver(p, list)
	}
}

// logStatus logs the status of each scheduler with enough requests, every reportInterval.
func (d *dispatchController) logStatus(now time.Time) {
	if now.Sub(d.statusLoggedAt) < reportInterval {
		return
	}
	d.statusLoggedAt = now
	d.mu.Lock()
	defer d.mu.Unlock()
	for p, sched := range d.schedulers {
		if sched.RequestCount(now) < reportMinRequests {
			if sched.statusLogged {
				// Another node has the role now, or there are no requests.
				sched.statusLogged = false
				d.setCoverageShort(p, 0)
				d.setLimitedTargets(p, 0)
			}
			continue
		}
		sched.statusLogged = true
		s := sched.Status(now)
		d.setCoverageShort(p, s.ShortProbability)
		failing := map[string]float64{}
		limits := map[string]string{}
		for _, t := range s.Targets {
			if t.Limit.Set {
				limits[t.Key] = fmt.Sprintf("%g/s, %d in 4 s", t.Limit.Rate, t.Granted)
			}
			if t.FailureProbability > reportMinProbability {
				failing[t.Key] = math.Round(t.FailureProbability*100) / 100
			}
		}
		d.setLimitedTargets(p, len(limits))
		d.log.WithFields(logrus.Fields{
			"service":      p.service,
			"hall":         p.hall,
			"limits":       limits,
			"waiting":      s.Waiting,
			"in_flight":    s.InFlight,
			"slots":        s.Slots,
			"unlearned":    s.RejectedSamples,
			"prior":        math.Round(s.FailingShare*100) / 100,
			"enter":        math.Round(s.FailureRate*1000) / 1000,
			"leave":        math.Round(s.RecoveryRate*1000) / 1000,
			"lost_failing": math.Round(s.LostFailing*100) / 100,
			"repeats_left": math.Round(s.RetriesLeft),
			"firsts":       s.Granted.Firsts,
			"repeats":      s.Granted.Retries,

			"firsts_elsewhere":         s.Remote.Firsts,
			"repeats_elsewhere":        s.Remote.Retries,
			"working":                  math.Round(s.Working*10) / 10,
			"reached":                  math.Round(s.Reached*10) / 10,
			"short":                    math.Round(s.ShortProbability*1000) / 1000,
			"trials":                   s.Trials,
			"waiting_workspaces":       s.Shares.WaitingWorkspaces,
			"greatest_share":           math.Round(s.Shares.Greatest*100) / 100,
			"greatest_share_workspace": s.Shares.GreatestWorkspace,
			"rejected":                 math.Round(s.RejectedShare*100) / 100,
			"repeats_withheld":         s.RetriesWithheld,
			"places":                   s.Places,
			"reporting":                s.Reporting,
			"foreign":                  s.Foreign,
			"failing":                  failing,
		}).Info("desk")
	}
}

// touchScheduler returns the scheduler of a partition and marks it as used, or returns nil if there
// is no such service. d.mu is held.
func (d *dispatchController) touchScheduler(now time.Time, p partition) *scheduler {
	s := d.currentScheduler(now, p)
	if s != nil {
		s.lastUsed = now
	}
	return s
}

// currentScheduler returns the scheduler of a partition, updated to the newest configuration of its
// service, or nil if there is no such service. d.mu is held.
func (d *dispatchController) currentScheduler(now time.Time, p partition) *scheduler {
	c := d.board.currentConfig()
	if c == nil || c.Service(p.service) == nil {
		delete(d.schedulers, p)
		delete(d.ledgers, p)
		return nil
	}
	sc := c.Service(p.service)
	s := d.schedulers[p]
	if s == nil {
		s = &scheduler{
			Scheduler: dispatch.NewScheduler(now, d.budgetOf(p, sc), rand.Float64),
			lastUsed:  now,
		}
		s.SetWeights(d.weight)
		d.schedulers[p] = s
	}
	if s.Limited(now) {
		view := d.board.view.Load()
		s.SetLimitShare(d.holderRank(now, view, p.holders(view)).share())
	}
	if s.config != sc {
		p.configure(now, s, sc)
		s.SetFloor(max(d.floor, floorOf(sc)))
	}
	return s
}

// weight returns the weight of a workspace in the configuration in force, 0 if it has none.
func (d *dispatchController) weight(workspace string) float64 {
	if c := d.board.currentConfig(); c != nil {
		if w := c.Workspace(workspace); w != nil {
			return w.Weight()
		}
	}
	return 0
}

// configure updates a scheduler of the partition to another configuration of its service.
func (p partition) configure(now time.Time, s *scheduler, sc *fleetconfig.Service) {
	before := s.config
	s.config = sc
	if before == nil || !sc.SameEvacuations(before) || sc.WarmupRate() != before.WarmupRate() {
		s.Configure(now, p.targets(sc, sc.Targets()))
		return
	}
	added, removed := sc.TargetChanges(before)
	var gone []string
	for _, t := range removed {
		if now := sc.Target(t.Key()); now == nil || p.hall != "" && now.DataHall() != p.hall {
			gone = append(gone, t.Key())
		}
	}
	s.Update(now, p.targets(sc, added), gone)
}

// budgetOf returns the retry budget of a partition. Its share applies to the partition's own first
// attempts; the reserve is divided, so that all partitions together have that of the service.
func (d *dispatchController) budgetOf(p partition, sc *fleetconfig.Service) dispatch.Budget {
	b := d.budget
	if p.hall != "" {
		// The data halls are counted even if this node would not partition the service: it may have
		// the configuration later than the node that requested the grant.
		b.Reserve /= float64(max(len(sc.HallSizes()), 2))
	}
	return b
}

// floorOf returns the floor of a service's policy as a share of its slots.
func floorOf(sc *fleetconfig.Service) float64 {
	if sc.Slots() == 0 {
		return 0
	}
	return sc.Policy().Floor(float64(sc.Slots()), len(sc.Targets())) / float64(sc.Slots())
}

// targets returns those targets in list that belong to the partition.
func (p partition) targets(sc *fleetconfig.Service, list []*fleetconfig.Target) []dispatch.Target {
	var out []dispatch.Target
	for _, t := range list {
		if p.hall != "" && t.DataHall() != p.hall {
			continue
		}
		out = append(out, dispatch.Target{
			Key:      t.Key(),
			DataHall: t.DataHall(),
			Slots:    t.Slots(),
			Draining: sc.Draining(t),
			HasID:    t.ID() != "",
			Warmup:   t.Warmup(),

			WarmupRate: sc.WarmupRate(),
		})
	}
	return out
}

// handleGrantRequest answers the grant request of a peer.
func (d *dispatchController) handleGrantRequest(in *wire.Datagram) {
	now := time.Now()
	w := in.GetAsk()
	r := &dispatch.Request{
		ID: dispatch.ID{
			Node:   in.GetFrom().GetAddress(),
			Number: in.GetCall(),
		},
		DataHall:     in.GetFrom().GetDataHall(),
		Repeatable:   w.GetRepeatable(),
		Retry:        w.GetAgain(),
		Replacement:  w.GetReplaces(),
		Hedge:        w.GetHedge(),
		Age:          time.Duration(w.GetAgeMs()) * time.Millisecond,
		Kilobytes:    int(w.GetKilobytes()),
		Priority:     int(w.GetPriority()),
		Workspace:    w.GetWorkspace(),
		SoftDeadline: now.Add(time.Duration(w.GetAimMs()) * time.Millisecond),
		Deadline:     now.Add(time.Duration(w.GetDeadlineMs()) * time.Millisecond),
		Tried:        w.GetTried(),
		Unavailable:  w.GetBarred(),
		Draining:     w.GetLeaving(),
		ClosedHalls:  w.GetClosedHalls(),
		Refused:      int(w.GetRefused()),
		Route:        w.GetRoute(),
		NonQueueing:  w.GetPassing(),
		Unrecorded:   w.GetUnrecorded(),
		Waited:       time.Duration(w.GetWaitedMs()) * time.Millisecond,
		RemoteGrants: dispatch.AttemptCounts{
			Firsts:  int(w.GetFirstsElsewhere()),
			Retries: int(w.GetRepeatsElsewhere()),
		},
	}
	for _, l := range w.GetLimits() {
		r.Limits = append(r.Limits, limitOfWire(now, l))
	}
	p := partition{
		service: w.GetService(),
		hall:    w.GetDataHall(),
	}
	d.mu.Lock()
	s := d.touchScheduler(now, p)
	var g dispatch.Grant
	if s != nil {
		g = s.RequestGrant(now, r)
	}
	d.mu.Unlock()
	d.notify()
	if s == nil {
		d.answer(in.GetFrom().GetAddress(), in.GetCall(), &wire.Grant{
			Verdict: wire.Grant_UNKNOWN,
		})
		return
	}
	d.answer(r.ID.Node, r.ID.Number, wireGrant(g))
}

// wireDecisions maps decisions of schedulers to their values in messages.
var wireDecisions = [...]wire.Grant_Verdict{
	dispatch.Granted:    wire.Grant_GRANTED,
	dispatch.Queued:     wire.Grant_QUEUED,
	dispatch.Refused:    wire.Grant_REFUSED,
	dispatch.OverBudget: wire.Grant_BUDGET,
	dispatch.NoneFree:   wire.Grant_FULL,
}

func wireGrant(g dispatch.Grant) *wire.Grant {
	now := time.Now()
	var limits []*wire.TargetLimit
	for _, l := range g.Limits {
		limits = append(limits, wireLimit(now, l))
	}
	return &wire.Grant{
		Limits:       limits,
		Limit:        grantedLimit(now, g),
		Verdict:      wireDecisions[g.Decision],
		Target:       g.Target,
		RetryAfterMs: wireMilliseconds(g.RetryAfter),
		Doubt:        uint32(1000 * g.LossProbability),
		Trial:        g.Trial,
		HedgeAfterMs: wireMilliseconds(g.HedgeAfter),
	}
}

// wireMilliseconds returns a duration in milliseconds, 0 for a negative one: converted as it is, -1 ms
// would be sent as 49 days.
func wireMilliseconds(d time.Duration) uint32 {
	return uint32(min(max(d.Milliseconds(), 0), math.MaxUint32))
}

// grantedLimit returns the limit of the target that a grant names, or nil.
func grantedLimit(now time.Time, g dispatch.Grant) *wire.TargetLimit {
	if !g.Limit.Set {
		return nil
	}
	return wireLimit(now, dispatch.TargetLimit{
		Target: g.Target,
		Limit:  g.Limit,
		At:     g.LimitAt,
	})
}

func (d *dispatchController) answer(peer string, call uint64, g *wire.Grant) {
	out := &wire.Datagram{
		Call: call,
		Body: &wire.Datagram_Grant{
			Grant: g,
		},
	}
	if peer == d.board.view.Load().Self().Address() {
		d.messenger.deliverAnswer(out)
		return
	}
	d.messenger.send(peer, out)
}

// deliver sends grants to requests that were queued.
func (d *dispatchController) deliver(p partition, grants []dispatch.Grant) {
	for _, g := range grants {
		d.log.WithFields(logrus.Fields{
			"service": p.service,
			"node":    g.ID.Node,
			"verdict": g.Decision.String(),
			"target":  g.Target,
		}).Debug("queued request answered")
		d.answer(g.ID.Node, g.ID.Number, wireGrant(g))
	}
}

// handleDone handles and confirms a peer's report of the end of an attempt.
func (d *dispatchController) handleDone(in *wire.Datagram) {
	w := in.GetDone()
	if w.GetRequest() == 0 {
		w.Request = in.GetCall()
	}
	d.recordDone(in.GetFrom().GetAddress(), w)
	d.messenger.send(in.GetFrom().GetAddress(), &wire.Datagram{
		Call: in.GetCall(),
		Body: &wire.Datagram_Taken{
			Taken: &wire.Taken{},
		},
	})
}

// recordDone records the end of an attempt of any node.
func (d *dispatchController) recordDone(node string, w *wire.Done) {
	now := time.Now()
	id := dispatch.ID{
		Node:   node,
		Number: w.GetRequest(),
	}
	p := partition{
		service: w.GetService(),
		hall:    w.GetDataHall(),
	}
	d.mu.Lock()
	s := d.touchScheduler(now, p)
	var out []dispatch.Grant
	if s != nil && w.GetTarget() == "" {
		out = s.Cancel(now, id)
	} else if s != nil {
		if w.GetLeaving() {
			s.MarkDraining(now, w.GetTarget())
		}
		if w.GetLost() {
			s.MarkFinal(w.GetTarget(), id)
		}
		if l := w.GetLimit(); l != nil {
			s.Observe(now, node, limitOfWire(now, l))
		}
		if backoff := w.GetRestMs(); backoff > 0 {
			s.BackOff(now, w.GetTarget(), id, time.Duration(backoff)*time.Millisecond)
		}
		s.ReportLoad(now, w.GetTarget(), id, loadOfWire(w.GetLoad()), time.Duration(w.GetTookMs())*time.Millisecond)
		out = s.Done(now, id, w.GetTarget(), resultOfWire(w), time.Duration(w.GetTookMs())*time.Millisecond)
	}
	d.mu.Unlock()
	d.deliver(p, out)
}
