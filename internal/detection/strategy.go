// SPDX-License-Identifier: Apache-2.0

package main

import (
	"fmt"
	"math"
	"time"

	"ploverjunction.example/ploverjunction/internal/balance"
	"ploverjunction.example/ploverjunction/internal/outlier"
	"ploverjunction.example/ploverjunction/internal/policy"
)

// floorShare is the share of the capacity that every strategy keeps in service.
const floorShare = 0.5

func targetName(i int) string { return fmt.Sprintf("192.0.2.%d:80", i+1) }

// balancer picks targets with the fleet's balancer; all strategies use it.
type balancer struct {
	w       *world
	node    *fakeNode
	gauges  []*balance.Gauge
	pool    *balance.Pool
	state   func(now time.Time, target int) outlier.State
	ejected []bool
}

func newBalancer(w *world, n *fakeNode, state func(time.Time, int) outlier.State) *balancer {
	c := &balancer{
		w:       w,
		node:    n,
		state:   state,
		ejected: make([]bool, len(w.targets)),
	}
	for range w.targets {
		c.gauges = append(c.gauges, &balance.Gauge{})
	}
	c.rebuild(epoch)
	return c
}

// rebuild rebuilds the pool after a change of a target's state.
func (c *balancer) rebuild(now time.Time) {
	var members []balance.Member
	for i, t := range c.w.targets {
		s := c.state(now, i)
		out := s.Phase == outlier.PhaseEjected || s.Phase == outlier.PhaseTrial
		if s.Phase == outlier.PhaseEjected && !c.ejected[i] {
			c.node.ejections[i]++
		}
		c.ejected[i] = out
		members = append(members, balance.Member{
			Key:         t.name,
			Slots:       c.w.pool.slots,
			Connections: 200,
			Warmth:      s.Warmth,
			Sick:        out,
			Trial:       s.Phase == outlier.PhaseTrial,
			Score:       s.Score,
			Gauge:       c.gauges[i],
		})
	}
	floor := floorShare * float64(len(members)*c.w.pool.slots)
	c.pool = balance.NewPool(members, floor, fmt.Sprint("node", c.node.index), c.w.pool.nodes)
}

// pickTarget picks a target; the function that observe returns gets the result of the
// request.
func (c *balancer) pickTarget(observe func(target int) func(now time.Time, ok, shed bool)) (int, func(time.Time, bool, bool), bool) {
	p, ok := c.pool.Pick(c.w.rng.Uint64, nil, nil)
	if !ok {
		return 0, nil, false
	}
	return c.use(p, observe)
}

func (c *balancer) use(p balance.Pick, observe func(target int) func(time.Time, bool, bool)) (int, func(time.Time, bool, bool), bool) {
	i := c.index(p.Key())
	end := observe(i)
	return i, func(now time.Time, ok, shed bool) {
		p.Release()
		end(now, ok, shed)
	}, true
}

func (c *balancer) index(address string) int {
	for i, t := range c.w.targets {
		if t.name == address {
			return i
		}
	}
	panic("detection: picked target is not in the simulation: " + address)
}

// sharedEvidence returns the fleet's own strategy: nodes share their evidence.
func sharedEvidence(threshold float64) func(w *world) {
	return func(w *world) {
		prg, err := policy.Compile(policy.Text{})
		if err != nil {
			panic("detection: default policy does not compile: " + err.Error())
		}
		info := outlier.Service{
			Name:      "s",
			Policy:    prg,
			Threshold: threshold,
		}
		for _, t := range w.targets {
			info.Targets = append(info.Targets, t.name)
		}
		halls := make([]*fakeHall, w.pool.halls)
		for i := range halls {
			halls[i] = &fakeHall{
				observer: outlier.NewObserver(info),
			}
		}
		for _, n := range w.nodes {
			s := newSharingNode(w, n, info)
			n.strategy = s.strategy()
			halls[n.hall].nodes = append(halls[n.hall].nodes, s)
		}
		for i, h := range halls {
			w.every(tick, func(now time.Time) { h.tick(now, i, halls) })
		}
	}
}

// slowInterval is the time between reports of evidence that is not urgent.
const slowInterval = 2 * time.Second

