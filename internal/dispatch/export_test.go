// SPDX-License-Identifier: Apache-2.0

package dispatch

// TooFew returns the probability that too few of the targets that count were reached.
func TooFew(reached, idle []float64, floor float64) float64 { return tooFew(reached, idle, floor) }
