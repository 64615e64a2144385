// SPDX-License-Identifier: Apache-2.0

package ratelimit

import (
	"math"
	"time"
)

// Limit is what a workspace may send through the whole fleet.
type Limit struct {
	// Rate is in requests a second, above 0.
	Rate float64
	// Burst is how many requests may come at once, above 0.
	Burst float64
}

// Tolerance is by how much the requests that run may exceed a limit within any window.
// It pays for what nodes hold in reserve and for those that reach no allocator.
type Tolerance struct {
	Window time.Duration
	// Excess is a share of what the limit allows in the window, Slack a number of
	// requests more.
	Excess float64
	Slack  float64
}

// requests returns the requests beyond a limit that may run in a window.
func (t Tolerance) requests(l Limit) float64 {
	return t.Excess*(l.Rate*t.Window.Seconds()+l.Burst) + t.Slack
}

// meterTime is the time over which a meter averages: long enough for callers with less
// than a request a second.
const meterTime = 5 * time.Second

// meter measures a rate of events by an exponentially weighted average.
type meter struct {
	started time.Time
	// last is when the last event came.
	last time.Time
	sum  float64
}

// add counts an event.
func (m *meter) add(now time.Time) {
	if m.started.IsZero() {
		m.started = now
	}
	m.sum = m.decayed(now) + 1/meterTime.Seconds()
	m.last = now
}

// decayed returns what is left of the sum.
func (m *meter) decayed(now time.Time) float64 {
	elapsed := max(now.Sub(m.last), 0)
	return m.sum * math.Exp(-elapsed.Seconds()/meterTime.Seconds())
}

// rate returns the events a second. A meter that began a moment ago has seen less than
// its average holds, which is made up for.
func (m *meter) rate(now time.Time) float64 {
	if m.started.IsZero() {
		return 0
	}
	age := max(now.Sub(m.started), meterTime/4)
	return m.decayed(now) / (1 - math.Exp(-age.Seconds()/meterTime.Seconds()))
}
