// SPDX-License-Identifier: Apache-2.0

package health

import (
	"math"
	"time"
)

// Steady returns the probability that the target has been working without interruption
// from since to now. The time before baseAt is not covered, as its events were evicted.
func (t *Target) Steady(now, since time.Time) float64 {
	if since.Before(t.baseAt) {
		since = t.baseAt
	}
	p, at, i := t.base, t.baseAt, 0
	for ; i < len(t.events) && t.events[i].started.Before(since); i++ {
		e := &t.events[i]
		p = t.update(t.model.predict(p, e.started.Sub(at)), e, now)
		at = e.started
	}
	p, at = t.model.predict(p, since.Sub(at)), since
	steady := 1 - p
	for ; i < len(t.events); i++ {
		e := &t.events[i]
		elapsed := e.started.Sub(at)
		before := t.model.predict(p, elapsed)
		p, at = t.update(before, e, now), e.started
		// The likelihood of an event depends only on the state at the event.
		steady *= t.model.stay(elapsed) * (1 - p) / (1 - before)
	}
	return steady * t.model.stay(now.Sub(at))
}

// stay returns the probability that a working target doesn't begin to fail in a time.
func (m *Model) stay(elapsed time.Duration) float64 {
	return math.Exp(-m.failureRate * max(elapsed, 0).Seconds())
}
