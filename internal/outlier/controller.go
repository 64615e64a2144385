// SPDX-License-Identifier: Apache-2.0

package outlier

import "time"

// Phase is the ejection state of a target on one node.
type Phase uint8

// Phases. An ejected target passes through trial and warming to healthy.
const (
	PhaseHealthy Phase = iota
	// PhaseEjected targets get no requests unless the floor needs them.
	PhaseEjected
	// PhaseTrial targets get copies of repeatable requests whose answers are
	// discarded.
	PhaseTrial
	// PhaseWarming targets get a growing share of requests.
	PhaseWarming
)

func (p Phase) String() string {
	return [...]string{"healthy", "ejected", "trial", "warming"}[p]
}

// Parameters of reinstatement.
const (
	// trialSuccesses is the number of good trial requests that end a trial.
	trialSuccesses = 3
	// TrialTimeout is the duration of a trial without requests, for services that have
	// no repeatable ones.
	TrialTimeout = 30 * time.Second
	// WarmupTime is the time in which a target's share grows to its full size.
	WarmupTime = 10 * time.Second
	// minWarmth is the share of its slots that a warming target starts with.
	minWarmth = 0.1
	// DrainingTime is how long a target's own draining signal counts. The platform's
	// list, which lags by up to 30 s, is up to date by then.
	DrainingTime = time.Minute
)

// targetState is the ejection state of one target.
type targetState struct {
	phase         Phase
	since         time.Time
	ejection      ejection
	leaseEnd      time.Time
	score         float64
	good          float64
	drainingUntil time.Time
}

// Controller holds a node's ejection state of the targets of one service. It isn't safe
// for concurrent use.
type Controller struct {
	targets map[string]*targetState
	// unhealthy holds the targets in any phase but PhaseHealthy.
	unhealthy   map[string]*targetState
	initialized bool
}

// NewController returns a controller without targets.
func NewController() *Controller {
	return &Controller{
		targets:   map[string]*targetState{},
		unhealthy: map[string]*targetState{},
	}
}

// SetTargets replaces the published targets. Targets of the first non-empty list
// are healthy, later ones begin to warm up.
func (c *Controller) SetTargets(now time.Time, addresses []string) {
	listed := map[string]bool{}
	for _, a := range addresses {
		listed[a] = true
		if c.targets[a] != nil {
			continue
		}
		t := &targetState{
			since: now,
		}
		if c.initialized {
			t.phase = PhaseWarming
			c.unhealthy[a] = t
		}
		c.targets[a] = t
	}
	for a := range c.targets {
		if !listed[a] {
			delete(c.targets, a)
			delete(c.unhealthy, a)
		}
	}
	c.initialized = c.initialized || len(addresses) > 0
}

// EjectLocal ejects a target on this node's own evidence.
func (c *Controller) EjectLocal(now time.Time, target string, score float64) {
	t := c.targets[target]
	if t == nil || t.phase == PhaseEjected {
		return
	}
	t.ejection.start(now)
	c.eject(now, target, score)
}

// EjectForLease ejects a target on an observer's decision until lease has passed, so that
// decisions of an observer that hangs or is partitioned expire.
func (c *Controller) EjectForLease(now time.Time, target string, score float64, lease time.Duration) {
	t := c.targets[target]
	if t == nil {
		return
	}
	if until := now.Add(min(lease, MaxEjectionTime)); until.After(t.leaseEnd) {
		t.leaseEnd = until
	}
	c.eject(now, target, score)
}

func (c *Controller) eject(now time.Time, target string, score float64) {
	t := c.targets[target]
	c.unhealthy[target] = t
	if t.phase != PhaseEjected {
		t.since = now
	}
	t.phase = PhaseEjected
	t.score = score
	t.good = 0
}

// MarkDraining records a target's signal that it is draining.
func (c *Controller) MarkDraining(now time.Time, target string) {
	if t := c.targets[target]; t != nil {
		t.drainingUntil = now.Add(DrainingTime)
	}
}

// Record records the requests to a target in one tick. Only those of a trial
// count: a bad one ejects the target again.
func (c *Controller) Record(now time.Time, counts Counts) {
	t := c.targets[counts.Target]
	if t == nil || t.phase != PhaseTrial {
		return
	}
	if counts.Bad > 0 {
		t.ejection.start(now)
		c.eject(now, counts.Target, t.score)
		return
	}
	t.good += counts.Good
}

// Advance moves targets to their next phase when it is due. It reports whether any
// state changed, which is always so while a target warms up.
func (c *Controller) Advance(now time.Time) bool {
	changed := false
	for a, t := range c.unhealthy {
		if next := t.next(now); next != t.phase {
			t.phase = next
			t.since = now
			changed = true
		}
		// The warmth of a warming target changes with time.
		changed = changed || t.phase == PhaseWarming
		if t.phase == PhaseHealthy {
			delete(c.unhealthy, a)
		}
	}
	return changed
}

func (t *targetState) next(now time.Time) Phase {
	switch t.phase {
	case PhaseEjected:
		if !t.ejection.active(now) && !now.Before(t.leaseEnd) {
			return PhaseTrial
		}
	case PhaseTrial:
		if t.good >= trialSuccesses || t.good == 0 && now.Sub(t.since) >= TrialTimeout {
			return PhaseWarming
		}
	case PhaseWarming:
		if now.Sub(t.since) >= WarmupTime {
			return PhaseHealthy
		}
	}
	return t.phase
}

// State is the ejection state of one target.
type State struct {
	Phase    Phase
	Since    time.Time
	Score    float64
	Draining bool
	// Warmth is the share of the target's slots in use, from 0 to 1.
	Warmth float64
}

// State returns the state of a target, or the zero value with full warmth for an
// unknown one.
func (c *Controller) State(now time.Time, target string) State {
	t := c.targets[target]
	if t == nil {
		return State{
			Warmth: 1,
		}
	}
	s := State{
		Phase:    t.phase,
		Since:    t.since,
		Score:    t.score,
		Draining: now.Before(t.drainingUntil),
		Warmth:   1,
	}
	if t.phase == PhaseWarming {
		s.Warmth = min(minWarmth+(1-minWarmth)*now.Sub(t.since).Seconds()/WarmupTime.Seconds(), 1)
	}
	return s
}
