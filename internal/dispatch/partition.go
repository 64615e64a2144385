// SPDX-License-Identifier: Apache-2.0

package dispatch

import (
	"maps"
	"slices"
)

// Sizes that each data hall must have for a service to be partitioned by data halls.
const (
	// partitionMinTargets is the number of targets that suffices: with fewer, too many requests find no
	// free slot in their own partition. Messages of a partitioned service stay in their data hall, and
	// no dispatcher handles all targets.
	partitionMinTargets = 30
	// partitionSpreadTargets is the number of targets that is required where the setting for slots
	// decides: with fewer, the failure of a few targets takes a large share of a partition. Three in
	// ten of 12 targets leave 8 for a request and its retries.
	partitionSpreadTargets = 12
)

// HallSize is the size of a service in one data hall: the numbers of its published targets and of
// their slots.
type HallSize struct {
	Targets int
	Slots   int
}

// Partition returns the data halls by which the targets of a service are partitioned, sorted, or nil
// where one scheduler should handle them all. Each partition has its own scheduler. With minSlots
// above 0, a data hall is also large enough with that many slots and partitionSpreadTargets targets.
// The result depends only on the arguments, because all nodes must get the same one.
func Partition(sizes map[string]HallSize, minSlots int) []string {
	if len(sizes) < 2 {
		return nil
	}
	for _, s := range sizes {
		bySlots := minSlots > 0 && s.Slots >= minSlots && s.Targets >= partitionSpreadTargets
		if s.Targets < partitionMinTargets && !bySlots {
			return nil
		}
	}
	return slices.Sorted(maps.Keys(sizes))
}
