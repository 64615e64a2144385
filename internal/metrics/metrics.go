// SPDX-License-Identifier: Apache-2.0

// Package metrics records metrics with tally and serves them to Prometheus.
package metrics

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	promreporter "github.com/uber-go/tally/v4/prometheus"
)

// reportInterval is how often tally passes its values to the reporter.
const reportInterval = time.Second

// otherWorkspaces is the label of the series shared by the workspaces beyond the maximum.
const otherWorkspaces = "other"

// latencyBuckets are the bucket bounds of the histograms.
var latencyBuckets = tally.MustMakeExponentialDurationBuckets(500*time.Microsecond, 2, 17)

// Metrics holds the series of one process. It is safe for concurrent use.
type Metrics struct {
	scope         tally.Scope
	closer        io.Closer
	handler       http.Handler
	classes       sync.Map
	mu            sync.RWMutex
	workspaces    map[string]tally.Histogram
	maxWorkspaces int
}

type classKey struct {
	class   string
	status  int
	outcome string
}

type classSeries struct {
	count   tally.Counter
	latency tally.Histogram
}

// New returns metrics in which at most workspaces workspaces have their own histogram:
// those first observed. The others share one.
func New(workspaces int) *Metrics {
	registry := prometheus.NewRegistry()
	reporter := promreporter.NewReporter(promreporter.Options{
		Registerer: registry,
		Gatherer:   registry,
	})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:         "plover",
		CachedReporter: reporter,
		Separator:      promreporter.DefaultSeparator,
	}, reportInterval)
	return &Metrics{
		scope:         scope,
		closer:        closer,
		handler:       reporter.HTTPHandler(),
		workspaces:    map[string]tally.Histogram{},
		maxWorkspaces: workspaces,
	}
}

// Handler returns a handler that serves the series in Prometheus' text format.
func (m *Metrics) Handler() http.Handler { return m.handler }

// Close reports the last values and stops the reporter.
func (m *Metrics) Close() error {
	if err := m.closer.Close(); err != nil {
		return fmt.Errorf("metrics: close: %w", err)
	}
	return nil
}

// RecordRequest records the final answer to a request.
func (m *Metrics) RecordRequest(class, workspace string, status int, outcome string, took time.Duration) {
	s := m.class(classKey{
		class:   class,
		status:  status,
		outcome: outcome,
	})
	s.count.Inc(1)
	s.latency.RecordDuration(took)
	if workspace != "" {
		m.workspace(workspace).RecordDuration(took)
	}
}

func (m *Metrics) class(k classKey) *classSeries {
	if s, ok := m.classes.Load(k); ok {
		return s.(*classSeries)
	}
	scope := m.scope.Tagged(map[string]string{
		"class":   k.class,
		"status":  strconv.Itoa(k.status),
		"outcome": k.outcome,
	})
	s, _ := m.classes.LoadOrStore(k, &classSeries{
		count:   scope.Counter("requests"),
		latency: m.scope.Tagged(map[string]string{"class": k.class}).Histogram("latency", latencyBuckets),
	})
	return s.(*classSeries)
}

func (m *Metrics) workspace(id string) tally.Histogram {
	m.mu.RLock()
	h := m.workspaces[id]
	full := len(m.workspaces) >= m.maxWorkspaces
	m.mu.RUnlock()
	if h != nil {
		return h
	}
	if full {
		id = otherWorkspaces
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if h = m.workspaces[id]; h == nil {
		h = m.scope.Tagged(map[string]string{"workspace": id}).Histogram("workspace_latency", latencyBuckets)
		m.workspaces[id] = h
	}
	return h
}

// Count adds n to an untagged counter.
func (m *Metrics) Count(name string, n int64) { m.scope.Counter(name).Inc(n) }

// CountBytes adds n to the counter of the bytes for a purpose in a scope.
func (m *Metrics) CountBytes(purpose, scope string, n int64) {
	m.scope.Tagged(map[string]string{"purpose": purpose, "scope": scope}).Counter("bytes").Inc(n)
}

// CountConnections adds n to the counter of the connections to targets opened for a cause.
func (m *Metrics) CountConnections(cause string, n int64) {
	m.scope.Tagged(map[string]string{"cause": cause}).Counter("connections").Inc(n)
}

// CountClosed adds n to the counter of the connections of a listener that were closed for a limit.
func (m *Metrics) CountClosed(door, reason string, n int64) {
	m.scope.Tagged(map[string]string{"door": door, "reason": reason}).Counter("connections_closed").Inc(n)
}

// Gauge sets an untagged gauge.
func (m *Metrics) Gauge(name string, v float64) { m.scope.Gauge(name).Update(v) }

// PartitionGauge sets the gauge of a partition, the targets of a service in one data hall, or of
// all its targets if hall is empty.
func (m *Metrics) PartitionGauge(name, service, hall string, v float64) {
	m.scope.Tagged(map[string]string{"service": service, "hall": hall}).Gauge(name).Update(v)
}
