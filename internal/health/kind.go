// SPDX-License-Identifier: Apache-2.0

package health

// Kind is what an attempt showed of its target.
type Kind uint8

// Kinds of ends.
const (
	// Good is an answer in the usual time.
	Good Kind = iota
	// Late is a good answer that took longer than nearly all others.
	Late
	// Quick is a failure before any work can have been done.
	Quick
	// Worked is a failure after about the time that an answer takes.
	Worked
	// Silent is no answer in a time in which nearly all others come.
	Silent
	// Open is no answer yet, or an attempt that was given up before its time was
	// over: only its age speaks.
	Open
	// Shed is a refusal in spite of free slots.
	Shed
	// Unreached is a connection that couldn't be opened.
	Unreached
)

// kinds is the number of kinds whose shares are learned: those before Open.
const kinds = int(Open)

// Evidence of kinds whose shares are not learned, as odds. A target that sheds may
// just be full; one node alone may have lost its way to a target, and avoids it
// itself.
const (
	oddsShed      = 2
	oddsUnreached = 6
)

// shares are the probabilities of the learned kinds.
type shares [kinds]float64

// counts are weighted counts of the learned kinds.
type counts [kinds]float64

func (c *counts) total() float64 {
	sum := 0.0
	for _, n := range c {
		sum += n
	}
	return sum
}

func (c *counts) decay(factor float64) {
	for k := range c {
		c[k] *= factor
	}
}

// withPrior returns the shares that the counts give with a guess that counts for weight.
func (c *counts) withPrior(prior *shares, weight float64) shares {
	var out shares
	all := c.total() + weight
	for k := range out {
		out[k] = (c[k] + weight*prior[k]) / all
	}
	return out
}
