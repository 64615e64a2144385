// SPDX-License-Identifier: Apache-2.0

package health

import (
	"math"
	"time"
)

// Parameters of the model of a service. Priors hold before any observation, weights
// are the numbers of observations that they count for.
const (
	// failureRatePrior and recoveryRatePrior are the rates, in 1/s, at which targets begin
	// and stop failing: between the phases of one second and of ten seconds that users'
	// targets showed.
	failureRatePrior  = 0.03
	recoveryRatePrior = 0.15
	ratePriorWeight   = 3
	minFailureRate    = 0.002
	maxFailureRate    = 0.4
	minRecoveryRate   = 0.08
	maxRecoveryRate   = 2
	// failingPriorWeight and workingPriorWeight are the weights of failingPrior and
	// workingPrior.
	failingPriorWeight = 8
	workingPriorWeight = 100
	// routePriorWeight is the weight of the service's shares as the prior of a route.
	routePriorWeight = 12
	// maxFailingGood and minWorkingGood bound the shares of good answers, so that the
	// two states remain distinguishable.
	maxFailingGood = 0.6
	minWorkingGood = 0.85
	// memory is the time constant with which all counts decay.
	memory = 60 * time.Second
	// lateShare is the share of good answers that count as late: the slowest ones.
	lateShare = 0.012
	// immediateFraction is the fraction of the median latency below which a failure counts
	// as Immediate.
	immediateFraction = 0.15
	// maxRoutes bounds the number of routes with a distribution of their own.
	maxRoutes = 256
)

var (
	failingPrior = shares{
		Good:      0.3,
		Late:      0.05,
		Immediate: 0.25,
		AfterWork: 0.1,
		Silent:    0.3,
	}
	workingPrior = shares{
		Good:      0.968,
		Late:      0.01,
		Immediate: 0.003,
		AfterWork: 0.012,
		Silent:    0.007,
	}
)

// rate estimates the rate of an event.
type rate struct {
	events  float64
	seconds float64
}

// estimate returns the rate in 1/s, with a prior, between lower and upper.
func (r *rate) estimate(prior, lower, upper float64) float64 {
	return min(max((r.events+ratePriorWeight)/(r.seconds+ratePriorWeight/prior), lower), upper)
}

// Model holds the learned behavior of the targets of one service.
type Model struct {
	failures   rate
	recoveries rate
	failing    counts
	working    counts
	routes     map[string]*Route
	decayedAt  time.Time
	// failingShares and workingShares are computed from the counts, failureRate and
	// recoveryRate from failures and recoveries.
	failingShares shares
	workingShares shares
	failureRate   float64
	recoveryRate  float64
}

// Route holds the learned behavior of one route of a service.
type Route struct {
	name    string
	latency *latencies
	working counts
	shares  shares
	used    time.Time
}

// NewModel returns a model that consists of the priors.
func NewModel(now time.Time) *Model {
	m := &Model{
		routes:    map[string]*Route{},
		decayedAt: now,
	}
	m.updateEstimates()
	return m
}

// updateEstimates computes the shares and rates from the counts.
func (m *Model) updateEstimates() {
	m.failureRate = m.failures.estimate(failureRatePrior, minFailureRate, maxFailureRate)
	m.recoveryRate = m.recoveries.estimate(recoveryRatePrior, minRecoveryRate, maxRecoveryRate)
	m.failingShares = m.failing.withPrior(&failingPrior, failingPriorWeight)
	bound(&m.failingShares, 0, maxFailingGood)
	m.workingShares = m.working.withPrior(&workingPrior, workingPriorWeight)
	bound(&m.workingShares, minWorkingGood, 1)
	for _, r := range m.routes {
		r.shares = r.working.withPrior(&m.workingShares, routePriorWeight)
	}
}

// bound limits the share of good answers to between lower and upper and scales the
// others.
func bound(s *shares, lower, upper float64) {
	good := min(max(s[Good], lower), upper)
	if good == s[Good] {
		return
	}
	scale := (1 - good) / max(1-s[Good], 1e-9)
	for k := range s {
		s[k] *= scale
	}
	s[Good] = good
}

