// SPDX-License-Identifier: Apache-2.0

package dispatch

import (
	"math"
	"time"
)

// Result is what one attempt showed of its target.
type Result uint8

// Results of attempts.
const (
	// ResultGood means that the target did the work.
	ResultGood Result = iota
	// ResultBad means that the target failed the request.
	ResultBad
	// ResultShed means that the target refused the request before running it.
	ResultShed
	// ResultUnreached means that there was no connection to the target.
	ResultUnreached
	// ResultIgnored says nothing about the target.
	ResultIgnored
	// ResultGone means that the target is gone or another process has its address.
	ResultGone
)

// String returns the result in words.
func (r Result) String() string {
	return [...]string{"good", "bad", "shed", "unreached", "ignored", "gone"}[r]
}

// Parameters of the belief that a target is failing. They describe the gray
// failures that were measured: short phases in which a target fails most of its
// requests, and single errors that say nothing.
const (
	// priorStart is the part of the time that targets are taken to be failing
	// before anything is known of the service; priorLeast and priorMost bound what
	// is learned of it, priorMemory is the time constant of learning it.
	priorStart  = 0.05
	priorLeast  = 0.02
	priorMost   = 0.35
	priorMemory = 10 * time.Second
	// badFailing and badHealthy are the shares of bad requests of a failing and of
	// a healthy target.
	badFailing = 0.6
	badHealthy = 0.012
	// oddsQuick and oddsWorked are by how much a failure raises the odds: a target
	// that fails without having worked is sick; one that worked for the usual time
	// may have met a bad request.
	oddsQuick  = badFailing / badHealthy
	oddsWorked = 6
	// quickPart is the part of the usual time below which a failure is quick.
	quickPart = 0.15
	// oddsShed and oddsSlow are the same for a refusal in spite of free slots and
	// for an unusually slow answer.
	oddsShed = 2
	oddsSlow = 4
	// oddsOverdue is the same for a request that should long have been answered.
	oddsOverdue = 6
	// oddsUnreached is the same for a connection that couldn't be opened. One node
	// alone may have lost its way to the target; that node avoids it itself.
	oddsUnreached = 6
	// mostFailing bounds the belief: more evidence of one phase says nothing of how
	// long it lasts.
	mostFailing = 0.95
	// memoryFirst is the time constant with which the belief fades after a first
	// failure, memoryMost the greatest after relapses.
	memoryFirst = 2 * time.Second
	memoryMost  = 4 * time.Second
	// memoryGrowth is by how much each relapse lengthens the memory, memoryShrink
	// by how much each success of a trusted target shortens it.
	memoryGrowth = 1.6
	memoryShrink = 0.8
	// forgetTime is the time constant with which a target that nobody asked is
	// trusted again.
	forgetTime = 4 * time.Second
	// relapseTime is within which time a failure counts as a relapse, if the
	// target had got work again: at a belief below secondChance.
	relapseTime  = 6 * time.Second
	secondChance = 0.5
	// trusted is the belief below which a target counts as healthy.
	trusted = 0.1
	// goneTime is how long a target that is gone gets no work; its registration
	// ends meanwhile.
	goneTime = 5 * time.Second
)

// health is the belief that one target is failing: a hidden Markov model with two
// states. A failure counts less and less, first until the service's prior is left,
// then until nothing is. Targets that work are all alike, however long ago they
// were asked: to prefer the last ones would leave the others without work.
type health struct {
	prior   *float64
	failing float64
	at      time.Time
	memory  time.Duration
	lastBad time.Time
	gone    time.Time
}

// failingAt returns the probability at now that the target is failing.
func (h *health) failingAt(now time.Time) float64 {
	if now.Before(h.gone) {
		return 1
	}
	if h.at.IsZero() {
		// A target that has just started works, unless it shows otherwise.
		return priorLeast
	}
	past := max(now.Sub(h.at), 0).Seconds()
	p := h.failing
	if p > *h.prior {
		p = *h.prior + (p-*h.prior)*math.Exp(-past/h.memory.Seconds())
	}
	return priorLeast + max(p-priorLeast, 0)*math.Exp(-past/forgetTime.Seconds())
}

// bad returns the probability that a request sent at now fails.
func (h *health) bad(now time.Time) float64 {
	p := h.failingAt(now)
	return p*badFailing + (1-p)*badHealthy
}

// seen is what an attempt showed beside its result.
type seen struct {
	result Result
	// slow is set when it took unusually long, quick when it ended before any work
	// can have been done, and idle when the target had free slots.
	slow  bool
	quick bool
	idle  bool
}

// note takes in what one attempt showed.
func (h *health) note(now time.Time, s seen) {
	switch s.result {
	case ResultGood:
		h.good(now, s.slow)
	case ResultBad:
		h.relapse(now)
		if s.quick {
			h.update(now, oddsQuick)
		} else {
			h.update(now, oddsWorked)
		}
	case ResultUnreached:
		h.update(now, oddsUnreached)
	case ResultShed:
		if s.idle {
			h.update(now, oddsShed)
		}
	case ResultIgnored:
		if s.slow {
			// The caller or a second target was quicker.
			h.update(now, oddsSlow)
		}
	case ResultGone:
		h.gone = now.Add(goneTime)
	}
}

func (h *health) good(now time.Time, slow bool) {
	if slow {
		h.update(now, oddsSlow)
		return
	}
	h.update(now, (1-badFailing)/(1-badHealthy))
	if h.failing < trusted {
		h.memory = max(time.Duration(float64(h.memory)*memoryShrink), memoryFirst)
	}
}

// relapse lengthens the memory if the target had failed before and got work again.
func (h *health) relapse(now time.Time) {
	if !h.lastBad.IsZero() && now.Sub(h.lastBad) < relapseTime && h.failingAt(now) < secondChance {
		h.memory = min(time.Duration(float64(h.memory)*memoryGrowth), memoryMost)
	}
	h.lastBad = now
}

func (h *health) update(now time.Time, odds float64) {
	p := h.failingAt(now)
	o := p / (1 - min(p, mostFailing)) * odds
	h.failing = min(o/(1+o), mostFailing)
	h.at = now
}

// learnPrior moves the prior towards the mean belief: over time a true belief is
// right on average.
func (d *Desk) learnPrior(now time.Time) {
	past := now.Sub(d.learned)
	d.learned = now
	sum, n := 0.0, 0
	for _, t := range d.order {
		if !t.Leaving {
			sum += t.health.failingAt(now)
			n++
		}
	}
	if n == 0 {
		return
	}
	step := 1 - math.Exp(-past.Seconds()/priorMemory.Seconds())
	d.prior = min(max(d.prior+step*(sum/float64(n)-d.prior), priorLeast), priorMost)
}
