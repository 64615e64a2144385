// SPDX-License-Identifier: Apache-2.0

package outlier

import (
	"sync"
	"time"
)

// Parameters that decide which requests count as slow.
const (
	// slowFactor is the multiple of the median latency that counts as slow.
	slowFactor = 5
	// minSlow is the shortest latency that counts as slow.
	minSlow = 50 * time.Millisecond
	// defaultSlow is the latency that counts as slow until the median is known.
	defaultSlow = time.Second
	// medianStep is the fraction by which one request moves the median estimate.
	medianStep = 0.05
	// medianSamples is the number of requests after which the median is known.
	medianSamples = 8
	// pauseFactor is the number of ticks between two drains above which the
	// process is taken to have been paused.
	pauseFactor = 4
	// maxStallCounts is how often an attempt in flight may count as bad,
	// stallCountInterval the time from the first to the second count. A single
	// attempt, which may just be a long one, thus never ejects a target.
	maxStallCounts     = 2
	stallCountInterval = 500 * time.Millisecond
)

// medianEstimate estimates the median latency of one class of requests by
// stochastic approximation: each request moves it one step towards its own latency.
type medianEstimate struct {
	value   time.Duration
	samples int
}

func (m *medianEstimate) add(d time.Duration) {
	m.samples++
	if m.samples == 1 {
		m.value = max(d, time.Microsecond)
		return
	}
	step := time.Duration(float64(m.value) * medianStep)
	if d > m.value {
		m.value += step
	} else {
		m.value = max(m.value-step, time.Microsecond)
	}
}

// slowAfter returns the latency above which a request counts as slow.
func (m *medianEstimate) slowAfter() time.Duration {
	if m.samples < medianSamples {
		return defaultSlow
	}
	return max(m.value*slowFactor, minSlow)
}

// Attempt is one attempt in flight. End must be called once.
type Attempt struct {
	collector *Collector
	counts    *targetCounts
	median    *medianEstimate
	started   time.Time
	// stallCounts is how often the attempt was counted as bad while in flight.
	stallCounts int
	// discarded is set when the process was paused: the attempt's age is
	// no evidence.
	discarded bool
}

// targetCounts holds the counts of one target since the last drain.
type targetCounts struct {
	service  string
	target   string
	counts   Counts
	inFlight map[*Attempt]struct{}
}

type targetKey struct{ service, target string }

type classKey struct{ service, class string }

// Collector counts the attempts of one node. It is safe for
// concurrent use.
type Collector struct {
	tick      time.Duration
	mu        sync.Mutex
	targets   map[targetKey]*targetCounts
	medians   map[classKey]*medianEstimate
	drainedAt time.Time
}

// NewCollector returns a collector that is drained every tick.
func NewCollector(tick time.Duration) *Collector {
	return &Collector{
		tick:    tick,
		targets: map[targetKey]*targetCounts{},
		medians: map[classKey]*medianEstimate{},
	}
}

// Begin records the start of an attempt. Requests of one class have
// similar latency.
func (c *Collector) Begin(now time.Time, service, class, target string) *Attempt {
	c.mu.Lock()
	defer c.mu.Unlock()
	a := &Attempt{
		collector: c,
		counts:    c.target(service, target),
		median:    c.median(service, class),
		started:   now,
	}
	a.counts.inFlight[a] = struct{}{}
	return a
}

func (c *Collector) target(service, target string) *targetCounts {
	k := targetKey{
		service: service,
		target:  target,
	}
	if v := c.targets[k]; v != nil {
		return v
	}
	v := &targetCounts{
		service:  service,
		target:   target,
		inFlight: map[*Attempt]struct{}{},
	}
	c.targets[k] = v
	return v
}

func (c *Collector) median(service, class string) *medianEstimate {
	k := classKey{
		service: service,
		class:   class,
	}
	if v := c.medians[k]; v != nil {
		return v
	}
	v := &medianEstimate{}
	c.medians[k] = v
	return v
}

// Result is the result of an attempt as evidence about its target.
type Result struct {
	// Failed is set when the target failed the attempt.
	Failed bool
	// Ignored is set when the result is no evidence about the target: it shed the
	// request, or the caller disconnected. A slow attempt counts as bad all the same.
	Ignored bool
	// Draining is set when the target signaled that it is draining.
	Draining bool
	// Shed is set when the target refused the request before running it, Replaced
	// when another process has the target's address.
	Shed     bool
	Replaced bool
	// Unreached is set when no connection could be opened.
	Unreached bool
	// RequestFailed is set when the request ended with this attempt and was not served.
	RequestFailed bool
	// PathLost is set when the node reached no target of the service: that the attempt failed is
	// then no evidence about this one.
	PathLost bool
}

// End records the end of the attempt.
func (a *Attempt) End(now time.Time, e Result) {
	c := a.collector
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(a.counts.inFlight, a)
	a.counts.counts.Draining = a.counts.counts.Draining || e.Draining
	if a.discarded {
		return
	}
	took := now.Sub(a.started)
	slow := took > a.median.slowAfter()
	if !e.Failed && !e.Ignored {
		a.median.add(took)
	}
	switch {
	case a.stallCounts > 0:
	case slow || e.Failed && !e.Ignored:
		a.counts.counts.Bad++
	case !e.Ignored:
		a.counts.counts.Good++
	}
}

// SlowAfter returns the latency above which a request of a class counts as slow.
func (c *Collector) SlowAfter(service, class string) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.median(service, class).slowAfter()
}

// Evidence holds the counts of one target from one drain.
type Evidence struct {
	Service string
	Counts  Counts
}

// Drain returns the counts since the last drain. Attempts that have been in
// flight for too long count as bad before they end. If the process was paused in
// between, all counts and attempts in flight are discarded: they reflect the
// pause, not the targets.
func (c *Collector) Drain(now time.Time) []Evidence {
	c.mu.Lock()
	defer c.mu.Unlock()
	paused := !c.drainedAt.IsZero() && now.Sub(c.drainedAt) > pauseFactor*c.tick
	c.drainedAt = now
	var out []Evidence
	for k, v := range c.targets {
		if paused {
			v.discard()
		}
		v.countStalled(now)
		if e, ok := v.drain(); ok {
			out = append(out, e)
		} else if len(v.inFlight) == 0 {
			delete(c.targets, k)
		}
	}
	return out
}

// discard clears the counts and excludes the attempts in flight from later counts.
func (v *targetCounts) discard() {
	v.counts = Counts{}
	for a := range v.inFlight {
		a.discarded = true
	}
}

// countStalled counts attempts in flight that are already slow as bad.
func (v *targetCounts) countStalled(now time.Time) {
	for a := range v.inFlight {
		if a.discarded || a.stallCounts >= maxStallCounts {
			continue
		}
		if now.Sub(a.started) > a.median.slowAfter()+time.Duration(a.stallCounts)*stallCountInterval {
			a.stallCounts++
			v.counts.Bad++
			v.counts.Stalled++
		}
	}
}

func (v *targetCounts) drain() (Evidence, bool) {
	e := Evidence{
		Service: v.service,
		Counts:  v.counts,
	}
	e.Counts.Target = v.target
	v.counts = Counts{}
	return e, e.Counts.Good+e.Counts.Bad > 0 || e.Counts.Draining
}
