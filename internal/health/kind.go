// SPDX-License-Identifier: Apache-2.0

package health

// Kind classifies the result of an attempt as evidence about its target.
type Kind uint8

// Kinds of results.
const (
	// Good is a good answer within the usual latency.
	Good Kind = iota
	// Late is a good answer slower than nearly all others.
	Late
	// Immediate is a failure before any work can have been done.
	Immediate
	// AfterWork is a failure after about the latency of an answer.
	AfterWork
	// Silent is no answer in a time within which nearly all others arrive.
	Silent
	// Open is an attempt in flight, or one that was abandoned before its deadline:
	// only its age is evidence.
	Open
	// Shed is a refusal although slots are free.
	Shed
	// Unreached is a failure to connect.
	Unreached
)

// kinds is the number of kinds with learned shares: those before Open.
const kinds = int(Open)

// Likelihood ratios, failing to working, of kinds without learned shares. They are
// low because a target that sheds may just be full, and a single node whose own link
// to a target is lost avoids it by itself.
const (
	oddsShed      = 2
	oddsUnreached = 6
)

// shares holds the probabilities of the learned kinds.
type shares [kinds]float64

// counts holds decayed counts of the learned kinds.
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

// withPrior returns the shares of the counts, with a prior that counts for weight
// observations.
func (c *counts) withPrior(prior *shares, weight float64) shares {
	var out shares
	all := c.total() + weight
	for k := range out {
		out[k] = (c[k] + weight*prior[k]) / all
	}
	return out
}
