// SPDX-License-Identifier: Apache-2.0

package node_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"ploverjunction.example/ploverjunction/internal/node"
)

// since returns the age of something that happened at the time given.
func since(at *time.Time) func(time.Time) time.Duration {
	return func(now time.Time) time.Duration { return now.Sub(*at) }
}

// A node knows the newest configuration only while the fleet hears the platform and a
// peer has the same values.
func TestCurrent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		heard, agreed := time.Now(), time.Now()
		c := node.NewCurrency(time.Second, 4*time.Second, since(&heard), since(&agreed), func() {})
		if !c.Current() || !c.Trusted() {
			t.Error("not current though all is new")
		}
		time.Sleep(2 * time.Second)
		agreed = time.Now()
		if c.Current() {
			t.Error("current though the platform wasn't heard for two seconds")
		}
		heard, agreed = time.Now(), time.Now().Add(-2*time.Second)
		if c.Current() {
			t.Error("current though no peer had the same values for two seconds")
		}
		time.Sleep(5 * time.Second)
		if c.Trusted() {
			t.Error("keys are trusted though the platform wasn't heard for five seconds")
		}
	})
}

// Who waits for news asks peers, and goes on as soon as there is some.
func TestAwaitCurrentConfiguration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		begun := time.Now()
		heard, agreed := begun.Add(-time.Minute), begun
		asks := 0
		c := node.NewCurrency(time.Second, 0, since(&heard), since(&agreed), func() {
			if asks++; asks == 5 {
				heard, agreed = time.Now(), time.Now()
			}
		})
		if !c.Trusted() {
			t.Error("keys aren't trusted though nothing asks for that")
		}
		if !c.Await(t.Context()) || time.Since(begun) > 200*time.Millisecond {
			t.Errorf("no news after %v", time.Since(begun))
		}
		heard = begun.Add(-time.Minute)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		if c.Await(ctx) {
			t.Error("news though there is none")
		}
	})
}
