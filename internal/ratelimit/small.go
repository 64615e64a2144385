// SPDX-License-Identifier: Apache-2.0

package ratelimit

import "time"

// small is a token bucket whose depth may be less than a token: many nodes that each
// admitted one request at once would exceed a small limit by as many. It begins with its
// depth and admits a request as soon as it has gathered a whole token.
type small struct {
	tokens float64
	at     time.Time
}

// take takes a token, or returns after how long there will be one.
func (s *small) take(now time.Time, rate, depth float64) time.Duration {
	if s.at.IsZero() {
		s.tokens, s.at = depth, now
	}
	if past := now.Sub(s.at).Seconds(); past > 0 {
		s.tokens += past * rate
		s.at = now
	}
	s.tokens = min(s.tokens, max(depth, 1))
	if s.tokens >= 1 {
		s.tokens--
		return 0
	}
	if rate <= 0 {
		return retryMost
	}
	return min(max(time.Duration((1-s.tokens)/rate*float64(time.Second)), retryLeast), retryMost)
}
