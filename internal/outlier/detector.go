// SPDX-License-Identifier: Apache-2.0

package outlier

import (
	"maps"
	"math"
	"time"

	"ploverjunction.example/ploverjunction/internal/policy"
)

// Parameters of the test. Shares are shares of bad requests.
const (
	// minBadShare is the share that a healthy target is always allowed.
	minBadShare = 0.02
	// minSickShare is the smallest share that counts as sick.
	minSickShare = 0.3
	// sickFactor is how many times worse than its pool a sick target is.
	sickFactor = 3
	// maxSickShare bounds the sick share, so that good requests stay finite evidence.
	maxSickShare = 0.9
	// commonCauseShare is the share of the rest of the pool above which a cause
	// outside the targets is likelier than one more sick target. It lies above a
	// half: a data hall that is lost takes a third of a pool or more with it, and
	// those targets must go.
	commonCauseShare = 0.6
	// commonCauseTargets is the same for the share of the other targets whose last
	// requests went badly. A node with little traffic sees it sooner than a share
	// of requests.
	commonCauseTargets = 0.5
	// poolMemory is the time constant of the pool's usual share, recentMemory
	// that of its recent share. A cause that meets the whole pool at once shows
	// in the recent one.
	poolMemory   = 20 * time.Second
	recentMemory = 750 * time.Millisecond
	// poolPrior and recentPrior are how many requests the expectation
	// leastHealthy stands for.
	poolPrior   = 10
	recentPrior = 4
	// maxTickGain is the part of the threshold that one tick may add. Requests of
	// one tick often share one short cause, such as a pause of the target.
	maxTickGain = 0.45
	// maxScore bounds the score in thresholds, so that recovery stays possible.
	maxScore = 2
)

// Counts are requests to one target in one tick.
type Counts struct {
	Target  string
	Good    float64
	Bad     float64
	Stalled float64
	// Leaving is set when the target said that it is leaving.
	Leaving bool
}

// add adds the requests of o; the target stays.
func (c *Counts) add(o Counts) {
	c.Good += o.Good
	c.Bad += o.Bad
	c.Stalled += o.Stalled
	c.Leaving = c.Leaving || o.Leaving
}

// decayedCounts counts requests that fade with time.
type decayedCounts struct {
	good float64
	bad  float64
}

func (t *decayedCounts) add(c *Counts) {
	t.good += c.Good
	t.bad += c.Bad
}

// decay lets time pass; memory is the time constant.
func (t *decayedCounts) decay(elapsed, memory time.Duration) {
	factor := math.Exp(-elapsed.Seconds() / memory.Seconds())
	t.good *= factor
	t.bad *= factor
}

// without returns the tally less that of one of its parts.
func (t *decayedCounts) without(part decayedCounts) decayedCounts {
	return decayedCounts{
		good: max(t.good-part.good, 0),
		bad:  max(t.bad-part.bad, 0),
	}
}

// badShare returns the bad share, drawn to leastHealthy by prior requests.
func (t decayedCounts) badShare(prior float64) float64 {
	return (t.bad + minBadShare*prior) / (t.good + t.bad + prior)
}

// targetScore is the state of one target.
type targetScore struct {
	score    float64
	baseline decayedCounts
	recent   decayedCounts
	stalled  float64
	// lastBad is set if most requests of the last tick with any were bad.
	lastBad bool
	// carry is evidence beyond what one tick may add. It counts in later ticks
	// unless the target does good work.
	carry float64
}

// Detector scores the targets of one service. It isn't safe for concurrent use.
type Detector struct {
	threshold float64
	targets   map[string]*targetScore
	// carrying are the targets with evidence left for later ticks.
	carrying map[string]bool
	baseline decayedCounts
	recent   decayedCounts
	// failingTargets is the number of targets whose last requests went badly.
	failingTargets int
	updatedAt      time.Time
}

// NewDetector returns a detector for a service. threshold is the score at which
// evidence is strong: the false-alarm rate falls and the detection time grows
// with it.
func NewDetector(threshold float64) *Detector {
	return &Detector{
		threshold: threshold,
		targets:   map[string]*targetScore{},
		carrying:  map[string]bool{},
	}
}

// Idle reports whether a tick without counts would change nothing.
func (d *Detector) Idle() bool {
	return len(d.carrying) == 0
}

// Update takes the counts of one tick.
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

// decay lets old counts fade.
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

func (d *Detector) updateScore(c *Counts) {
	t := d.target(c.Target)
	healthy := d.othersBadShare(t)
	if healthy >= commonCauseShare || d.failingShare(t) >= commonCauseTargets {
		// Nothing tells this target from the others now.
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

// othersBadShare returns the bad share of all other targets, usual or recent,
// whichever is worse, and at least leastHealthy.
func (d *Detector) othersBadShare(t *targetScore) float64 {
	return max(
		d.baseline.without(t.baseline).badShare(poolPrior),
		d.recent.without(t.recent).badShare(recentPrior),
		minBadShare,
	)
}

// failingShare returns the share of the other targets whose last requests went badly.
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

// setLastBad keeps count of the targets whose last requests went badly.
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

// remove forgets a target.
func (d *Detector) remove(target string) {
	if t := d.targets[target]; t != nil {
		d.setLastBad(t, false)
	}
	delete(d.targets, target)
	delete(d.carrying, target)
}

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

func (d *Detector) target(target string) *targetScore {
	t := d.targets[target]
	if t == nil {
		t = &targetScore{}
		d.targets[target] = t
	}
	return t
}

// Reading is what a detector holds of one target.
type Reading struct {
	Score   float64
	Good    float64
	Bad     float64
	Stalled float64
}

// Health returns the reading as a policy sees it. threshold is the service's;
// reporters and dataHalls count the sources of the evidence.
func (r Reading) Health(threshold float64, reporters, dataHalls int) policy.Health {
	return policy.Health{
		Score:     r.Score,
		Threshold: threshold,
		Good:      r.Good,
		Bad:       r.Bad,
		Stalled:   r.Stalled,
		Reporters: reporters,
		DataHalls: dataHalls,
	}
}

// Read returns the reading of a target; the zero value for an unknown one.
func (d *Detector) Read(target string) Reading {
	t := d.targets[target]
	if t == nil {
		return Reading{}
	}
	return Reading{
		Score:   t.score,
		Good:    t.baseline.good,
		Bad:     t.baseline.bad,
		Stalled: t.stalled,
	}
}

// Reset forgets a target, as after an ejection: what it did no longer says what
// is usual in its pool. It stays in the recent share for its short memory: when
// one target after another goes, a common cause is the likelier.
func (d *Detector) Reset(target string) {
	t := d.targets[target]
	if t == nil {
		return
	}
	d.baseline = d.baseline.without(t.baseline)
	d.remove(target)
}

// Keep drops all targets that are not in the set.
func (d *Detector) Keep(targets map[string]bool) {
	for name := range d.targets {
		if !targets[name] {
			d.remove(name)
		}
	}
}

// Threshold returns the score at which evidence is strong.
func (d *Detector) Threshold() float64 { return d.threshold }
