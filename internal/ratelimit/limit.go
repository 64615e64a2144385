// SPDX-License-Identifier: Apache-2.0

package ratelimit

import (
	"math"
	"time"
)

// Limit bounds the requests of a workspace through the whole fleet.
type Limit struct {
	// Rate is in requests a second, above 0.
	Rate float64
	// Burst is how many requests may arrive at once, above 0.
	Burst float64
}

// Tolerance is how many requests beyond a limit may run within any window. It covers the
// reserves of nodes and the requests that isolated nodes admit.
type Tolerance struct {
	Window time.Duration
	// Excess is a share of what the limit allows in the window, Slack a number of
	// requests on top of it.
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
	// last is the time of the last event.
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

// decayed returns the sum with its decay since the last event.
func (m *meter) decayed(now time.Time) float64 {
	elapsed := max(now.Sub(m.last), 0)
	return m.sum * math.Exp(-elapsed.Seconds()/meterTime.Seconds())
}

// rate returns the events a second, corrected for the time before the meter started.
func (m *meter) rate(now time.Time) float64 {
	if m.started.IsZero() {
		return 0
	}
	age := max(now.Sub(m.started), meterTime/4)
	return m.decayed(now) / (1 - math.Exp(-age.Seconds()/meterTime.Seconds()))
}
