// SPDX-License-Identifier: Apache-2.0

package dispatch

// ApproxShortProbability exports approxShortProbability to the tests.
func ApproxShortProbability(reached, idle []float64, floor float64) float64 {
	return approxShortProbability(reached, idle, floor)
}

// ShortProbability exports shortProbability to the tests.
func ShortProbability(reached, idle []float64, floor float64) float64 {
	return shortProbability(reached, idle, floor)
}
