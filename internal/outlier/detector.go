// SPDX-License-Identifier: Apache-2.0

package outlier

import (
	"maps"
	"math"
	"time"

	"ploverjunction.example/ploverjunction/internal/policy"
)

// Parameters of the detector. Shares are shares of bad requests.
const (
	// minBadShare is the share that is always tolerated in a healthy target.
	minBadShare = 0.02
	// minSickShare is the smallest share expected of a sick target.
	minSickShare = 0.3
	// sickFactor is the ratio of a sick target's share to that of its pool.
	sickFactor = 3
	// maxSickShare bounds the sick share, so that good requests remain finite evidence.
	maxSickShare = 0.9
	// commonCauseShare is the share in the rest of the pool from which a cause
	// outside the targets is likelier than one more sick target. It is above one
	// half because the loss of a data hall fails a third of a pool or more, and
	// those targets must be ejected.
	commonCauseShare = 0.6
	// commonCauseTargets is the corresponding share of the other targets whose last
	// requests were mostly bad. With little traffic it is reached sooner than the
	// share of requests.
	commonCauseTargets = 0.5
	// poolMemory is the time constant of the pool's baseline share, recentMemory
	// that of its recent share, which shows a cause that affects the whole pool at
	// once.
	poolMemory   = 20 * time.Second
	recentMemory = 750 * time.Millisecond
	// poolPrior and recentPrior are the numbers of requests that the prior
	// minBadShare counts for.
	poolPrior   = 10
	recentPrior = 4
	// maxTickGain is the largest gain of one tick, as a fraction of the threshold.
	// Requests of one tick often share a short cause, such as a pause of the target.
	maxTickGain = 0.45
	// maxScore bounds the score, in thresholds, so that a target can recover.
	maxScore = 2
)

// Counts are requests to one target in one tick.
type Counts struct {
	Target  string
	Good    float64
	Bad     float64
	Stalled float64
	// Draining is set when the target signaled that it is draining.
	Draining bool
}

// add adds the requests of o and leaves the target unchanged.
func (c *Counts) add(o Counts) {
	c.Good += o.Good
	c.Bad += o.Bad
	c.Stalled += o.Stalled
	c.Draining = c.Draining || o.Draining
}

// decayedCounts counts requests with exponential decay.
type decayedCounts struct {
	good float64
	bad  float64
}

func (t *decayedCounts) add(c *Counts) {
	t.good += c.Good
	t.bad += c.Bad
}

// decay applies the decay of an elapsed time; memory is the time constant.
func (t *decayedCounts) decay(elapsed, memory time.Duration) {
	factor := math.Exp(-elapsed.Seconds() / memory.Seconds())
	t.good *= factor
	t.bad *= factor
}

// without returns the counts less those of one target.
func (t *decayedCounts) without(target decayedCounts) decayedCounts {
	return decayedCounts{
		good: max(t.good-target.good, 0),
		bad:  max(t.bad-target.bad, 0),
	}
}

// badShare returns the share of bad requests, with minBadShare as the prior that
// counts for prior requests.
func (t decayedCounts) badShare(prior float64) float64 {
	return (t.bad + minBadShare*prior) / (t.good + t.bad + prior)
}

// targetScore is the detector's state of one target.
type targetScore struct {
	score    float64
	baseline decayedCounts
	recent   decayedCounts
	stalled  float64
	// lastBad is set if at least half of the requests were bad in the last tick
	// that had any.
	lastBad bool
	// carry is the gain beyond the bound of one tick. It counts in later ticks until
	// the target serves a good request.
	carry float64
}

// Detector scores the targets of one service. It isn't safe for concurrent use.
type Detector struct {
	threshold float64
	targets   map[string]*targetScore
	// carrying is the set of targets with a carry for later ticks.
	carrying map[string]bool
	baseline decayedCounts
	recent   decayedCounts
	// failingTargets is the number of targets with lastBad set.
	failingTargets int
	updatedAt      time.Time
}

// NewDetector returns a detector for a service. threshold is the score at which a
// target counts as sick: a higher one lowers the false-alarm rate and lengthens
// the detection time.
func NewDetector(threshold float64) *Detector {
	return &Detector{
		threshold: threshold,
		targets:   map[string]*targetScore{},
		carrying:  map[string]bool{},
	}
}

// Idle reports whether a tick without counts would leave all scores unchanged.
func (d *Detector) Idle() bool {
	return len(d.carrying) == 0
}

// Update updates the scores from the counts of one tick.
func (d *Detector) Update(now time.Time, tick []Counts) {
	d.decay(now)
	silent := maps.Clone(d.carrying)
	for i := range tick {
		d.record(&tick[i])
	}
	for i := range tick {
		delete(silent, tick[i].Target)
		d.updateScore(&tick[i])
	}
	for target := range silent {
		d.updateScore(&Counts{
			Target: target,
		})
	}
}

