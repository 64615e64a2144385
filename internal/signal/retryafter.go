// SPDX-License-Identifier: Apache-2.0

package signal

import "time"

// retryAfterJitter spreads Retry-After over this fraction of the backoff, so that callers do
// not return at once.
const retryAfterJitter = 0.5

// RetryAfter returns after how long a caller may retry at a service all of whose targets back off
// or drain, given the state of the target that may be used first. random is from 0 to 1.
func (s Status) RetryAfter(random float64) time.Duration {
	return s.Backoff + time.Duration(random*retryAfterJitter*float64(s.BackoffTotal))
}
