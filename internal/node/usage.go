// SPDX-License-Identifier: Apache-2.0

package node

import (
	"slices"
	"time"

	"ploverjunction.example/ploverjunction/internal/operator"
	"ploverjunction.example/ploverjunction/internal/ratelimit"
	"ploverjunction.example/ploverjunction/internal/wire"
)

// This file converts reports about limits to and from messages and to their status.

// status returns the status of the limits of the workspaces that have callers on this node.
func (l *limitController) status(now time.Time) []operator.LimitStatus {
	var out []operator.LimitStatus
	for _, s := range l.limiter.Statuses(now) {
		w := operator.LimitStatus{
			Workspace:   s.Workspace,
			Rate:        s.Limit.Rate,
			Burst:       s.Limit.Burst,
			RequestRate: s.Demand,
			Reserve:     s.Held,
			Allocator:   l.holder(s.Workspace).Address(),
			Tokens:      s.Share.Level,
			Withheld:    s.Share.Withheld,
			AgeMS:       -1,
		}
		if !s.At.IsZero() {
			w.AgeMS = now.Sub(s.At).Milliseconds()
		}
		out = append(out, w)
	}
	return out
}

// wireUsage returns the report of a workspace to the allocator whose incarnation is to, 0 if it is
// not known.
func wireUsage(workspace string, r ratelimit.Report, to uint64) *wire.Usage {
	u := &wire.Usage{
		Workspace: workspace,
		Returned:  r.Returned,
		Alone:     r.Isolated,
		Held:      uint32(r.Held),
		Want:      uint32(r.Want),
		Waiting:   uint32(r.Waiting),
		Demand:    float32(r.Demand),
		EveryMs:   uint32(r.Interval.Milliseconds()),
	}
	if r.Age > 0 && r.Allocator != to {
		u.AgeMs = uint32(r.Age.Milliseconds()) + 1
		u.By = r.Allocator
		u.Level = float32(r.Level)
		u.Rate = float32(r.Rate)
		u.Total = float32(r.RateSum)
		u.Lately = r.IsolatedRecent
	}
	return u
}

// Greatest values of reports about limits that are accepted: counts since the start of a node, tokens of one
// report, and rates.
const (
	maxCount  = 1 << 40
	maxTokens = 1 << 30
	maxRate   = 1e12
)

// validUsage reports whether the numbers of a report are in range. The sums over all nodes would keep
// those that are not.
func validUsage(u *wire.Usage) bool {
	for _, n := range []int64{u.GetReturned(), u.GetAlone(), u.GetLately()} {
		if n < 0 || n > maxCount {
			return false
		}
	}
	return max(u.GetHeld(), u.GetWant(), u.GetWaiting()) <= maxTokens &&
		validRates(u.GetDemand(), u.GetRate(), u.GetTotal()) && validLevel(u.GetLevel())
}

// validAllotment reports whether the numbers of an answer of an allocator are in range.
func validAllotment(a *wire.Allotment) bool {
	return max(a.GetAdmitted(), a.GetReserve()) <= maxTokens &&
		validRates(a.GetPace(), a.GetRate(), a.GetDepth(), a.GetTotal(), a.GetKept()) && validLevel(a.GetLevel())
}

// validRates reports whether all rates are in range; NaN is in none.
func validRates(rates ...float32) bool {
	return !slices.ContainsFunc(rates, func(r float32) bool { return !(r >= 0 && r <= maxRate) })
}

func validLevel(level float32) bool { return level >= -maxRate && level <= maxRate }

func reportOfWire(u *wire.Usage) ratelimit.Report {
	return ratelimit.Report{
		Returned:       u.GetReturned(),
		Isolated:       u.GetAlone(),
		Held:           int(u.GetHeld()),
		Want:           int(u.GetWant()),
		Waiting:        int(u.GetWaiting()),
		Demand:         float64(u.GetDemand()),
		Interval:       time.Duration(u.GetEveryMs()) * time.Millisecond,
		Level:          float64(u.GetLevel()),
		Rate:           float64(u.GetRate()),
		RateSum:        float64(u.GetTotal()),
		Allocator:      u.GetBy(),
		Age:            time.Duration(u.GetAgeMs()) * time.Millisecond,
		IsolatedRecent: u.GetLately(),
	}
}

func fillAllotment(a *wire.Allotment, s ratelimit.Share) {
	a.Declined = false
	a.Admitted = uint32(s.Admitted)
	a.Reserve = uint32(s.Reserve)
	a.Level = float32(s.Level)
	a.Pace = float32(s.Pace)
	a.WaitMs = uint32(s.Wait.Milliseconds())
	a.Rate = float32(s.Rate)
	a.Depth = float32(s.Depth)
	a.Total = float32(s.RateSum)
	a.Kept = float32(s.Withheld)
}

func shareOfWire(by uint64, a *wire.Allotment) ratelimit.Share {
	return ratelimit.Share{
		Allocator: by,
		Admitted:  int(a.GetAdmitted()),
		Reserve:   int(a.GetReserve()),
		Level:     float64(a.GetLevel()),
		Pace:      float64(a.GetPace()),
		Wait:      time.Duration(a.GetWaitMs()) * time.Millisecond,
		Rate:      float64(a.GetRate()),
		Depth:     float64(a.GetDepth()),
		RateSum:   float64(a.GetTotal()),
		Withheld:  float64(a.GetKept()),
	}
}
