// SPDX-License-Identifier: Apache-2.0

package dispatch_test

import (
	"testing"
	"time"
)

const (
	// failureAt is when a failure begins, restoredWithin the time after its end from which on shares
	// must be correct again.
	failureAt      = 6 * time.Second
	restoredWithin = time.Second
	// unnoticedLoss is the share of requests that callers lose at any target anyway, 12 in 1,000: they
	// can't tell a smaller loss from it.
	unnoticedLoss = 0.012
	// restoredWait is the longest mean wait, beyond the usual one, once shares are correct, as in
	// TestBusyWorkspace.
	restoredWait = 60 * time.Millisecond
	// failureWait is the same while the failure lasts: the time until a node repeats a queued request to
	// the next dispatcher.
	failureWait = queuedTimeoutTo
)

// failureModel is a service of 120 slots and three workspaces that use 0.75 of the slots.
func failureModel(seed uint64, factor float64, from, to time.Duration) shareModel {
	m := busyModel(seed, 0.75, 0, factor)
	m.clients = m.clients[:3]
	for i := range m.clients {
		c := &m.clients[i]
		c.perSecond = 0.75 * m.shareCapacity() / 3 / c.work.Seconds()
	}
	m.countFrom, m.countTo = from, to
	return m
}

// A failure must not cost the workspaces within their share more than callers notice, while another one
// sends ten times its usual requests, and shares must be correct again within a second. Where requests
// stayed in the queue of a former dispatcher, that one granted all its slots to the busy workspace for
// some seconds, and 0.89 of the others' requests were answered in time instead of 0.99.
func TestSharesUnderFailure(t *testing.T) {
	t.Parallel()
	const seeds = 4
	for _, f := range shareFailures {
		t.Run(f.name, func(t *testing.T) {
			restored := failureAt + f.lasts + restoredWithin
			for _, window := range []struct {
				name     string
				from, to time.Duration
				maxWait  time.Duration
			}{
				{"failure", failureAt - time.Second, restored, failureWait},
				{"after", restored, shareBurstTo, restoredWait},
			} {
				var usual, got shareResult
				for seed := range uint64(seeds) {
					s := newShareSimulation(failureModel(seed, 1, window.from, window.to))
					s.run()
					usual.add(others(s))
					s = newShareSimulation(failureModel(seed, 10, window.from, window.to))
					s.after(failureAt, func() { f.begin(s) })
					s.run()
					got.add(others(s))
					if s.over > 0 || s.twice > 0 {
						t.Errorf("seed %d: %d grants beyond slots, %d requests answered twice", seed, s.over, s.twice)
					}
					if w0 := s.got["w0"]; w0.share(w0.onTime) > 0.9 {
						t.Errorf("seed %d: slots are not short: w0 %v", seed, w0)
					}
				}
				t.Logf("%s: others usually %v; now %v", window.name, usual, got)
				if usual.all != got.all {
					t.Fatalf("%d requests of others, usually %d", got.all, usual.all)
				}
				if got.share(got.onTime) < usual.share(usual.onTime)-unnoticedLoss {
					t.Errorf("%s: too few in time", window.name)
				}
				if got.meanWait() > usual.meanWait()+window.maxWait {
					t.Errorf("%s: waits too long", window.name)
				}
			}
		})
	}
}
