// SPDX-License-Identifier: Apache-2.0

package dispatch

import (
	"slices"
	"time"

	"ploverjunction.example/ploverjunction/internal/health"
)

// flight is a granted attempt under way.
type flight struct {
	started time.Time
	until   time.Time
	// previousGrant is the time of the target's grant before this one.
	previousGrant time.Time
	// final is set where no other attempt can follow a failure.
	final bool
	// limit is the limit, named by the target, that paid for the grant; paced is set where any
	// limit did, a warm-up limit included.
	limit TargetLimit
	paced bool
	// route holds the response times of the request's route, event the number of the attempt in the
	// target's health.
	route *health.Route
	event uint64
}

// target is the state of one target.
type target struct {
	Target
	health *health.Target
	// goneUntil is until when a target that is gone gets no work.
	goneUntil   time.Time
	warmupUntil time.Time
	// drainingUntil is until when the target drains by its own signal, received by any node. It is
	// zero where there was none.
	drainingUntil time.Time
	backoff       backoff
	limit         limitState
	load          loadState
	flights       map[ID]flight
	// lastGranted is when the target last got work.
	lastGranted time.Time
	// lastOwnGrant is when this scheduler last granted it.
	lastOwnGrant time.Time
	// lastRejected is when it last rejected a request, lastBad when it last failed one.
	lastRejected, lastBad time.Time
	// rejectedInRow is the number of rejections since it last served or failed a request.
	rejectedInRow int
	// uncovered is the probability that the target works and should have had work by now.
	uncovered float64
}

// goneDuration is how long a target that is gone gets no work; its registration ends meanwhile.
const goneDuration = 5 * time.Second

const (
	// drainWithID is how long a target drains by its own signal if its next incarnation has another
	// key. It is longer than any shutdown takes.
	drainWithID = 24 * time.Hour
	// drainWithoutID is the same for a target whose next incarnation has the same key.
	drainWithoutID = time.Minute
)

// drains reports whether the target takes no new work from any node.
func (t *target) drains(now time.Time) bool { return t.Draining || now.Before(t.drainingUntil) }

// open reports whether the target may be granted to the request.
func (t *target) open(now time.Time, a *Request) bool {
	return !t.drains(now) && !slices.Contains(a.ClosedHalls, t.DataHall) && !slices.Contains(a.Unavailable, t.Key)
}

func (t *target) markGone(now time.Time, r Result) {
	if r == ResultGone {
		t.goneUntil = now.Add(goneDuration)
	}
}

// failureProbability returns the estimated probability that the target is failing.
func (t *target) failureProbability(now time.Time) float64 {
	if now.Before(t.goneUntil) {
		return 1
	}
	return t.health.FailureProbability(now)
}

// lossProbability returns the estimated probability that a request sent now is not answered well.
func (t *target) lossProbability(now time.Time) float64 {
	if now.Before(t.goneUntil) {
		return 1
	}
	return t.health.LossProbability(now)
}

// usedRecently reports whether the target got work within spreadTime.
func (t *target) usedRecently(now time.Time) bool { return now.Sub(t.lastGranted) < spreadTime }

// settledProbability returns the estimated probability that the target has worked for coverSettled
// and so counts for the floor.
func (t *target) settledProbability(now time.Time) float64 {
	if now.Before(t.goneUntil) || t.backoff.active() || t.limit.bounded(now) && t.limit.rate(now, 1)*spreadTime.Seconds() < 1 {
		return 0
	}
	return t.health.Steady(now, now.Add(-coverSettled))
}
