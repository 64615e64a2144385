// SPDX-License-Identifier: Apache-2.0

package dispatch

import (
	"time"

	"ploverjunction.example/ploverjunction/internal/health"
)

// Parameters of a scheduler.
const (
	// flightSlack is how long after its deadline an attempt is dropped if its end was not reported.
	flightSlack = 500 * time.Millisecond
	// maxQueueShare is the greatest expected wait in the queue, as a share of the time to the
	// deadline.
	maxQueueShare = 0.6
	// infeasibleShare is the share of answers that must come within the remaining time for a request
	// to be feasible.
	infeasibleShare = 0.25
	// endedRetention is how long ended requests are kept: several times as long as a datagram is
	// repeated.
	endedRetention = 2 * time.Second
	// finalWaitShare is the share of its time for which a final attempt waits for a target that is
	// not failing.
	finalWaitShare = 0.5
	// warmupSlotShare is the share of its slots that a target gets while it warms up.
	warmupSlotShare = 0.5
	// maxWaited bounds the time for which a request may have waited at other dispatchers: the greatest
	// response time that is recorded, as no route waits as long as that.
	maxWaited = time.Minute
)

// Scheduler chooses the targets of one service. It is not safe for concurrent use.
type Scheduler struct {
	started time.Time
	budget  Budget
	random  func() float64
	targets map[string]*target
	order   []*target
	// freeBuffer is reused by free.
	freeBuffer []*target
	// examined counts the targets examined for choices. All waiting requests are examined again from
	// nextServe on.
	examined  int
	nextServe time.Time
	queue     queue
	window    window
	remote    remoteGrants
	granted   map[ID]string
	// ended holds the requests that have ended: a repeated datagram must not open one of them again.
	ended map[ID]time.Time
	// model holds the estimates shared by the targets of the service.
	model *health.Model
	// rejectedSamples counts response times that the histograms rejected.
	rejectedSamples int
	// lastAdvance is when Advance last ran.
	lastAdvance time.Time
	outcomes    outcomes
	// lastFreeSlot is when a slot was last left over by the waiting requests that can be answered in
	// time.
	lastFreeSlot time.Time
	lastCoverage coverage
	accepting    accepting
	returns      returns
	rejections   rejections
	floor        float64
	// warmupUntil is when the last rate limit of a warming target ends.
	warmupUntil time.Time
	// newTargets are keys of targets that joined, in order; those at the head may have had a request
	// already. draining counts targets published as draining.
	newTargets []string
	draining   int
	// limitShare is the share of the targets' limits that this scheduler may use, limits the number of
	// targets with a limit.
	limitShare float64
	limits     int
	// trials counts the grants made only because the target lacked work.
	trials int
	// lastGrant is when the last request was granted as a dispatcher, results the number of results of
	// granted attempts since a pause of handoverInterval between grants, importedAt when a handover was
	// last accepted.
	lastGrant  time.Time
	results    int
	importedAt time.Time
	// isolated is set while a target is chosen on a node that reaches no dispatcher.
	isolated bool
}

// NewScheduler returns a scheduler without targets. random returns values in [0, 1).
func NewScheduler(now time.Time, b Budget, random func() float64) *Scheduler {
	return &Scheduler{
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
		queue:        newQueue(),
	}
}

// SetWeights sets the source of the weights of workspaces: their relative shares of the slots while
// these are short. A weight that is not a positive number counts as 1, as without a source.
func (d *Scheduler) SetWeights(weight func(workspace string) float64) { d.queue.shares.weight = weight }

// RequestGrant answers a grant request at once. A repeated request with the same ID gets the same
// answer.
func (d *Scheduler) RequestGrant(now time.Time, a *Request) Grant {
	d.recordSignals(now, a)
	g := d.answer(now, a)
	g.Limits = d.limitUpdates(a)
	return g
}

