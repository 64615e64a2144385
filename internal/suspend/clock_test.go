// SPDX-License-Identifier: Apache-2.0

package suspend_test

import (
	"testing"
	"testing/synctest"
	"time"

	"ploverjunction.example/ploverjunction/internal/suspend"
)

// Only suspension since the clock started counts, and it is detected within 20 ms.
func TestTotal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ahead := 3 * time.Hour
		c := suspend.NewClockOf(func() time.Duration { return ahead })
		if got := c.Total(time.Now()); got != 0 {
			t.Errorf("%v at the beginning", got)
		}
		ahead += 5 * time.Second
		time.Sleep(20 * time.Millisecond)
		if got := c.Total(time.Now()); got != 5*time.Second {
			t.Errorf("%v after 5 s", got)
		}
		// The clocks are read one after the other, so their offset may appear to shrink.
		ahead -= time.Millisecond
		time.Sleep(time.Second)
		if got := c.Total(time.Now()); got != 5*time.Second {
			t.Errorf("%v a second later", got)
		}
		if got, want := c.Since(time.Now()), 6*time.Second+20*time.Millisecond; got != want {
			t.Errorf("%v since the beginning, want %v", got, want)
		}
	})
}

// The clocks of this machine can be read and show no suspension.
func TestSystemClocks(t *testing.T) {
	c, err := suspend.NewClock()
	if err != nil {
		t.Fatal(err)
	}
	if got := c.Total(time.Now()); got > time.Minute {
		t.Errorf("suspended for %v", got)
	}
}
