// SPDX-License-Identifier: Apache-2.0

package outlier_test

import (
	"fmt"
	"testing"
	"time"

	"ploverjunction.example/ploverjunction/internal/outlier"
	"ploverjunction.example/ploverjunction/internal/policy"
)

const threshold = 7

var start = time.Unix(1_000_000, 0)

// updateUntilSick updates a detector with the same counts for up to ticks ticks of a
// second and returns the number of ticks after which the first target's score
// reached the threshold, or 0.
func updateUntilSick(d *outlier.Detector, ticks int, first, others outlier.Counts) int {
	for i := range ticks {
		counts := []outlier.Counts{first}
		counts[0].Target = "first"
		for j := range 5 {
			c := others
			c.Target = fmt.Sprint("other", j)
			counts = append(counts, c)
		}
		d.Update(start.Add(time.Duration(i)*time.Second), counts)
		if d.Score("first").Score >= threshold {
			return i + 1
		}
	}
	return 0
}

func TestDetector(t *testing.T) {
	good := outlier.Counts{
		Good: 20,
	}
	cases := []struct {
		name   string
		first  outlier.Counts
		others outlier.Counts
		// least and most bound the ticks until detection; 0 means never.
		least, most int
	}{
		{
			name:   "healthy",
			first:  good,
			others: good,
			least:  0,
			most:   0,
		},
		{
			name: "as bad as the usual pool",
			first: outlier.Counts{
				Good: 98,
				Bad:  2,
			},
			others: outlier.Counts{
				Good: 98,
				Bad:  2,
			},
			least: 0,
			most:  0,
		},
		{
			name: "all bad",
			first: outlier.Counts{
				Bad: 20,
			},
			others: good,
			least:  2,
			most:   4,
		},
		{
			name: "a third bad",
			first: outlier.Counts{
				Good: 14,
				Bad:  6,
			},
			others: good,
			least:  2,
			most:   6,
		},
		{
			name: "one bad request",
			first: outlier.Counts{
				Bad: 0.01,
			},
			others: good,
			least:  0,
			most:   0,
		},
		{
			name:   "no traffic",
			first:  outlier.Counts{},
			others: good,
			least:  0,
			most:   0,
		},
		{
			name: "one of many lost with a data hall",
			first: outlier.Counts{
				Bad: 20,
			},
			others: outlier.Counts{
				Good: 12,
				Bad:  8,
			},
			least: 2,
			most:  6,
		},
		{
			name: "a good one in a bad pool",
			first: outlier.Counts{
				Good: 20,
			},
			others: outlier.Counts{
				Good: 1,
				Bad:  19,
			},
			least: 0,
			most:  0,
		},
		{
			name: "the whole pool bad",
			first: outlier.Counts{
				Bad: 20,
			},
			others: outlier.Counts{
				Bad: 20,
			},
			least: 0,
			most:  4,
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			ticks := updateUntilSick(outlier.NewDetector(threshold), 20, c.first, c.others)
			if ticks < c.least || ticks > c.most {
				t.Fatalf("detected after %d ticks, want %d to %d", ticks, c.least, c.most)
			}
		})
	}
}

// While most of the pool fails, one more bad target is no evidence against it.
func TestCommonCauseStopsEjections(t *testing.T) {
	d := outlier.NewDetector(threshold)
	bad := outlier.Counts{
		Good: 10,
		Bad:  10,
	}
	updateUntilSick(d, 3, bad, bad)
	d.Reset("first")
	if ticks := updateUntilSick(d, 20, bad, bad); ticks != 0 {
		t.Fatalf("detected after %d ticks while the whole pool fails", ticks)
	}
}

func TestShortPauseOfATargetIsNotDetected(t *testing.T) {
	d := outlier.NewDetector(threshold)
	good := outlier.Counts{
		Good: 5,
	}
	updateUntilSick(d, 10, good, good)
	if n := updateUntilSick(d, 1, outlier.Counts{
		Bad: 20,
	}, good); n != 0 {
		t.Fatal("detected after one bad tick")
	}
	if n := updateUntilSick(d, 10, good, good); n != 0 {
		t.Fatalf("detected %d ticks after the pause", n)
	}
}

func TestSilentStallIsDetected(t *testing.T) {
	d := outlier.NewDetector(threshold)
	good := outlier.Counts{
		Good: 5,
	}
	updateUntilSick(d, 1, outlier.Counts{
		Bad:     4,
		Stalled: 4,
	}, good)
	// All callers are blocked on their answers, so no further request ends.
	if n := updateUntilSick(d, 10, outlier.Counts{}, good); n == 0 {
		t.Fatal("stalled target not detected: gain beyond the first tick was not carried over")
	}
}

