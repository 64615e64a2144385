// SPDX-License-Identifier: Apache-2.0

package dispatch

import (
	"math"
	"time"

	"ploverjunction.example/ploverjunction/internal/ratelimit"
	"ploverjunction.example/ploverjunction/internal/signal"
)

const (
	// limitBurst is the time for which an unused limit accumulates.
	limitBurst = 200 * time.Millisecond
	// minLimitRate is the least rate, in requests per second, at which a target is granted whatever
	// its limit: only an answer shows that a limit was lifted.
	minLimitRate = 0.1
	// liftedWarmup is how long a target gets part of its slots after its limit was lifted.
	liftedWarmup = 2 * time.Second
	// limitWindow is the time over which grants of a limited target are counted.
	limitWindow = 4 * time.Second
)

// TargetLimit is the limit of a target, as answered to a node at a time.
type TargetLimit struct {
	Target string
	signal.Limit
	At time.Time
}

// limitState is the limit of a target and its grants. A target that warms up has a second limit, set
// by its service.
type limitState struct {
	signal.Limit
	// warmup is in requests per second, 0 for none, and holds until warmupUntil.
	warmup      float64
	warmupUntil time.Time
	// at is the time of the target's answer, reportedBy the node that reported it.
	at         time.Time
	reportedBy string
	started    time.Time
	pacer      ratelimit.Pacer
	grants     window
}

// warming reports whether the warm-up limit is the one in force.
func (l *limitState) warming(now time.Time) bool {
	return l.warmup > 0 && now.Before(l.warmupUntil) && (!l.Set || l.warmup < LimitRate(l.Limit))
}

// bounded reports whether the target has a limit.
func (l *limitState) bounded(now time.Time) bool { return l.Set || l.warming(now) }

// rate returns the rate at which the target is granted, in requests per second. share is the share
// of the limit that this scheduler may use.
func (l *limitState) rate(now time.Time, share float64) float64 {
	if l.warming(now) {
		return share * l.warmup
	}
	return share * LimitRate(l.Limit)
}

// startWarmup begins or renews the limit of a target that warms up.
func (l *limitState) startWarmup(now time.Time, rate float64, warmup time.Duration) {
	if rate <= 0 || warmup <= 0 {
		return
	}
	if !l.bounded(now) {
		l.reset(now)
	}
	l.warmup, l.warmupUntil = rate, now.Add(warmup)
}

// reset starts counting grants with nothing available: other dispatchers, or this one before it
// received the limit, may have used all of it.
func (l *limitState) reset(now time.Time) {
	l.pacer = *ratelimit.NewPacer(now, 0)
	l.started, l.grants = now, window{}
}

// LimitRate returns the rate at which a limited target is granted, in requests per second.
func LimitRate(l signal.Limit) float64 { return max(l.Rate, minLimitRate) }

// wait returns the time until the target may be granted.
func (l *limitState) wait(now time.Time, share float64) time.Duration {
	if !l.bounded(now) {
		return 0
	}
	rate := l.rate(now, share)
	if l.warming(now) {
		// Requests of a single second can overload a target that warms up: nothing accumulates.
		return l.pacer.Wait(now, rate, 1)
	}
	if share < 1 {
		// Other dispatchers may accumulate as much and grant it at the same time.
		l.pacer.Wait(now, rate, math.Inf(1))
		l.pacer.Expire(rate * limitBurst.Seconds())
	}
	return l.pacer.Wait(now, rate, 1+rate*limitBurst.Seconds())
}

// pay pays for a grant. If the limit does not cover it, later grants are delayed.
func (l *limitState) pay(now time.Time, share float64) {
	if !l.bounded(now) {
		return
	}
	l.wait(now, share)
	l.pacer.Spend()
	l.grants.advance(now, l.started, limitBudget)
	l.grants.addFirst(1)
}

// granted returns the number of grants in the last limitWindow.
func (l *limitState) granted(now time.Time) int {
	if !l.bounded(now) {
		return 0
	}
	l.grants.advance(now, l.started, limitBudget)
	n, _ := l.grants.sums()
	return int(n)
}

// limitBudget sets the window over which grants are counted.
var limitBudget = Budget{
	Window: limitWindow,
}