// decay applies the decay since the last update to all counts.
func (d *Detector) decay(now time.Time) {
	if !d.updatedAt.IsZero() {
		elapsed := now.Sub(d.updatedAt)
		d.baseline.decay(elapsed, poolMemory)
		d.recent.decay(elapsed, recentMemory)
		for _, t := range d.targets {
			t.baseline.decay(elapsed, poolMemory)
			t.recent.decay(elapsed, recentMemory)
			t.stalled *= math.Exp(-elapsed.Seconds() / poolMemory.Seconds())
		}
	}
	d.updatedAt = now
}

// updateScore adds the log-likelihood ratio of c to its target's CUSUM.
func (d *Detector) updateScore(c *Counts) {
	t := d.target(c.Target)
	healthy := d.othersBadShare(t)
	if healthy >= commonCauseShare || d.failingShare(t) >= commonCauseTargets {
		// The target cannot be distinguished from the others: a common cause is likelier.
		t.carry = 0
		delete(d.carrying, c.Target)
		return
	}
	sick := min(max(minSickShare, sickFactor*healthy), maxSickShare)
	gain := c.Bad*math.Log(sick/healthy) + c.Good*math.Log((1-sick)/(1-healthy))
	delete(d.carrying, c.Target)
	if c.Good > 0 {
		t.carry = 0
	}
	gain += t.carry
	limit := maxTickGain * d.threshold
	t.carry = min(max(gain-limit, 0), d.threshold)
	if t.carry > 0 {
		d.carrying[c.Target] = true
	}
	gain = min(gain, limit)
	t.score = min(max(t.score+gain, 0), maxScore*d.threshold)
}

// othersBadShare returns the share of bad requests at all other targets: the larger
// of baseline and recent share, but at least minBadShare.
func (d *Detector) othersBadShare(t *targetScore) float64 {
	return max(
		d.baseline.without(t.baseline).badShare(poolPrior),
		d.recent.without(t.recent).badShare(recentPrior),
		minBadShare,
	)
}

// failingShare returns the share of the other targets with lastBad set.
func (d *Detector) failingShare(t *targetScore) float64 {
	others := len(d.targets) - 1
	if others < 1 {
		return 0
	}
	bad := d.failingTargets
	if t.lastBad {
		bad--
	}
	return float64(bad) / float64(others)
}

// setLastBad sets lastBad of a target and maintains failingTargets.
func (d *Detector) setLastBad(t *targetScore, bad bool) {
	if t.lastBad == bad {
		return
	}
	t.lastBad = bad
	if bad {
		d.failingTargets++
	} else {
		d.failingTargets--
	}
}

// remove deletes the state of a target.
func (d *Detector) remove(target string) {
	if t := d.targets[target]; t != nil {
		d.setLastBad(t, false)
	}
	delete(d.targets, target)
	delete(d.carrying, target)
}

// record adds c to the counts of its target and of the pool.
func (d *Detector) record(c *Counts) {
	t := d.target(c.Target)
	if c.Good+c.Bad > 0 {
		d.setLastBad(t, c.Bad >= c.Good)
	}
	t.baseline.add(c)
	t.recent.add(c)
	t.stalled += c.Stalled
	d.baseline.add(c)
	d.recent.add(c)
}

// target returns the state of a target and creates it if it is new.
func (d *Detector) target(target string) *targetScore {
	t := d.targets[target]
	if t == nil {
		t = &targetScore{}
		d.targets[target] = t
	}
	return t
}

// Score holds the score and the decayed counts of one target.
type Score struct {
	Score   float64
	Good    float64
	Bad     float64
	Stalled float64
}

// Health returns the score as variables of a policy. threshold is the service's;
// reporters and dataHalls count the sources of the evidence.
func (s Score) Health(threshold float64, reporters, dataHalls int) policy.Health {
	return policy.Health{
		Score:     s.Score,
		Threshold: threshold,
		Good:      s.Good,
		Bad:       s.Bad,
		Stalled:   s.Stalled,
		Reporters: reporters,
		DataHalls: dataHalls,
	}
}

// Score returns the score of a target, or the zero value for an unknown one.
func (d *Detector) Score(target string) Score {
	t := d.targets[target]
	if t == nil {
		return Score{}
	}
	return Score{
		Score:   t.score,
		Good:    t.baseline.good,
		Bad:     t.baseline.bad,
		Stalled: t.stalled,
	}
}

// Reset removes a target, as after an ejection, and its counts from the baseline
// of the pool. They remain in the recent share, which decays soon: when several
// targets are ejected in a row, a common cause is likelier.
func (d *Detector) Reset(target string) {
	t := d.targets[target]
	if t == nil {
		return
	}
	d.baseline = d.baseline.without(t.baseline)
	d.remove(target)
}

// Retain removes all targets that are not in the set.
func (d *Detector) Retain(targets map[string]bool) {
	for name := range d.targets {
		if !targets[name] {
			d.remove(name)
		}
	}
}

// Threshold returns the score at which a target counts as sick.
func (d *Detector) Threshold() float64 { return d.threshold }
