// SPDX-License-Identifier: Apache-2.0

package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"ploverjunction.example/ploverjunction/internal/dispatch"
	"ploverjunction.example/ploverjunction/internal/signal"
)

// limitOf returns the limit of a target as answered at a time.
func limitOf(key string, rate float64, at time.Time) dispatch.TargetLimit {
	return dispatch.TargetLimit{
		Target: key,
		Limit: signal.Limit{
			Rate: rate,
			Set:  true,
		},
		At: at,
	}
}

// lifted returns the answer of a target that has no limit any more.
func lifted(key string, at time.Time) dispatch.TargetLimit {
	return dispatch.TargetLimit{
		Target: key,
		At:     at,
	}
}

// limitSimulation sends requests to a scheduler; each attempt takes a fixed time.
type limitSimulation struct {
	scheduler *dispatch.Scheduler
	now       time.Time
	next      uint64
	// duration is the duration of an attempt.
	duration time.Duration
	// granted are the grant times by target, retryAfters the RetryAfter of refusals.
	granted     map[string][]time.Time
	refused     int
	retryAfters []time.Duration
	waited      time.Duration
	requestedAt map[uint64]time.Time
	ends        []limitEnd
}

type limitEnd struct {
	at     time.Time
	id     dispatch.ID
	target string
}

func newLimitSimulation(d *dispatch.Scheduler) *limitSimulation {
	return &limitSimulation{
		scheduler:   d,
		now:         start,
		duration:    50 * time.Millisecond,
		granted:     map[string][]time.Time{},
		requestedAt: map[uint64]time.Time{},
	}
}

// run sends requests at a rate for some time.
func (p *limitSimulation) run(rate float64, length time.Duration) {
	const step = 5 * time.Millisecond
	due := 0.0
	for end := p.now.Add(length); p.now.Before(end); p.now = p.now.Add(step) {
		for len(p.ends) > 0 && !p.now.Before(p.ends[0].at) {
			e := p.ends[0]
			p.ends = p.ends[1:]
			p.start(p.scheduler.Done(p.now, e.id, e.target, dispatch.ResultGood, p.duration))
		}
		for due += rate * step.Seconds(); due >= 1; due-- {
			p.next++
			p.requestedAt[p.next] = p.now
			p.start([]dispatch.Grant{p.scheduler.RequestGrant(p.now, newRequest(p.now, p.next))})
		}
		if p.now.Sub(start)%(50*time.Millisecond) == 0 {
			p.start(p.scheduler.Advance(p.now))
		}
	}
}

func (p *limitSimulation) start(grants []dispatch.Grant) {
	for _, g := range grants {
		switch g.Decision {
		case dispatch.Granted:
			p.granted[g.Target] = append(p.granted[g.Target], p.now)
			p.ends = append(p.ends, limitEnd{
				at:     p.now.Add(p.duration),
				id:     g.ID,
				target: g.Target,
			})
		case dispatch.Refused:
			p.refused++
			p.retryAfters = append(p.retryAfters, g.RetryAfter)
			p.waited += p.now.Sub(p.requestedAt[g.ID.Number])
		}
	}
}

// maxInWindow returns the greatest number of times within 4 s.
func maxInWindow(times []time.Time) int {
	out, from := 0, 0
	for i, at := range times {
		for at.Sub(times[from]) >= 4*time.Second {
			from++
		}
		out = max(out, i-from+1)
	}
	return out
}

// maxAllowed is the greatest number of requests that a target with a limit may get in 4 s.
func maxAllowed(rate float64) int { return int(1.1*4*rate + 2) }

// While requests exceed the capacity of the other targets, a limited target gets all that its limit
// allows, and in no 4 s more.
func TestLimitIsFullyUsedAndNeverExceeded(t *testing.T) {
	t.Parallel()
	for _, rate := range []float64{0.5, 1.6, 2.6, 10, 50} {
		t.Run(fmt.Sprint(rate), func(t *testing.T) {
			d := newScheduler(pool(3)...)
			p := newLimitSimulation(d)
			p.run(100, 2*time.Second)
			d.Observe(p.now, "n", limitOf("t0", rate, p.now))
			p.granted = map[string][]time.Time{}
			const length = 40 * time.Second
			p.run(200, length)
			got := p.granted["t0"]
			if m := maxInWindow(got); m > maxAllowed(rate) {
				t.Errorf("%d in 4 s, allowed %d", m, maxAllowed(rate))
			}
			if least := 0.9 * rate * length.Seconds(); float64(len(got)) < least-1 {
				t.Errorf("%d in %v, the limit is %v a second", len(got), length, rate)
			}
		})
	}
}

// A limit unused while no requests come allows no burst afterwards.
func TestUnusedLimitAllowsNoBurst(t *testing.T) {
	d := newScheduler(pool(1)...)
	p := newLimitSimulation(d)
	d.Observe(p.now, "n", limitOf("t0", 2.6, p.now))
	p.run(0, 30*time.Second)
	p.run(100, 4*time.Second)
	if m := maxInWindow(p.granted["t0"]); m > maxAllowed(2.6) {
		t.Errorf("%d in 4 s, allowed %d", m, maxAllowed(2.6))
	}
}

