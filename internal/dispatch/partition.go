// SPDX-License-Identifier: Apache-2.0

package dispatch

import (
	"maps"
	"slices"
)

// partitionMinTargets is the number of targets of a service that each data hall must have for the
// service to be partitioned by data halls: with fewer, too many requests find no free slot in their
// own partition. Messages of a partitioned service stay in their data hall, and no dispatcher
// handles all targets.
const partitionMinTargets = 30

// Partition returns the data halls by which the targets of a service are partitioned, sorted, or nil
// where one scheduler should handle them all. Each partition has its own scheduler. The result
// depends only on count, the number of published targets by data hall, because all nodes must get
// the same one.
func Partition(count map[string]int) []string {
	if len(count) < 2 {
		return nil
	}
	for _, n := range count {
		if n < partitionMinTargets {
			return nil
		}
	}
	return slices.Sorted(maps.Keys(count))
}
