// SPDX-License-Identifier: Apache-2.0

package dispatch

// ApproxShortProbability returns the same by its approximation for many targets.
func ApproxShortProbability(reached, idle []float64, floor float64) float64 {
	return approxShortProbability(reached, idle, floor)
}

// ShortProbability returns the probability that too few of the targets that count were reached.
func ShortProbability(reached, idle []float64, floor float64) float64 {
	return shortProbability(reached, idle, floor)
}
