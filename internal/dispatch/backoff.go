// SPDX-License-Identifier: Apache-2.0

package dispatch

import (
	"slices"
	"time"
)

const (
	// backoffFirst is how long a target is not granted to any node after it sent one of them a
	// backoff, backoffMax the same after it refused the next request as well.
	backoffFirst = 500 * time.Millisecond
	backoffMax   = time.Second
)

// backoff is the state of a target that refuses requests. The backoff binds only the node that
// received it, but the target is likely to refuse others too: after a pause it gets one request at
// a time until it accepts one. Its health estimate is not affected.
type backoff struct {
	// since is when the target last sent a backoff, until when the pause ends; both are zero
	// where it accepted the last request.
	since time.Time
	until time.Time
}

// active reports whether the target has accepted no request since it sent a backoff.
func (b backoff) active() bool { return !b.since.IsZero() }

// slots returns how many requests the target gets at a time.
func (b backoff) slots(now time.Time) int {
	if now.Before(b.until) {
		return 0
	}
	return 1
}

// accepting is a result of anyAccepting, kept for the same moment.
type accepting struct {
	at  time.Time
	any bool
}

// anyAccepting reports whether any target that is not draining accepted its last request. If none
// did, backing off only delays the refusal.
func (d *Scheduler) anyAccepting(now time.Time) bool {
	if !d.accepting.at.Equal(now) {
		d.accepting = accepting{
			at: now,
			any: slices.ContainsFunc(d.order, func(t *target) bool {
				return !t.drains(now) && !t.backoff.active()
			}),
		}
	}
	return d.accepting.any
}

// BackOff records the backoff that a target sent, before the end of its attempt is recorded.
func (d *Scheduler) BackOff(now time.Time, key string, id ID, wanted time.Duration) {
	t := d.targets[key]
	if t == nil {
		return
	}
	if f, ok := t.flights[id]; ok && f.started.Before(t.backoff.since) {
		// The attempt was under way when another one was refused.
		return
	}
	pause := backoffFirst
	if t.backoff.active() {
		pause = backoffMax
	}
	t.backoff = backoff{
		since: now,
		until: now.Add(min(pause, wanted)),
	}
	d.lastCoverage = coverage{}
	d.accepting = accepting{}
}
