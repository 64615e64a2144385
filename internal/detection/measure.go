// SPDX-License-Identifier: Apache-2.0

package main

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"
)

// Pools of the users, with assumed loads of about a sixth of their slots.
var (
	quotes = pool{
		name:    "quotes",
		targets: 16,
		slots:   3,
		nodes:   40,
		halls:   3,
		rate:    80,
		median:  80 * time.Millisecond,
	}
	reservations = pool{
		name:    "reservations",
		targets: 9,
		slots:   3,
		nodes:   40,
		halls:   3,
		rate:    45,
		median:  80 * time.Millisecond,
	}
	documents = pool{
		name:    "documents",
		targets: 6,
		slots:   3,
		nodes:   40,
		halls:   3,
		rate:    30,
		median:  80 * time.Millisecond,
	}
	drafts = pool{
		name:    "drafts",
		targets: 20,
		slots:   4,
		nodes:   40,
		halls:   4,
		rate:    130,
		median:  80 * time.Millisecond,
	}
	receipts = pool{
		name:    "receipts",
		targets: 9,
		slots:   4,
		nodes:   40,
		halls:   4,
		rate:    60,
		median:  80 * time.Millisecond,
	}
	exports = pool{
		name:    "exports",
		targets: 8,
		slots:   4,
		nodes:   40,
		halls:   4,
		rate:    50,
		median:  80 * time.Millisecond,
	}
)

// method is a named strategy of ejection.
type method struct {
	name string
	// threshold is the parameter of shared evidence, 0 for baselines.
	threshold float64
	build     func(w *world)
}

func sharedMethod(threshold float64) method {
	return method{
		name:      fmt.Sprintf("shared evidence, threshold %g", threshold),
		threshold: threshold,
		build:     sharedEvidence(threshold),
	}
}

// thresholds are the points of the curve.
var thresholds = []float64{4, 7, 10, 14, 20}

func baselines() []method {
	return []method{
		{
			name:  "no ejection",
			build: baseline(0, never),
		},
		{
			name:  "5 failures in a row, each node alone",
			build: baseline(0, consecutive),
		},
		{
			name:  "success rate, each node alone",
			build: baseline(rateInterval, successRate),
		},
	}
}

// Times of a run with a fault.
const (
	warmUp        = time.Minute
	faultTime     = time.Minute
	checkInterval = 50 * time.Millisecond
)

// faultRun is one run with a fault.
type faultRun struct {
	// detected is the time until detection; negative means never.
	detected time.Duration
	// falseEjections is the number of ejections that the fault doesn't justify, divided
	// by the number of nodes.
	falseEjections float64
	// lost is the number of failed requests.
	lost int
}

func runFault(p pool, m method, f fault, seed uint64) faultRun {
	w := newWorld(p, seed, m.build)
	w.runUntil(warmUp)
	before, lost := w.falseEjections(f), w.failed
	f.begin(w)
	out := faultRun{
		detected: -1,
	}
	for w.now < warmUp+faultTime {
		w.runUntil(w.now + checkInterval)
		if out.detected < 0 && f.detected != nil && f.detected(w) {
			out.detected = w.now - warmUp
		}
	}
	out.falseEjections = w.falseEjections(f) - before
	out.lost = w.failed - lost
	return out
}

// falseEjections returns the ejections that a fault doesn't justify, divided by the number
// of nodes.
func (w *world) falseEjections(f fault) float64 {
	all := w.ejections(f.sick...)
	if f.cut == nil {
		return all
	}
	right := 0
	for _, n := range f.cut(w) {
		right += w.nodes[n].ejections[0]
	}
	return all - float64(right)/float64(len(w.nodes))
}

// cell holds the runs of one method under one fault.
type cell struct {
	pool   pool
	method method
	fault  fault
	runs   []faultRun
}

// quietCell holds the results of one method without faults.
type quietCell struct {
	pool   pool
	method method
	// length is the time without faults.
	length time.Duration
	// perDay is the number of false ejections per day.
	perDay float64
	failed float64
}

// report holds all results.
type report struct {
	args  arguments
	cells []*cell
	quiet []*quietCell
}

// workers is the number of jobs that run concurrently.
const workers = 4

