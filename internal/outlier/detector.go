// SPDX-License-Identifier: Apache-2.0

package outlier

import (
	"maps"
	"math"
	"time"
)

// Parameters of the test. Shares are shares of bad requests.
const (
	// leastHealthy is the share that a healthy target is always allowed.
	leastHealthy = 0.02
	// leastSick is the smallest share that counts as sick.
	leastSick = 0.3
	// sickFactor is how many times worse than its pool a sick target is.
	sickFactor = 3
	// mostSick bounds the sick share, so that good requests stay finite evidence.
	mostSick = 0.9
	// commonCause is the share of the rest of the pool above which a cause
	// outside the targets is likelier than one more sick target. It lies above a
	// half: a data hall that is lost takes a third of a pool or more with it, and
	// those targets must go.
	commonCause = 0.6
	// poolMemory is the time constant of the pool's share.
	poolMemory = 20 * time.Second
	// priorWeight is how many requests the expectation leastHealthy stands for.
	priorWeight = 50
	// beatShare is the part of the threshold that one beat may add. Requests of
	// one beat often share one short cause, such as a pause of the target.
	beatShare = 0.45
	// ceiling bounds the score in thresholds, so that recovery stays possible.
	ceiling = 2
)

// Counts are requests to one target in one beat.
type Counts struct {
	Target  string
	Good    float64
	Bad     float64
	Stalled float64
	// Leaving is set when the target said that it is leaving.
	Leaving bool
}

// track is the state of one target.
type track struct {
	score   float64
	good    float64
	bad     float64
	stalled float64
	// carry is evidence beyond what one beat may add. It counts in later beats
	// unless the target does good work.
	carry float64
}

// Detector scores the targets of one service. It isn't safe for concurrent use.
type Detector struct {
	threshold float64
	tracks    map[string]*track
	// carriers are the targets with evidence left for later beats.
	carriers map[string]bool
	good     float64
	bad      float64
	at       time.Time
}

// NewDetector returns a detector for a service. threshold is the score at which
// evidence is strong: the false-alarm rate falls and the detection time grows
// with it.
func NewDetector(threshold float64) *Detector {
	return &Detector{
		threshold: threshold,
		tracks:    map[string]*track{},
		carriers:  map[string]bool{},
	}
}

// Idle tells whether a beat without counts would change nothing.
func (d *Detector) Idle() bool {
	return len(d.carriers) == 0
}

// Update takes the counts of one beat.
func (d *Detector) Update(now time.Time, beat []Counts) {
	d.forget(now)
	silent := maps.Clone(d.carriers)
	for i := range beat {
		delete(silent, beat[i].Target)
		d.add(&beat[i])
	}
	for target := range silent {
		d.add(&Counts{
			Target: target,
		})
	}
	for i := range beat {
		d.pool(&beat[i])
	}
}

// forget lets old counts fade.
func (d *Detector) forget(now time.Time) {
	if !d.at.IsZero() {
		keep := math.Exp(-now.Sub(d.at).Seconds() / poolMemory.Seconds())
		d.good *= keep
		d.bad *= keep
		for _, t := range d.tracks {
			t.good *= keep
			t.bad *= keep
			t.stalled *= keep
		}
	}
	d.at = now
}

func (d *Detector) add(c *Counts) {
	t := d.track(c.Target)
	healthy := d.othersShare(t)
	if healthy >= commonCause {
		// Nothing tells this target from the others now.
		t.carry = 0
		delete(d.carriers, c.Target)
		return
	}
	sick := min(max(leastSick, sickFactor*healthy), mostSick)
	gain := c.Bad*math.Log(sick/healthy) + c.Good*math.Log((1-sick)/(1-healthy))
	delete(d.carriers, c.Target)
	if c.Good > 0 {
		t.carry = 0
	}
	gain += t.carry
	most := beatShare * d.threshold
	t.carry = min(max(gain-most, 0), d.threshold)
	if t.carry > 0 {
		d.carriers[c.Target] = true
	}
	gain = min(gain, most)
	t.score = min(max(t.score+gain, 0), ceiling*d.threshold)
}

// othersShare returns the bad share of all other targets, at least leastHealthy.
func (d *Detector) othersShare(t *track) float64 {
	good := max(d.good-t.good, 0)
	bad := max(d.bad-t.bad, 0)
	share := (bad + leastHealthy*priorWeight) / (good + bad + priorWeight)
	return max(share, leastHealthy)
}

func (d *Detector) pool(c *Counts) {
	t := d.track(c.Target)
	t.good += c.Good
	t.bad += c.Bad
	t.stalled += c.Stalled
	d.good += c.Good
	d.bad += c.Bad
}

func (d *Detector) track(target string) *track {
	t := d.tracks[target]
	if t == nil {
		t = &track{}
		d.tracks[target] = t
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

// Read returns the reading of a target; the zero value for an unknown one.
func (d *Detector) Read(target string) Reading {
	t := d.tracks[target]
	if t == nil {
		return Reading{}
	}
	return Reading{
		Score:   t.score,
		Good:    t.good,
		Bad:     t.bad,
		Stalled: t.stalled,
	}
}

// Reset forgets a target, as after an ejection: what it did no longer says what
// is usual in its pool.
func (d *Detector) Reset(target string) {
	t := d.tracks[target]
	if t == nil {
		return
	}
	d.good = max(d.good-t.good, 0)
	d.bad = max(d.bad-t.bad, 0)
	delete(d.tracks, target)
	delete(d.carriers, target)
}

// Keep drops all targets that are not in the set.
func (d *Detector) Keep(targets map[string]bool) {
	for name := range d.tracks {
		if !targets[name] {
			delete(d.tracks, name)
			delete(d.carriers, name)
		}
	}
}

// Threshold returns the score at which evidence is strong.
func (d *Detector) Threshold() float64 { return d.threshold }
