// SPDX-License-Identifier: Apache-2.0

package dispatch

import (
	"time"

	"ploverjunction.example/ploverjunction/internal/health"
)

// Result is the outcome of one attempt with respect to its target.
type Result uint8

// Results of attempts.
const (
	// ResultGood means that the target served the request.
	ResultGood Result = iota
	// ResultBad means that the target failed the request.
	ResultBad
	// ResultShed means that the target refused the request before running it.
	ResultShed
	// ResultUnreached means that there was no connection to the target.
	ResultUnreached
	// ResultIgnored carries no information about the target.
	ResultIgnored
	// ResultGone means that the target is gone or that another process has its address.
	ResultGone
	// ResultBackoff means that the target refused the request before running it and asked the node
	// to back off.
	ResultBackoff
	// ResultUnsent means that nothing was sent to the target, for a reason that lies with the node.
	ResultUnsent
)

// String returns the result as logged.
func (r Result) String() string {
	return [...]string{"good", "bad", "shed", "unreached", "ignored", "gone", "resting", "unsent"}[r]
}

// reachedNobody reports whether nothing was sent to the target.
func (r Result) reachedNobody() bool { return r == ResultUnreached || r == ResultUnsent }

// kindOf returns the health event of a result. idle is set where the target had free slots.
func kindOf(r Result, route *health.Route, took time.Duration, idle bool) health.Kind {
	switch r {
	case ResultGood:
		return route.EndKind(true, took)
	case ResultBad:
		return route.EndKind(false, took)
	case ResultUnreached:
		return health.Unreached
	case ResultShed:
		if idle {
			return health.Shed
		}
	}
	return health.Open
}
