// SPDX-License-Identifier: Apache-2.0

package source

import (
	"context"
	"math/rand/v2"
	"time"

	"ploverjunction.example/ploverjunction/internal/order"
	"ploverjunction.example/ploverjunction/internal/wire"
)

// Config holds the seams of a platform's run.
type Config struct {
	// Reader reports whether this process should read the platform now.
	Reader func() bool
	// Deliver gets values, and up to where all that the source told has been delivered with
	// them; heard is called with each good answer.
	Deliver func([]*wire.Entry, order.Position)
	Heard   func()
	// Known returns the newest entry of a key that the fleet has, which may be a removal,
	// or nil. Keys returns the keys with values.
	Known func(key string) *wire.Entry
	Keys  func() []string
	// Era returns the greatest era of the source that the fleet knows.
	Era func() uint64
	// Behind returns the keys whose values the fleet knows from earlier eras only, Withheld
	// those that the source has though they were removed before it was restored.
	Behind   func(era uint64) []string
	Withheld func() []string
	// Age returns how long ago any process of the fleet heard the source.
	Age func() time.Duration
	// Failed gets each failure.
	Failed func(error)
	// Reread gets each read of all values.
	Reread func(Reread)
}

// Reread is a read of all values.
type Reread struct {
	// Reason says why changes alone were not enough.
	Reason string
	// Before is up to where the source was read until then, After up to where it is now.
	Before order.Position
	After  order.Position
}

// Intervals are the times of a reader.
type Intervals struct {
	// Role is how often a process that isn't a reader asks whether it is.
	Role time.Duration
	// Pace is the least time from the begin of one step to the next, 0 for none.
	Pace time.Duration
	// RetryFirst is the wait after a first failure; it doubles up to RetryMost.
	RetryFirst time.Duration
	RetryMost  time.Duration
}

// Follow makes one step after another while this process is a reader, until the
// context ends. After failures it waits, ever longer and by chance, so that a
// platform that comes back isn't met by the whole fleet at once.
func Follow(ctx context.Context, cfg Config, b Intervals, step func(ctx context.Context) error) error {
	wait := b.RetryFirst
	for ctx.Err() == nil {
		if !cfg.Reader() {
			pause(ctx, b.Role)
			continue
		}
		begun := time.Now()
		err := step(ctx)
		if err != nil {
			if ctx.Err() == nil {
				cfg.Failed(err)
			}
			pause(ctx, wait/2+rand.N(wait))
			wait = min(wait*2, b.RetryMost)
			continue
		}
		wait = b.RetryFirst
		pause(ctx, b.Pace-time.Since(begun))
	}
	return nil
}

func pause(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
