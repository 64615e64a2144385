// SPDX-License-Identifier: Apache-2.0

package ratelimit

import (
	"math"
	"time"
)

// maxWait is the longest wait, also that at a rate of 0.
const maxWait = time.Hour

// Pacer is a token bucket whose depth may be less than a token: many nodes that each admit
// one request at once would exceed a small limit by their number. A request is admitted as
// soon as a whole token has accumulated. It isn't safe for concurrent use.
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

// Wait returns the time until there is a token, 0 if there is one now. rate is in tokens a
// second; at most depth tokens, or one, are kept.
func (p *Pacer) Wait(now time.Time, rate, depth float64) time.Duration {
	if elapsed := now.Sub(p.at).Seconds(); elapsed > 0 {
		p.tokens += elapsed * rate
		p.at = now
	}
	p.tokens = min(p.tokens, max(depth, 1))
	switch {
	case p.tokens >= 1:
		return 0
	case rate*maxWait.Seconds() <= 1-p.tokens:
		return maxWait
	}
	// At least 1 ns, as shorter waits would be rounded to 0.
	return max(time.Duration((1-p.tokens)/rate*float64(time.Second)), 1)
}

// Take takes a token and returns 0, or returns the time until there is one.
func (p *Pacer) Take(now time.Time, rate, depth float64) time.Duration {
	wait := p.Wait(now, rate, depth)
	if wait == 0 {
		p.Spend()
	}
	return wait
}

// Expire drops tokens that have been unused for longer than it takes to accumulate keep tokens.
func (p *Pacer) Expire(keep float64) {
	if over := p.tokens - keep; over >= 1 {
		p.tokens -= math.Floor(over)
	}
}

// Spend takes a token even if there is none, which delays the next ones.
func (p *Pacer) Spend() { p.tokens-- }

// Return gives back a token that was taken and not used.
func (p *Pacer) Return() { p.tokens++ }
