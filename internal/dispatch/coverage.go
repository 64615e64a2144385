// SPDX-License-Identifier: Apache-2.0

package dispatch

import (
	"math"
	"time"
)

// Parameters of the coverage. The users evaluate windows of 2 s in which at least a tenth of the
// requests was not served: requests must have reached a share of the targets, the floor, of those
// that worked in the window and in the 2 s before it. A loss of power ends a tenth of the requests
// without warning, so the floor must hold at any time.
const (
	// defaultFloor is the floor until SetFloor is called: the users' floor.
	defaultFloor = 0.7
	// coverSettled is how long a target must have worked to count: the window and the time before
	// it.
	coverSettled = 4 * time.Second
	// coverMinProbability is the probability of counting below which a target is left out of the
	// sum: many targets that surely fail would cost time and change nothing.
	coverMinProbability = 0.005
	// coverInterval is how long a coverage is cached while no idle target gets work.
	coverInterval = 20 * time.Millisecond
)

// shortPrice is the cost, in the unit of the choice, of a coverage below the floor when a tenth of
// the requests is lost.
const shortPrice = 50

// exactMaxTargets is the number of targets up to which the probability of a coverage below the floor
// is calculated exactly, in quadratic time.
const exactMaxTargets = 150

// trialMinGain is the coverage gain from which a grant counts as a trial request: more than the
// extra cost of a full target.
const trialMinGain = 0.05

// coverage estimates what share of the working targets have had recent work.
type coverage struct {
	// working is the expected number of targets that count, reached the expected number of those
	// that got work within spreadTime.
	working, reached float64
	// shortProbability is the probability that fewer targets were reached than the floor requires.
	shortProbability float64
	// price is the value of granting one more target that certainly counts.
	price float64
	at    time.Time
}

// SetFloor sets the floor: the share, from 0 to 1, of the working targets that should have had work
// within the last 1.5 s.
func (d *Scheduler) SetFloor(floor float64) { d.floor = floor }

// coverage returns the coverage at now and updates the uncovered probability of each target.
func (d *Scheduler) coverage(now time.Time) *coverage {
	c := &d.lastCoverage
	if past := now.Sub(c.at); past >= 0 && past < coverInterval {
		return c
	}
	*c = coverage{
		at: now,
	}
	var reached, idle []float64
	for _, t := range d.order {
		t.uncovered = 0
		if t.drains(now) {
			continue
		}
		p := t.settledProbability(now)
		if p < coverMinProbability {
			continue
		}
		c.working += p
		if t.usedRecently(now) {
			c.reached += p
			reached = append(reached, p)
		} else {
			idle = append(idle, p)
			t.uncovered = p
		}
	}
	c.shortProbability = shortProbability(reached, idle, d.floor)
	c.price = shortPrice * c.shortProbability * d.headroom(now, c.working)
	return c
}

// headroom returns, from 0 to 1, how easily the arriving requests keep the floor within spreadTime;
// 0 where they are too few. They are counted over the window of the retry budget, so that a new
// scheduler first learns their rate.
func (d *Scheduler) headroom(now time.Time, working float64) float64 {
	d.window.advance(now, d.started, d.budget)
	own, _ := d.window.sums()
	others, _ := d.remote.sums(now, d.budget)
	arrivals := (own + others) * spreadTime.Seconds() / d.budget.Window.Seconds()
	return min(max(arrivals/max(d.floor*working, 1)-1, 0), 1)
}

// coverageGain returns the value of granting the target for the coverage: the price, weighted by the
// probability that the target should have had work. Retries have no gain, because they are the final
// attempts of their requests.
func (d *Scheduler) coverageGain(now time.Time, t *target, a *Request) float64 {
	price := d.coverage(now).price
	if a.Retry || len(t.flights) >= d.slots(now, t) {
		return 0
	}
	return price * t.uncovered
}

// shortProbability returns the probability that the reached targets that count are fewer than the
// floor requires of all that count. Both lists hold the targets' probabilities to count.
func shortProbability(reached, idle []float64, floor float64) float64 {
	if floor <= 0 {
		return 0
	}
	if len(reached)+len(idle) > exactMaxTargets {
		return approxShortProbability(reached, idle, floor)
	}
	// allowed is the number of targets that may be missed for each one reached.
	allowed := (1 - floor) / floor
	maxMissed := int(min(float64(len(reached))*allowed, float64(len(idle)))) + 1
	missed := distribution(idle, min(len(idle), maxMissed))
	few := 0.0
	for n, p := range distribution(reached, len(reached)) {
		few += p * probabilityAbove(missed, float64(n)*allowed)
	}
	return few
}

// approxShortProbability approximates shortProbability in linear time: by the central limit theorem
// the number of missed targets less those allowed is approximately normal.
func approxShortProbability(reached, idle []float64, floor float64) float64 {
	allowed := (1 - floor) / floor
	mean, variance := 0.0, 0.0
	for _, p := range idle {
		mean += p
		variance += p * (1 - p)
	}
	for _, p := range reached {
		mean -= allowed * p
		variance += allowed * allowed * p * (1 - p)
	}
	if variance == 0 {
		variance = math.SmallestNonzeroFloat32
	}
	return math.Erfc(-mean/math.Sqrt(2*variance)) / 2
}

// distribution returns the probabilities that 0, 1 and so on up to limit of the independent events
// occur, given their probabilities.
func distribution(events []float64, limit int) []float64 {
	out := make([]float64, limit+1)
	out[0] = 1
	for _, p := range events {
		for n := limit; n > 0; n-- {
			out[n] += p * (out[n-1] - out[n])
		}
		out[0] *= 1 - p
	}
	return out
}

// probabilityAbove returns the probability of more than limit events.
func probabilityAbove(distribution []float64, limit float64) float64 {
	left := 1.0
	for n, p := range distribution {
		if float64(n) <= limit {
			left -= p
		}
	}
	return max(left, 0)
}
