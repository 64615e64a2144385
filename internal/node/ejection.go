// SPDX-License-Identifier: Apache-2.0

package node

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"ploverjunction.example/ploverjunction/internal/balance"
	"ploverjunction.example/ploverjunction/internal/fleetconfig"
	"ploverjunction.example/ploverjunction/internal/membership"
	"ploverjunction.example/ploverjunction/internal/outlier"
)

// ejectionInterval is how often a node evaluates its targets for ejection.
const ejectionInterval = 250 * time.Millisecond

// serviceState is the ejection controller's state of one service.
type serviceState struct {
	config     *fleetconfig.Service
	detector   *outlier.Detector
	controller *outlier.Controller
	gauges     map[string]*balance.Gauge
	byKey      map[uint32]string
}

// ejectionController builds pools from evidence and ejection decisions. One goroutine runs it;
// applyDecision may be called concurrently.
type ejectionController struct {
	board     *Board
	collector *outlier.Collector
	// passive is set where dispatchers rate the targets: pools are then built only when an operator
	// requests the status.
	passive bool
	// report receives the evidence of each tick.
	report   func(now time.Time, evidence []outlier.Evidence)
	log      *logrus.Entry
	mu       sync.Mutex
	services map[string]*serviceState
	config   *fleetconfig.Config
	view     *membership.View
	dirty    bool
}

func newEjectionController(board *Board, collector *outlier.Collector, log *logrus.Entry) *ejectionController {
	return &ejectionController{
		board:     board,
		collector: collector,
		log:       log,
		services:  map[string]*serviceState{},
	}
}

// run evaluates the targets at each tick and at each change of the configuration.
func (ec *ejectionController) run(ctx context.Context) error {
	tick := time.NewTicker(ejectionInterval)
	defer tick.Stop()
	for {
		changed := ec.board.config.Watch()
		ec.refresh(time.Now())
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		case <-tick.C:
			ec.tick(time.Now())
		}
	}
}

// refresh applies a new configuration or view and rebuilds the pools if anything changed.
func (ec *ejectionController) refresh(now time.Time) {
	ec.mu.Lock()
	defer ec.mu.Unlock()
	if !ec.passive {
		ec.rebuild(now)
	} else if ec.board.currentConfig() != nil && ec.board.pools.Load() == nil {
		ec.board.pools.Store(&pools{})
	}
}

// rebuild applies what changed and rebuilds the pools. j.mu is held.
func (ec *ejectionController) rebuild(now time.Time) {
	if c := ec.board.currentConfig(); c != nil && c != ec.config {
		ec.configure(now, c)
	}
	ec.refreshView()
	if ec.dirty {
		ec.publish(now)
	}
}

// refreshView applies the newest view if its number of nodes differs. j.mu is held.
func (ec *ejectionController) refreshView() {
	if v := ec.board.view.Load(); ec.view == nil || v.Nodes() != ec.view.Nodes() {
		ec.view = v
		ec.dirty = true
	}
}

// pools returns the current pools, or nil before the first ones.
func (ec *ejectionController) pools(now time.Time) *pools {
	ec.mu.Lock()
	defer ec.mu.Unlock()
	if ec.passive && ec.board.currentConfig() != nil {
		ec.rebuild(now)
	}
	return ec.board.pools.Load()
}

func (ec *ejectionController) configure(now time.Time, c *fleetconfig.Config) {
	ec.config = c
	ec.dirty = true
	for name, sc := range c.Services() {
		s := ec.services[name]
		if s == nil || s.detector.Threshold() != sc.Threshold() {
			s = newServiceState(s, sc)
			ec.services[name] = s
		}
		s.configure(now, sc)
	}
	for name := range ec.services {
		if c.Service(name) == nil {
			delete(ec.services, name)
		}
	}
}

// newServiceState returns the state of a service. It keeps all of old, which may be nil, but the
// detector, which depends on the configured threshold.
func newServiceState(old *serviceState, sc *fleetconfig.Service) *serviceState {
	s := &serviceState{
		detector:   outlier.NewDetector(sc.Threshold()),
		controller: outlier.NewController(),
		gauges:     map[string]*balance.Gauge{},
	}
	if old != nil {
		s.controller = old.controller
		s.gauges = old.gauges
	}
	return s
}

