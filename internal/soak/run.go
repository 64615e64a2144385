// SPDX-License-Identifier: Apache-2.0

package soak

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"ploverjunction.example/ploverjunction/internal/history"
)

// Parameters of a run and its final checks.
const (
	// callers is the number of callers per node.
	callers = 2
	// recoveryCalls is the number of calls that each node must answer after the last fault.
	recoveryCalls = 10
	// drainTime is the time after which a draining target must get no new requests,
	// as the project promises.
	drainTime = 3 * time.Second
	// clockSlack is the tolerance between the clocks of deadlines and of runs. It is
	// small because all processes share one clock.
	clockSlack = 50 * time.Millisecond
)

// Report is the result of a run.
type Report struct {
	Plan   Plan
	Calls  int
	Runs   int
	Counts map[string]int
	// Served is the share of the requests of each competing workspace served during the surge without
	// faults.
	Served []float64
	// Violations lists the violations.
	Violations []string
}

// Run executes a plan with processes of the program daemon, whose files are written
// to dir. The error is a failure of the run itself; violations are in the report.
func Run(daemon, dir string, plan Plan) (Report, error) {
	f, err := newFleet(daemon, dir, plan)
	defer f.close()
	if err != nil {
		return Report{
			Plan: plan,
		}, err
	}
	f.started = time.Now()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	records := f.load(ctx)
	err = f.runSteps()
	f.settle()
	f.surgeInCalm()
	cancel()
	report := f.check(<-records)
	f.checkRecovery()
	report.Violations = f.violations
	return report, err
}

// load starts the callers. It sends their records after the context has ended.
func (f *fleet) load(ctx context.Context) <-chan []record {
	out := make(chan []record, 1)
	var mu sync.Mutex
	var all []record
	var group sync.WaitGroup
	add := func(list []record) {
		mu.Lock()
		defer mu.Unlock()
		all = append(all, list...)
	}
	for i := range callers * len(f.nodes) {
		group.Go(func() {
			rng := rand.New(rand.NewPCG(f.plan.Seed, uint64(i)))
			add(f.caller(ctx, fmt.Sprintf("call-%d", i), rng))
		})
	}
	for i := range f.plan.Weights {
		group.Go(func() { add(f.compete(ctx, i)) })
	}
	for _, n := range f.nodes {
		group.Go(func() { f.pollRoutes(ctx, n) })
	}
	group.Go(func() { f.sendUploads(ctx) })
	if f.plan.Keyed {
		group.Go(func() { f.sendOverLimit(ctx) })
		group.Go(func() { f.sendRevokedKeys(ctx) })
	}
	if f.plan.Crashing {
		group.Go(func() { f.sendHarmful(ctx) })
	}
	go func() {
		group.Wait()
		out <- all
	}()
	return out
}

// runSteps executes all steps, each at its time, and waits for them.
func (f *fleet) runSteps() error {
	ends := make(chan error, len(f.plan.Steps))
	for _, s := range f.plan.Steps {
		go func() {
			time.Sleep(s.At - time.Since(f.started))
			f.active.Add(1)
			defer f.active.Add(-1)
			ends <- f.step(s)
		}()
	}
	var errs []error
	for range f.plan.Steps {
		errs = append(errs, <-ends)
	}
	return errors.Join(errs...)
}

// settle waits until all nodes are ready and have the newest route, then for drainTime.
func (f *fleet) settle() {
	if err := f.awaitReady(recoveryTime); err != nil {
		f.violation("not recovered %v after the last fault: %v", recoveryTime, err)
	}
	end := time.Now().Add(recoveryTime)
	newest, _ := f.newest()
	for _, n := range f.nodes {
		for n.current.Load().newestRoute.Load() < int64(newest) {
			if time.Now().After(end) {
				f.violation("node %d: route mark-%d isn't in force %v after the last fault; last response: %v", n.index, newest, recoveryTime, n.current.Load().lastPoll.Load())
				break
			}
			time.Sleep(pollInterval)
		}
	}
	time.Sleep(drainTime)
}

// checkRecovery checks, after the last fault, that each node answers and that draining
// targets get no requests.
func (f *fleet) checkRecovery() {
	before := map[int]int64{}
	for i, b := range f.targets {
		if b.draining.Load() {
			before[i] = b.Requests()
		}
	}
	c := newClient()
	defer c.CloseIdleConnections()
	for _, n := range f.nodes {
		for i := range recoveryCalls {
			r := f.makeCall(c, n, http.MethodGet, fmt.Sprintf("proof-%d-%d", n.index, i))
			if r.Status != http.StatusOK {
				f.violation("node %d: status %d, %v, after the last fault", n.index, r.Status, r.err)
				break
			}
		}
		f.checkLog(n, n.current.Load())
	}
	for i, count := range before {
		if now := f.targets[i].Requests(); now > count {
			f.violation("target %d is draining and got %d more requests", i, now-count)
		}
	}
}

// check checks all calls against the runs at the targets.
func (f *fleet) check(records []record) Report {
	report := Report{
		Plan:   f.plan,
		Calls:  len(records),
		Counts: map[string]int{},
	}
	runs := map[string][]history.Run{}
	f.checkWorkspaces()
	f.checkCrashes()
	f.checkSignals(records)
	f.checkUploads()
	f.checkBudget()
	report.Served = f.checkShares(records)
	for _, b := range f.targets {
		for _, r := range b.Runs() {
			report.Runs++
			runs[r.Key] = append(runs[r.Key], history.Run{
				Key:      r.Key,
				Target:   b.Name(),
				At:       r.At,
				Deadline: r.Deadline,
			})
		}
	}
	for i := range records {
		r := &records[i]
		report.Counts[r.Outcome]++
		f.checkCall(r, history.History{
			Calls: []history.Call{
				r.Call,
			},
			Runs: runs[r.Key],
		})
	}
	return report
}

// checkCall checks one call; h holds the call and its runs.
func (f *fleet) checkCall(r *record, h history.History) {
	f.checkUnanswered(r, len(h.Runs))
	f.checkRetryTime(r)
	for _, v := range history.Check(h, clockSlack) {
		f.violation("%s; node %d, sent at %.2fs, repeatable %t, status %d, runs %v", v, r.node, r.started.Seconds(), r.Repeatable, r.Status, f.describe(h.Runs))
	}
}

// describe formats the target and start of each run.
func (f *fleet) describe(runs []history.Run) []string {
	var out []string
	for _, r := range runs {
		out = append(out, fmt.Sprintf("%s at %.2fs", r.Target, r.At.Sub(f.started).Seconds()))
	}
	return out
}

// checkUnanswered checks calls without an answer. They are allowed only if the process was
// killed or paused, or if a stopping process closed the connection before it read
// the request.
func (f *fleet) checkUnanswered(r *record, runs int) {
	if r.err == nil || r.refused || r.process.disturbed.Load() {
		return
	}
	if runs > 0 || !r.process.stopped.Load() {
		f.violation("node %d: no answer to %s, sent at %.2fs, ran %d times: %v", r.node, r.Key, r.started.Seconds(), runs, r.err)
	}
}