func measureAll(args arguments) (*report, error) {
	r := &report{
		args: args,
	}
	var jobs []job
	for _, p := range []pool{documents, drafts} {
		methods := baselines()
		for _, h := range thresholds {
			methods = append(methods, sharedMethod(h))
		}
		for _, m := range methods {
			jobs = append(jobs, r.quietJob(p, m, args.Quiet))
			for _, f := range faults() {
				jobs = append(jobs, r.faultJob(p, m, f))
			}
		}
	}
	for _, p := range []pool{quotes, reservations, documents, drafts, receipts, exports} {
		m := sharedMethod(recommendedThreshold(p))
		jobs = append(jobs, r.quietJob(p, m, args.Long))
		if p.name != documents.name && p.name != drafts.name {
			jobs = append(jobs, r.faultJob(p, m, faults()[0]))
		}
	}
	runJobs(jobs, args.Only)
	return r, nil
}

// recommendedThreshold returns the threshold that the page recommends for the user of a pool:
// the non-profit gives priority to few false ejections, the directorate to short detection
// times.
func recommendedThreshold(p pool) float64 {
	if slices.Contains([]string{quotes.name, reservations.name, documents.name}, p.name) {
		return leasingThreshold
	}
	return directorateThreshold
}

// Thresholds that the page recommends.
const (
	leasingThreshold     = 14
	directorateThreshold = 7
)

// job measures one cell.
type job struct {
	name string
	run  func()
}

func runJobs(jobs []job, only string) {
	var wg sync.WaitGroup
	next := make(chan func())
	for range workers {
		wg.Go(func() {
			for run := range next {
				run()
			}
		})
	}
	for _, j := range jobs {
		if strings.Contains(j.name, only) {
			next <- j.run
		}
	}
	close(next)
	wg.Wait()
}

func (r *report) quietJob(p pool, m method, length time.Duration) job {
	c := &quietCell{
		pool:   p,
		method: m,
		length: length,
	}
	r.quiet = append(r.quiet, c)
	return job{
		name: "quiet " + p.name + ", " + m.name,
		run:  func() { r.runQuiet(c) },
	}
}

func (r *report) runQuiet(c *quietCell) {
	w := newWorld(c.pool, 1, c.method.build)
	w.runUntil(c.length)
	c.perDay = w.ejections() * float64(24*time.Hour) / float64(c.length)
	c.failed = float64(w.failed) / float64(max(w.served, 1))
	fmt.Printf("quiet %s, %s: %.2f a day\n", c.pool.name, c.method.name, c.perDay)
}

func (r *report) faultJob(p pool, m method, f fault) job {
	c := &cell{
		pool:   p,
		method: m,
		fault:  f,
	}
	r.cells = append(r.cells, c)
	return job{
		name: p.name + ", " + m.name + ", " + f.name,
		run:  func() { r.runFaults(c) },
	}
}

func (r *report) runFaults(c *cell) {
	for i := range r.args.Runs {
		c.runs = append(c.runs, runFault(c.pool, c.method, c.fault, uint64(i+1)))
	}
	fmt.Printf("%s, %s, %s: %s\n", c.pool.name, c.method.name, c.fault.name, c.summary())
}

// detection returns the median and the 95th percentile of the detection time, and in how
// many runs the fault was not detected; these count as faultTime.
func (c *cell) detection() (median, p95 time.Duration, missed int) {
	var times []time.Duration
	for _, t := range c.runs {
		if t.detected < 0 {
			missed++
			times = append(times, faultTime)
			continue
		}
		times = append(times, t.detected)
	}
	slices.Sort(times)
	return times[len(times)/2], times[len(times)*95/100], missed
}

func (c *cell) falseEjections() float64 {
	total := 0.0
	for _, t := range c.runs {
		total += t.falseEjections / float64(len(c.runs))
	}
	return total
}

func (c *cell) lost() float64 {
	total := 0.0
	for _, t := range c.runs {
		total += float64(t.lost) / float64(len(c.runs))
	}
	return total
}

func (c *cell) summary() string {
	median, high, never := c.detection()
	return fmt.Sprintf("median %v, 95%% %v, never %d of %d, wrong %.2f, lost %.0f", median, high, never, len(c.runs), c.falseEjections(), c.lost())
}
