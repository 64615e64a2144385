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
	// limitLeast is the rate, in requests a second, at which targets are asked that accept
	// less: only an answer tells that a limit has been lifted.
	limitLeast = 0.1
	// liftedTime is for how long a target without a limit any more gets a part of its slots.
	liftedTime = 2 * time.Second
	// limitWindow is the time over which grants of a target with a limit are counted.
	limitWindow = 4 * time.Second
)

// TargetLimit is the limit of a target, as it answered a node at a time.
type TargetLimit struct {
	Target string
	signal.Limit
	At time.Time
}

// limited is the limit of a target and what was granted of it.
type limited struct {
	signal.Limit
	// at is when the target answered so, by the node that told.
	at     time.Time
	by     string
	begun  time.Time
	pacer  ratelimit.Pacer
	grants window
}

// rate returns the rate at which the target is granted, in requests a second. part is the part
// of the limit that this desk may use.
func (l *limited) rate(part float64) float64 { return part * LimitRate(l.Limit) }

// LimitRate returns the rate at which a target with a limit is used, in requests a second.
func LimitRate(l signal.Limit) float64 { return max(l.Rate, limitLeast) }

// wait returns after how long the target may be granted.
func (l *limited) wait(now time.Time, part float64) time.Duration {
	if !l.Set {
		return 0
	}
	rate := l.rate(part)
	if part < 1 {
		// Others may save up as much, to grant it at the same moment.
		l.pacer.Wait(now, rate, math.Inf(1))
		l.pacer.Lapse(rate * limitBurst.Seconds())
	}
	return l.pacer.Wait(now, rate, 1+rate*limitBurst.Seconds())
}

// take pays for a grant. A grant that the limit doesn't pay for puts off the next ones.
func (l *limited) take(now time.Time, part float64) {
	if !l.Set {
		return
	}
	l.wait(now, part)
	l.pacer.Pay()
	l.grants.turn(now, l.begun, limitBudget)
	l.grants.first(1)
}

// granted returns how often the target was granted in the last limitWindow.
func (l *limited) granted(now time.Time) int {
	if !l.Set {
		return 0
	}
	l.grants.turn(now, l.begun, limitBudget)
	n, _ := l.grants.sums()
	return int(n)
}

// limitBudget gives the window over which grants are counted.
var limitBudget = Budget{
	Window: limitWindow,
}

// Lead sets which part of the targets' limits this desk may use, 1 for all: others may grant
// the same targets at the same time.
func (d *Desk) Lead(part float64) { d.part = part }

// Limited reports whether any target has a limit.
func (d *Desk) Limited() bool { return d.limits > 0 }

// Observe records the limit of a target as a node told of it. What the target answered later
// stays. It reports whether the limit changed.
func (d *Desk) Observe(now time.Time, by string, s TargetLimit) bool {
	t := d.targets[s.Target]
	if t == nil || !s.At.After(t.limit.at) {
		return false
	}
	l := &t.limit
	before := l.Limit
	l.Limit, l.at, l.by = s.Limit, s.At, by
	switch {
	case s.Set && !before.Set:
		// Other dispatchers, or this one unaware of the limit, may have granted all of it.
		l.pacer = *ratelimit.NewPacer(now, 0)
		l.begun, l.grants = now, window{}
		d.limits++
	case !s.Set && before.Set:
		t.warmUntil = later(t.warmUntil, now.Add(liftedTime))
		d.limits--
	}
	if before == s.Limit {
		return false
	}
	d.covered = coverage{}
	return true
}

// MaxLimits bounds the limits in one message, of some 40 bytes each: it must fit into a datagram
// beside the rest of an ask.
const MaxLimits = 8

// unnamed returns the limits of targets that an ask didn't name, and those lifted that it did.
// Nodes that may have to choose alone learn of them before they need to.
func (d *Desk) unnamed(a *Ask) []TargetLimit {
	if !d.Limited() && len(a.Limits) == 0 {
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
func (d *Desk) exhausted(now time.Time, t *target) bool { return t.limit.wait(now, d.part) > 0 }

// capacity is what the targets that stay can do where each of them has a limit.
type capacity struct {
	// rate is the sum of the limits in requests a second, next after how long the first
	// target may be granted.
	rate float64
	next time.Duration
}

// limitedCapacity returns the capacity of the targets that stay if each of them has a limit.
func (d *Desk) limitedCapacity(now time.Time) (c capacity, all bool) {
	if !d.Limited() {
		return c, false
	}
	for _, t := range d.order {
		if t.drains(now) {
			continue
		}
		if !t.limit.Set {
			return capacity{}, false
		}
		wait := t.limit.wait(now, d.part)
		if !all || wait < c.next {
			c.next = wait
		}
		c.rate += t.limit.rate(d.part)
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
func (t *target) limitedSlots(part float64, takes time.Duration) float64 {
	slots := float64(t.Slots)
	if t.limit.Set && takes > 0 {
		slots = min(slots, t.limit.rate(part)*takes.Seconds())
	}
	return slots
}