func (s *serviceState) configure(now time.Time, sc *fleetconfig.Service) {
	s.config = sc
	s.byKey = map[uint32]string{}
	published := map[string]bool{}
	keys := make([]string, len(sc.Targets()))
	for i, t := range sc.Targets() {
		keys[i] = t.Key()
		published[t.Key()] = true
		s.byKey[outlier.Key(t.Key())] = t.Key()
		if s.gauges[t.Key()] == nil {
			s.gauges[t.Key()] = &balance.Gauge{}
		}
	}
	s.controller.SetTargets(now, keys)
	s.detector.Retain(published)
	for a, g := range s.gauges {
		if !published[a] && g.InFlight() == 0 {
			delete(s.gauges, a)
		}
	}
}

// tick evaluates the evidence of the last tick.
func (ec *ejectionController) tick(now time.Time) {
	evidence := ec.collector.Drain(now)
	if ec.passive {
		return
	}
	ec.mu.Lock()
	ec.addEvidence(now, evidence)
	for _, s := range ec.services {
		if s.controller.Advance(now) {
			ec.dirty = true
		}
	}
	ec.mu.Unlock()
	ec.report(now, evidence)
}

func (ec *ejectionController) addEvidence(now time.Time, evidence []outlier.Evidence) {
	ticks := map[string][]outlier.Counts{}
	for _, e := range evidence {
		s := ec.services[e.Service]
		if s == nil {
			continue
		}
		if e.Counts.Draining {
			s.controller.MarkDraining(now, e.Counts.Target)
			ec.dirty = true
		}
		s.controller.Record(now, e.Counts)
		ticks[e.Service] = append(ticks[e.Service], e.Counts)
	}
	for name, s := range ec.services {
		if len(ticks[name]) == 0 && s.detector.Idle() {
			continue
		}
		s.detector.Update(now, ticks[name])
		for _, t := range s.config.Targets() {
			ec.ejectIfSick(now, s, t.Key())
		}
	}
}

// ejectIfSick ejects a target on this node's own evidence, for this node only.
func (ec *ejectionController) ejectIfSick(now time.Time, s *serviceState, target string) {
	r := s.detector.Score(target)
	if r.Score == 0 {
		return
	}
	if !s.config.Policy().Sick(r.Health(s.config.Threshold(), 1, 1)) {
		return
	}
	s.controller.EjectLocal(now, target, r.Score)
	s.detector.Reset(target)
	ec.dirty = true
	ec.log.WithField("service", s.config.Name()).WithField("target", target).
		WithField("score", r.Score).Info("target ejected on evidence of this node")
}

// applyDecision applies an observer's ejection decision.
func (ec *ejectionController) applyDecision(now time.Time, decision outlier.Decision, key uint32) {
	ec.mu.Lock()
	defer ec.mu.Unlock()
	s := ec.services[decision.Service]
	if s == nil {
		return
	}
	target, ok := s.byKey[key]
	if !ok {
		return
	}
	ec.dirty = true
	if decision.Draining {
		s.controller.MarkDraining(now, target)
		return
	}
	s.controller.EjectForLease(now, target, decision.Score, decision.Lease)
	ec.log.WithField("service", decision.Service).WithField("target", target).
		WithField("score", decision.Score).Info("target ejected by an observer")
}

// publish stores the pools. The floor is enforced here, at the last step on each node, whatever the
// ejection decisions are.
func (ec *ejectionController) publish(now time.Time) {
	ec.dirty = false
	out := &pools{
		services: map[string]*poolState{},
	}
	for name, s := range ec.services {
		out.services[name] = ec.poolOf(now, s)
	}
	ec.board.pools.Store(out)
}

func (ec *ejectionController) poolOf(now time.Time, s *serviceState) *poolState {
	p := &poolState{}
	var members []balance.Member
	capacity := 0
	for _, t := range s.config.Targets() {
		st := s.controller.State(now, t.Key())
		inst := ec.config.Instances()[t.Address()]
		listed := s.config.Draining(t) || inst != nil && inst.Draining()
		members = append(members, balance.Member{
			Key:         t.Key(),
			Slots:       t.Slots(),
			Connections: t.Connections(),
			Warmth:      st.Warmth,
			Draining:    st.Draining || listed,
			Sick:        st.Phase == outlier.PhaseEjected || st.Phase == outlier.PhaseTrial,
			Score:       st.Score,
			Trial:       st.Phase == outlier.PhaseTrial,
			Gauge:       s.gauges[t.Key()],
		})
		p.targets = append(p.targets, targetState{
			address:        t.Key(),
			state:          st,
			listedDraining: listed,
			inFlight:       s.gauges[t.Key()].InFlight(),
		})
		if !st.Draining && !listed {
			capacity += t.Slots()
		}
	}
	floor := s.config.Policy().Floor(float64(capacity), len(members))
	p.pool = balance.NewPool(members, floor, ec.view.Self().Address(), ec.view.Nodes())
	return p
}
