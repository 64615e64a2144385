// SPDX-License-Identifier: Apache-2.0

package entry_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"ploverjunction.example/ploverjunction/internal/entry"
	"ploverjunction.example/ploverjunction/internal/outlier"
	"ploverjunction.example/ploverjunction/internal/signal"
)

// closedAddresses counts the addresses that closedAddress returned.
var closedAddresses atomic.Int64

// closedAddress returns an address on which nothing listens, another one each time. The port of a closed
// listener would be free for listeners that are opened later.
func closedAddress(t *testing.T) string {
	t.Helper()
	n := closedAddresses.Add(1)
	return fmt.Sprintf("127.1.%d.%d:1", n/256%256, n%256)
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

// Guards against targets whose health checks get what is no answer and whose requests count as cut off by their paths.
func TestMalformedAnswersToChecksAreNoLostPath(t *testing.T) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = lis.Close() })
	var checks atomic.Int64
	go func() {
		for {
			c, err := lis.Accept()
			if err != nil {
				return
			}
			if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
				checks.Add(1)
				_, _ = io.WriteString(c, "HTTP/1.1 000 OK\r\nContent-Length: 0\r\n\r\n")
			}
			_ = c.Close()
		}
	}()
	ends := make(chan outlier.Result, 16)
	slow := newSignalTarget(t, "slow", func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(checkedSilence)
		serveOK(w, r)
	})
	slow.choice.Done = func(end outlier.Result, _ time.Duration) { ends <- end }
	c := &choices{
		list:   []*signalTarget{slow},
		before: func(int) {},
	}
	s := newSite(t, func(cfg *entry.Config) {
		cfg.Signals = &signal.Ledger{}
		cfg.Choose = c.choose
		cfg.PathTargets = func(string) []string { return []string{lis.Addr().String()} }
	})
	status := s.get(t, http.DefaultClient, "/quotes/1", brokers)
	if end := <-ends; status != http.StatusOK || end.PathLost || end.Ignored {
		t.Errorf("status %d, the attempt ended with %+v", status, end)
	}
	if checks.Load() == 0 {
		t.Error("no path was checked")
	}
}

// checkedSilence is longer than the time without an answer after which paths are checked by exchanges.
const checkedSilence = 3 * time.Second
