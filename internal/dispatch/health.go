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
	// priorFailing is the part of the time that a target is failing.
	priorFailing = 0.02
	// badFailing and badHealthy are the shares of bad requests of a failing and of
	// a healthy target.
	badFailing = 0.6
	badHealthy = 0.012
	// oddsShed and oddsSlow are by how much a refusal in spite of free slots and an
	// unusually slow answer raise the odds.
	oddsShed = 6
	oddsSlow = 4
	// oddsOverdue is the same for a request that should long have been answered.
	oddsOverdue = 6
	// memoryFirst is the time constant with which the belief fades after a first
	// failure, memoryMost the greatest after relapses.
	memoryFirst = 1500 * time.Millisecond
	memoryMost  = 8 * time.Second
	// memoryGrowth is by how much each relapse lengthens the memory, memoryShrink
	// by how much each success of a trusted target shortens it.
	memoryGrowth = 1.6
	memoryShrink = 0.8
	// relapseTime is within which time a failure counts as a relapse.
	relapseTime = 10 * time.Second
	// trusted is the belief below which a target counts as healthy.
	trusted = 0.1
	// goneTime is how long a target that is gone gets no work; its registration
	// ends meanwhile.
	goneTime = 5 * time.Second
)

// health is the belief that one target is failing. The zero value is a target of
// which nothing is known.
type health struct {
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
		return priorFailing
	}
	past := max(now.Sub(h.at), 0)
	return priorFailing + (h.failing-priorFailing)*math.Exp(-past.Seconds()/h.memory.Seconds())
}

// bad returns the probability that a request sent at now fails.
func (h *health) bad(now time.Time) float64 {
	p := h.failingAt(now)
	return p*badFailing + (1-p)*badHealthy
}

// note takes in what one attempt showed; slow tells whether it took unusually
// long, and idle whether the target had free slots.
func (h *health) note(now time.Time, r Result, slow, idle bool) {
	if h.memory == 0 {
		h.memory = memoryFirst
	}
	switch r {
	case ResultGood:
		h.good(now, slow)
	case ResultBad, ResultUnreached:
		h.blame(now, badFailing/badHealthy)
	case ResultShed:
		if idle {
			h.blame(now, oddsShed)
		}
	case ResultGone:
		h.gone = now.Add(goneTime)
	}
}

func (h *health) good(now time.Time, slow bool) {
	if slow {
		h.blame(now, oddsSlow)
		return
	}
	h.update(now, (1-badFailing)/(1-badHealthy))
	if h.failing < trusted {
		h.memory = max(time.Duration(float64(h.memory)*memoryShrink), memoryFirst)
	}
}

// blame raises the odds and, after a relapse, the memory.
func (h *health) blame(now time.Time, odds float64) {
	if h.memory == 0 {
		h.memory = memoryFirst
	}
	if !h.lastBad.IsZero() && now.Sub(h.lastBad) < relapseTime {
		h.memory = min(time.Duration(float64(h.memory)*memoryGrowth), memoryMost)
	}
	h.update(now, odds)
	h.lastBad = now
}

func (h *health) update(now time.Time, odds float64) {
	p := h.failingAt(now)
	o := p / (1 - min(p, 0.999)) * odds
	h.failing = min(o/(1+o), 0.99)
	h.at = now
}
