// SPDX-License-Identifier: Apache-2.0

package entry

import (
	"errors"
	"time"

	"ploverjunction.example/ploverjunction/internal/attempt"
)

// grant is a target granted to an attempt.
type grant struct {
	at time.Time
	// hedgeAfter is the time after which a second target may be requested, 0 if unknown.
	hedgeAfter time.Duration
}

// hedgeAfter returns the time after which a second target is requested: when the request takes
// unusually long, or when a second one could just be in time.
func (x *relay) hedgeAfter() time.Duration {
	r := x.admission.route
	if !x.hedgeable() {
		return time.Until(x.tracker.Deadline()) + time.Hour
	}
	slow := x.server.cfg.Collector.SlowAfter(x.service.Name(), r.Class())
	if targetLatency := r.TargetLatency(); targetLatency > 0 {
		slow = min(slow, targetLatency/hedgeDivisor-time.Since(x.started))
	}
	return max(slow, 0)
}

// hedgeable reports whether the request may be sent to a second target while the first works on
// it. A request under which a target crashed is not, as it could crash two more. A peer that makes
// the attempts hedges by itself.
func (x *relay) hedgeable() bool {
	r := x.admission.route
	return x.admission.repeatable && x.body.stream == nil && r.MaxAttempts() != 1 && !x.suspect.Load() && !x.atPeer.Load()
}

// budgetSpent reports whether there was no target because the retry budget is spent.
func budgetSpent(err error) bool {
	var none *NoTargetError
	return errors.As(err, &none) && none.reason == attempt.ReasonBudget
}

// hedgeRetryDelay is the time after which a second target is requested again when none was
// granted: the longer the first one is silent, the more likely it has failed.
const hedgeRetryDelay = 50 * time.Millisecond

// hedgeDivisor divides a route's target latency; the result is when a second target is requested.
// Half of it leaves the second target as much time as the first had.
const hedgeDivisor = 2

// hedge starts another attempt while the first is still expected to answer.
func (x *relay) hedge() {
	if !x.hedgeable() {
		return
	}
	for _, t := range x.running {
		x.recordOnce(t, attempt.OutcomeUnknown)
	}
	x.launch()
}
