// SPDX-License-Identifier: Apache-2.0

package dispatch

import (
	"maps"
	"slices"
)

// partitionMinTargets is how many targets of a service each data hall must have for the service to be
// divided by data halls: with fewer, too many requests find no free slot in their own part.
// Messages of a divided service stay in their data hall, and no dispatcher has all targets.
const partitionMinTargets = 30

// Divide returns the data halls by which the targets of a service are divided, sorted: each
// has a desk of its own. It returns nil where one desk should have them all. All nodes
// must come to the same answer, so that it depends on the published targets alone, of which
// count says how many each data hall has.
func Divide(count map[string]int) []string {
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
