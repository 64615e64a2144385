// SPDX-License-Identifier: Apache-2.0

package health

import (
	"math"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Parameters of the latency of good answers.
const (
	// maxLatencyMs is the greatest recorded latency in milliseconds; no route waits as
	// long as that. histogramDigits is the number of significant digits.
	maxLatencyMs    = 60_000
	histogramDigits = 1
	// maxHistogramMs bounds the values that a histogram returns: the upper bound of the bucket of
	// maxLatencyMs.
	maxHistogramMs = 2 * maxLatencyMs
	// defaultMedian is the median latency before any answer was recorded.
	defaultMedian = 300 * time.Millisecond
	// generationSize is the number of answers in a histogram. The last two histograms
	// are used.
	generationSize = 150
	// updateEvery is the number of answers between updates of the table.
	updateEvery = 8
	// latencyPriorWeight is the number of answers that the prior counts for.
	latencyPriorWeight = 6
	// tailShare is the share of answers that take longer than any recorded one.
	tailShare = 0.004
)

// quantiles are the percentiles in the table.
var quantiles = [...]float64{0, 10, 25, 50, 75, 90, 95, 98, 99, 100}

// latencies is the learned latency distribution of good answers.
type latencies struct {
	current  *hdrhistogram.Histogram
	previous *hdrhistogram.Histogram
	// table holds the quantiles in milliseconds, n the number of answers that they were
	// computed from.
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

// add records the latency of a good answer.
func (l *latencies) add(took time.Duration) error {
	if l.current.TotalCount() >= generationSize {
		l.current, l.previous = l.previous, l.current
		l.current.Reset()
	}
	if err := l.current.RecordValue(min(max(took.Milliseconds(), 1), maxLatencyMs)); err != nil {
		return err
	}
	l.sinceUpdate++
	if l.sinceUpdate >= updateEvery || l.n < updateEvery {
		l.sinceUpdate = 0
		l.update()
	}
	return nil
}

// update computes the table from both histograms.
func (l *latencies) update() {
	merged := hdrhistogram.New(1, maxLatencyMs, histogramDigits)
	merged.Merge(l.previous)
	merged.Merge(l.current)
	l.n = float64(merged.TotalCount())
	for i, q := range quantiles {
		l.table[i] = float64(merged.ValueAtQuantile(q))
	}
}

// median returns the median latency.
func (l *latencies) median() time.Duration {
	if l.n < updateEvery {
		return defaultMedian
	}
	return time.Duration(l.table[medianIndex] * float64(time.Millisecond))
}

// medianIndex is the index of the median in the table.
const medianIndex = 3

// within returns the latency within which a share of the good answers arrives,
// rounded up to a quantile of the table, or 0 while there are too few answers.
func (l *latencies) within(share float64) time.Duration {
	if l.n < updateEvery {
		return 0
	}
	for i, q := range quantiles {
		if q >= 100*share {
			return time.Duration(l.table[i] * float64(time.Millisecond))
		}
	}
	return maxLatencyMs * time.Millisecond
}

// longer returns the share of good answers that take longer than age.
func (l *latencies) longer(age time.Duration) float64 {
	ms := float64(age) / float64(time.Millisecond)
	prior := math.Exp2(-ms / float64(defaultMedian.Milliseconds()))
	if l.n == 0 {
		return prior
	}
	return (l.n*l.observedLonger(ms) + latencyPriorWeight*prior) / (l.n + latencyPriorWeight)
}

// observedLonger returns the share of the answers in the table that take longer than ms.
func (l *latencies) observedLonger(ms float64) float64 {
	if ms <= l.table[0] {
		return 1
	}
	for i := 1; i < len(quantiles); i++ {
		if ms > l.table[i] {
			continue
		}
		fraction := (ms - l.table[i-1]) / max(l.table[i]-l.table[i-1], 1)
		percent := quantiles[i-1] + fraction*(quantiles[i]-quantiles[i-1])
		return max(1-percent/100, tailShare)
	}
	return tailShare
}
