// SPDX-License-Identifier: Apache-2.0

package notice

import "time"

// comeBackSpread is over which part of a rest callers return who were refused in it. They came
// all the time that it lasted: told its end alone they return in one moment, 31 times the
// usual load in its first tenth of a second (TestNoHerdWhenRestEnds). Over half of the rest it
// is three times the usual load for that long, and each waits a quarter of the rest longer;
// over all of it twice the load, and half of the rest.
const comeBackSpread = 0.5

// ComeBack returns after how long a caller may come back to a service all of whose targets rest
// or leave, by what holds for the one that may be used first: not before its rest is over, and
// not all callers at once. random is from 0 to 1.
func (s Standing) ComeBack(random float64) time.Duration {
	return s.Rest + time.Duration(random*comeBackSpread*float64(s.Whole))
}
