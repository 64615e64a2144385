// SPDX-License-Identifier: Apache-2.0

package main

import (
	"fmt"
	"math"
	"path/filepath"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// quantity is a measurement of a sample to which a line is fitted.
type quantity struct {
	name string
	unit string
	of   func(*sample) *float64
}

// column returns the quantity's column name in raw figures.
func (q quantity) column() string { return q.name + " (" + q.unit + ")" }

// Quantities.
var (
	sentBytes = quantity{
		name: "sent",
		unit: "B/s",
		of:   func(s *sample) *float64 { return &s.sent },
	}
	receivedBytes = quantity{
		name: "received",
		unit: "B/s",
		of:   func(s *sample) *float64 { return &s.received },
	}
	peerCalls = quantity{
		name: "calls to peers",
		unit: "1/s",
		of:   func(s *sample) *float64 { return &s.calls },
	}
	cpuShare = quantity{
		name: "processor",
		unit: "% of a core",
		of:   func(s *sample) *float64 { return &s.cpu },
	}
	memorySize = quantity{
		name: "memory",
		unit: "MB",
		of:   func(s *sample) *float64 { return &s.memory },
	}
)

// series varies one size and keeps the others constant.
type series struct {
	name       string
	label      string
	sizes      []float64
	goal       float64
	quantities []quantity
	pointAt    func(size float64) point
}

// basePoint returns the point that most series vary.
func basePoint() point {
	return point{
		nodes:      6,
		services:   3,
		perService: 6,
		routes:     10,
		workspaces: 1,
	}
}

// Sizes that the users require.
const (
	goalNodes      = 1000
	goalServices   = 290
	goalTargets    = 8700
	goalRoutes     = 7100
	goalWorkspaces = 48000
	goalRequests   = 210000.0 / goalNodes
	// goalChanges is the number of changes of configuration and of the instance list
	// per second.
	goalChanges = (2100 + 3700) / 86400.0
)

func allSeries() []series {
	control := []quantity{sentBytes, receivedBytes, peerCalls, cpuShare, memorySize}
	return []series{
		{
			name:       "nodes",
			label:      "nodes",
			sizes:      []float64{10, 20, 40, 80},
			goal:       goalNodes,
			quantities: control,
			pointAt: func(size float64) point {
				p := basePoint()
				p.nodes = int(size)
				return p
			},
		},
		{
			name:       "services",
			label:      "services of 30 targets",
			sizes:      []float64{10, 40, 100, 290},
			goal:       goalServices,
			quantities: control,
			pointAt: func(size float64) point {
				p := basePoint()
				p.services = int(size)
				p.perService = 30
				p.routes = int(size)
				return p
			},
		},
		{
			name:       "routes",
			label:      "routes",
			sizes:      []float64{100, 1000, 3500, 7100},
			goal:       goalRoutes,
			quantities: []quantity{cpuShare, memorySize},
			pointAt: func(size float64) point {
				p := basePoint()
				p.routes = int(size)
				return p
			},
		},
		{
			name:       "workspaces",
			label:      "workspaces",
			sizes:      []float64{1000, 10000, 25000, 48000},
			goal:       goalWorkspaces,
			quantities: []quantity{cpuShare, memorySize},
			pointAt: func(size float64) point {
				p := basePoint()
				p.workspaces = int(size)
				return p
			},
		},
		{
			name:       "changes",
			label:      "changes a second, each of 10 kB",
			sizes:      []float64{0, 1, 2, 4},
			goal:       goalChanges,
			quantities: []quantity{sentBytes, receivedBytes, cpuShare},
			pointAt: func(size float64) point {
				p := basePoint()
				p.nodes = 20
				p.changes = size
				p.changeSize = 10_000
				return p
			},
		},
		{
			name:       "changes-full",
			label:      "changes a second before the whole configuration",
			sizes:      []float64{0, 0.5, 1, 2},
			goal:       goalChanges,
			quantities: []quantity{cpuShare, memorySize},
			pointAt: func(size float64) point {
				return point{
					nodes:      4,
					services:   goalServices,
					perService: goalTargets / goalServices,
					routes:     goalRoutes,
					workspaces: goalWorkspaces,
					changes:    size,
					changeSize: 10_000,
				}
			},
		},
		{
			name:       "requests",
			label:      "requests a second and node",
			sizes:      []float64{0, 20, 50, 100},
			goal:       goalRequests,
			quantities: []quantity{sentBytes, receivedBytes, peerCalls},
			pointAt: func(size float64) point {
				p := basePoint()
				p.nodes = 18
				p.services = 10
				p.perService = 30
				// Without workspaces no rate limits apply.
				p.workspaces = 0
				p.requests = size * float64(p.nodes)
				return p
			},
		},
	}
}

// result holds the samples of a series.
type result struct {
	series series
	// samples are the repeated runs of each size.
	samples [][]sample
}

func measure(b *bench, s series, runs int) (*result, error) {
	r := &result{
		series:  s,
		samples: make([][]sample, len(s.sizes)),
	}
	for i, size := range s.sizes {
		for range runs {
			one, err := b.run(s.pointAt(size))
			if err != nil {
				return nil, err
			}
			fmt.Printf("%s %g: %+v\n", s.name, size, one)
			r.samples[i] = append(r.samples[i], one)
		}
	}
	return r, nil
}

// fit is the linear regression over all samples of one quantity.
type fit struct {
	base, slope float64
	// residual is the standard deviation of the samples from the line.
	residual float64
	// spread is the greatest relative deviation of a run from the mean of its size.
	spread float64
}

func (r *result) fit(q quantity) fit {
	xs, ys := r.values(q)
	base, slope := stat.LinearRegression(xs, ys, nil, false)
	var off []float64
	for i := range xs {
		off = append(off, ys[i]-base-slope*xs[i])
	}
	f := fit{
		base:     base,
		slope:    slope,
		residual: stat.StdDev(off, nil),
	}
	for _, runs := range r.samples {
		f.spread = max(f.spread, spread(runs, q))
	}
	return f
}

func (r *result) values(q quantity) (xs, ys []float64) {
	for i, runs := range r.samples {
		for _, s := range runs {
			xs = append(xs, r.series.sizes[i])
			ys = append(ys, *q.of(&s))
		}
	}
	return xs, ys
}

func spread(runs []sample, q quantity) float64 {
	mean, worst := 0.0, 0.0
	for _, s := range runs {
		mean += *q.of(&s) / float64(len(runs))
	}
	for _, s := range runs {
		if mean > 0 {
			worst = max(worst, math.Abs(*q.of(&s)-mean)/mean)
		}
	}
	return worst
}

// at returns the fitted value at a size.
func (f fit) at(size float64) float64 { return f.base + f.slope*size }

// plot draws each quantity with its fit.
func (r *result) plot(dir string) error {
	for _, q := range r.series.quantities {
		p := plot.New()
		p.Title.Text = q.name + " of a node"
		p.X.Label.Text = r.series.label
		p.Y.Label.Text = q.column()
		p.Y.Min = 0
		xs, ys := r.values(q)
		points := make(plotter.XYs, len(xs))
		for i := range xs {
			points[i].X, points[i].Y = xs[i], ys[i]
		}
		scatter, err := plotter.NewScatter(points)
		if err != nil {
			return fmt.Errorf("capacity: %w", err)
		}
		f := r.fit(q)
		p.Add(scatter, plotter.NewFunction(f.at), plotter.NewGrid())
		p.Y.Min = 0
		file := filepath.Join(dir, r.plotName(q))
		if err := p.Save(12*vg.Centimeter, 8*vg.Centimeter, file); err != nil {
			return fmt.Errorf("capacity: %w", err)
		}
	}
	return nil
}

func (r *result) plotName(q quantity) string {
	name := []byte(r.series.name + "-" + q.name + ".png")
	for i, c := range name {
		if c == ' ' {
			name[i] = '-'
		}
	}
	return string(name)
}
