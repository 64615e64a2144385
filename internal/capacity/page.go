// SPDX-License-Identifier: Apache-2.0

package main

import (
	_ "embed"
	"fmt"
	"math"
	"os"
	"path/filepath"
	"runtime"
	"strings"
	"text/template"
)

//go:embed page.tmpl
var pageText string

// Limits of a node's cost at the goal size.
const (
	limitCPU    = 4.4  // % of a core
	limitMemory = 128  // MB
	limitBytes  = 6000 // bytes per second, sent and received together
)

// slopeRow is one row of the table of slopes.
type slopeRow struct {
	Series, Quantity, Unit, Plot string
	Base, Slope                  string
	Residual, Spread             string
	From, To, Goal               string
	AtGoal                       string
	// Far is set where the goal exceeds ten times the greatest measured size.
	Far bool
}

// sumRow is one row of the table of a node's total cost at the goal size.
type sumRow struct {
	What, From       string
	Bytes, CPU, MBs  float64
	BytesT, CPUT, MT string
}

// page is the data of the template.
type page struct {
	Machine  string
	Runs     int
	Window   string
	Slopes   []slopeRow
	Sum      []sumRow
	Total    sumRow
	Verdicts []string
	Latency  *latencyResult
	Restart  restartRow
	// Connections has one row per pool size.
	Connections []connectionRow
}

func writePage(args arguments, results map[string]*result, lat *latencyResult, restart restartRow) error {
	p := page{
		Machine: fmt.Sprintf("%d processors, %s", runtime.NumCPU(), totalMemory()),
		Runs:    args.Runs,
		Window:  args.Window.String(),
		Latency: lat,
		Restart: restart,
	}
	for _, s := range allSeries() {
		p.Slopes = append(p.Slopes, slopeRows(results[s.name], args.Raw)...)
	}
	p.sum(results)
	p.connections()
	t, err := template.New("page").Parse(pageText)
	if err != nil {
		return fmt.Errorf("capacity: %w", err)
	}
	f, err := os.Create(args.Page)
	if err != nil {
		return fmt.Errorf("capacity: %w", err)
	}
	if err := t.Execute(f, &p); err != nil {
		return fmt.Errorf("capacity: %w", err)
	}
	return f.Close()
}

func totalMemory() string {
	b, err := os.ReadFile("/proc/meminfo")
	if err != nil {
		return "memory unknown"
	}
	return strings.Join(strings.Fields(strings.SplitN(string(b), "\n", 2)[0])[1:], " ") + " of memory"
}

func slopeRows(r *result, raw string) []slopeRow {
	var out []slopeRow
	first, last := r.series.sizes[0], r.series.sizes[len(r.series.sizes)-1]
	for _, q := range r.series.quantities {
		f := r.fit(q)
		out = append(out, slopeRow{
			Series:   r.series.label,
			Quantity: q.name,
			Unit:     q.unit,
			Plot:     filepath.Join(filepath.Base(raw), r.plotName(q)),
			Base:     formatShort(f.base),
			Slope:    formatShort(f.slope),
			Residual: formatShort(f.residual),
			Spread:   fmt.Sprintf("%.0f%%", 100*f.spread),
			From:     formatShort(first),
			To:       formatShort(last),
			Goal:     formatShort(r.series.goal),
			AtGoal:   formatShort(f.at(r.series.goal)),
			Far:      r.series.goal > 10*last,
		})
	}
	return out
}

func formatShort(v float64) string {
	if v == math.Trunc(v) && math.Abs(v) < 1e6 {
		return fmt.Sprintf("%.0f", v)
	}
	return fmt.Sprintf("%.3g", v)
}

// growth returns the fitted increase of a quantity from size 0 to the goal of a series;
// a negative slope counts as 0.
func growth(r *result, q quantity) float64 {
	return max(r.fit(q).slope, 0) * r.series.goal
}

