// SPDX-License-Identifier: Apache-2.0

package health

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// maxImportedCount bounds imported counts and seconds: with the decay of memory, 10,000 results per
	// second add up to 600,000.
	maxImportedCount = 1e6
	// maxRouteName bounds the length of the names of imported routes in bytes.
	maxRouteName = 256
)

// RateState holds the counts from which a rate is estimated.
type RateState struct {
	Events  float64
	Seconds float64
}

// ModelState holds what a model has learned, for a model of the same service in another process. Counts
// have the order of the kinds before Open.
type ModelState struct {
	Failures, Recoveries RateState
	Failing, Working     []float64
	Routes               []RouteState
}

// RouteState holds what a model has learned of one route.
type RouteState struct {
	Name    string
	Working []float64
	// Quantiles is the quantile table of the response times in milliseconds, computed from Responses
	// responses.
	Quantiles []float64
	Responses int
}

// Export returns what the model has learned, with the routes most recently used first.
func (m *Model) Export() ModelState {
	s := ModelState{
		Failures:   m.failures.state(),
		Recoveries: m.recoveries.state(),
		Failing:    slices.Clone(m.failing[:]),
		Working:    slices.Clone(m.working[:]),
	}
	routes := make([]*Route, 0, len(m.routes))
	for _, r := range m.routes {
		routes = append(routes, r)
	}
	slices.SortFunc(routes, func(a, b *Route) int { return cmp.Or(b.used.Compare(a.used), cmp.Compare(a.name, b.name)) })
	for _, r := range routes {
		s.Routes = append(s.Routes, RouteState{
			Name:      r.name,
			Working:   slices.Clone(r.working[:]),
			Quantiles: slices.Clone(r.latency.table[:]),
			Responses: int(r.latency.n),
		})
	}
	return s
}

// Import adds what another model has learned to this one. Response times of a route are taken only while
// the route has too few of its own to replace a histogram, and no route of this model is evicted.
// A pair of counts of a rate, the counts by kind and the table of a route are valid or invalid as a whole,
// as a part of them would distort the estimates; invalid ones are dropped.
func (m *Model) Import(now time.Time, s ModelState) {
	m.failures.add(s.Failures)
	m.recoveries.add(s.Recoveries)
	m.failing.add(s.Failing)
	m.working.add(s.Working)
	for _, r := range s.Routes[:min(len(s.Routes), maxRoutes)] {
		if m.routes[r.Name] == nil && len(m.routes) >= maxRoutes || len(r.Name) > maxRouteName {
			continue
		}
		route := m.Route(now, r.Name)
		route.working.add(r.Working)
		route.latency.fill(r.Quantiles, r.Responses)
	}
	m.updateEstimates()
}

// validCount reports whether an imported number is a possible count.
func validCount(n float64) bool { return n >= 0 && n <= maxImportedCount }

func (r *rate) state() RateState {
	return RateState{
		Events:  r.events,
		Seconds: r.seconds,
	}
}

func (r *rate) add(s RateState) {
	if validCount(s.Events) && validCount(s.Seconds) {
		r.events += s.Events
		r.seconds += s.Seconds
	}
}

func (c *counts) add(s []float64) {
	if len(s) != kinds {
		return
	}
	for _, n := range s {
		if !validCount(n) {
			return
		}
	}
	for k, n := range s {
		c[k] += n
	}
}

// validTable reports whether table can be that of a number of responses.
func validTable(table []float64, responses int) bool {
	if len(table) != len(quantiles) || responses < 1 || responses > 2*generationSize {
		return false
	}
	for i, ms := range table {
		if !(ms >= 0 && ms <= maxHistogramMs) || i > 0 && ms < table[i-1] {
			return false
		}
	}
	return true
}

// fill records response times of the distribution that a table describes, unless the previous histogram
// is in use or the table is invalid. They count as older than those in the current one.
func (l *latencies) fill(table []float64, responses int) {
	if l.previous.TotalCount() > 0 || !validTable(table, responses) {
		return
	}
	n := min(responses, generationSize)
	for i := range n {
		// The histogram returns the first value at or above a quantile; the first one is the least.
		percent := 0.0
		if i > 0 {
			percent = 100 * float64(i+1) / float64(n)
		}
		ms := atPercentile(table, percent)
		// The range of the histogram contains all values.
		_ = l.previous.RecordValue(int64(min(max(ms, 1), maxLatencyMs)))
	}
	l.update()
}

// atPercentile interpolates the value of a table at a percentile.
func atPercentile(table []float64, percent float64) float64 {
	for i := 1; i < len(quantiles); i++ {
		if percent <= quantiles[i] {
			fraction := (percent - quantiles[i-1]) / (quantiles[i] - quantiles[i-1])
			return math.Round(table[i-1] + fraction*(table[i]-table[i-1]))
		}
	}
	return table[len(table)-1]
}

// Import replaces the attempts known of the target by the probability of failing that another process
// estimated from them and from others. A p that is not a probability changes nothing.
func (t *Target) Import(now time.Time, p float64) {
	if !(p >= 0 && p <= 1) {
		return
	}
	t.events = t.events[:0]
	t.base, t.baseAt = min(max(p, minFailing), maxFailing), now
	t.importedFailing = p > 0.5
	t.cachedAt = time.Time{}
}
