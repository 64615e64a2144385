// SPDX-License-Identifier: Apache-2.0

package health_test

import (
	"math"
	"testing"
	"time"

	"ploverjunction.example/ploverjunction/internal/health"
)

// Guards against response times and rates that change each time the state moves to another process.
func TestModelMovesUnchanged(t *testing.T) {
	m, r, now := trainedModel(t)
	target := health.NewTarget(now, m)
	for i := range 100 {
		id := target.Begin(now, r)
		now = now.Add(medianLatency)
		kind := health.Good
		if i%20 < 5 {
			kind = health.AfterWork
		}
		target.End(now, id, kind)
	}
	m.Advance(now)
	moved := m
	for range 5 {
		next := health.NewModel(now)
		next.Import(now, moved.Export())
		moved = next
	}
	failure, recovery := m.Rates()
	if f, r := moved.Rates(); f != failure || r != recovery || moved.LostFailing() != m.LostFailing() || moved.LostWorking() != m.LostWorking() {
		t.Errorf("rates %.4f and %.4f, before %.4f and %.4f; losses %.4f and %.4f, before %.4f and %.4f",
			f, r, failure, recovery, moved.LostFailing(), moved.LostWorking(), m.LostFailing(), m.LostWorking())
	}
	route := moved.Route(now, "route")
	for _, share := range []float64{0.1, 0.5, 0.9, 0.99} {
		got, want := route.LatencyQuantile(share), r.LatencyQuantile(share)
		if math.Abs(float64(got-want)) > 0.12*float64(want) {
			t.Errorf("quantile %.2f is %v after five moves, before %v", share, got, want)
		}
	}
}

// Guards against imported response times that outlive the answers that the receiver records itself.
func TestOwnLatenciesReplaceImportedOnes(t *testing.T) {
	m, _, now := trainedModel(t)
	next := health.NewModel(now)
	next.Import(now, m.Export())
	r := next.Route(now, "route")
	for range 400 {
		if err := r.RecordLatency(10 * medianLatency); err != nil {
			t.Fatal(err)
		}
	}
	if got := r.LatencyQuantile(0.1); got < 9*medianLatency {
		t.Errorf("a tenth of the answers comes within %v, but all took %v", got, 10*medianLatency)
	}
	before := r.LatencyQuantile(0.1)
	next.Import(now, m.Export())
	r = next.Route(now, "route")
	for range 8 {
		// The table is updated with the eighth answer at the latest.
		if err := r.RecordLatency(10 * medianLatency); err != nil {
			t.Fatal(err)
		}
	}
	if got := r.LatencyQuantile(0.1); got != before {
		t.Errorf("a tenth of the answers comes within %v after an import, before within %v", got, before)
	}
}

// Guards against response times that no process can have measured.
func TestInvalidTablesAreDropped(t *testing.T) {
	tests := []struct {
		name      string
		change    func(table []float64) []float64
		responses int
		known     bool
	}{
		{name: "valid", responses: 100, known: true},
		{name: "no responses"},
		{name: "too many responses", responses: 301},
		{name: "short", responses: 100, change: func(table []float64) []float64 { return table[1:] }},
		{name: "falling", responses: 100, change: func(table []float64) []float64 { table[4] = 1; return table }},
		{name: "negative", responses: 100, change: func(table []float64) []float64 { table[0] = -1; return table }},
		{name: "not a number", responses: 100, change: func(table []float64) []float64 { table[0] = math.NaN(); return table }},
		{name: "infinite", responses: 100, change: func(table []float64) []float64 { table[9] = math.Inf(1); return table }},
	}
	for _, tt := range tests {
		table := []float64{10, 20, 30, 40, 50, 60, 70, 80, 90, 100}
		if tt.change != nil {
			table = tt.change(table)
		}
		m := health.NewModel(start)
		m.Import(start, health.ModelState{
			Routes: []health.RouteState{
				{
					Name:      "route",
					Quantiles: table,
					Responses: tt.responses,
				},
			},
		})
		if known := m.Route(start, "route").LatencyQuantile(0.5) > 0; known != tt.known {
			t.Errorf("%s: response times known: %t", tt.name, known)
		}
	}
}

// Guards against a target that counts as answering because the process that saw it fail was another one.
func TestImportedTarget(t *testing.T) {
	tests := []struct {
		p, want   float64
		answering bool
	}{
		{p: 0.9, want: 0.9},
		{p: 0.1, want: 0.1, answering: true},
		{p: 1, want: 0.985},
		{p: 0, want: 0.004, answering: true},
		{p: -0.1, want: 0.02, answering: true},
		{p: 1.1, want: 0.02, answering: true},
		{p: math.NaN(), want: 0.02, answering: true},
	}
	for _, tt := range tests {
		m := health.NewModel(start)
		target := health.NewTarget(start, m)
		target.Import(start, tt.p)
		if got := target.FailureProbability(start); got != tt.want || target.Answering() != tt.answering {
			t.Errorf("import of %v: failure probability %v, answering %t", tt.p, got, target.Answering())
		}
		id := target.Begin(start, m.Route(start, "route"))
		target.End(start.Add(time.Millisecond), id, health.Good)
		if !target.Answering() {
			t.Errorf("import of %v: not answering after a good answer", tt.p)
		}
	}
}
