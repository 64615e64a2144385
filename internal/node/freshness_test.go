// SPDX-License-Identifier: Apache-2.0

package node_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"ploverjunction.example/ploverjunction/internal/node"
)

// since returns a function for the age of an event at the given time.
func since(at *time.Time) func(time.Time) time.Duration {
	return func(now time.Time) time.Duration { return now.Sub(*at) }
}

// A node can have the newest configuration only while the fleet receives answers of the platform
// and a peer has the same values.
func TestCurrent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		answered, agreed := time.Now(), time.Now()
		c := node.NewFreshness(time.Second, 4*time.Second, since(&answered), since(&agreed), func() {})
		if !c.Current() || !c.Trusted() {
			t.Error("not current with fresh answers and an agreeing peer")
		}
		time.Sleep(2 * time.Second)
		agreed = time.Now()
		if c.Current() {
			t.Error("current without an answer of the platform for 2 s")
		}
		answered, agreed = time.Now(), time.Now().Add(-2*time.Second)
		if c.Current() {
			t.Error("current though no peer had the same values for 2 s")
		}
		time.Sleep(5 * time.Second)
		if c.Trusted() {
			t.Error("keys trusted without an answer of the platform for 5 s")
		}
	})
}

// A request that waits for the newest configuration must trigger a comparison with peers, and
// proceed as soon as one succeeds.
func TestAwaitCurrentConfiguration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		started := time.Now()
		answered, agreed := started.Add(-time.Minute), started
		comparisons := 0
		c := node.NewFreshness(time.Second, 0, since(&answered), since(&agreed), func() {
			if comparisons++; comparisons == 5 {
				answered, agreed = time.Now(), time.Now()
			}
		})
		if !c.Trusted() {
			t.Error("keys not trusted without a maximum age")
		}
		if !c.Await(t.Context()) || time.Since(started) > 200*time.Millisecond {
			t.Errorf("not current after %v", time.Since(started))
		}
		answered = started.Add(-time.Minute)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		if c.Await(ctx) {
			t.Error("current though the platform does not answer")
		}
	})
}
