// SPDX-License-Identifier: Apache-2.0

package soak_test

import (
	"bufio"
	"errors"
	"flag"
	"fmt"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"ploverjunction.example/ploverjunction/internal/soak"
	"ploverjunction.example/ploverjunction/internal/standin/process"
)

var (
	seeds      = flag.Uint64("seeds", 2, "how many seeds to run in addition to the regression seeds")
	first      = flag.Uint64("first", 1, "the first of these seeds")
	nodes      = flag.Int("nodes", 4, "nodes of each fleet")
	concurrent = flag.Int("beside", 2, "fleets to run concurrently")
)

// TestSoak runs the regression seeds, each of which once caused a violation, and the
// seeds selected by the flags.
func TestSoak(t *testing.T) {
	daemon, err := process.Build(t.TempDir(), "ploverd")
	if err != nil {
		t.Fatal(err)
	}
	list := regressionSeeds(t)
	for i := range *seeds {
		list = append(list, *first+i)
	}
	free := make(chan struct{}, *concurrent)
	var all sync.WaitGroup
	for _, seed := range list {
		free <- struct{}{}
		all.Go(func() {
			defer func() { <-free }()
			runPlan(t, daemon, seed)
		})
	}
	all.Wait()
}

// Guards against nodes that start with the whole limit of a workspace instead of an equal share.
func TestSoakWorkspaceLimit(t *testing.T) { runSeed(t, 30014) }

// Guards against requests to a target that drains from its start, when a node received the signal before the incarnation.
func TestSoakDrainingBeforeItsIncarnationIsKnown(t *testing.T) { runSeed(t, 30022) }

func runSeed(t *testing.T, seed uint64) {
	t.Helper()
	daemon, err := process.Build(t.TempDir(), "ploverd")
	if err != nil {
		t.Fatal(err)
	}
	runPlan(t, daemon, seed)
}

func runPlan(t *testing.T, daemon string, seed uint64) {
	plan := soak.NewPlan(seed, *nodes)
	report, err := soak.Run(daemon, t.TempDir(), plan)
	if err != nil {
		t.Errorf("seed %d: %v", seed, err)
	}
	t.Logf("seed %d: joint %t, harmful %t, saying %t, limiting %t, restoring %t, rejecting %t, weights %v, served %.3f, %d steps, %d calls %v, %d runs", seed, plan.Joint, plan.Crashing, plan.Signaling, plan.Limiting, plan.Restoring, rejecting(plan), plan.Weights, report.Served, len(plan.Steps), report.Calls, report.Counts, report.Runs)
	for _, b := range report.Violations {
		t.Errorf("seed %d: %s", seed, b)
	}
	if len(report.Violations) > 0 {
		for _, s := range plan.Steps {
			t.Logf("seed %d: %6.2fs for %4.2fs %s %d %s", seed, s.At.Seconds(), s.For.Seconds(), s.Kind, s.Index, factor(s))
		}
		if s := plan.CalmSurge; s.Factor > 0 {
			t.Logf("seed %d: then  for %4.2fs %s %d %s", seed, s.For.Seconds(), s.Kind, s.Index, factor(s))
		}
	}
}

func rejecting(p soak.Plan) bool {
	return slices.ContainsFunc(p.Steps, func(s soak.Step) bool { return s.Kind == soak.KindServiceRejects })
}

// factor returns the factor of a surge as text, "" for other steps.
func factor(s soak.Step) string {
	if s.Factor == 0 {
		return ""
	}
	return fmt.Sprintf("%d times", s.Factor)
}

// regressionSeeds returns the seeds that have failed before.
func regressionSeeds(t *testing.T) []uint64 {
	t.Helper()
	file, err := os.Open("testdata/seeds.tsv")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = file.Close() }()
	var out []uint64
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		if strings.HasPrefix(lines.Text(), "#") {
			continue
		}
		seed, err := strconv.ParseUint(strings.Split(lines.Text(), "\t")[0], 10, 64)
		if err != nil {
			t.Fatal(err)
		}
		out = append(out, seed)
	}
	return out
}

