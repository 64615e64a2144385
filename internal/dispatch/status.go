// SPDX-License-Identifier: Apache-2.0

package dispatch

import (
	"time"

	"ploverjunction.example/ploverjunction/internal/signal"
)

// Status describes a scheduler.
type Status struct {
	// Waiting and InFlight count requests, Slots the slots of all targets.
	Waiting  int
	InFlight int
	Slots    int
	// RejectedSamples counts response times that the histograms rejected.
	RejectedSamples int
	// FailingShare is the estimated share of the time in which targets of the service are failing.
	FailingShare float64
	// FailureRate and RecoveryRate are the rates, in 1/s, at which targets begin and cease to fail.
	FailureRate, RecoveryRate float64
	// LostFailing is the share of requests that a failing target does not answer.
	LostFailing float64
	// Requests is the number of requests in the window of the retry budget.
	Requests int
	// RetriesLeft is the number of retries that the retry budget still allows. Granted and Remote are
	// the attempts from which it follows: those granted by this scheduler and by others.
	RetriesLeft     float64
	Granted, Remote AttemptCounts
	// Working is the expected number of targets that have worked for some seconds, Reached the
	// expected number of those with recent work, ShortProbability the probability that these are
	// fewer than the floor requires.
	Working, Reached, ShortProbability float64
	// Trials counts the grants made only because the target lacked work.
	Trials int
	// Shares describes how the slots are shared among workspaces.
	Shares ShareStatus
	// RejectedShare is the share of the attempts that targets rejected in the last one to two seconds, 0
	// where there were too few. RetriesWithheld counts the retries that were withheld for requests that
	// lose more without one. Places is the number of callers that were told to return and are still to
	// come.
	RejectedShare   float64
	RetriesWithheld int
	Places          int
	// Reporting counts the targets whose newest reported load has an effect, Foreign the slots that the
	// work of others takes at them.
	Reporting, Foreign int
	// Targets are all targets, in the order of their configuration.
	Targets []TargetStatus
}

// TargetStatus describes one target.
type TargetStatus struct {
	Key string
	// FailureProbability is the estimated probability that the target is failing.
	FailureProbability float64
	InFlight           int
	Slots              int
	Draining           bool
	// Limit is the target's limit, LimitBy the node that reported it, and LimitAt the time of the
	// target's answer.
	Limit   signal.Limit
	LimitBy string
	LimitAt time.Time
	// Granted is the number of grants in the last 4 s, for a target with a limit.
	Granted int
	// Load is the newest load that the target reported, LoadAt its time, the zero time for none, and
	// Foreign the slots that the work of others takes.
	Load    signal.Load
	LoadAt  time.Time
	Foreign int
}

// RequestCount returns the number of requests in the window of the retry budget.
func (d *Scheduler) RequestCount(now time.Time) int {
	d.window.advance(now, d.started, d.budget)
	firsts, retries := d.window.sums()
	return int(firsts + retries)
}

// Status returns the state of the scheduler.
func (d *Scheduler) Status(now time.Time) Status {
	s := Status{
		Waiting:         d.queue.len(),
		RejectedSamples: d.rejectedSamples,
		FailingShare:    d.model.FailingShare(),
		LostFailing:     d.model.LostFailing(),
		Requests:        d.RequestCount(now),
		RetriesLeft:     d.retriesLeft(now, 1),
		Trials:          d.trials,
		Shares:          d.queue.shares.status(),
		RejectedShare:   d.rejections.share(now),
		RetriesWithheld: d.rejections.withheld,
	}
	d.returns.advance(now)
	s.Places = len(d.returns.places)
	s.Granted, s.Remote = countsOf(d.window.sums()), countsOf(d.remote.sums(now, d.budget))
	s.FailureRate, s.RecoveryRate = d.model.Rates()
	c := d.coverage(now)
	s.Working, s.Reached, s.ShortProbability = c.working, c.reached, c.shortProbability
	for _, t := range d.order {
		s.InFlight += len(t.flights)
		if !t.drains(now) {
			s.Slots += d.slots(now, t)
		}
		foreign := t.load.foreignWork(now, t.Slots)
		s.Foreign += foreign
		if t.load.fresh(now) {
			s.Reporting++
		}
		s.Targets = append(s.Targets, TargetStatus{
			Key:                t.Key,
			FailureProbability: t.failureProbability(now),
			InFlight:           len(t.flights),
			Slots:              t.Slots,
			Draining:           t.drains(now),
			Limit:              t.limit.Limit,
			LimitBy:            t.limit.reportedBy,
			LimitAt:            t.limit.at,
			Granted:            t.limit.granted(now),
			Load:               t.load.reported,
			LoadAt:             t.load.at,
			Foreign:            foreign,
		})
	}
	return s
}
