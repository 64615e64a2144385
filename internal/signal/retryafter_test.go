// SPDX-License-Identifier: Apache-2.0

package signal_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"ploverjunction.example/ploverjunction/internal/signal"
)

// Callers that arrive during the backoff of a service get a retry time: none before the backoff is
// over, and not so many at once that they overload the service. Compares retries that are all at the
// end with those that are spread, for the same callers.
func TestNoHerdWhenBackoffEnds(t *testing.T) {
	const (
		backoff = 3 * time.Second
		tick    = 100 * time.Millisecond
		second  = 200
	)
	tests := []struct {
		name   string
		random func(rng *rand.Rand) float64
		// most is the greatest load in a tick, as a multiple of the usual one.
		most float64
	}{
		{
			name:   "all at the end",
			random: func(*rand.Rand) float64 { return 0 },
			most:   31,
		},
		{
			name:   "spread",
			random: func(rng *rand.Rand) float64 { return rng.Float64() },
			most:   4,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			rng := rand.New(rand.NewPCG(1, 2))
			var l signal.Ledger
			l.Observe(start, incarnation("id/1"), signal.Signal{
				Backoff: backoff,
			})
			// requests counts the requests in each tick from the end of the backoff on, first
			// requests and retries.
			requests := map[time.Duration]float64{}
			for at := time.Duration(0); at < 2*backoff; at += time.Second / second {
				s := l.Status(start.Add(at), incarnation("id/1"))
				retry := at
				if s.Unavailable() {
					retry = at + s.RetryAfter(tt.random(rng))
				}
				if retry < backoff {
					t.Fatalf("a caller that arrived at %v retries at %v, before the backoff is over", at, retry)
				}
				requests[retry.Truncate(tick)]++
			}
			most := 0.0
			for _, n := range requests {
				most = max(most, n/second/tick.Seconds())
			}
			t.Logf("most in a tenth of a second: %.1f times the usual load", most)
			if most > tt.most {
				t.Errorf("%.1f times the usual load, want at most %.1f", most, tt.most)
			}
		})
	}
}