func TestCollector(t *testing.T) {
	const tick = 250 * time.Millisecond
	cases := []struct {
		name string
		// run gets a collector whose median latency is 10 ms.
		run  func(c *outlier.Collector, now time.Time) time.Time
		want outlier.Counts
	}{
		{
			name: "good",
			run: func(c *outlier.Collector, now time.Time) time.Time {
				c.Begin(now, "s", "c", "t").End(now.Add(10*time.Millisecond), outlier.Result{})
				return now.Add(tick)
			},
			want: outlier.Counts{
				Good: 1,
			},
		},
		{
			name: "failed",
			run: func(c *outlier.Collector, now time.Time) time.Time {
				c.Begin(now, "s", "c", "t").End(now, outlier.Result{
					Failed: true,
				})
				return now.Add(tick)
			},
			want: outlier.Counts{
				Bad: 1,
			},
		},
		{
			name: "slow",
			run: func(c *outlier.Collector, now time.Time) time.Time {
				c.Begin(now, "s", "c", "t").End(now.Add(100*time.Millisecond), outlier.Result{})
				return now.Add(tick)
			},
			want: outlier.Counts{
				Bad: 1,
			},
		},
		{
			name: "shed",
			run: func(c *outlier.Collector, now time.Time) time.Time {
				c.Begin(now, "s", "c", "t").End(now, outlier.Result{
					Failed:  true,
					Ignored: true,
				})
				return now.Add(tick)
			},
			want: outlier.Counts{},
		},
		{
			name: "cancelled when slow",
			run: func(c *outlier.Collector, now time.Time) time.Time {
				c.Begin(now, "s", "c", "t").End(now.Add(time.Second), outlier.Result{
					Ignored: true,
				})
				return now.Add(tick)
			},
			want: outlier.Counts{
				Bad: 1,
			},
		},
		{
			name: "still in flight",
			run: func(c *outlier.Collector, now time.Time) time.Time {
				c.Begin(now, "s", "c", "t")
				return now.Add(tick)
			},
			want: outlier.Counts{
				Bad:     1,
				Stalled: 1,
			},
		},
		{
			name: "across a pause of this process",
			run: func(c *outlier.Collector, now time.Time) time.Time {
				c.Begin(now, "s", "c", "t")
				return now.Add(time.Minute)
			},
			want: outlier.Counts{},
		},
		{
			name: "leaving",
			run: func(c *outlier.Collector, now time.Time) time.Time {
				c.Begin(now, "s", "c", "t").End(now, outlier.Result{
					Draining: true,
				})
				return now.Add(tick)
			},
			want: outlier.Counts{
				Good:     1,
				Draining: true,
			},
		},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			c := outlier.NewCollector(tick)
			for range 20 {
				c.Begin(start, "s", "c", "u").End(start.Add(10*time.Millisecond), outlier.Result{})
			}
			c.Drain(start)
			var got outlier.Counts
			for _, e := range c.Drain(tc.run(c, start)) {
				got = e.Counts
			}
			got.Target = ""
			if got != tc.want {
				t.Fatalf("got %+v, want %+v", got, tc.want)
			}
		})
	}
}

// phases advances the controller in steps of a second and returns the phases of target t in order.
func phases(controller *outlier.Controller, from time.Time, seconds int, evidence outlier.Counts) []outlier.Phase {
	var out []outlier.Phase
	evidence.Target = "t"
	for i := range seconds {
		now := from.Add(time.Duration(i) * time.Second)
		controller.Record(now, evidence)
		controller.Advance(now)
		if p := controller.State(now, "t").Phase; len(out) == 0 || out[len(out)-1] != p {
			out = append(out, p)
		}
	}
	return out
}

func TestReinstatementPassesAllPhases(t *testing.T) {
	controller := outlier.NewController()
	controller.SetTargets(start, []string{"t", "u"})
	controller.EjectLocal(start, "t", threshold)
	got := phases(controller, start, 40, outlier.Counts{
		Good: 1,
	})
	want := []outlier.Phase{outlier.PhaseEjected, outlier.PhaseTrial, outlier.PhaseWarming, outlier.PhaseHealthy}
	if fmt.Sprint(got) != fmt.Sprint(want) {
		t.Fatalf("phases %v, want %v", got, want)
	}
}

