// SPDX-License-Identifier: Apache-2.0

package health

import (
	"slices"
	"time"
)

const (
	// maxEvents bounds the attempts that are kept of each target. What falls out
	// has been followed by that many others.
	maxEvents = 10
	// initialFailing is the probability that a target fails that has just started.
	initialFailing = 0.02
	// minFailing and mostFailing bound the belief: no evidence is certain.
	minFailing = 0.004
	maxFailing = 0.985
	// cacheTime is how long a belief is used again while nothing new was seen.
	cacheTime = 20 * time.Millisecond
)

// event is one attempt at a target.
type event struct {
	id      uint64
	started time.Time
	route   *Route
	kind    Kind
	// inFlight is set while the attempt goes on, age is how long it took if it was
	// given up.
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

// Target is the belief about one target.
type Target struct {
	model *Model
	// base is the probability of failing at the time at, before the events.
	base   float64
	baseAt time.Time
	events []event
	lastID uint64

	cached   float64
	cachedAt time.Time
}

// NewTarget returns the belief about a target that has just started.
func NewTarget(now time.Time, m *Model) *Target {
	return &Target{
		model:  m,
		base:   initialFailing,
		baseAt: now,
		events: make([]event, 0, maxEvents+1),
	}
}

// Begin notes an attempt and returns its number.
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

// End notes the end of an attempt that Begin noted. Attempts that many others have
// followed say nothing any more.
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

// Saw notes an attempt of which only the end is known.
func (t *Target) Saw(now time.Time, r *Route, k Kind, took time.Duration) {
	t.insert(now, event{
		started: now.Add(-took),
		route:   r,
		kind:    k,
		age:     took,
	})
}

// insert adds an event in the order of begin.
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

// Failing returns the probability that the target is failing at now.
func (t *Target) Failing(now time.Time) float64 {
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

// Answering reports whether the last attempt that has ended was answered well.
func (t *Target) Answering() bool {
	for i := len(t.events) - 1; i >= 0; i-- {
		if k := t.events[i].kind; k != Open {
			return k == Good || k == Late
		}
	}
	return true
}

// update returns the probability of failing after one event.
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

// Lost returns the probability that a request sent at now is not answered well.
func (t *Target) Lost(now time.Time) float64 {
	p := t.Failing(now)
	return p*t.model.LostFailing() + (1-p)*t.model.LostWorking()
}
