// SPDX-License-Identifier: Apache-2.0

package health

import "time"

// message is what later events say of the state at an earlier one: how likely they
// are if the target works, or fails, at that time.
type message struct{ working, failing float64 }

// evict folds the oldest event into the base. By then others have shown in which
// state the target was, so that the model learns from it (expectation maximization
// with a fixed lag).
func (t *Target) evict(now time.Time) {
	m := t.model
	first := &t.events[0]
	p := t.update(m.drift(t.base, first.begun.Sub(t.at)), first, now)
	after := t.backward(now)
	q := p * after.failing / (p*after.failing + (1-p)*after.working)
	m.learnKind(first, q, now)
	t.learnChange(p, q, now)
	t.base, t.at = p, first.begun
	t.events = append(t.events[:0], t.events[1:]...)
}

// backward returns what the events after the first say of the state at the first.
func (t *Target) backward(now time.Time) message {
	b := message{
		working: 1,
		failing: 1,
	}
	for i := len(t.events) - 1; i > 0; i-- {
		b = t.before(b, i, now)
	}
	return b
}

// before moves a message from event i to the one before it.
func (t *Target) before(b message, i int, now time.Time) message {
	working, failing := t.model.likelihoods(&t.events[i], now)
	b.working *= working
	b.failing *= failing
	past := t.events[i].begun.Sub(t.events[i-1].begun)
	enter := t.model.drift(0, past)
	stay := t.model.drift(1, past)
	out := message{
		working: (1-enter)*b.working + enter*b.failing,
		failing: (1-stay)*b.working + stay*b.failing,
	}
	// Only the ratio matters; small numbers would run out.
	sum := out.working + out.failing
	out.working /= sum
	out.failing /= sum
	return out
}

// learnKind counts an event whose target was failing with probability q.
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

// learnOpen counts an attempt that was given up: it would have been silent or good.
func (m *Model) learnOpen(e *event, q float64, now time.Time) {
	age := e.age
	if e.running {
		age = now.Sub(e.begun)
	}
	longer := e.route.times.longer(age)
	s := m.failingShares[Silent]
	mute := s / (s + (1-s)*longer)
	m.failing[Silent] += q * mute
	m.failing[Good] += q * (1 - mute)
	s = e.route.shares[Silent]
	mute = s / (s + (1-s)*longer)
	m.working[Silent] += (1 - q) * mute
	m.working[Good] += (1 - q) * (1 - mute)
	e.route.working[Silent] += (1 - q) * mute
	e.route.working[Good] += (1 - q) * (1 - mute)
}

// learnChange counts the time between the first two events, and a change of state in
// it. p is the belief at the first without the later events, q with them.
func (t *Target) learnChange(p, q float64, now time.Time) {
	if len(t.events) < 2 {
		return
	}
	m := t.model
	b := message{
		working: 1,
		failing: 1,
	}
	for i := len(t.events) - 1; i > 1; i-- {
		b = t.before(b, i, now)
	}
	working, failing := m.likelihoods(&t.events[1], now)
	b.working *= working
	b.failing *= failing
	past := t.events[1].begun.Sub(t.events[0].begun)
	enter := m.drift(0, past)
	stay := m.drift(1, past)
	stayed := (1 - p) * (1 - enter) * b.working
	entered := (1 - p) * enter * b.failing
	left := p * (1 - stay) * b.working
	remained := p * stay * b.failing
	all := stayed + entered + left + remained
	m.enter.times += entered / all
	m.leave.times += left / all
	m.enter.seconds += (1 - q) * past.Seconds()
	m.leave.seconds += q * past.Seconds()
}

// Answered takes in the time of a good answer.
func (r *Route) Answered(took time.Duration) error { return r.times.add(took) }
