// SPDX-License-Identifier: Apache-2.0

package outlier

import (
	"sync"
	"time"
)

// Parameters of what counts as slow.
const (
	// slowFactor is how many times the usual latency counts as slow.
	slowFactor = 5
	// minSlow is the least time that counts as slow.
	minSlow = 50 * time.Millisecond
	// defaultSlow counts as slow while the usual latency is unknown.
	defaultSlow = time.Second
	// medianStep is the part by which one request moves the usual latency.
	medianStep = 0.05
	// medianSamples is how many requests make the usual latency known.
	medianSamples = 8
	// pauseFactor is how many ticks late a drain shows that the process stood
	// still.
	pauseFactor = 4
	// maxStallCounts is how often an attempt in flight may count as bad, ageStep the
	// time from the first to the second count. One attempt alone, which may just
	// be a long one, thus never ejects a target.
	maxStallCounts     = 2
	stallCountInterval = 500 * time.Millisecond
)

// medianEstimate estimates the median latency of one class of requests by stochastic
// approximation: each request moves it a step towards itself.
type medianEstimate struct {
	median  time.Duration
	samples int
}

func (u *medianEstimate) add(d time.Duration) {
	u.samples++
	if u.samples == 1 {
		u.median = max(d, time.Microsecond)
		return
	}
	step := time.Duration(float64(u.median) * medianStep)
	if d > u.median {
		u.median += step
	} else {
		u.median = max(u.median-step, time.Microsecond)
	}
}

func (u *medianEstimate) slowAfter() time.Duration {
	if u.samples < medianSamples {
		return defaultSlow
	}
	return max(u.median*slowFactor, minSlow)
}

// Flight is one attempt in flight. End must be called once.
type Flight struct {
	collector *Collector
	counts    *targetCounts
	median    *medianEstimate
	started   time.Time
	// stallCounts is how often the flight was counted as bad for its age.
	stallCounts int
	// discarded is set when the process stood still: its age proves nothing.
	discarded bool
}

// targetCounts holds the counts of one target since the last drain.
type targetCounts struct {
	service  string
	target   string
	counts   Counts
	inFlight map[*Flight]struct{}
}

type targetKey struct{ service, target string }

type classKey struct{ service, class string }

// Collector counts the attempts of one node. It may be used concurrently.
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

// Begin notes the start of an attempt. Requests of one class take similar time.
func (c *Collector) Begin(now time.Time, service, class, target string) *Flight {
	c.mu.Lock()
	defer c.mu.Unlock()
	f := &Flight{
		collector: c,
		counts:    c.target(service, target),
		median:    c.median(service, class),
		started:   now,
	}
	f.counts.inFlight[f] = struct{}{}
	return f
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
		inFlight: map[*Flight]struct{}{},
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

// End is what an attempt showed.
type End struct {
	// Failed speaks against the target.
	Failed bool
	// Ignored is an end that says nothing about the target: it shed the request,
	// or the caller left. What took too long until then counts all the same.
	Ignored bool
	// Leaving is set when the target said that it leaves.
	Leaving bool
	// Shed is set when the target refused the request before running it, Other
	// when another process has its address.
	Shed  bool
	Other bool
	// Unreached is set when no connection could be opened.
	Unreached bool
	// Lost is set when the request ended with this attempt and was not served.
	Lost bool
}

// End notes the end of the attempt.
func (f *Flight) End(now time.Time, e End) {
	c := f.collector
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(f.counts.inFlight, f)
	f.counts.counts.Leaving = f.counts.counts.Leaving || e.Leaving
	if f.discarded {
		return
	}
	took := now.Sub(f.started)
	slow := took > f.median.slowAfter()
	if !e.Failed && !e.Ignored {
		f.median.add(took)
	}
	switch {
	case f.stallCounts > 0:
	case slow || e.Failed && !e.Ignored:
		f.counts.counts.Bad++
	case !e.Ignored:
		f.counts.counts.Good++
	}
}

// Slow returns the time after which a request of a class counts as slow.
func (c *Collector) Slow(service, class string) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.median(service, class).slowAfter()
}

// Evidence is what a drain gives of one target.
type Evidence struct {
	Service string
	Counts  Counts
}

// Drain returns the counts since the last drain. Attempts that have been in
// flight for too long count as bad before they end. If the process stood still
// meanwhile all counts and all attempts in flight are dropped: they show the
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

func (v *targetCounts) discard() {
	v.counts = Counts{}
	for f := range v.inFlight {
		f.discarded = true
	}
}

func (v *targetCounts) countStalled(now time.Time) {
	for f := range v.inFlight {
		if f.discarded || f.stallCounts >= maxStallCounts {
			continue
		}
		if now.Sub(f.started) > f.median.slowAfter()+time.Duration(f.stallCounts)*stallCountInterval {
			f.stallCounts++
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
	return e, e.Counts.Good+e.Counts.Bad > 0 || e.Counts.Leaving
}
