// SPDX-License-Identifier: Apache-2.0

package outlier

import (
	"math"
	"time"
)

// mergeMemory is the time constant with which a source's bad requests decay.
const mergeMemory = 20 * time.Second

// merger sums the counts of several sources. For each target it leaves out the
// source with the most recent bad requests: a fault that only one source observes,
// such as the loss of its own link, is taken as a fault of the source, and a single
// source that reports falsely has no effect.
type merger struct {
	targets map[string]*sourceCounts
	at      time.Time
}

// sourceCounts holds the counts of one target by source.
type sourceCounts struct {
	tick map[string]Counts
	bad  map[string]float64
}

func newMerger() *merger {
	return &merger{
		targets: map[string]*sourceCounts{},
	}
}

// add adds the counts of one source.
func (m *merger) add(source string, c Counts) {
	t := m.targets[c.Target]
	if t == nil {
		t = &sourceCounts{
			tick: map[string]Counts{},
			bad:  map[string]float64{},
		}
		m.targets[c.Target] = t
	}
	sum := t.tick[source]
	sum.Target = c.Target
	sum.add(c)
	t.tick[source] = sum
	t.bad[source] += c.Bad
}

// drain returns the sums since the last call.
func (m *merger) drain(now time.Time) []Counts {
	factor := 1.0
	if !m.at.IsZero() {
		factor = math.Exp(-now.Sub(m.at).Seconds() / mergeMemory.Seconds())
	}
	m.at = now
	var out []Counts
	for _, t := range m.targets {
		if c := t.sum(); c.Good+c.Bad > 0 {
			out = append(out, c)
		}
		clear(t.tick)
		t.decay(factor)
	}
	return out
}

// sum returns the sum of all sources but the worst.
func (t *sourceCounts) sum() Counts {
	worst := t.worst()
	var out Counts
	for source, c := range t.tick {
		out.Target = c.Target
		if source == worst {
			continue
		}
		out.add(c)
	}
	return out
}

// worst returns the source with the most bad requests, or "" if there are none.
func (t *sourceCounts) worst() string {
	name, maxBad := "", 0.0
	for source, bad := range t.bad {
		if bad > maxBad || bad == maxBad && bad > 0 && source < name {
			name, maxBad = source, bad
		}
	}
	return name
}

// minBadCount is the number of bad requests below which a source's count is deleted.
const minBadCount = 0.05

func (t *sourceCounts) decay(factor float64) {
	for source := range t.bad {
		t.bad[source] *= factor
		if t.bad[source] < minBadCount {
			delete(t.bad, source)
		}
	}
}

// retain removes all targets that are not in the set.
func (m *merger) retain(targets map[string]bool) {
	for name := range m.targets {
		if !targets[name] {
			delete(m.targets, name)
		}
	}
}
