// SPDX-License-Identifier: Apache-2.0

package source

import (
	"context"
	"math/rand/v2"
	"time"

	"ploverjunction.example/ploverjunction/internal/order"
	"ploverjunction.example/ploverjunction/internal/wire"
)

// Config holds the dependencies of a source's run.
type Config struct {
	// Reader reports whether this process currently has the role to read the platform.
	Reader func() bool
	// Deliver is called with values, and the position of the source up to which everything has
	// been delivered with them; Answered is called on each good answer.
	Deliver  func([]*wire.Entry, order.Position)
	Answered func()
	// Newest returns the newest entry of a key in the local copy, which may be a removal, or
	// nil. Keys returns the keys with values.
	Newest func(key string) *wire.Entry
	Keys   func() []string
	// Era returns the greatest era of any value in the local copy.
	Era func() uint64
	// EarlierEra returns the keys whose values are from earlier eras, Withheld those that the
	// source holds again after a restore although their values had been removed.
	EarlierEra func(era uint64) []string
	Withheld   func() []string
	// ContactAge returns the time since any process of the fleet received an answer of the source.
	ContactAge func() time.Duration
	// Failed is called with each failure.
	Failed func(error)
	// FullRead is called with each full read.
	FullRead func(FullRead)
}

// FullRead describes a full read: a read of all values.
type FullRead struct {
	// Reason is why reading the changes was not enough.
	Reason string
	// Before and After are the positions up to which the source was read before and after it.
	Before order.Position
	After  order.Position
}

// Intervals are the times of a reader.
type Intervals struct {
	// Role is the interval at which a process that isn't a reader checks whether it is.
	Role time.Duration
	// MinStepInterval is the least time between the starts of two steps, 0 for none.
	MinStepInterval time.Duration
	// RetryFirst is the mean wait after a first failure; it doubles up to RetryMax.
	RetryFirst time.Duration
	RetryMax   time.Duration
}

// Follow runs one step after another while this process is a reader, until the
// context ends. After failures it backs off exponentially with jitter, so that a
// platform that recovers doesn't get calls of the whole fleet at once.
func Follow(ctx context.Context, cfg Config, b Intervals, step func(ctx context.Context) error) error {
	wait := b.RetryFirst
	for ctx.Err() == nil {
		if !cfg.Reader() {
			pause(ctx, b.Role)
			continue
		}
		start := time.Now()
		err := step(ctx)
		if err != nil {
			if ctx.Err() == nil {
				cfg.Failed(err)
			}
			pause(ctx, wait/2+rand.N(wait))
			wait = min(wait*2, b.RetryMax)
			continue
		}
		wait = b.RetryFirst
		pause(ctx, b.MinStepInterval-time.Since(start))
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