// Advance decays the counts and updates the estimates.
func (m *Model) Advance(now time.Time) {
	elapsed := now.Sub(m.decayedAt)
	m.decayedAt = now
	factor := math.Exp(-elapsed.Seconds() / memory.Seconds())
	for _, r := range [...]*rate{&m.failures, &m.recoveries} {
		r.events *= factor
		r.seconds *= factor
	}
	m.failing.decay(factor)
	m.working.decay(factor)
	for _, r := range m.routes {
		r.working.decay(factor)
	}
	m.updateEstimates()
}

// Route returns the state of a route. If there are too many routes, a new one evicts
// the least recently used.
func (m *Model) Route(now time.Time, name string) *Route {
	r := m.routes[name]
	if r == nil {
		if len(m.routes) >= maxRoutes {
			m.evictRoute()
		}
		r = &Route{
			name:    name,
			latency: newLatencies(),
			shares:  m.workingShares,
		}
		m.routes[name] = r
	}
	r.used = now
	return r
}

func (m *Model) evictRoute() {
	var oldest *Route
	for _, r := range m.routes {
		if oldest == nil || r.used.Before(oldest.used) {
			oldest = r
		}
	}
	delete(m.routes, oldest.name)
}

// RecordLatency records the latency of a good answer.
func (r *Route) RecordLatency(took time.Duration) error { return r.latency.add(took) }

// MedianLatency returns the median latency of the route's good answers.
func (r *Route) MedianLatency() time.Duration { return r.latency.median() }

// LatencyQuantile returns the latency within which a share of the route's good answers
// arrives, or 0 while that isn't known.
func (r *Route) LatencyQuantile(share float64) time.Duration { return r.latency.within(share) }

// LongerShare returns the share of the route's good answers that take longer than age.
func (r *Route) LongerShare(age time.Duration) float64 { return r.latency.longer(age) }

// EndKind returns the kind of an attempt that took a time and was answered well if
// good is set.
func (r *Route) EndKind(good bool, took time.Duration) Kind {
	late := r.latency.longer(took) < lateShare
	switch {
	case good && late:
		return Late
	case good:
		return Good
	case late:
		return Silent
	case took < time.Duration(immediateFraction*float64(r.latency.median())):
		return Immediate
	default:
		return AfterWork
	}
}

// FailingShare returns the stationary probability that a target is failing.
func (m *Model) FailingShare() float64 { return m.failureRate / (m.failureRate + m.recoveryRate) }

// Rates returns the rates, in 1/s, at which targets begin and stop failing.
func (m *Model) Rates() (failure, recovery float64) { return m.failureRate, m.recoveryRate }

// LostFailing returns the share of requests that a failing target doesn't answer
// well. A late answer counts half.
func (m *Model) LostFailing() float64 { return 1 - m.failingShares[Good] - m.failingShares[Late]/2 }

// LostWorking returns the share of requests that a working target doesn't answer.
func (m *Model) LostWorking() float64 { return 1 - m.workingShares[Good] - m.workingShares[Late] }

// predict returns the probability of failing after a time without observations.
func (m *Model) predict(p float64, elapsed time.Duration) float64 {
	if elapsed <= 0 {
		return p
	}
	share := m.FailingShare()
	return share + (p-share)*math.Exp(-(m.failureRate+m.recoveryRate)*elapsed.Seconds())
}

// SilenceProbability returns the probability that an attempt of a certain age gets no answer, if
// its target was failing with probability p when it was sent.
func (m *Model) SilenceProbability(r *Route, p float64, age time.Duration) float64 {
	unanswered := r.shares[Silent]
	share := unanswered + (1-unanswered)*p*m.failingShares[Silent]
	return silentAfter(share, r.latency.longer(age))
}

// likelihoods returns the likelihoods of an event for a working and a failing target.
func (m *Model) likelihoods(e *event, now time.Time) (working, failing float64) {
	switch e.kind {
	case Shed:
		return 1, oddsShed
	case Unreached:
		return 1, oddsUnreached
	case Open:
		longer := e.route.latency.longer(e.waited(now))
		unanswered := e.route.shares[Silent]
		silent := m.failingShares[Silent] + m.failingShares[Late]
		return unanswered + (1-unanswered)*longer, unanswered + (1-unanswered)*(silent+(1-silent)*longer)
	case Good:
		return e.route.shares[Good], e.route.shares[Good] * m.failingShares[Good]
	default:
		w := e.route.shares[e.kind]
		return w, w + (1-w)*m.failingShares[e.kind]
	}
}