// Guards against plans that depend on more than their seed, so that a failure can't be reproduced.
func TestPlanIsDeterminedBySeed(t *testing.T) {
	a, b, c := soak.NewPlan(7, 4), soak.NewPlan(7, 4), soak.NewPlan(8, 4)
	if len(a.Steps) != len(b.Steps) {
		t.Fatalf("%d and %d steps", len(a.Steps), len(b.Steps))
	}
	for i := range a.Steps {
		if a.Steps[i] != b.Steps[i] {
			t.Errorf("step %d: %v and %v", i, a.Steps[i], b.Steps[i])
		}
	}
	if len(a.Steps) == len(c.Steps) && a.Steps[0] == c.Steps[0] {
		t.Error("two seeds give the same steps")
	}
}

// Guards against checks that miss a violation or report a correct call.
func TestChecksDetectViolations(t *testing.T) {
	lost := errors.New("connection closed")
	cases := []struct {
		name   string
		call   soak.Observed
		broken bool
	}{
		{
			name: "done",
			call: soak.Observed{
				Outcome: "done",
				Runs:    1,
			},
		},
		{
			name: "ran twice",
			call: soak.Observed{
				Outcome: "done",
				Post:    true,
				Runs:    2,
			},
			broken: true,
		},
		{
			name: "not run, but ran",
			call: soak.Observed{
				Outcome: "not-run",
				Runs:    1,
			},
			broken: true,
		},
		{
			name: "refused with a retry time",
			call: soak.Observed{
				Outcome:    "not-run",
				Status:     http.StatusServiceUnavailable,
				RetryAfter: "2",
			},
		},
		{
			name: "refused without a retry time",
			call: soak.Observed{
				Outcome: "not-run",
				Status:  http.StatusServiceUnavailable,
			},
			broken: true,
		},
		{
			name: "refused for no time",
			call: soak.Observed{
				Outcome:    "not-run",
				Status:     http.StatusTooManyRequests,
				RetryAfter: "0",
			},
			broken: true,
		},
		{
			name: "done, but never ran",
			call: soak.Observed{
				Outcome: "done",
			},
			broken: true,
		},
		{
			name: "cut by a planned stop",
			call: soak.Observed{
				Err:     lost,
				Stopped: true,
				Runs:    1,
			},
			broken: true,
		},
		{
			name: "closed before it was read by a planned stop",
			call: soak.Observed{
				Err:     lost,
				Stopped: true,
			},
		},
		{
			name: "cut by a kill",
			call: soak.Observed{
				Err:       lost,
				Disturbed: true,
				Runs:      1,
			},
		},
		{
			name: "no answer from an undisturbed process",
			call: soak.Observed{
				Err: lost,
			},
			broken: true,
		},
	}
	for _, c := range cases {
		if got := soak.Judge(c.call); len(got) > 0 != c.broken {
			t.Errorf("%s: %v", c.name, got)
		}
	}
}

// Guards against a check that misses retries beyond the budget or counts those of another window.
func TestBudgetCheck(t *testing.T) {
	// every returns n times at equal intervals within 10 s from at.
	every := func(n int, at time.Duration) []time.Duration {
		var out []time.Duration
		for i := range n {
			out = append(out, at+time.Duration(i)*10*time.Second/time.Duration(n))
		}
		return out
	}
	cases := []struct {
		name string
		// firsts is the number of requests in each 10 s.
		firsts  int
		retries []time.Duration
		beyond  bool
	}{
		{
			name:    "share and reserve",
			firsts:  100,
			retries: every(20, time.Second),
		},
		{
			name:    "one more",
			firsts:  100,
			retries: every(21, time.Second),
			beyond:  true,
		},
		{
			name:    "in two windows",
			firsts:  100,
			retries: append(every(20, 0), every(20, 10*time.Second)...),
		},
		{
			name:    "without requests",
			retries: every(11, 30*time.Second),
			beyond:  true,
		},
	}
	for _, c := range cases {
		var firsts []time.Duration
		for at := time.Duration(0); at < 40*time.Second; at += 10 * time.Second {
			firsts = append(firsts, every(c.firsts, at)...)
		}
		if got := soak.BeyondBudget(firsts, c.retries); (got != "") != c.beyond {
			t.Errorf("%s: %q", c.name, got)
		}
	}
}

// Guards against a check of shares that misses refusals of a workspace within its share or asks for those
// of the one beyond it.
func TestShareCheck(t *testing.T) {
	if got := soak.JudgeShares(98, 20); len(got) > 0 {
		t.Error(got)
	}
	if got := soak.JudgeShares(97, 20); len(got) != 1 {
		t.Errorf("%d of 100 requests within the share served: %v", 97, got)
	}
}
