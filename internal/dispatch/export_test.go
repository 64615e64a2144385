// SPDX-License-Identifier: Apache-2.0

package dispatch

// Exceeds returns the probability that more than most of the events occur.
func Exceeds(events []float64, most float64) float64 { return exceeds(events, most) }
