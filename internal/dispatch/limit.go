// SPDX-License-Identifier: Apache-2.0

package dispatch

import (
	"math"
	"time"

	"ploverjunction.example/ploverjunction/internal/ratelimit"
	"ploverjunction.example/ploverjunction/internal/signal"
)

const (
	// limitBurst is how much of a target's limit may be saved up while nothing comes.
	limitBurst = 200 * time.Millisecond
	// minLimitRate is the rate, in requests a second, at which targets are asked that accept
	// less: only an answer tells that a limit has been lifted.
	minLimitRate = 0.1
	// liftedWarmup is for how long a target without a limit any more gets a part of its slots.
	liftedWarmup = 2 * time.Second
	// limitWindow is the time over which grants of a target with a limit are counted.
	limitWindow = 4 * time.Second
)

// TargetLimit is the limit of a target, as it answered a node at a time.
type TargetLimit struct {
	Target string
	signal.Limit
	At time.Time
}

// limitState is the limit of a target and what was granted of it. A target that warms up has another
// one, which its service states.
type limitState struct {
	signal.Limit
	// warmup is in requests a second, 0 for none; it holds until warmupUntil.
	warmup      float64
	warmupUntil time.Time
	// at is when the target answered so, by the node that told.
	at         time.Time
	reportedBy string
	started    time.Time
	pacer      ratelimit.Pacer
	grants     window
}

// warming reports whether the limit of a target that warms up is the one to keep.
func (l *limitState) warming(now time.Time) bool {
	return l.warmup > 0 && now.Before(l.warmupUntil) && (!l.Set || l.warmup < LimitRate(l.Limit))
}

// bounded reports whether the target has a limit at now.
func (l *limitState) bounded(now time.Time) bool { return l.Set || l.warming(now) }

// rate returns the rate at which the target is granted, in requests a second. part is the part
// of the limit that this desk may use.
func (l *limitState) rate(now time.Time, share float64) float64 {
	if l.warming(now) {
		return share * l.warmup
	}
	return share * LimitRate(l.Limit)
}

// warm begins or renews the limit of a target that warms up for a time.
func (l *limitState) warm(now time.Time, rate float64, warmup time.Duration) {
	if rate <= 0 || warmup <= 0 {
		return
	}
	if !l.bounded(now) {
		l.reset(now)
	}
	l.warmup, l.warmupUntil = rate, now.Add(warmup)
}

// reset begins to count grants: other dispatchers, or this one unaware of the limit, may have granted
// all of it.
func (l *limitState) reset(now time.Time) {
	l.pacer = *ratelimit.NewPacer(now, 0)
	l.started, l.grants = now, window{}
}

// LimitRate returns the rate at which a target with a limit is used, in requests a second.
func LimitRate(l signal.Limit) float64 { return max(l.Rate, minLimitRate) }

// wait returns after how long the target may be granted.
func (l *limitState) wait(now time.Time, share float64) time.Duration {
	if !l.bounded(now) {
		return 0
	}
	rate := l.rate(now, share)
	if l.warming(now) {
		// A target that warms up falls over by what comes in one second: nothing is saved up.
		return l.pacer.Wait(now, rate, 1)
	}
	if share < 1 {
		// Others may save up as much, to grant it at the same moment.
		l.pacer.Wait(now, rate, math.Inf(1))
		l.pacer.Lapse(rate * limitBurst.Seconds())
	}
	return l.pacer.Wait(now, rate, 1+rate*limitBurst.Seconds())
}

// take pays for a grant. A grant that the limit doesn't pay for puts off the next ones.
func (l *limitState) take(now time.Time, share float64) {
	if !l.bounded(now) {
		return
	}
	l.wait(now, share)
	l.pacer.Pay()
	l.grants.advance(now, l.started, limitBudget)
	l.grants.addFirst(1)
}

// granted returns how often the target was granted in the last limitWindow.
func (l *limitState) granted(now time.Time) int {
	if !l.bounded(now) {
		return 0
	}
	l.grants.advance(now, l.started, limitBudget)
	n, _ := l.grants.sums()
	return int(n)
}

// limitBudget gives the window over which grants are counted.
var limitBudget = Budget{
	Window: limitWindow,
}

// Lead sets which part of the targets' limits this desk may use, 1 for all: others may grant
// the same targets at the same time.
func (d *Desk) Lead(share float64) { d.limitShare = share }

// Limited reports whether any target has a limit.
func (d *Desk) Limited(now time.Time) bool { return d.limits > 0 || now.Before(d.warmupUntil) }

// warm notes that a target works more slowly for a time from now on, and how many requests it may
// get meanwhile.
func (d *Desk) warm(now time.Time, t *target) {
	if t.Warmup <= 0 {
		return
	}
	t.limit.warm(now, t.WarmupRate, t.Warmup)
	if t.WarmupRate > 0 {
		d.warmupUntil = later(d.warmupUntil, now.Add(t.Warmup))
	}
}

// Observe records the limit of a target as a node told of it. What the target answered later
// stays. It reports whether the limit changed.
func (d *Desk) Observe(now time.Time, by string, s TargetLimit) bool {
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
		t.warmUntil = later(t.warmUntil, now.Add(liftedWarmup))
		d.limits--
	}
	if before == s.Limit {
		return false
	}
	d.lastCoverage = coverage{}
	return true
}

// MaxLimits bounds the limits in one message, of some 40 bytes each: it must fit into a datagram
// beside the rest of an ask.
const MaxLimits = 8

// limitUpdates returns the limits of targets that an ask didn't name, and those lifted that it did.
// Nodes that may have to choose alone learn of them before they need to.
func (d *Desk) limitUpdates(a *Ask) []TargetLimit {
	if d.limits == 0 && len(a.Limits) == 0 {
		return nil
	}
	named := map[string]signal.Limit{}
	for _, l := range a.Limits {
		named[l.Target] = l.Limit
	}
	var out []TargetLimit
	// Begins anywhere, so that each limit is sent in time where there are many.
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

// exhausted reports whether the target's limit pays for no grant at now.
func (d *Desk) exhausted(now time.Time, t *target) bool { return t.limit.wait(now, d.limitShare) > 0 }

// capacity is what the targets that stay can do where each of them has a limit.
type capacity struct {
	// rate is the sum of the limits in requests a second, next after how long the first
	// target may be granted.
	rate float64
	next time.Duration
}

// limitedCapacity returns the capacity of the targets that stay if each of them has a limit.
func (d *Desk) limitedCapacity(now time.Time) (c capacity, all bool) {
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

// wait returns how long a request waits behind others.
func (c capacity) wait(behind int) time.Duration {
	return c.next + time.Duration(float64(behind)/c.rate*float64(time.Second))
}

// limitedSlots returns how many slots the target's limit keeps busy by requests that take so
// long (Little's law), at most those that it has.
func (t *target) limitedSlots(now time.Time, share float64, takes time.Duration) float64 {
	slots := float64(t.Slots)
	if t.limit.bounded(now) && takes > 0 {
		slots = min(slots, t.limit.rate(now, share)*takes.Seconds())
	}
	return slots
}