// sum adds up the components of a node's cost at the goal size.
func (p *page) sum(rs map[string]*result) {
	nodes := rs["nodes"]
	bytes := func(r *result) float64 { return growth(r, sentBytes) + growth(r, receivedBytes) }
	p.Sum = []sumRow{
		{
			What:  "a member alone",
			From:  "base of the nodes series",
			Bytes: nodes.fit(sentBytes).base + nodes.fit(receivedBytes).base,
			CPU:   nodes.fit(cpuShare).base,
			MBs:   nodes.fit(memorySize).base,
		},
		{
			What:  "1,000 members",
			From:  "nodes",
			Bytes: bytes(nodes),
			CPU:   growth(nodes, cpuShare),
			MBs:   growth(nodes, memorySize),
		},
		{
			What:  "290 services, 8,700 targets",
			From:  "services",
			Bytes: bytes(rs["services"]),
			CPU:   growth(rs["services"], cpuShare),
			MBs:   growth(rs["services"], memorySize),
		},
		{
			What: "7,100 routes",
			From: "routes",
			CPU:  growth(rs["routes"], cpuShare),
			MBs:  growth(rs["routes"], memorySize),
		},
		{
			What: "48,000 workspaces",
			From: "workspaces",
			CPU:  growth(rs["workspaces"], cpuShare),
			MBs:  growth(rs["workspaces"], memorySize),
		},
		{
			What:  "5,800 changes a day of 10 kB",
			From:  "changes; changes-full for the processor",
			Bytes: bytes(rs["changes"]),
			CPU:   growth(rs["changes-full"], cpuShare),
		},
		{
			What:  "evidence of 210 requests a second",
			From:  "requests",
			Bytes: bytes(rs["requests"]),
		},
	}
	p.Sum = append(p.Sum, sumRow{
		What: "all of it together, beyond its parts",
		From: "changes-full",
		MBs:  p.extraMemory(rs["changes-full"]),
	})
	p.Total = sumRow{
		What: "sum",
	}
	for i := range p.Sum {
		s := &p.Sum[i]
		p.Total.Bytes += s.Bytes
		p.Total.CPU += s.CPU
		p.Total.MBs += s.MBs
		s.formatCells()
	}
	p.Total.formatCells()
	p.checkLimit("bytes a second between nodes", p.Total.Bytes, limitBytes)
	p.checkLimit("processor, % of a core", p.Total.CPU, limitCPU)
	p.checkLimit("memory, MB", p.Total.MBs, limitMemory)
}

// extraMemory returns by how many MB the memory of a node with the whole configuration,
// idle or while values change, exceeds the sum of the parts measured separately.
func (p *page) extraMemory(r *result) float64 {
	extra := 0.0
	for _, runs := range r.samples {
		mean := 0.0
		for _, s := range runs {
			mean += s.memory / float64(len(runs))
		}
		extra = max(extra, mean)
	}
	for _, s := range p.Sum {
		extra -= s.MBs
	}
	return max(extra, 0)
}

func (s *sumRow) formatCells() {
	s.BytesT, s.CPUT, s.MT = formatShort(s.Bytes), formatShort(s.CPU), formatShort(s.MBs)
}

// RestartRate returns the mean cost to each node of the restarts of a day at the goal
// size, in bytes per second, sent and received together.
func (p *page) RestartRate() string {
	const restarts = 3700 / 86400.0
	return formatShort(2 * restarts * float64(p.Restart.Received) / goalNodes)
}

// checkLimit adds a line that compares a total with its limit.
func (p *page) checkLimit(what string, have, limit float64) {
	if have <= limit {
		p.Verdicts = append(p.Verdicts, fmt.Sprintf("%s: %s of %s: fits", what, formatShort(have), formatShort(limit)))
		return
	}
	p.Verdicts = append(p.Verdicts, fmt.Sprintf("**%s: %s of %s: does not fit**", what, formatShort(have), formatShort(limit)))
}
