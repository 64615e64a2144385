// SPDX-License-Identifier: Apache-2.0

package health

import "time"

// message holds the likelihoods of a series of events for a target that works, or
// fails, at the first one (the backward message of a hidden Markov model).
type message struct{ working, failing float64 }

// transition holds the probabilities of the pairs of states at two successive events.
type transition struct {
	stayed, entered, left, remained float64
}

// failing returns the probability that the target was failing at the first event.
func (c *transition) failing() float64 { return c.left + c.remained }

// evict folds the oldest event into the base probability. The later events show in
// which state the target was, so that the model learns from it (expectation
// maximization with a fixed lag).
func (t *Target) evict(now time.Time) {
	first := &t.events[0]
	p := t.update(t.model.predict(t.base, first.started.Sub(t.baseAt)), first, now)
	elapsed := t.events[1].started.Sub(first.started)
	c := t.model.transition(p, elapsed, t.backward(now))
	t.model.learnKind(first, c.failing(), now)
	t.model.learnTransition(c, elapsed)
	t.base, t.baseAt = p, first.started
	t.events = append(t.events[:0], t.events[1:]...)
}

// backward returns the likelihoods of the events after the first.
func (t *Target) backward(now time.Time) message {
	b := message{
		working: 1,
		failing: 1,
	}
	for i := len(t.events) - 1; i > 0; i-- {
		working, failing := t.model.likelihoods(&t.events[i], now)
		b.working *= working
		b.failing *= failing
		if i > 1 {
			b = t.model.propagateBack(b, t.events[i].started.Sub(t.events[i-1].started))
		}
	}
	return b
}

// propagateBack moves a message back by an elapsed time. Only the ratio matters; it is
// normalized because small numbers would underflow.
func (m *Model) propagateBack(b message, elapsed time.Duration) message {
	enter, stay := m.predict(0, elapsed), m.predict(1, elapsed)
	working := (1-enter)*b.working + enter*b.failing
	failing := (1-stay)*b.working + stay*b.failing
	return message{
		working: working / (working + failing),
		failing: failing / (working + failing),
	}
}

// transition returns the probabilities of the states at two events an elapsed time
// apart. p is the probability of failing at the first one, given the events up to it;
// b holds the likelihoods of the second and all later ones.
func (m *Model) transition(p float64, elapsed time.Duration, b message) transition {
	enter, stay := m.predict(0, elapsed), m.predict(1, elapsed)
	c := transition{
		stayed:   (1 - p) * (1 - enter) * b.working,
		entered:  (1 - p) * enter * b.failing,
		left:     p * (1 - stay) * b.working,
		remained: p * stay * b.failing,
	}
	all := c.stayed + c.entered + c.left + c.remained
	c.stayed /= all
	c.entered /= all
	c.left /= all
	c.remained /= all
	return c
}

// learnTransition counts the expected changes of state and the time spent in each state.
func (m *Model) learnTransition(c transition, elapsed time.Duration) {
	m.failures.events += c.entered
	m.recoveries.events += c.left
	m.failures.seconds += (1 - c.failing()) * elapsed.Seconds()
	m.recoveries.seconds += c.failing() * elapsed.Seconds()
}

// learnKind counts the kind of an event whose target was failing with probability q.
func (m *Model) learnKind(e *event, q float64, now time.Time) {
	switch {
	case int(e.kind) < kinds:
		m.failing[e.kind] += q
		m.working[e.kind] += 1 - q
		e.route.working[e.kind] += 1 - q
	case e.kind == Open:
		m.learnOpen(e, q, now)
	}
}

// learnOpen counts an abandoned attempt: it would have been silent or good.
func (m *Model) learnOpen(e *event, q float64, now time.Time) {
	longer := e.route.latency.longer(e.waited(now))
	unanswered := silentAfter(m.failingShares[Silent], longer)
	m.failing[Silent] += q * unanswered
	m.failing[Good] += q * (1 - unanswered)
	unanswered = silentAfter(e.route.shares[Silent], longer)
	for _, c := range [...]*counts{&m.working, &e.route.working} {
		c[Silent] += (1 - q) * unanswered
		c[Good] += (1 - q) * (1 - unanswered)
	}
}

// silentAfter returns the probability that an attempt without an answer so far gets
// none. share is that probability at its start, longer the share of answers that take
// longer than it has waited.
func silentAfter(share, longer float64) float64 {
	return share / (share + (1-share)*longer)
}
