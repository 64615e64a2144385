// SPDX-License-Identifier: Apache-2.0

package entry

import (
	"errors"
	"time"

	"ploverjunction.example/ploverjunction/internal/attempt"
)

// grant is a target that a try got.
type grant struct {
	at time.Time
	// hedgeAfter is after how long a second target may be asked for, 0 if unknown.
	hedgeAfter time.Duration
}

// hedgeAfter returns after how long another target is asked as well: when the
// request takes unusually long, or when a second one could just be in time.
func (x *relay) hedgeAfter() time.Duration {
	r := x.in.route
	if !x.hedgeable() {
		return time.Until(x.tracker.Deadline()) + time.Hour
	}
	slow := x.server.cfg.Collector.SlowAfter(x.service.Name(), r.Class())
	if targetLatency := r.TargetLatency(); targetLatency > 0 {
		slow = min(slow, targetLatency/hedgeDivisor-time.Since(x.started))
	}
	return max(slow, 0)
}

// hedgeable reports whether the request may be sent to a second target while the first
// works on it. One under which a target has ended could end two more.
func (x *relay) hedgeable() bool {
	r := x.in.route
	return r.Repeatable() && x.body.stream == nil && r.MaxAttempts() != 1 && !x.suspect.Load()
}

// budgetSpent reports whether there was no target because the retry budget doesn't pay for
// it now.
func budgetSpent(err error) bool {
	var none *NoTargetError
	return errors.As(err, &none) && none.reason == attempt.ReasonBudget
}

// hedgeRetryDelay is after how long a second target is asked for again when none was
// granted: what is known of the first one grows with the time that it says nothing.
const hedgeRetryDelay = 50 * time.Millisecond

// hedgeDivisor is the part of a route's target latency after which a second target
// is asked: half of it leaves the second one as much time as the first had.
const hedgeDivisor = 2

// hedge asks another target while the first is still expected to answer.
func (x *relay) hedge() {
	for _, t := range x.running {
		x.recordOnce(t, attempt.OutcomeUnknown)
	}
	x.launch()
}
