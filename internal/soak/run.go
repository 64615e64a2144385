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

// Counts of the end of a run.
const (
	// callers is how many callers there are for each node.
	callers = 2
	// proofs is how many calls each node must answer once all faults are over.
	proofs = 10
	// leaveTime is within which a target that leaves gets no new work: the
	// project's promise.
	leaveTime = 3 * time.Second
	// clockSlack is how far the clocks behind deadlines and runs may differ: all
	// processes use one clock here.
	clockSlack = 50 * time.Millisecond
)

// Report is what a run showed.
type Report struct {
	Plan   Plan
	Calls  int
	Runs   int
	Counts map[string]int
	// Broken are the broken promises.
	Broken []string
}

// Run plays a plan with processes of a program, whose files go into a folder. The
// error is one of the run itself, not of the fleet.
func Run(daemon, dir string, plan Plan) (Report, error) {
	f, err := newFleet(daemon, dir, plan)
	defer f.close()
	if err != nil {
		return Report{
			Plan: plan,
		}, err
	}
	f.begun = time.Now()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	records := f.load(ctx)
	err = f.play()
	f.settle()
	cancel()
	report := f.judge(<-records)
	f.prove()
	report.Broken = f.faults
	return report, err
}

// load starts the callers; their records come when the context has ended.
func (f *fleet) load(ctx context.Context) <-chan []record {
	out := make(chan []record, 1)
	var mu sync.Mutex
	var all []record
	var group sync.WaitGroup
	for i := range callers * len(f.nodes) {
		group.Go(func() {
			rng := rand.New(rand.NewPCG(f.plan.Seed, uint64(i)))
			list := f.caller(ctx, fmt.Sprintf("call-%d", i), rng)
			mu.Lock()
			defer mu.Unlock()
			all = append(all, list...)
		})
	}
	for _, n := range f.nodes {
		group.Go(func() { f.look(ctx, n) })
	}
	if f.plan.Keyed {
		group.Go(func() { f.hot(ctx) })
		group.Go(func() { f.takenAway(ctx) })
	}
	if f.plan.Harmful {
		group.Go(func() { f.harm(ctx) })
	}
	go func() {
		group.Wait()
		out <- all
	}()
	return out
}

// play makes all steps, each at its time, and waits for their ends.
func (f *fleet) play() error {
	ends := make(chan error, len(f.plan.Steps))
	for _, s := range f.plan.Steps {
		go func() {
			time.Sleep(s.At - time.Since(f.begun))
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

// settle waits until the fleet serves again and has all that was published.
func (f *fleet) settle() {
	if err := f.awaitReady(backTime); err != nil {
		f.broken("not back %v after the last fault: %v", backTime, err)
	}
	end := time.Now().Add(backTime)
	newest, _ := f.newest()
	for _, n := range f.nodes {
		for n.life.Load().known.Load() < int64(newest) {
			if time.Now().After(end) {
				f.broken("node %d: route mark-%d isn't in force %v after the last fault", n.index, newest, backTime)
				break
			}
			time.Sleep(lookInterval)
		}
	}
	time.Sleep(leaveTime)
}

// prove calls each node once nothing is wrong any more, and looks whether targets
// that left get work.
func (f *fleet) prove() {
	before := map[int]int64{}
	for i, b := range f.targets {
		if b.leaving.Load() {
			before[i] = b.Requests()
		}
	}
	c := newClient()
	defer c.CloseIdleConnections()
	for _, n := range f.nodes {
		for i := range proofs {
			r := f.one(c, n, http.MethodGet, fmt.Sprintf("proof-%d-%d", n.index, i))
			if r.Status != http.StatusOK {
				f.broken("node %d: status %d, %v, when all faults are over", n.index, r.Status, r.err)
				break
			}
		}
		f.checkLog(n, n.life.Load())
	}
	for i, count := range before {
		if now := f.targets[i].Requests(); now > count {
			f.broken("target %d left and got %d requests since", i, now-count)
		}
	}
}

// judge checks all calls against all runs.
func (f *fleet) judge(records []record) Report {
	report := Report{
		Plan:   f.plan,
		Calls:  len(records),
		Counts: map[string]int{},
	}
	runs := map[string][]history.Run{}
	f.judgeWorkspaces()
	f.judgeHarm()
	f.judgeSaying(records)
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
		f.judgeCall(r, history.History{
			Calls: []history.Call{
				r.Call,
			},
			Runs: runs[r.Key],
		})
	}
	return report
}

// judgeCall checks one call; h holds it and its runs.
func (f *fleet) judgeCall(r *record, h history.History) {
	f.judgeEnd(r, len(h.Runs))
	for _, v := range history.Check(h, clockSlack) {
		f.broken("%s; node %d, sent at %.2fs, repeatable %t, status %d, runs %v", v, r.node, r.begun.Seconds(), r.Repeatable, r.Status, f.describe(h.Runs))
	}
}

// describe tells where and when runs began.
func (f *fleet) describe(runs []history.Run) []string {
	var out []string
	for _, r := range runs {
		out = append(out, fmt.Sprintf("%s at %.2fs", r.Target, r.At.Sub(f.begun).Seconds()))
	}
	return out
}

// judgeEnd looks at calls without an answer: only the death or pause of the
// process explains them, or a connection that was closed before the request was
// read.
func (f *fleet) judgeEnd(r *record, runs int) {
	if r.err == nil || r.refused || r.life.disturbed.Load() {
		return
	}
	if runs > 0 || !r.life.stopped.Load() {
		f.broken("node %d: no answer to %s, sent at %.2fs, ran %d times: %v", r.node, r.Key, r.begun.Seconds(), runs, r.err)
	}
}
