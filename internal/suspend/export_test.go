// SPDX-License-Identifier: Apache-2.0

package suspend

import "time"

// NewClockOf returns a clock that uses read for the offset of the clocks.
func NewClockOf(read func() time.Duration) *Clock {
	c, err := newClock(func() (time.Duration, error) { return read(), nil })
	if err != nil {
		panic(err)
	}
	return c
}