// fakeHall is a data hall with its nodes and its observer.
type fakeHall struct {
	observer   *outlier.Observer
	nodes      []*sharingNode
	summarized time.Time
}

// tick reports the nodes' evidence and distributes the decisions, as the observer's
// controller does.
func (h *fakeHall) tick(now time.Time, self int, halls []*fakeHall) {
	for _, n := range h.nodes {
		n.report(now, h.observer)
	}
	if h.observer.Urgent() || now.Sub(h.summarized) >= slowInterval {
		h.summarized = now
		for _, c := range h.observer.TakeSummary() {
			for i, other := range halls {
				if i != self {
					other.observer.Summary(now, fmt.Sprint("hall", self), c)
				}
			}
		}
	}
	for _, v := range h.observer.Advance(now) {
		for _, n := range h.nodes {
			n.controller.EjectForLease(now, v.Target, v.Score, v.Lease)
			n.balancer.rebuild(now)
		}
	}
}

// sharingNode is a node that shares its evidence.
type sharingNode struct {
	*balancer
	w          *world
	node       *fakeNode
	info       outlier.Service
	collector  *outlier.Collector
	detector   *outlier.Detector
	controller *outlier.Controller
	pending    map[string]outlier.Counts
	urgent     bool
	sent       time.Time
}

func newSharingNode(w *world, n *fakeNode, info outlier.Service) *sharingNode {
	s := &sharingNode{
		w:          w,
		node:       n,
		info:       info,
		collector:  outlier.NewCollector(tick),
		detector:   outlier.NewDetector(info.Threshold),
		controller: outlier.NewController(),
		pending:    map[string]outlier.Counts{},
	}
	s.controller.SetTargets(epoch, info.Targets)
	s.balancer = newBalancer(w, n, func(now time.Time, target int) outlier.State {
		return s.controller.State(now, targetName(target))
	})
	return s
}

func (s *sharingNode) strategy() strategy {
	return strategy{
		pick: func(now time.Time) (int, func(time.Time, bool, bool), bool) {
			if p, ok := s.pool.PickTrial(s.w.rng.Uint64); ok {
				s.sendTrial(now, p)
			}
			return s.pickTarget(func(target int) func(time.Time, bool, bool) { return s.observe(now, target) })
		},
		tick:    s.tick,
		ejected: func(target int) bool { return s.ejected[target] },
	}
}

func (s *sharingNode) observe(now time.Time, target int) func(time.Time, bool, bool) {
	f := s.collector.Begin(now, "s", "c", targetName(target))
	return func(now time.Time, ok, shed bool) {
		f.End(now, outlier.Result{
			Failed:  !ok,
			Ignored: shed,
		})
	}
}

// sendTrial sends a trial request, a copy whose answer no caller waits for.
func (s *sharingNode) sendTrial(now time.Time, p balance.Pick) {
	i, end, _ := s.use(p, func(target int) func(time.Time, bool, bool) { return s.observe(now, target) })
	r := &request{
		node:    s.node,
		target:  s.w.targets[i],
		started: s.w.now,
		end:     end,
	}
	s.w.send(r)
}

func (s *sharingNode) tick(now time.Time) {
	changed := false
	var counts []outlier.Counts
	for _, e := range s.collector.Drain(now) {
		c := e.Counts
		s.controller.Record(now, c)
		counts = append(counts, c)
		sum := s.pending[c.Target]
		sum.Target = c.Target
		sum.Good += c.Good
		sum.Bad += c.Bad
		sum.Stalled += c.Stalled
		s.pending[c.Target] = sum
		s.urgent = s.urgent || c.Bad > 0
	}
	if len(counts) > 0 || !s.detector.Idle() {
		s.detector.Update(now, counts)
		for _, t := range s.info.Targets {
			if r := s.detector.Score(t); r.Score >= s.info.Threshold {
				s.controller.EjectLocal(now, t, r.Score)
				s.detector.Reset(t)
				changed = true
			}
		}
	}
	if s.controller.Advance(now) || changed {
		s.rebuild(now)
	}
}

func (s *sharingNode) report(now time.Time, o *outlier.Observer) {
	if len(s.pending) == 0 || !s.urgent && now.Sub(s.sent) < slowInterval {
		return
	}
	for _, c := range s.pending {
		o.Report(now, fmt.Sprint("node", s.node.index), fmt.Sprint("hall", s.node.hall), c)
	}
	clear(s.pending)
	s.urgent = false
	s.sent = now
}