// A dispatcher that receives a limit for the first time may not be the only one that granted the
// target.
func TestLimitStartsEmptyOnNewDispatcher(t *testing.T) {
	d := newScheduler(pool(1)...)
	a := newRequest(start, 1)
	a.Limits = []dispatch.TargetLimit{
		limitOf("t0", 2, start.Add(-10*time.Second)),
	}
	if g := d.RequestGrant(start, a); g.Decision == dispatch.Granted {
		t.Error("granted at once")
	}
	if at := start.Add(520 * time.Millisecond); len(d.Advance(at)) != 1 {
		t.Error("not granted after half a second")
	}
}

// The newest answer of a target sets its limit, in whatever order nodes report them.
func TestNewestAnswerSetsLimit(t *testing.T) {
	at := func(s int) time.Time { return start.Add(time.Duration(s) * time.Second) }
	steps := []struct {
		name string
		told dispatch.TargetLimit
		want signal.Limit
	}{
		{
			name: "a limit",
			told: limitOf("t0", 5, at(2)),
			want: limitOf("t0", 5, at(2)).Limit,
		},
		{
			name: "an older one",
			told: limitOf("t0", 3, at(1)),
			want: limitOf("t0", 5, at(2)).Limit,
		},
		{
			name: "an older answer without one",
			told: lifted("t0", at(1)),
			want: limitOf("t0", 5, at(2)).Limit,
		},
		{
			name: "a newer one",
			told: limitOf("t0", 4, at(3)),
			want: limitOf("t0", 4, at(3)).Limit,
		},
		{
			name: "lifted",
			told: lifted("t0", at(4)),
		},
		{
			name: "reported late",
			told: limitOf("t0", 4, at(3)),
		},
	}
	d := newScheduler(pool(1)...)
	for _, s := range steps {
		d.Observe(at(10), "n", s.told)
		if got := d.Status(at(10)).Targets[0].Limit; got != s.want {
			t.Errorf("%s: %+v", s.name, got)
		}
	}
	if d.Limited(at(10)) {
		t.Error("a lifted limit still counts")
	}
}

// A target with a limit of zero is granted now and then, because only an answer shows that it
// accepts more.
func TestLimitOfZero(t *testing.T) {
	d := newScheduler(pool(2)...)
	p := newLimitSimulation(d)
	d.Observe(p.now, "n", limitOf("t0", 0, p.now))
	p.run(40, 60*time.Second)
	if n := len(p.granted["t0"]); n < 4 || n > 6 {
		t.Errorf("%d requests in a minute", n)
	}
}

// Neither a limit nor requests refused beyond it raise the failure probability of the target.
func TestLimitIsNoEvidence(t *testing.T) {
	d := newScheduler(pool(2)...)
	p := newLimitSimulation(d)
	p.run(40, 5*time.Second)
	d.Observe(p.now, "n", limitOf("t0", 1, p.now))
	p.run(40, 20*time.Second)
	for range 10 {
		p.now = p.now.Add(2 * time.Second)
		p.next++
		if g := d.RequestGrant(p.now, newRequest(p.now, p.next)); g.Target == "t0" {
			d.Done(p.now, g.ID, g.Target, dispatch.ResultBackoff, time.Millisecond)
		}
	}
	s := d.Status(p.now)
	t.Logf("failure probability %v, prior %v", s.Targets[0].FailureProbability, s.FailingShare)
	if failing := s.Targets[0].FailureProbability; failing > s.FailingShare {
		t.Errorf("failure probability %v", failing)
	}
}

// A target whose limit is lifted does not get all waiting requests at once.
func TestLiftedLimitCausesNoBurst(t *testing.T) {
	d := newScheduler(dispatch.Target{
		Key:   "t0",
		Slots: 20,
	})
	p := newLimitSimulation(d)
	d.Observe(p.now, "n", limitOf("t0", 1, p.now))
	p.run(100, 10*time.Second)
	d.Observe(p.now, "n", lifted("t0", p.now))
	p.granted = map[string][]time.Time{}
	p.duration = time.Second
	p.run(100, 500*time.Millisecond)
	if n := len(p.granted["t0"]); n > 10 {
		t.Errorf("%d of 20 slots taken in half a second", n)
	}
}

// An attempt that could not connect to its target does not use up the limit.
func TestUnreachedAttemptReturnsLimit(t *testing.T) {
	d := newScheduler(pool(1)...)
	d.Observe(start, "n", limitOf("t0", 1, start))
	now := start.Add(time.Second)
	if g := d.RequestGrant(now, newRequest(now, 1)); g.Decision != dispatch.Granted {
		t.Fatalf("%v", g.Decision)
	}
	d.Done(now, newRequest(now, 1).ID, "t0", dispatch.ResultUnreached, 0)
	if g := d.RequestGrant(now, newRequest(now, 2)); g.Decision != dispatch.Granted {
		t.Errorf("%v", g.Decision)
	}
}

