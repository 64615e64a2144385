// SPDX-License-Identifier: Apache-2.0

package entry_test

import (
	"net"
	"net/http"
	"testing"
	"time"

	"ploverjunction.example/ploverjunction/internal/entry"
	"ploverjunction.example/ploverjunction/internal/outlier"
	"ploverjunction.example/ploverjunction/internal/signal"
)

// closedAddress returns an address on which nothing listens.
func closedAddress(t *testing.T) string {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = lis.Close() }()
	return lis.Addr().String()
}

// A target must not count as failing because the node that tried it has no path to any target.
func TestLostPathIsNoEvidenceAgainstTarget(t *testing.T) {
	tests := []struct {
		name     string
		others   bool
		pathLost bool
	}{
		{
			name:     "no target reached",
			pathLost: true,
		},
		{
			name:   "another target reached",
			others: true,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			ends := make(chan outlier.Result, 16)
			down := newSignalTarget(t, "down", serveOK)
			down.choice.Address = closedAddress(t)
			down.choice.Done = func(end outlier.Result, _ time.Duration) { ends <- end }
			c := &choices{
				list:   []*signalTarget{down},
				before: func(int) {},
			}
			other := newSignalTarget(t, "other", serveOK)
			s := newSite(t, func(cfg *entry.Config) {
				cfg.Signals = &signal.Ledger{}
				cfg.Choose = c.choose
				cfg.PathTargets = func(string) []string {
					if tt.others {
						return []string{other.choice.Address, closedAddress(t)}
					}
					return []string{closedAddress(t), closedAddress(t)}
				}
			})
			if status := s.get(t, http.DefaultClient, "/quotes/1", brokers); status != http.StatusServiceUnavailable {
				t.Errorf("status %d", status)
			}
			if end := <-ends; end.PathLost != tt.pathLost || end.Ignored != tt.pathLost || !end.Unreached {
				t.Errorf("the attempt ended with %+v", end)
			}
		})
	}
}

// An attempt that reached no target must leave the retry budget to attempts that did.
func TestAttemptAfterUnreachedTargetIsNoRetry(t *testing.T) {
	down, other := newSignalTarget(t, "down", serveOK), newSignalTarget(t, "other", serveOK)
	down.choice.Address = closedAddress(t)
	c := &choices{
		list:   []*signalTarget{down, other},
		before: func(int) {},
	}
	s := newSite(t, func(cfg *entry.Config) {
		cfg.Signals = &signal.Ledger{}
		cfg.Choose = c.choose
		cfg.WithdrawRetry = func(string) bool { return false }
	})
	if status := s.get(t, http.DefaultClient, "/quotes/1", brokers); status != http.StatusOK {
		t.Errorf("status %d", status)
	}
	if len(c.queries) != 2 || c.queries[1].Retry || !c.queries[1].Replacement {
		t.Errorf("%d choices, or the second one is a retry", len(c.queries))
	}
}