// independentNode is a node that ejects targets by its own results only, as eject
// decides.
type independentNode struct {
	*balancer
	until    []time.Time
	outcomes []outcomeCount
	eject    func(a *independentNode, now time.Time, target int) bool
	// interval is the time between two evaluations; 0 evaluates after each request.
	interval  time.Duration
	evaluated time.Time
}

// outcomeCount counts the results of requests to one target.
type outcomeCount struct {
	ok, failed    float64
	failuresInRow int
}

// baselineEjection is how long baselines eject a target.
const baselineEjection = 30 * time.Second

func baseline(interval time.Duration, eject func(a *independentNode, now time.Time, target int) bool) func(w *world) {
	return func(w *world) {
		for _, n := range w.nodes {
			a := &independentNode{
				until:    make([]time.Time, len(w.targets)),
				outcomes: make([]outcomeCount, len(w.targets)),
				eject:    eject,
				interval: interval,
			}
			a.balancer = newBalancer(w, n, a.stateOf)
			n.strategy = strategy{
				pick:    func(time.Time) (int, func(time.Time, bool, bool), bool) { return a.pickTarget(a.observe) },
				tick:    a.tick,
				ejected: func(target int) bool { return a.ejected[target] },
			}
		}
	}
}

func (a *independentNode) stateOf(now time.Time, target int) outlier.State {
	s := outlier.State{
		Warmth: 1,
	}
	if now.Before(a.until[target]) {
		s.Phase = outlier.PhaseEjected
	}
	return s
}

func (a *independentNode) observe(target int) func(time.Time, bool, bool) {
	return func(now time.Time, ok, shed bool) {
		e := &a.outcomes[target]
		switch {
		case shed:
		case ok:
			e.ok++
			e.failuresInRow = 0
		default:
			e.failed++
			e.failuresInRow++
		}
		if a.interval == 0 {
			a.evaluate(now, target)
		}
	}
}

func (a *independentNode) evaluate(now time.Time, target int) {
	if a.eject(a, now, target) {
		a.until[target] = now.Add(baselineEjection)
		a.outcomes[target] = outcomeCount{}
		a.rebuild(now)
	}
}

func (a *independentNode) tick(now time.Time) {
	for i := range a.until {
		if a.ejected[i] && !now.Before(a.until[i]) {
			a.rebuild(now)
		}
	}
	if a.interval == 0 || now.Sub(a.evaluated) < a.interval {
		return
	}
	a.evaluated = now
	for i := range a.outcomes {
		a.evaluate(now, i)
	}
	clear(a.outcomes)
}

// never ejects no target.
func never(*independentNode, time.Time, int) bool { return false }

// consecutiveFailures is the number of failures in a row after which the baseline ejects.
const consecutiveFailures = 5

// consecutive ejects after consecutiveFailures, the common default of proxies.
func consecutive(a *independentNode, _ time.Time, target int) bool {
	return a.outcomes[target].failuresInRow >= consecutiveFailures
}

// Parameters of the success-rate baseline, from the defaults of common proxies:
// at least five targets with enough requests, a factor of 1.9 standard
// deviations. 5 requests are required, not the usual 100, which the simulated load
// never reaches.
const (
	rateInterval    = 10 * time.Second
	rateMinTargets  = 5
	rateMinRequests = 5
	rateFactor      = 1.9
)

// successRate ejects a target whose success rate is an outlier below the mean.
func successRate(a *independentNode, _ time.Time, target int) bool {
	var rates []float64
	for _, e := range a.outcomes {
		if n := e.ok + e.failed; n >= rateMinRequests {
			rates = append(rates, e.ok/n)
		}
	}
	own := a.outcomes[target]
	if len(rates) < rateMinTargets || own.ok+own.failed < rateMinRequests {
		return false
	}
	mean, square := 0.0, 0.0
	for _, r := range rates {
		mean += r / float64(len(rates))
		square += r * r / float64(len(rates))
	}
	deviation := math.Sqrt(max(square-mean*mean, 0))
	return own.ok/(own.ok+own.failed) < mean-rateFactor*deviation-1e-9
}