// answer answers a grant request or repeats its previous answer.
func (d *Scheduler) answer(now time.Time, a *Request) Grant {
	if g, known := d.previousAnswer(a.ID); known {
		if g.Decision == Queued {
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
		return d.refuseRetry(now, a)
	}
	// The request itself counts in the decision: it is one of those that keep the floor.
	d.charge(a, 1)
	g := d.decide(now, a)
	switch g.Decision {
	case NoneFree:
		d.charge(a, -1)
	case Refused:
		d.outcomes.record(now, false)
	}
	return g
}

// recordSignals records the target signals that the requesting node has received.
func (d *Scheduler) recordSignals(now time.Time, a *Request) {
	for _, key := range a.Draining {
		d.MarkDraining(now, key)
	}
	for _, l := range a.Limits {
		d.Observe(now, a.ID.Node, l)
	}
}

// decide answers a request that the retry budget allows.
func (d *Scheduler) decide(now time.Time, a *Request) Grant {
	if d.unavailable(now, a) {
		return d.refuseExpected(now, a)
	}
	wait, work := d.wait(now, a)
	if wait > d.maxExpectedWait(now, a) {
		return d.refuseOverloaded(now, a, wait)
	}
	if t := d.starved(now, a); t != nil {
		return d.grant(now, t, a, true)
	}
	w := &waiting{
		request:         a,
		since:           now.Add(-min(max(a.Waited, 0), maxWaited)),
		usualTime:       d.model.Route(now, a.Route).MedianLatency(),
		minResponseTime: d.minResponseTime(now, a),

		margin: d.margin(now, a),
	}
	if work == 0 {
		if t := d.best(now, w, d.free(now)); t != nil {
			d.lastFreeSlot = now
			return d.grant(now, t, a, false)
		}
	}
	if a.NonQueueing || d.infeasible(now, a) {
		return d.refuse(now, a, wait)
	}
	d.queue.add(now, w)
	return Grant{
		ID:       a.ID,
		Decision: Queued,
	}
}

// wait estimates how long an arriving request would wait, and returns the work ahead of it: the
// quotient of that and the slots of working targets is the wait.
func (d *Scheduler) wait(now time.Time, a *Request) (wait, work time.Duration) {
	work, n := d.queue.ahead(now, a, d.model.Route(now, a.Route).MedianLatency())
	if c, all := d.limitedCapacity(now); all {
		return c.wait(n), work
	}
	if work == 0 {
		return 0, 0
	}
	slots := d.workingSlots(now, work/time.Duration(n))
	d.queue.workingSlots = slots
	return time.Duration(float64(work) / slots), work
}

// workingSlots returns the slots of working targets for requests of the given duration, at least 1. Of a
// target that rejects requests like the others, the share that it serves counts, which leaves room for
// retries of the others.
func (d *Scheduler) workingSlots(now time.Time, duration time.Duration) float64 {
	slots := 0.0
	for _, t := range d.order {
		if !t.drains(now) {
			slots += t.limitedSlots(now, d.limitShare, duration) * d.servedShare(now, t)
		}
	}
	return max(slots, 1)
}

// infeasible reports whether so little time is left that an answer is unlikely; other requests make
// better use of the slot.
func (d *Scheduler) infeasible(now time.Time, a *Request) bool {
	return a.Deadline.Sub(now) < d.minResponseTime(now, a)
}

// minResponseTime returns the time within which infeasibleShare of the answers come.
func (d *Scheduler) minResponseTime(now time.Time, a *Request) time.Duration {
	return d.model.Route(now, a.Route).LatencyQuantile(infeasibleShare)
}

// margin returns the time within which nearly all answers come, or the usual time while that is
// unknown.
func (d *Scheduler) margin(now time.Time, a *Request) time.Duration {
	route := d.model.Route(now, a.Route)
	return max(route.LatencyQuantile(safeTimeShare), route.MedianLatency())
}

// previousAnswer returns the answer that a request got before, if any.
func (d *Scheduler) previousAnswer(id ID) (Grant, bool) {
	if key, ok := d.granted[id]; ok {
		g := Grant{
			ID:       id,
			Decision: Granted,
			Target:   key,

			HedgeAfter: d.targets[key].hedgeAfter(id),
		}
		if t := d.targets[key]; t != nil {
			// The limit may have become known after the grant and then did not pay for it.
			limit := t.flights[id].limit
			g.Limit, g.LimitAt = limit.Limit, limit.At
		}
		return g, true
	}
	if _, over := d.ended[id]; over {
		return Grant{
			ID:       id,
			Decision: Refused,
		}, true
	}
	return Grant{
		ID:       id,
		Decision: Queued,
	}, d.queue.has(id)
}

// GrantIsolated answers a grant request on a node that reaches no dispatcher. It ignores slots,
// because the attempts of other nodes are unknown. share is this node's share of the retry reserve.
func (d *Scheduler) GrantIsolated(now time.Time, a *Request, share float64) Grant {
	d.recordSignals(now, a)
	if !d.affords(now, a, share) {
		return Grant{
			ID:       a.ID,
			Decision: OverBudget,
		}
	}
	d.charge(a, 1)
	if t := d.cheapestIsolated(now, a); t != nil {
		// The node is not the dispatcher of the targets.
		defer func(last time.Time) { d.lastGrant = last }(d.lastGrant)
		return d.grant(now, t, a, false)
	}
	return Grant{
		ID:       a.ID,
		Decision: Refused,
	}
}

// grant grants a target. trial is set where the target is chosen only because it lacks work.
func (d *Scheduler) grant(now time.Time, t *target, a *Request, trial bool) Grant {
	trial = trial || d.coverageGain(now, t, a) >= trialMinGain
	if trial {
		d.trials++
	}
	if !t.usedRecently(now) {
		d.lastCoverage = coverage{}
	}
	paced := t.limit.bounded(now)
	t.limit.pay(now, d.limitShare)
	before := t.lastGranted
	if now.Sub(d.lastGrant) > handoverInterval {
		d.results = 0
	}
	t.lastGranted, t.lastOwnGrant, d.lastGrant = now, now, now
	lossProbability := t.lossProbability(now)
	route := d.model.Route(now, a.Route)
	t.flights[a.ID] = flight{
		started:       now,
		until:         a.Deadline.Add(flightSlack),
		previousGrant: before,
		final:         a.final(),
		limit: TargetLimit{
			Target: t.Key,
			Limit:  t.limit.Limit,
			At:     t.limit.at,
		},
		paced: paced,
		route: route,
		event: t.health.Begin(now, route),
	}
	t.load.begun(now, len(t.flights))
	d.granted[a.ID] = t.Key
	d.queue.shares.charge(now, a, route.MedianLatency())
	return Grant{
		ID:       a.ID,
		Decision: Granted,
		Target:   t.Key,

		HedgeAfter:      route.LatencyQuantile(hedgeQuantile),
		LossProbability: lossProbability,
		Trial:           trial,
		Limit:           t.limit.Limit,
		LimitAt:         t.limit.at,
	}
}

// idleInterval is the interval at which an idle scheduler updates its estimates. Each node has a
// scheduler for each service, most of them idle.
const idleInterval = time.Second

// Busy reports whether any request waits or any attempt is under way.
func (d *Scheduler) Busy() bool { return len(d.granted) > 0 || d.queue.len() > 0 }

// Advance drops attempts whose end was never reported and returns the grants and refusals that are
// due.
func (d *Scheduler) Advance(now time.Time) []Grant {
	if !d.Busy() && now.Sub(d.lastAdvance) < idleInterval {
		return nil
	}
	d.lastAdvance = now
	d.model.Advance(now)
	d.queue.shares.expireImported(now)
	for id, key := range d.granted {
		t := d.targets[key]
		if t == nil {
			// The target was removed, and its attempts with it.
			delete(d.granted, id)
			d.queue.shares.settle(now, id)
			continue
		}
		if f := t.flights[id]; now.After(f.until) {
			t.health.End(now, f.event, health.Open)
			delete(t.flights, id)
			t.load.ended(now, len(t.flights))
			delete(d.granted, id)
			d.queue.shares.settle(now, id)
		}
	}
	for id, at := range d.ended {
		if now.Sub(at) > endedRetention {
			delete(d.ended, id)
		}
	}
	return d.serve(now)
}

// Cancel ends a waiting request or a granted attempt without a result for the target.
func (d *Scheduler) Cancel(now time.Time, id ID) []Grant {
	if key, ok := d.granted[id]; ok {
		return d.Done(now, id, key, ResultIgnored, 0)
	}
	d.ended[id] = now
	if d.queue.has(id) {
		// The caller has gone.
		d.queue.drop(id)
		d.outcomes.record(now, false)
	}
	return nil
}
