// SPDX-License-Identifier: Apache-2.0

package health

import (
	"slices"
	"time"
)

const (
	// maxEvents bounds the attempts that are retained of each target. An evicted one
	// was followed by that many others.
	maxEvents = 10
	// initialFailing is the probability that a newly started target is failing.
	initialFailing = 0.02
	// minFailing and maxFailing bound the probability of failing: no evidence is
	// certain.
	minFailing = 0.004
	maxFailing = 0.985
	// cacheTime is how long a computed probability is reused without new events.
	cacheTime = 20 * time.Millisecond
)

// event is one attempt at a target.
type event struct {
	id      uint64
	started time.Time
	route   *Route
	kind    Kind
	// inFlight is set until the attempt ends, age is how long it took.
	inFlight bool
	age      time.Duration
}

// waited returns how long the attempt waited for its answer.
func (e *event) waited(now time.Time) time.Duration {
	if e.inFlight {
		return now.Sub(e.started)
	}
	return e.age
}

// Target estimates whether one target is failing.
type Target struct {
	model *Model
	// base is the probability of failing at baseAt, before the events.
	base   float64
	baseAt time.Time
	events []event
	lastID uint64
	// importedFailing is set where another process estimated that the target was rather failing.
	importedFailing bool

	cached   float64
	cachedAt time.Time
}

// NewTarget returns the estimate of a newly started target.
func NewTarget(now time.Time, m *Model) *Target {
	return &Target{
		model:  m,
		base:   initialFailing,
		baseAt: now,
		events: make([]event, 0, maxEvents+1),
	}
}

// Begin records the start of an attempt and returns its ID.
func (t *Target) Begin(now time.Time, r *Route) uint64 {
	t.lastID++
	t.insert(now, event{
		id:       t.lastID,
		started:  now,
		route:    r,
		kind:     Open,
		inFlight: true,
	})
	return t.lastID
}

// End records the result of an attempt that Begin returned. It is ignored if the
// attempt was evicted by later ones.
func (t *Target) End(now time.Time, id uint64, k Kind) {
	t.cachedAt = time.Time{}
	for i := range t.events {
		e := &t.events[i]
		if e.id == id && e.inFlight {
			e.inFlight = false
			e.kind = k
			e.age = now.Sub(e.started)
			return
		}
	}
}

// Record records an attempt of which only the end was reported.
func (t *Target) Record(now time.Time, r *Route, k Kind, took time.Duration) {
	t.insert(now, event{
		started: now.Add(-took),
		route:   r,
		kind:    k,
		age:     took,
	})
}

// insert adds an event in the order of the start times.
func (t *Target) insert(now time.Time, e event) {
	at := len(t.events)
	for at > 0 && e.started.Before(t.events[at-1].started) {
		at--
	}
	t.events = slices.Insert(t.events, at, e)
	t.cachedAt = time.Time{}
	if len(t.events) > maxEvents {
		t.evict(now)
	}
}

// FailureProbability returns the probability that the target is failing at now.
func (t *Target) FailureProbability(now time.Time) float64 {
	if elapsed := now.Sub(t.cachedAt); elapsed >= 0 && elapsed < cacheTime {
		return t.cached
	}
	p, at := t.base, t.baseAt
	for i := range t.events {
		e := &t.events[i]
		p = t.update(t.model.predict(p, e.started.Sub(at)), e, now)
		at = e.started
	}
	t.cached = t.model.predict(p, now.Sub(at))
	t.cachedAt = now
	return t.cached
}

// Answering reports whether the last finished attempt got a good answer. Without one it reports
// whether the target was not imported as failing.
func (t *Target) Answering() bool {
	for i := len(t.events) - 1; i >= 0; i-- {
		if k := t.events[i].kind; k != Open {
			return k == Good || k == Late
		}
	}
	return !t.importedFailing
}

// update returns the probability of failing after one event (Bayes' rule).
func (t *Target) update(p float64, e *event, now time.Time) float64 {
	working, failing := t.model.likelihoods(e, now)
	p = p * failing / (p*failing + (1-p)*working)
	if p < minFailing {
		return minFailing
	}
	if p > maxFailing {
		return maxFailing
	}
	return p
}

// LossProbability returns the probability that a request sent at now gets no good answer.
func (t *Target) LossProbability(now time.Time) float64 {
	p := t.FailureProbability(now)
	return p*t.model.LostFailing() + (1-p)*t.model.LostWorking()
}
