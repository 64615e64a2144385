// SPDX-License-Identifier: Apache-2.0

package dispatch

import (
	"time"

	"ploverjunction.example/ploverjunction/internal/health"
)

// Times and shares of a desk.
const (
	// flightSlack is how long after its deadline a granted attempt is forgotten.
	flightSlack = 500 * time.Millisecond
	// maxQueueShare is the part of the time left that a queue may take.
	maxQueueShare = 0.6
	// infeasibleShare is the share of answers that must come in the time that is left.
	infeasibleShare = 0.25
	// endedRetention is how long an ask that ended is remembered, some times longer
	// than a datagram is repeated.
	endedRetention = 2 * time.Second
	// finalWaitShare is the part of its time that an attempt which no other can follow
	// waits for a target that isn't failing.
	finalWaitShare = 0.5
	// warmupSlotShare is the part of its slots that a starting target gets.
	warmupSlotShare = 0.5
)

// Desk chooses the targets of one service. It isn't safe for concurrent use.
type Desk struct {
	started time.Time
	budget  Budget
	random  func() float64
	targets map[string]*target
	order   []*target
	// freeBuffer is the memory of the list that free returns.
	freeBuffer []*target
	// examined counts the targets that were looked at for a choice; serveAgain is when all
	// that waits may be looked at again.
	examined  int
	nextServe time.Time
	queue     queue
	window    window
	remote    remoteGrants
	granted   map[ID]string
	// ended are asks that have ended: a repeated datagram of one of them must not
	// open it again.
	ended map[ID]time.Time
	// model is what is learned of the service's targets.
	model *health.Model
	// rejectedSamples counts times of answers that the histograms did not take.
	rejectedSamples int
	// lastAdvance is when Advance last did its work.
	lastAdvance time.Time
	outcomes    outcomes
	// lastFreeSlot is when a slot was last free for which nothing waited that can be in time.
	lastFreeSlot time.Time
	lastCoverage coverage
	accepting    accepting
	floor        float64
	// warmupUntil is until when any target has a limit because it warms up.
	warmupUntil time.Time
	// newTargets are targets that joined and may have got no request yet, draining counts those
	// that are published as draining.
	newTargets []string
	draining   int
	// limitShare is the part of the targets' limits that this desk may use, limits how many
	// targets have one.
	limitShare float64
	limits     int
	// trials counts grants of targets that would have been left out else.
	trials int
}

// NewDesk returns a desk without targets. random gives numbers from 0 to 1.
func NewDesk(now time.Time, b Budget, random func() float64) *Desk {
	return &Desk{
		started:      now,
		lastFreeSlot: now,
		budget:       b,
		floor:        defaultFloor,
		limitShare:   1,
		random:       random,
		targets:      map[string]*target{},
		remote:       remoteGrants{},
		granted:      map[ID]string{},
		ended:        map[ID]time.Time{},
		model:        health.NewModel(now),
	}
}

// Ask answers an ask at once. Asking again with the same ID gives the same answer.
func (d *Desk) Ask(now time.Time, a *Ask) Grant {
	d.recordSignals(now, a)
	g := d.answer(now, a)
	g.Limits = d.limitUpdates(a)
	return g
}

// answer answers an ask, or repeats the answer that it got before.
func (d *Desk) answer(now time.Time, a *Ask) Grant {
	if g, known := d.previousAnswer(a.ID); known {
		if g.Verdict == Queued {
			return d.renew(now, a)
		}
		return g
	}
	d.outcomes.recordRefused(now, min(a.Refused, maxRefused))
	d.queue.slotsShort = d.slotsShort(now)
	if a.Hedge && !d.allowsHedge(now, a) || !d.affords(now, a, 1) {
		if !a.Hedge {
			d.outcomes.record(now, false)
		}
		return Grant{
			ID:      a.ID,
			Verdict: Spent,
		}
	}
	// The choice counts on the ask itself: it is one of those that keep the floor.
	d.charge(a, 1)
	g := d.decide(now, a)
	switch g.Verdict {
	case Full:
		d.charge(a, -1)
	case Refused:
		d.outcomes.record(now, false)
	}
	return g
}

