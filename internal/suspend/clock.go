// SPDX-License-Identifier: Apache-2.0

// Package suspend tells for how long the machine of this process has been suspended. The
// clock by which processes measure ages stands still meanwhile, so that what was heard before
// seems to be new after it.
package suspend

import (
	"fmt"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// sampleInterval is how old a sample of the clocks may be: a node looks at ages with each
// datagram, four for each request, and two clocks cost as much as a datagram's encoding.
const sampleInterval = 10 * time.Millisecond

// Clock measures the time for which the machine was suspended. It may be used concurrently.
type Clock struct {
	started time.Time
	// initial is what read gave at the beginning.
	initial time.Duration
	// read is nil where the system has no such clock. It returns by how much the clock that counts suspended time is ahead of the one that
	// doesn't.
	read func() (time.Duration, error)
	// sampled is when read was last called, as the time since begun, total what it gave then.
	sampled atomic.Int64
	total   atomic.Int64
}

// NewClock returns a clock that begins at 0. Where the system has no clock that counts
// suspended time it returns an error and one that takes it for 0.
func NewClock() (*Clock, error) { return newClock(clockOffset) }

func newClock(read func() (time.Duration, error)) (*Clock, error) {
	c := &Clock{
		started: time.Now(),
	}
	first, err := read()
	if err != nil {
		return c, fmt.Errorf("suspend: %w", err)
	}
	c.initial, c.read = first, read
	return c, nil
}

// Since returns the time since the clock began, suspended time included.
func (c *Clock) Since(now time.Time) time.Duration { return now.Sub(c.started) + c.Total(now) }

// Total returns for how long the machine was suspended since the clock began. It never
// shrinks.
func (c *Clock) Total(now time.Time) time.Duration {
	if c.read == nil {
		return 0
	}
	total := time.Duration(c.total.Load())
	at := int64(now.Sub(c.started))
	if last := c.sampled.Load(); last != 0 && at-last < int64(sampleInterval) {
		return total
	}
	c.sampled.Store(max(at, 1))
	// NewClock has read both clocks; they don't go away.
	read, err := c.read()
	if err != nil {
		return total
	}
	for read-c.initial > total {
		if c.total.CompareAndSwap(int64(total), int64(read-c.initial)) {
			return read - c.initial
		}
		total = time.Duration(c.total.Load())
	}
	return total
}

// clockOffset reads the system's clocks.
func clockOffset() (time.Duration, error) {
	var monotonic, bootTime unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &monotonic); err != nil {
		return 0, err
	}
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &bootTime); err != nil {
		return 0, err
	}
	return time.Duration(bootTime.Nano() - monotonic.Nano()), nil
}