// If the limits of all targets are far below the load, they are used and the surplus is refused at
// once with a RetryAfter for the time until the waiting requests are served.
func TestLimitsAreCapacity(t *testing.T) {
	const rate, length = 2.0, 30 * time.Second
	d := newScheduler(pool(3)...)
	p := newLimitSimulation(d)
	p.run(60, 2*time.Second)
	for i := range 3 {
		d.Observe(p.now, "n", limitOf(fmt.Sprintf("t%d", i), rate, p.now))
	}
	p.run(60, 4*time.Second)
	p.granted = map[string][]time.Time{}
	p.refused, p.waited, p.retryAfters = 0, 0, nil
	p.run(60, length)
	granted := 0
	for key, times := range p.granted {
		granted += len(times)
		if m := maxInWindow(times); m > maxAllowed(rate) {
			t.Errorf("%s: %d in 4 s, allowed %d", key, m, maxAllowed(rate))
		}
	}
	if least := 0.9 * 3 * rate * length.Seconds(); float64(granted) < least {
		t.Errorf("%d granted, want %v", granted, least)
	}
	if mean := p.waited / time.Duration(p.refused); mean > 10*time.Millisecond {
		t.Errorf("%d refused after %v on average", p.refused, mean)
	}
	least, longest := p.retryAfters[0], p.retryAfters[0]
	for _, w := range p.retryAfters {
		least, longest = min(least, w), max(longest, w)
	}
	if least < 100*time.Millisecond || longest > 3*time.Second {
		t.Errorf("RetryAfter from %v to %v", least, longest)
	}
}

// A service whose only target accepts a request each ten seconds does not queue a request for a
// grant after its deadline.
func TestLimitTooLowForDeadlineIsRefused(t *testing.T) {
	d := newScheduler(pool(1)...)
	d.Observe(start, "n", limitOf("t0", 0.1, start))
	g := d.RequestGrant(start, newRequest(start, 1))
	if g.Decision != dispatch.Refused || g.RetryAfter < 7*time.Second || g.RetryAfter > 13*time.Second {
		t.Errorf("%v, RetryAfter is %v", g.Decision, g.RetryAfter)
	}
}

// A requesting node is sent the limits that its request does not name, and the lifting of those that
// it does.
func TestLimitsAreSentWithGrants(t *testing.T) {
	d := newScheduler(pool(3)...)
	d.Observe(start, "n", limitOf("t0", 2, start))
	d.Observe(start, "n", limitOf("t1", 3, start))
	d.Observe(start, "n", lifted("t1", start.Add(time.Second)))
	a := newRequest(start, 1)
	a.Limits = []dispatch.TargetLimit{
		limitOf("t1", 3, start),
	}
	sent := d.RequestGrant(start, a).Limits
	if len(sent) != 2 || sent[0] != limitOf("t0", 2, start) || sent[1] != lifted("t1", start.Add(time.Second)) {
		t.Errorf("sent %+v", sent)
	}
	a = newRequest(start, 2)
	a.Limits = sent[:1]
	if sent := d.RequestGrant(start, a).Limits; len(sent) != 0 {
		t.Errorf("sent again %+v", sent)
	}
}

// If more limits exist than fit into a message, all are sent within some requests.
func TestManyLimitsAreSentInTurn(t *testing.T) {
	const targets = 30
	d := newScheduler(pool(targets)...)
	for i := range targets {
		d.Observe(start, "n", limitOf(fmt.Sprintf("t%d", i), 2, start))
	}
	sent := map[string]bool{}
	for i := range uint64(100) {
		limits := d.RequestGrant(start, newRequest(start, i)).Limits
		if len(limits) > dispatch.MaxLimits {
			t.Fatalf("%d in one message", len(limits))
		}
		for _, l := range limits {
			sent[l.Target] = true
		}
	}
	if len(sent) != targets {
		t.Errorf("%d of %d sent", len(sent), targets)
	}
}

// A grant that is repeated because its answer was lost does not change: a limit that became known
// meanwhile did not pay for it.
func TestRepeatedGrantKeepsItsLimit(t *testing.T) {
	d := newScheduler(pool(1)...)
	if g := d.RequestGrant(start, newRequest(start, 1)); g.Decision != dispatch.Granted || g.Limit.Set {
		t.Fatalf("%+v", g)
	}
	d.Observe(start, "n", limitOf("t0", 2, start))
	if g := d.RequestGrant(start.Add(25*time.Millisecond), newRequest(start, 1)); g.Target != "t0" || g.Limit.Set {
		t.Errorf("%+v", g)
	}
	now := start.Add(time.Second)
	for range 2 {
		if g := d.RequestGrant(now, newRequest(now, 2)); g.Target != "t0" || !g.Limit.Set || !g.LimitAt.Equal(start) {
			t.Errorf("%+v", g)
		}
	}
}