func TestRelapseExtendsEjection(t *testing.T) {
	controller := outlier.NewController()
	controller.SetTargets(start, []string{"t"})
	now := start
	var last time.Duration
	for i := range 8 {
		controller.EjectLocal(now, "t", threshold)
		ejectedAt := now
		for controller.State(now, "t").Phase == outlier.PhaseEjected {
			now = now.Add(100 * time.Millisecond)
			controller.Advance(now)
		}
		ejectedFor := now.Sub(ejectedAt)
		if ejectedFor < last || ejectedFor > outlier.MaxEjectionTime+time.Second {
			t.Fatalf("relapse %d ejected for %v, the one before for %v", i, ejectedFor, last)
		}
		last = ejectedFor
		// A failed trial request counts as a relapse.
		controller.Record(now, outlier.Counts{
			Target: "t",
			Bad:    1,
		})
		if p := controller.State(now, "t").Phase; p != outlier.PhaseEjected {
			t.Fatalf("phase after a failed trial request: %v", p)
		}
	}
	if last < outlier.MaxEjectionTime/2 {
		t.Fatalf("last ejection took only %v", last)
	}
}

func TestRemoteEjectionEndsWithItsLease(t *testing.T) {
	controller := outlier.NewController()
	controller.SetTargets(start, []string{"t"})
	controller.EjectForLease(start, "t", threshold, 3*time.Second)
	controller.Advance(start.Add(2 * time.Second))
	if p := controller.State(start.Add(2*time.Second), "t").Phase; p != outlier.PhaseEjected {
		t.Fatalf("phase within the lease: %v", p)
	}
	controller.Advance(start.Add(3 * time.Second))
	if p := controller.State(start.Add(3*time.Second), "t").Phase; p != outlier.PhaseTrial {
		t.Fatalf("phase after the lease: %v", p)
	}
	// A lease of hours, which a faulty observer could send, is limited to MaxEjectionTime.
	controller.EjectForLease(start, "t", threshold, 24*time.Hour)
	controller.Advance(start.Add(outlier.MaxEjectionTime))
	if p := controller.State(start.Add(outlier.MaxEjectionTime), "t").Phase; p == outlier.PhaseEjected {
		t.Fatal("lease is not limited to MaxHold")
	}
}

func TestDrainingOutlastsAStaleTargetList(t *testing.T) {
	controller := outlier.NewController()
	controller.SetTargets(start, []string{"t"})
	controller.MarkDraining(start, "t")
	controller.SetTargets(start.Add(time.Second), []string{"t"})
	if !controller.State(start.Add(30*time.Second), "t").Draining {
		t.Fatal("not draining while the target list is stale")
	}
	if controller.State(start.Add(2*outlier.DrainingTime), "t").Draining {
		t.Fatal("still draining after twice LeavingTime")
	}
}

func newObserver(t *testing.T) *outlier.Observer {
	t.Helper()
	p, err := policy.Compile(policy.Text{})
	if err != nil {
		t.Fatal(err)
	}
	return outlier.NewObserver(outlier.Service{
		Name:      "s",
		Policy:    p,
		Threshold: threshold,
		Targets:   []string{"t", "u", "v"},
	})
}

// report sends reports of nodes for some ticks. For the first bad nodes target t fails
// all requests.
func report(o *outlier.Observer, nodes, bad, ticks int) []outlier.Decision {
	var out []outlier.Decision
	for i := range ticks {
		now := start.Add(time.Duration(i) * 500 * time.Millisecond)
		for n := range nodes {
			for _, target := range []string{"t", "u", "v"} {
				c := outlier.Counts{
					Target: target,
					Good:   2,
				}
				if target == "t" && n < bad {
					c = outlier.Counts{
						Target: target,
						Bad:    2,
					}
				}
				o.Report(now, fmt.Sprint("node", n), "a", c)
			}
		}
		out = append(out, o.Advance(now)...)
	}
	return out
}

func TestObserver(t *testing.T) {
	cases := []struct {
		name string
		bad  int
		want int
	}{
		{
			name: "nobody",
			bad:  0,
			want: 0,
		},
		{
			name: "one node",
			bad:  1,
			want: 0,
		},
		{
			name: "all nodes",
			bad:  10,
			want: 1,
		},
		{
			name: "most nodes",
			bad:  7,
			want: 1,
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			got := report(newObserver(t), 10, c.bad, 8)
			if len(got) != c.want {
				t.Fatalf("%d decisions, want %d: %+v", len(got), c.want, got)
			}
			if c.want > 0 && (got[0].Target != "t" || got[0].Lease != outlier.BaseEjectionTime) {
				t.Fatalf("decision %+v", got[0])
			}
		})
	}
}
