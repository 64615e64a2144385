// SPDX-License-Identifier: Apache-2.0

package dispatch

import (
	"time"

	"ploverjunction.example/ploverjunction/internal/signal"
)

// Status describes a desk.
type Status struct {
	// Waiting and InFlight count asks, Slots what all targets can work on.
	Waiting  int
	InFlight int
	Slots    int
	// Unlearned counts times of answers that could not be taken in.
	Unlearned int
	// Prior is the part of the time that targets of the service are failing.
	Prior float64
	// Enter and Leave are how often, in 1/s, targets begin and end to fail.
	Enter, Leave float64
	// LostFailing is the share of requests that a failing target doesn't answer.
	LostFailing float64
	// Asked is how many asks came in the window of the retry budget.
	Asked int
	// RepeatsLeft is how many repeats the retry budget still pays for.
	RepeatsLeft float64
	// Working is the expected number of targets that have worked for some seconds,
	// Reached how many of them got work lately, Short the probability that these are too
	// few of them.
	Working, Reached, Short float64
	// Trials counts grants of targets that would have been left out else.
	Trials int
	// Targets are all targets, in the order of their configuration.
	Targets []TargetStatus
}

// TargetStatus describes one target.
type TargetStatus struct {
	Key string
	// Failing is the belief that the target is failing, from 0 to 1.
	Failing  float64
	InFlight int
	Slots    int
	Leaving  bool
	// Limit is the target's limit, by LimitBy, and LimitAt when the target answered so.
	Limit   signal.Limit
	LimitBy string
	LimitAt time.Time
	// Granted is how often the target was granted in the last 4 s, for one with a limit.
	Granted int
}

// Asked returns how many asks came in the window of the retry budget.
func (d *Desk) Asked(now time.Time) int {
	d.window.advance(now, d.started, d.budget)
	firsts, repeats := d.window.sums()
	return int(firsts + repeats)
}

// Status returns the state of the desk.
func (d *Desk) Status(now time.Time) Status {
	s := Status{
		Waiting:     len(d.queue.list),
		Unlearned:   d.rejectedSamples,
		Prior:       d.model.Share(),
		LostFailing: d.model.LostFailing(),
		Asked:       d.Asked(now),
		RepeatsLeft: d.retriesLeft(now, 1),
		Trials:      d.trials,
	}
	s.Enter, s.Leave = d.model.Rates()
	c := d.coverage(now)
	s.Working, s.Reached, s.Short = c.working, c.reached, c.shortProbability
	for _, t := range d.order {
		s.InFlight += len(t.flights)
		if !t.drains(now) {
			s.Slots += d.slots(now, t)
		}
		s.Targets = append(s.Targets, TargetStatus{
			Key:      t.Key,
			Failing:  t.failureProbability(now),
			InFlight: len(t.flights),
			Slots:    t.Slots,
			Leaving:  t.drains(now),
			Limit:    t.limit.Limit,
			LimitBy:  t.limit.reportedBy,
			LimitAt:  t.limit.at,
			Granted:  t.limit.granted(now),
		})
	}
	return s
}
