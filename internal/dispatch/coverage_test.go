// SPDX-License-Identifier: Apache-2.0

package dispatch_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"ploverjunction.example/ploverjunction/internal/dispatch"
)

// The expected probabilities are calculated by hand.
func TestShortProbability(t *testing.T) {
	tests := []struct {
		name          string
		reached, idle []float64
		floor         float64
		want          float64
	}{
		{
			name:    "all reached",
			floor:   0.7,
			reached: []float64{1, 0.5},
		},
		{
			name:    "one of four missed",
			floor:   0.7,
			reached: []float64{1, 1, 1},
			idle:    []float64{1},
		},
		{
			name:    "one of three missed if it works",
			floor:   0.7,
			reached: []float64{1, 1},
			idle:    []float64{0.4},
			want:    0.4,
		},
		{
			name:    "one of three missed if another one does not count",
			floor:   0.7,
			reached: []float64{1, 1, 0.5},
			idle:    []float64{0.4},
			want:    0.2,
		},
		{
			name:    "two of five missed",
			floor:   0.7,
			reached: []float64{1, 1, 1},
			idle:    []float64{0.5, 0.5},
			want:    0.25,
		},
		{
			name:  "no floor",
			floor: 0,
			idle:  []float64{1},
		},
		{
			name:    "all must be reached",
			floor:   1,
			reached: []float64{1, 1, 1, 1, 1},
			idle:    []float64{0.1},
			want:    0.1,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if got := dispatch.ShortProbability(tt.reached, tt.idle, tt.floor); math.Abs(got-tt.want) > 1e-9 {
				t.Errorf("got %v, want %v", got, tt.want)
			}
		})
	}
}

// The approximation for many targets stays close to the exact probability.
func TestApproxShortProbability(t *testing.T) {
	const most = 0.03
	rng := rand.New(rand.NewPCG(1, 42))
	worst := 0.0
	for range 300 {
		var reached, idle []float64
		good := rng.Float64()
		for range 100 + rng.IntN(50) {
			p := 0.98 - 0.5*good*rng.Float64()
			if rng.Float64() < 0.65+0.15*rng.Float64() {
				reached = append(reached, p)
			} else {
				idle = append(idle, p)
			}
		}
		exact, approx := dispatch.ShortProbability(reached, idle, 0.7), dispatch.ApproxShortProbability(reached, idle, 0.7)
		worst = max(worst, math.Abs(exact-approx))
	}
	t.Logf("off by %.4f at most", worst)
	if worst > most {
		t.Errorf("off by %.4f, want at most %v", worst, most)
	}
}

// The status reports when targets that may work again get no work: at first they certainly fail and
// do not count, later they are uncovered.
func TestStatusReportsUncoveredTargets(t *testing.T) {
	d, now := newTrainedScheduler(pool(6)...)
	for _, key := range []string{"t0", "t1", "t2"} {
		for range 3 {
			d.RecordRemote(now, key, "", dispatch.ResultBad, time.Millisecond)
		}
	}
	short := func(at time.Time) float64 {
		for _, key := range []string{"t3", "t4", "t5"} {
			d.RecordRemote(at, key, "", dispatch.ResultGood, usualTime)
		}
		return d.Status(at).ShortProbability
	}
	if p := short(now.Add(2 * time.Second)); p > 0.01 {
		t.Errorf("after 2 s: %.3f", p)
	}
	if p := short(now.Add(20 * time.Second)); p < 0.2 {
		t.Errorf("after 20 s: %.3f", p)
	}
}

// A grant whose target could not be reached does not count as work of the target.
func TestUnreachedTargetStillLacksWork(t *testing.T) {
	for _, unreached := range []bool{false, true} {
		d, now := newTrainedScheduler(pool(3)...)
		now = now.Add(3 * time.Second)
		for _, key := range []string{"t1", "t2"} {
			d.RecordRemote(now, key, "", dispatch.ResultGood, usualTime)
		}
		a := newRequest(now, 1)
		a.Tried = []string{"t1", "t2"}
		g := d.RequestGrant(now, a)
		if g.Target != "t0" {
			t.Fatalf("got %q", g.Target)
		}
		r := dispatch.ResultIgnored
		if unreached {
			r = dispatch.ResultUnreached
		}
		d.Done(now, g.ID, g.Target, r, 0)
		if short := d.Status(now).ShortProbability > 0.3; short != unreached {
			t.Errorf("unreached: %v; short: %v", unreached, d.Status(now).ShortProbability)
		}
	}
}

// The same holds for a grant of another scheduler.
func TestRemoteUnreachedTargetLacksWork(t *testing.T) {
	for _, r := range []dispatch.Result{dispatch.ResultUnreached, dispatch.ResultIgnored} {
		d, now := newTrainedScheduler(pool(3)...)
		now = now.Add(3 * time.Second)
		for _, key := range []string{"t1", "t2"} {
			d.RecordRemote(now, key, "", dispatch.ResultGood, usualTime)
		}
		d.RecordRemote(now, "t0", "", r, 0)
		if short := d.Status(now).ShortProbability > 0.3; short != (r == dispatch.ResultUnreached) {
			t.Errorf("%v; short: %v", r, d.Status(now).ShortProbability)
		}
	}
}

// The first attempt of a request may go to a target that lacks work. A retry, after which the
// request is lost, goes where an answer is most likely.
func TestRetriesDoNotServeCoverage(t *testing.T) {
	for _, retry := range []bool{false, true} {
		d, now := newTrainedScheduler(pool(3)...)
		d.RecordRemote(now, "t1", "", dispatch.ResultBad, time.Millisecond)
		now = now.Add(6 * time.Second)
		for _, key := range []string{"t0", "t2"} {
			d.RecordRemote(now, key, "", dispatch.ResultGood, usualTime)
		}
		a := newRequest(now, 1)
		a.Repeatable, a.Retry = true, retry
		if g := d.RequestGrant(now, a); g.Trial == retry || (g.Target == "t1") == retry {
			t.Errorf("retry: %v; got %q, trial %v", retry, g.Target, g.Trial)
		}
	}
}

// If requests are too few to reach most of the targets, large answers do not cross data halls for
// it.
func TestFewRequestsStayInTheDataHall(t *testing.T) {
	targets := pool(8)
	for i := range targets {
		targets[i].DataHall = "b"
	}
	targets[0].DataHall, targets[1].DataHall = "a", "a"
	d := newScheduler(targets...)
	for n := range uint64(60) {
		now := start.Add(time.Duration(n) * 500 * time.Millisecond)
		a := newRequest(now, n)
		a.Repeatable, a.Kilobytes = true, 90
		g := d.RequestGrant(now, a)
		if g.Target != "t0" && g.Target != "t1" {
			t.Fatalf("request %d: %q", n, g.Target)
		}
		d.Done(now.Add(usualTime), g.ID, g.Target, dispatch.ResultGood, usualTime)
	}
}

// An attempt that its node could not send must be no evidence against the target and no work for it.
func TestUnsentAttemptLeavesNoTrace(t *testing.T) {
	d := newScheduler(pool(1)...)
	now := start
	for n := range uint64(20) {
		g := d.RequestGrant(now, newRequest(now, n))
		if g.Decision != dispatch.Granted {
			t.Fatalf("request %d: %v", n, g.Decision)
		}
		now = now.Add(time.Millisecond)
		d.Done(now, g.ID, g.Target, dispatch.ResultUnsent, time.Millisecond)
	}
	if p := d.Status(now).Targets[0].FailureProbability; p > 0.1 {
		t.Errorf("failing with probability %.2f after attempts that were not sent", p)
	}
}