// recordSignals records what targets signalled to the node that asks.
func (d *Desk) recordSignals(now time.Time, a *Ask) {
	for _, key := range a.Draining {
		d.MarkDraining(now, key)
	}
	for _, l := range a.Limits {
		d.Observe(now, a.ID.Node, l)
	}
}

// decide answers an ask that the retry budget pays for.
func (d *Desk) decide(now time.Time, a *Ask) Grant {
	if d.unavailable(now, a) {
		return a.withoutTarget(Refused, 0)
	}
	if wait := d.wait(now, a.Priority); wait > d.maxExpectedWait(now, a) {
		return a.withoutTarget(Refused, d.retryAfter(wait))
	}
	if t := d.starved(now, a); t != nil {
		return d.grant(now, t, a, true)
	}
	w := &waiting{
		ask:             a,
		since:           now,
		usualTime:       d.model.Route(now, a.Route).Usual(),
		minResponseTime: d.minResponseTime(now, a),

		margin: d.margin(now, a),
	}
	if work, _ := d.queue.ahead(now, a.Priority); work == 0 {
		if t := d.best(now, w, d.free(now)); t != nil {
			d.lastFreeSlot = now
			return d.grant(now, t, a, false)
		}
	}
	if a.Passing || d.infeasible(now, a) {
		return a.withoutTarget(Refused, 0)
	}
	d.queue.add(w)
	return Grant{
		ID:      a.ID,
		Verdict: Queued,
	}
}

// withoutTarget returns the answer to an ask that gets no target. One that can be passed on
// is not refused.
func (a *Ask) withoutTarget(v Verdict, wait time.Duration) Grant {
	if a.Passing {
		v, wait = Full, 0
	}
	return Grant{
		ID:         a.ID,
		Verdict:    v,
		RetryAfter: wait,
	}
}

// wait estimates how long an ask of a priority would wait: the work before it, by the
// slots of targets that work.
func (d *Desk) wait(now time.Time, priority int) time.Duration {
	work, n := d.queue.ahead(now, priority)
	if c, all := d.limitedCapacity(now); all {
		return c.wait(n)
	}
	if work == 0 {
		return 0
	}
	slots := 0.0
	for _, t := range d.order {
		if !t.drains(now) {
			slots += t.limitedSlots(now, d.limitShare, work/time.Duration(n)) * (1 - t.failureProbability(now))
		}
	}
	return time.Duration(float64(work) / max(slots, 1))
}

// infeasible reports whether so little time is left that hardly any answer would come.
// Others make better use of the slot.
func (d *Desk) infeasible(now time.Time, a *Ask) bool {
	return a.Deadline.Sub(now) < d.minResponseTime(now, a)
}

// minResponseTime returns the time within which hardly any answer to an ask comes.
func (d *Desk) minResponseTime(now time.Time, a *Ask) time.Duration {
	return d.model.Route(now, a.Route).Within(infeasibleShare)
}

// margin returns the time within which nearly all answers to an ask come, the usual time
// while that isn't known.
func (d *Desk) margin(now time.Time, a *Ask) time.Duration {
	route := d.model.Route(now, a.Route)
	return max(route.Within(safeTimeShare), route.Usual())
}

// previousAnswer returns the answer that an ask got before.
func (d *Desk) previousAnswer(id ID) (Grant, bool) {
	if key, ok := d.granted[id]; ok {
		g := Grant{
			ID:      id,
			Verdict: Granted,
			Target:  key,

			HedgeAfter: d.targets[key].hedgeAfter(id),
		}
		if t := d.targets[key]; t != nil {
			// The limit may have become known since: it didn't pay for this grant.
			paid := t.flights[id].paid
			g.Limit, g.LimitAt = paid.Limit, paid.At
		}
		return g, true
	}
	if _, over := d.ended[id]; over {
		return Grant{
			ID:      id,
			Verdict: Refused,
		}, true
	}
	return Grant{
		ID:      id,
		Verdict: Queued,
	}, d.queue.has(id)
}

