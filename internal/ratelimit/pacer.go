// SPDX-License-Identifier: Apache-2.0

package ratelimit

import (
	"math"
	"time"
)

// maxWait is what a pacer with a rate of 0 says.
const maxWait = time.Hour

// Pacer is a token bucket whose depth may be less than a token: many nodes that each
// admitted one request at once would exceed a small limit by as many. A request is admitted
// as soon as a whole token has gathered. It isn't safe for concurrent use.
type Pacer struct {
	tokens float64
	at     time.Time
}

// NewPacer returns a pacer that holds some tokens at now.
func NewPacer(now time.Time, tokens float64) *Pacer {
	return &Pacer{
		tokens: tokens,
		at:     now,
	}
}

// Wait returns after how long there is a token, 0 if there is one now. rate is in tokens a
// second; at most depth tokens, or one, are kept.
func (p *Pacer) Wait(now time.Time, rate, depth float64) time.Duration {
	if past := now.Sub(p.at).Seconds(); past > 0 {
		p.tokens += past * rate
		p.at = now
	}
	p.tokens = min(p.tokens, max(depth, 1))
	switch {
	case p.tokens >= 1:
		return 0
	case rate*maxWait.Seconds() <= 1-p.tokens:
		return maxWait
	}
	// At least 1 ns, which 0 would be rounded to.
	return max(time.Duration((1-p.tokens)/rate*float64(time.Second)), 1)
}

// Take takes a token and returns 0, or returns after how long there is one.
func (p *Pacer) Take(now time.Time, rate, depth float64) time.Duration {
	wait := p.Wait(now, rate, depth)
	if wait == 0 {
		p.Pay()
	}
	return wait
}

// Lapse drops tokens that have been there for longer than it takes to gather keep tokens.
func (p *Pacer) Lapse(keep float64) {
	if over := p.tokens - keep; over >= 1 {
		p.tokens -= math.Floor(over)
	}
}

// Pay takes a token, whether there is one or not: the next ones then come later.
func (p *Pacer) Pay() { p.tokens-- }

// Return gives back a token that was taken and not used.
func (p *Pacer) Return() { p.tokens++ }
