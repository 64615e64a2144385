// SPDX-License-Identifier: Apache-2.0

package health

import (
	"math"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Parameters of the time that a good answer takes.
const (
	// maxLatencyMs is the greatest time that is told from longer ones, in milliseconds;
	// no route waits as long as that. timeDigits is the precision of the histograms.
	maxLatencyMs    = 60_000
	histogramDigits = 1
	// defaultMedian is the usual time before any answer was seen.
	defaultMedian = 300 * time.Millisecond
	// generationSize is how many answers a generation of the histogram holds. The
	// last two generations count.
	generationSize = 150
	// updateEvery is after how many answers the table is made anew.
	updateEvery = 8
	// latencyPriorWeight is how many answers the guess for an unknown route counts for.
	latencyPriorWeight = 6
	// tailShare is the share of answers that take longer than any that was seen.
	tailShare = 0.004
)

// quantiles are the shares of answers, in percent, whose times the table holds.
var quantiles = [...]float64{0, 10, 25, 50, 75, 90, 95, 98, 99, 100}

// latencies is the learned distribution of the time that good answers take.
type latencies struct {
	current  *hdrhistogram.Histogram
	previous *hdrhistogram.Histogram
	// table holds the quantiles in milliseconds, n how many answers they are made of.
	table       [len(quantiles)]float64
	n           float64
	sinceUpdate int
}

func newLatencies() *latencies {
	return &latencies{
		current:  hdrhistogram.New(1, maxLatencyMs, histogramDigits),
		previous: hdrhistogram.New(1, maxLatencyMs, histogramDigits),
	}
}

// add records the time of a good answer.
func (t *latencies) add(took time.Duration) error {
	if t.current.TotalCount() >= generationSize {
		t.current, t.previous = t.previous, t.current
		t.current.Reset()
	}
	if err := t.current.RecordValue(min(max(took.Milliseconds(), 1), maxLatencyMs)); err != nil {
		return err
	}
	t.sinceUpdate++
	if t.sinceUpdate >= updateEvery || t.n < updateEvery {
		t.sinceUpdate = 0
		t.update()
	}
	return nil
}

// update makes the table of both generations.
func (t *latencies) update() {
	all := hdrhistogram.New(1, maxLatencyMs, histogramDigits)
	all.Merge(t.previous)
	all.Merge(t.current)
	t.n = float64(all.TotalCount())
	for i, q := range quantiles {
		t.table[i] = float64(all.ValueAtQuantile(q))
	}
}

// median returns the median time.
func (t *latencies) median() time.Duration {
	if t.n < updateEvery {
		return defaultMedian
	}
	return time.Duration(t.table[medianIndex] * float64(time.Millisecond))
}

// medianIndex is the place of the median in the table.
const medianIndex = 3

// within returns the time within which a share of the good answers comes, of those
// in the table the least that is as great, or 0 before any are known.
func (t *latencies) within(share float64) time.Duration {
	if t.n < updateEvery {
		return 0
	}
	for i, q := range quantiles {
		if q >= 100*share {
			return time.Duration(t.table[i] * float64(time.Millisecond))
		}
	}
	return maxLatencyMs * time.Millisecond
}

// longer returns the share of good answers that take longer than age.
func (t *latencies) longer(age time.Duration) float64 {
	ms := float64(age) / float64(time.Millisecond)
	prior := math.Exp2(-ms / float64(defaultMedian.Milliseconds()))
	if t.n == 0 {
		return prior
	}
	return (t.n*t.observedLonger(ms) + latencyPriorWeight*prior) / (t.n + latencyPriorWeight)
}

// observedLonger returns the same of the answers in the table.
func (t *latencies) observedLonger(ms float64) float64 {
	if ms <= t.table[0] {
		return 1
	}
	for i := 1; i < len(quantiles); i++ {
		if ms > t.table[i] {
			continue
		}
		fraction := (ms - t.table[i-1]) / max(t.table[i]-t.table[i-1], 1)
		percent := quantiles[i-1] + fraction*(quantiles[i]-quantiles[i-1])
		return max(1-percent/100, tailShare)
	}
	return tailShare
}
