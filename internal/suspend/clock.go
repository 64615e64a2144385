// SPDX-License-Identifier: Apache-2.0

// Package suspend measures how long the machine of this process has been suspended. The
// monotonic clock stops meanwhile, so that data received before the suspension would seem
// to be recent after it.
package suspend

import (
	"fmt"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// sampleInterval is the maximum age of a sample of the clocks: a node computes ages for each
// datagram, four for each request, and reading two clocks costs as much as encoding one.
const sampleInterval = 10 * time.Millisecond

// Clock measures how long the machine was suspended. It is safe for concurrent use.
type Clock struct {
	started time.Time
	// initial is the result of read at the start.
	initial time.Duration
	// read returns by how much the clock that includes suspended time is ahead of the one
	// that doesn't. It is nil if the system has no such clock.
	read func() (time.Duration, error)
	// sampled is when read was last called, in nanoseconds since started; total is the
	// greatest suspended time measured, in nanoseconds.
	sampled atomic.Int64
	total   atomic.Int64
}

// NewClock returns a clock that starts at 0. If the system has no clock that includes
// suspended time, it returns an error and a clock that assumes none.
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

// Since returns the time since the clock started, suspended time included.
func (c *Clock) Since(now time.Time) time.Duration { return now.Sub(c.started) + c.Total(now) }

// Total returns how long the machine was suspended since the clock started. It never
// decreases.
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
	// NewClock has read both clocks, so an error isn't expected.
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

// clockOffset returns by how much CLOCK_BOOTTIME is ahead of CLOCK_MONOTONIC.
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