// SetLimitShare sets the share of the targets' limits that this scheduler may use, 1 for all: others may
// grant the same targets at the same time.
func (d *Scheduler) SetLimitShare(share float64) { d.limitShare = share }

// Limited reports whether any target has a limit.
func (d *Scheduler) Limited(now time.Time) bool { return d.limits > 0 || now.Before(d.warmupUntil) }

// startWarmup applies the published warm-up of a target, from now on.
func (d *Scheduler) startWarmup(now time.Time, t *target) {
	if t.Warmup <= 0 {
		return
	}
	t.limit.startWarmup(now, t.WarmupRate, t.Warmup)
	if t.WarmupRate > 0 {
		d.warmupUntil = later(d.warmupUntil, now.Add(t.Warmup))
	}
}

// Observe records the limit of a target as reported by a node, unless a later answer of the target
// is known. It reports whether the limit changed.
func (d *Scheduler) Observe(now time.Time, by string, s TargetLimit) bool {
	t := d.targets[s.Target]
	if t == nil || !s.At.After(t.limit.at) {
		return false
	}
	l := &t.limit
	before := l.Limit
	l.Limit, l.at, l.reportedBy = s.Limit, s.At, by
	switch {
	case s.Set && !before.Set:
		l.reset(now)
		d.limits++
	case !s.Set && before.Set:
		t.warmupUntil = later(t.warmupUntil, now.Add(liftedWarmup))
		d.limits--
	}
	if before == s.Limit {
		return false
	}
	d.lastCoverage = coverage{}
	return true
}

// MaxLimits bounds the limits in one message, of some 40 bytes each: they must fit into a datagram
// beside the rest of a grant request.
const MaxLimits = 8

// limitUpdates returns the target limits that differ from those in the request, lifted ones
// included. A node receives them before it may have to choose in isolation.
func (d *Scheduler) limitUpdates(a *Request) []TargetLimit {
	if d.limits == 0 && len(a.Limits) == 0 {
		return nil
	}
	named := map[string]signal.Limit{}
	for _, l := range a.Limits {
		named[l.Target] = l.Limit
	}
	var out []TargetLimit
	// Starts at a random target, so that each of many limits is sent in time.
	from := int(d.random() * float64(len(d.order)))
	for i := range d.order {
		t := d.order[(from+i)%len(d.order)]
		if t.limit.Limit != named[t.Key] && len(out) < MaxLimits {
			out = append(out, TargetLimit{
				Target: t.Key,
				Limit:  t.limit.Limit,
				At:     t.limit.at,
			})
		}
	}
	return out
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// exhausted reports whether the target's limit pays for no grant now.
func (d *Scheduler) exhausted(now time.Time, t *target) bool {
	return t.limit.wait(now, d.limitShare) > 0
}

// capacity is what the targets that do not drain can serve where each of them has a limit.
type capacity struct {
	// rate is the sum of the limits in requests per second, next the time until the first target may
	// be granted.
	rate float64
	next time.Duration
}

// limitedCapacity returns the capacity of the targets that do not drain if each of them has a limit.
func (d *Scheduler) limitedCapacity(now time.Time) (c capacity, all bool) {
	if !d.Limited(now) {
		return c, false
	}
	for _, t := range d.order {
		if t.drains(now) {
			continue
		}
		if !t.limit.bounded(now) {
			return capacity{}, false
		}
		wait := t.limit.wait(now, d.limitShare)
		if !all || wait < c.next {
			c.next = wait
		}
		c.rate += t.limit.rate(now, d.limitShare)
		all = true
	}
	return c, all
}

// wait returns the expected wait of a request behind others.
func (c capacity) wait(behind int) time.Duration {
	return c.next + time.Duration(float64(behind)/c.rate*float64(time.Second))
}

// limitedSlots returns the number of slots that the target's limit keeps busy with requests of the
// given duration (Little's law), at most those that it has.
func (t *target) limitedSlots(now time.Time, share float64, duration time.Duration) float64 {
	slots := float64(t.load.expectedSlots(now, t.Slots))
	if t.limit.bounded(now) && duration > 0 {
		slots = min(slots, t.limit.rate(now, share)*duration.Seconds())
	}
	return slots
}