// AskAlone answers for a node that reaches no dispatcher: it grants without
// regard to slots, for it doesn't know what others have in flight. part is this
// node's share of the reserve of the retry budget.
func (d *Desk) AskAlone(now time.Time, a *Ask, share float64) Grant {
	d.recordSignals(now, a)
	if !d.affords(now, a, share) {
		return Grant{
			ID:      a.ID,
			Verdict: Spent,
		}
	}
	d.charge(a, 1)
	if t := d.cheapest(now, a, d.order); t != nil {
		return d.grant(now, t, a, false)
	}
	return Grant{
		ID:      a.ID,
		Verdict: Refused,
	}
}

// grant gives an ask a target. trial is set where nothing but its lack of work speaks
// for it.
func (d *Desk) grant(now time.Time, t *target, a *Ask, trial bool) Grant {
	trial = trial || d.coverageGain(now, t, a) >= trialMinGain
	if trial {
		d.trials++
	}
	if !t.usedRecently(now) {
		d.lastCoverage = coverage{}
	}
	paced := t.limit.bounded(now)
	t.limit.take(now, d.limitShare)
	before := t.lastGranted
	t.lastGranted = now
	doubt := t.lossProbability(now)
	route := d.model.Route(now, a.Route)
	t.flights[a.ID] = flight{
		begun:         now,
		until:         a.Deadline.Add(flightSlack),
		previousGrant: before,
		final:         a.final(),
		paid: TargetLimit{
			Target: t.Key,
			Limit:  t.limit.Limit,
			At:     t.limit.at,
		},
		paced: paced,
		route: route,
		event: t.health.Begin(now, route),
	}
	d.granted[a.ID] = t.Key
	return Grant{
		ID:      a.ID,
		Verdict: Granted,
		Target:  t.Key,

		HedgeAfter: route.Within(hedgeQuantile),
		Doubt:      doubt,
		Trial:      trial,
		Limit:      t.limit.Limit,
		LimitAt:    t.limit.at,
	}
}

// idleInterval is how often a desk without work applies what was learned. Each node has a
// desk for each service, most of which have no work.
const idleInterval = time.Second

// Busy reports whether anything waits or is under way.
func (d *Desk) Busy() bool { return len(d.granted) > 0 || len(d.queue.list) > 0 }

// Advance forgets attempts whose end was never told and returns the grants and
// refusals that are due.
func (d *Desk) Advance(now time.Time) []Grant {
	if !d.Busy() && now.Sub(d.lastAdvance) < idleInterval {
		return nil
	}
	d.lastAdvance = now
	d.model.Advance(now)
	for id, key := range d.granted {
		t := d.targets[key]
		if t == nil {
			// The target is gone, and its attempts with it.
			delete(d.granted, id)
			continue
		}
		if f := t.flights[id]; now.After(f.until) {
			t.health.End(now, f.event, health.Open)
			delete(t.flights, id)
			delete(d.granted, id)
		}
	}
	for id, at := range d.ended {
		if now.Sub(at) > endedRetention {
			delete(d.ended, id)
		}
	}
	return d.serve(now)
}

// Cancel ends an ask that waits or was granted without saying anything of a
// target.
func (d *Desk) Cancel(now time.Time, id ID) []Grant {
	if key, ok := d.granted[id]; ok {
		return d.Done(now, id, key, ResultIgnored, 0)
	}
	d.ended[id] = now
	if d.queue.has(id) {
		// Its caller has left.
		d.queue.drop(id)
		d.outcomes.record(now, false)
	}
	return nil
}
