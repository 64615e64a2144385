// SPDX-License-Identifier: Apache-2.0

package dispatch

import "time"

// The users judge windows of two seconds in which a tenth of the requests or more was
// not served: requests must have reached 70% of the targets that worked in the window
// and the two seconds before it. A loss of power ends a tenth of the requests with no sign
// before it, so that this must hold at any time.
const (
	// coverFloor is the share that must be reached.
	coverFloor = 0.7
	// coverSettled is how long a target must have worked to count: the window and the
	// time before it.
	coverSettled = 4 * time.Second
	// coverLeast is the probability of counting below which a target is left out of the
	// sum: many that surely fail would cost time and change nothing.
	coverLeast = 0.005
)

// coverage says which part of the targets that work has had some lately.
type coverage struct {
	// working is the expected number of targets that count, reached of those that got
	// work within spreadTime.
	working, reached float64
	// short is the probability that fewer than coverFloor were reached.
	short float64
}

// coverage returns the coverage at now.
func (d *Desk) coverage(now time.Time) coverage {
	var c coverage
	var idle []float64
	for _, t := range d.order {
		if t.Leaving {
			continue
		}
		p := t.steady(now)
		c.working += p
		switch {
		case now.Sub(t.granted) < spreadTime:
			c.reached += p
		case p >= coverLeast:
			idle = append(idle, p)
		}
	}
	c.short = exceeds(idle, c.reached*(1-coverFloor)/coverFloor)
	return c
}

// steady returns the probability that the target counts at now.
func (t *target) steady(now time.Time) float64 {
	if now.Before(t.gone) {
		return 0
	}
	return t.health.Steady(now, now.Add(-coverSettled))
}

// exceeds returns the probability that more than most of the events occur, which have
// these probabilities and don't depend on each other.
func exceeds(events []float64, most float64) float64 {
	if float64(len(events)) <= most {
		return 0
	}
	// counts[n] is the probability of n events so far.
	counts := make([]float64, int(most)+1)
	counts[0] = 1
	for _, p := range events {
		for n := len(counts) - 1; n > 0; n-- {
			counts[n] += p * (counts[n-1] - counts[n])
		}
		counts[0] *= 1 - p
	}
	left := 1.0
	for _, p := range counts {
		left -= p
	}
	return max(left, 0)
}
