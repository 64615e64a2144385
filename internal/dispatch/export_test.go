// SPDX-License-Identifier: Apache-2.0

package dispatch

import "time"

// ApproxShortProbability exports approxShortProbability to the tests.
func ApproxShortProbability(reached, idle []float64, floor float64) float64 {
	return approxShortProbability(reached, idle, floor)
}

// ShortProbability exports shortProbability to the tests.
func ShortProbability(reached, idle []float64, floor float64) float64 {
	return shortProbability(reached, idle, floor)
}

// SlotsShort exports slotsShort to the tests.
func (d *Scheduler) SlotsShort(now time.Time) bool { return d.slotsShort(now) }

// WorkspaceStates returns the number of workspaces and priorities that have state.
func (d *Scheduler) WorkspaceStates() int { return len(d.queue.shares.flows) }

// SizeClass exports sizeClass to the tests.
func SizeClass(kilobytes int) int { return sizeClass(kilobytes) }

// InFlight reports whether an attempt is granted and has not ended.
func (d *Scheduler) InFlight(id ID) bool {
	_, ok := d.granted[id]
	return ok
}

// Foreign returns the slots that the work of others takes at each target, without effect on the
// scheduler.
func (d *Scheduler) Foreign(now time.Time) []int {
	var out []int
	for _, t := range d.order {
		out = append(out, t.load.foreignWork(now, t.Slots))
	}
	return out
}
