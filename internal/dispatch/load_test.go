// SPDX-License-Identifier: Apache-2.0

package dispatch_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"ploverjunction.example/ploverjunction/internal/dispatch"
	"ploverjunction.example/ploverjunction/internal/signal"
)

// steadyDelay is the transit time of a message in calm.
func steadyDelay(rng *rand.Rand) time.Duration {
	return time.Millisecond + time.Duration(rng.Int64N(int64(time.Millisecond)))
}

// roughDelay is the transit time of a message between processes that are short of processor time, some
// of which stand still for seconds.
func roughDelay(rng *rand.Rand) time.Duration {
	if rng.IntN(20) == 0 {
		return time.Duration(rng.Int64N(int64(3 * time.Second)))
	}
	return time.Duration(rng.ExpFloat64() * float64(10*time.Millisecond))
}

// randomLoadScenario returns a scenario with the given number of dispatchers.
func randomLoadScenario(seed uint64, dispatchers int) *loadScenario {
	rng := rand.New(rand.NewPCG(seed, 3))
	s := &loadScenario{
		targets:       1 + rng.IntN(4),
		slots:         1 + rng.IntN(6),
		queue:         1 + rng.IntN(12),
		work:          time.Duration(20+rng.IntN(600)) * time.Millisecond,
		uncounted:     rng.IntN(2) == 0,
		probeInterval: time.Second,
		deadline:      2 * time.Minute,
		end:           20 * time.Second,
		delay:         steadyDelay,
	}
	if rng.IntN(2) == 0 {
		s.delay = roughDelay
	}
	capacity := float64(s.targets*s.slots) / s.work.Seconds()
	for range dispatchers {
		s.perSecond = append(s.perSecond, (0.3+rng.Float64())*capacity/float64(dispatchers))
	}
	return s
}

// A dispatcher whose targets get work from nobody else sees no foreign work, whichever messages are
// late, repeated or overtaken, and grants the same as without the reports. Guards against attempts that
// are on their way, that have ended but are not reported, or that are being answered counting as the
// work of others.
func TestOwnWorkIsNotForeign(t *testing.T) {
	t.Parallel()
	p := gopter.DefaultTestParametersWithSeed(1)
	p.MinSuccessfulTests = 50
	properties := gopter.NewProperties(p)
	reports, grants := 0, 0
	properties.Property("no foreign work", prop.ForAll(
		func(seed uint64) bool {
			with := newLoadModel(randomLoadScenario(seed, 1), seed)
			seen := 0
			with.check = func(int) {
				reports++
				for _, foreign := range with.dispatchers[0].Foreign(with.clock()) {
					seen += foreign
				}
			}
			with.run()
			s := randomLoadScenario(seed, 1)
			s.ignored = true
			without := newLoadModel(s, seed).run()
			grants += len(with.granted)
			return seen == 0 && slices.Equal(with.granted, without.granted)
		},
		gen.UInt64().WithShrinker(gopter.NoShrinker),
	))
	properties.TestingRun(t)
	t.Logf("%d reports, %d grants", reports, grants)
	if reports < 10_000 {
		t.Errorf("only %d reports", reports)
	}
}

// The foreign work that a dispatcher sees is at most the greatest true one at the target since the oldest
// report that counts was made: within the time in which reports fade and during the attempt before it.
func TestForeignWorkIsBounded(t *testing.T) {
	t.Parallel()
	const fades = 750 * time.Millisecond
	p := gopter.DefaultTestParametersWithSeed(2)
	p.MinSuccessfulTests = 50
	properties := gopter.NewProperties(p)
	seen, most := 0, 0
	properties.Property("at most the true foreign work", prop.ForAll(
		func(seed uint64) bool {
			s := randomLoadScenario(seed, 2)
			s.independent = s.perSecond[0] / 2
			s.abandoned = 0.05
			m := newLoadModel(s, seed)
			ok := true
			m.check = func(by int) {
				for i, foreign := range m.dispatchers[by].Foreign(m.clock()) {
					seen += foreign
					most = max(most, foreign)
					ok = ok && foreign <= m.targets[i].maxForeign(by, m.now-fades-m.longest)
				}
			}
			m.run()
			return ok
		},
		gen.UInt64().WithShrinker(gopter.NoShrinker),
	))
	properties.TestingRun(t)
	t.Logf("%d in all reports, at most %d at a target", seen, most)
	if seen == 0 {
		t.Error("no foreign work was seen")
	}
}

// Compares what callers get with and without the reports, while others load the same targets.
func TestReportsUnderForeignLoad(t *testing.T) {
	t.Parallel()
	base := loadScenario{
		targets:  24,
		slots:    6,
		queue:    24,
		work:     600 * time.Millisecond,
		deadline: 6 * time.Second,
		end:      40 * time.Second,
		delay:    steadyDelay,
	}
	capacity := float64(base.targets*base.slots) / base.work.Seconds()
	// maxLoss is the share of all requests that may be lost for shorter queues: with demand above the
	// capacity, queues of targets keep every slot busy.
	const maxLoss = 0.02
	// maxSheds is the share of requests that targets may shed with the reports.
	const maxSheds = 0.005
	tests := []struct {
		name   string
		change func(s *loadScenario)
		// faster is set where the response times must be shorter, sheds where targets must shed less.
		faster bool
		sheds  bool
	}{
		{
			name:   "two dispatchers at once, load 0.9",
			faster: true,
			change: func(s *loadScenario) {
				s.perSecond = []float64{0.45 * capacity, 0.45 * capacity}
			},
		},
		{
			name: "two dispatchers at once, load 1.3",
			change: func(s *loadScenario) {
				s.perSecond = []float64{0.65 * capacity, 0.65 * capacity}
			},
		},
		{
			name: "a dispatcher that moves each 4 s, load 0.9",
			change: func(s *loadScenario) {
				s.perSecond = []float64{0.9 * capacity}
				s.moveInterval = 4 * time.Second
			},
		},
		{
			name: "a dispatcher that moves each 4 s, load 1.2, short queues",
			change: func(s *loadScenario) {
				s.queue = 6
				s.perSecond = []float64{1.2 * capacity}
				s.moveInterval = 4 * time.Second
			},
		},
		{
			name:   "nodes that choose independently, load 0.85, three in ten of it theirs",
			faster: true,
			change: func(s *loadScenario) {
				s.perSecond = []float64{0.6 * capacity}
				s.independent = 0.25 * capacity
			},
		},
		{
			name:   "nodes that choose independently, load 1.2, a third of it theirs, short queues",
			faster: true,
			sheds:  true,
			change: func(s *loadScenario) {
				s.queue = 6
				s.perSecond = []float64{0.8 * capacity}
				s.independent = 0.4 * capacity
			},
		},
		{
			name:  "four of six slots, load 0.9 of these",
			sheds: true,
			change: func(s *loadScenario) {
				s.realSlots = 4
				s.queue = 1
				s.perSecond = []float64{0.6 * capacity}
			},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var got [2]*loadModel
			for i, ignored := range []bool{true, false} {
				s := base
				tt.change(&s)
				s.ignored = ignored
				m := newLoadModel(&s, 1).run()
				got[i] = m
				t.Logf("reports ignored %v: %d requests, %d served in time, %d shed by targets, %d refused, of others %d served and %d shed, median %v, 95th percentile %v",
					ignored, m.all, m.served, m.shed, m.refused, m.independentServed, m.independentShed,
					m.quantile(0.5).Round(time.Millisecond), m.quantile(0.95).Round(time.Millisecond))
			}
			without, with := got[0], got[1]
			if tt.faster && with.quantile(0.95) > without.quantile(0.95)*97/100 {
				t.Error("the reports do not shorten the response times")
			}
			if tt.sheds && (with.shed*4 > without.shed || float64(with.shed) > maxSheds*float64(with.all)) {
				t.Error("the reports do not keep targets from shedding")
			}
			servedWithout := float64(without.served+without.independentServed) / float64(without.all+without.independentServed+without.independentShed)
			servedWith := float64(with.served+with.independentServed) / float64(with.all+with.independentServed+with.independentShed)
			if servedWith < servedWithout-maxLoss {
				t.Errorf("%.3f of all requests are served, %.3f without the reports", servedWith, servedWithout)
			}
		})
	}
}

// reportOf returns a report of the first target that was made just before now.
func reportOf(now time.Time, running, waiting, slots int) dispatch.LoadReport {
	return dispatch.LoadReport{
		Target: "0",
		Load: signal.Load{
			Running: running,
			Waiting: waiting,
			Slots:   slots,
		},
		Since: now.Add(-time.Millisecond),
		At:    now,
	}
}

// oneTarget returns a scheduler with one target of six slots.
func oneTarget() *dispatch.Scheduler {
	return newScheduler(dispatch.Target{
		Key:      "0",
		DataHall: "a",
		Slots:    6,
	})
}

// grantable returns how many requests of many are granted at once.
func grantable(d *dispatch.Scheduler, now time.Time) int {
	n := 0
	for number := range uint64(20) {
		if d.RequestGrant(now, newRequest(now, number)).Decision == dispatch.Granted {
			n++
		}
	}
	return n
}

// A report takes the slots that others use and those that the target has no more, less with its age.
// Guards against absurd, stale and overtaken reports, and those of other incarnations, taking any.
func TestReportTakesSlots(t *testing.T) {
	tests := []struct {
		name    string
		reports func(now time.Time) []dispatch.LoadReport
		age     time.Duration
		want    int
	}{
		{
			name:    "none",
			reports: func(time.Time) []dispatch.LoadReport { return nil },
			want:    6,
		},
		{
			name:    "nothing in hand",
			reports: func(now time.Time) []dispatch.LoadReport { return []dispatch.LoadReport{reportOf(now, 0, 0, 6)} },
			want:    6,
		},
		{
			name:    "two of others",
			reports: func(now time.Time) []dispatch.LoadReport { return []dispatch.LoadReport{reportOf(now, 2, 0, 6)} },
			want:    4,
		},
		{
			name:    "two of others, half a second ago",
			reports: func(now time.Time) []dispatch.LoadReport { return []dispatch.LoadReport{reportOf(now, 2, 0, 6)} },
			age:     500 * time.Millisecond,
			want:    5,
		},
		{
			name:    "two of others, a second ago",
			reports: func(now time.Time) []dispatch.LoadReport { return []dispatch.LoadReport{reportOf(now, 2, 0, 6)} },
			age:     time.Second,
			want:    6,
		},
		{
			name:    "full, and others wait",
			reports: func(now time.Time) []dispatch.LoadReport { return []dispatch.LoadReport{reportOf(now, 6, 5, 6)} },
			want:    0,
		},
		{
			name:    "others wait, half a second ago",
			reports: func(now time.Time) []dispatch.LoadReport { return []dispatch.LoadReport{reportOf(now, 6, 1, 6)} },
			age:     500 * time.Millisecond,
			want:    3,
		},
		{
			name:    "four slots",
			reports: func(now time.Time) []dispatch.LoadReport { return []dispatch.LoadReport{reportOf(now, 0, 0, 4)} },
			want:    4,
		},
		{
			name:    "four slots, a second ago",
			reports: func(now time.Time) []dispatch.LoadReport { return []dispatch.LoadReport{reportOf(now, 0, 0, 4)} },
			age:     time.Second,
			want:    6,
		},
		{
			name:    "more slots than published",
			reports: func(now time.Time) []dispatch.LoadReport { return []dispatch.LoadReport{reportOf(now, 0, 0, 9)} },
			want:    6,
		},
		{
			name:    "no slots",
			reports: func(now time.Time) []dispatch.LoadReport { return []dispatch.LoadReport{reportOf(now, 6, 6, 0)} },
			want:    6,
		},
		{
			name:    "over the bound",
			reports: func(now time.Time) []dispatch.LoadReport { return []dispatch.LoadReport{reportOf(now, 6, 10_001, 6)} },
			want:    6,
		},
		{
			name:    "negative",
			reports: func(now time.Time) []dispatch.LoadReport { return []dispatch.LoadReport{reportOf(now, 6, -1, 6)} },
			want:    6,
		},
		{
			name: "of another incarnation",
			reports: func(now time.Time) []dispatch.LoadReport {
				r := reportOf(now, 6, 0, 6)
				r.Target = "0 before"
				return []dispatch.LoadReport{r}
			},
			want: 6,
		},
		{
			name: "a newer one without work of others",
			reports: func(now time.Time) []dispatch.LoadReport {
				return []dispatch.LoadReport{reportOf(now.Add(-time.Millisecond), 6, 0, 6), reportOf(now, 0, 0, 6)}
			},
			want: 6,
		},
		{
			name: "overtaken by a newer one",
			reports: func(now time.Time) []dispatch.LoadReport {
				return []dispatch.LoadReport{reportOf(now, 0, 0, 6), reportOf(now.Add(-time.Millisecond), 6, 0, 6)}
			},
			want: 6,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			d := oneTarget()
			now := start.Add(time.Minute)
			for _, r := range tt.reports(now) {
				d.ObserveLoad(r)
			}
			if got := grantable(d, now.Add(tt.age)); got != tt.want {
				t.Errorf("%d requests granted, want %d", got, tt.want)
			}
		})
	}
}

// The end of an attempt that was long under way to the dispatcher carries an old report. Guards against
// a message that was sent again after a pause taking slots.
func TestDelayedReportIsOld(t *testing.T) {
	d := oneTarget()
	g := d.RequestGrant(start, newRequest(start, 100))
	now := start.Add(2 * time.Second)
	d.ReportLoad(now, "0", g.ID, reportOf(now, 6, 0, 6).Load, 100*time.Millisecond)
	d.Done(now, g.ID, "0", dispatch.ResultGood, 100*time.Millisecond)
	if got := grantable(d, now); got != 6 {
		t.Errorf("%d requests granted, want 6", got)
	}
}

// A target that reports to be full of work whatever it gets, in each answer and each probe, must still get
// work: it may have none in truth. The bound is that of two reports in a row, each of which leaves no slot
// for seven twelfths of 0.75 s, and of the interval of Advance.
func TestReportTakesNoTargetOutOfService(t *testing.T) {
	s := &loadScenario{
		targets:       1,
		slots:         6,
		queue:         24,
		work:          200 * time.Millisecond,
		perSecond:     []float64{50},
		probeInterval: time.Second,
		deadline:      3 * time.Second,
		end:           30 * time.Second,
		delay:         steadyDelay,
		load: func(l signal.Load) signal.Load {
			l.Running, l.Waiting = signal.MaxLoad, signal.MaxLoad
			return l
		},
	}
	m := newLoadModel(s, 1)
	last, longest := time.Duration(0), time.Duration(0)
	grants := 0
	for at := time.Duration(0); at < s.end; at += 10 * time.Millisecond {
		m.after(at, func() {
			if len(m.granted) > grants {
				grants, last = len(m.granted), m.now
			}
			longest = max(longest, m.now-last)
		})
	}
	m.run()
	t.Logf("%d grants, at most %v between two", grants, longest)
	if longest > time.Second || grants < 60 {
		t.Errorf("%d grants, %v without one", grants, longest)
	}
}

// Targets that are faster must get more of the work while slots are short: without any report their slots
// are free again sooner.
func TestFasterTargetsGetMoreWork(t *testing.T) {
	t.Parallel()
	s := &loadScenario{
		targets:  8,
		slots:    6,
		queue:    24,
		work:     300 * time.Millisecond,
		deadline: 6 * time.Second,
		end:      30 * time.Second,
		delay:    steadyDelay,
		ignored:  true,
		speed:    func(target int) float64 { return float64(1 + target%2) },
	}
	capacity := float64(s.targets*s.slots) / s.work.Seconds()
	for _, load := range []float64{0.3, 0.6, 0.72, 0.9} {
		c := *s
		c.perSecond = []float64{load * capacity}
		m := newLoadModel(&c, 1).run()
		grants := [2]float64{}
		for _, target := range m.targets {
			grants[target.index%2] += float64(target.grants)
		}
		ratio := grants[0] / grants[1]
		t.Logf("load %.2f of 0.75 possible: targets of twice the speed get %.2f times the work, 95th percentile %v", load, ratio, m.quantile(0.95))
		if load >= 0.72 && (ratio < 1.7 || ratio > 2.3) {
			t.Errorf("load %.2f: %.2f times the work, want about 2", load, ratio)
		}
	}
}

// A node that reaches no dispatcher prefers targets without waiting requests among equal ones, and uses
// the others all the same. Guards against nodes that all choose the same target for the load that it
// reported.
func TestIsolatedNodeAvoidsQueues(t *testing.T) {
	tests := []struct {
		name    string
		waiting int
		running int
		fails   bool
		low     int
		high    int
	}{
		{
			name:    "waiting requests",
			running: 6,
			waiting: 3,
			high:    10,
		},
		{
			name:    "waiting requests, the other one fails",
			running: 6,
			waiting: 3,
			fails:   true,
			low:     190,
			high:    200,
		},
		{
			name:    "work without a queue",
			running: 6,
			low:     70,
			high:    130,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			d := newScheduler(dispatch.Target{
				Key:      "0",
				DataHall: "a",
				Slots:    6,
			}, dispatch.Target{
				Key:      "1",
				DataHall: "a",
				Slots:    6,
			})
			now := start.Add(time.Minute)
			if tt.fails {
				for range 4 {
					d.RecordRemote(now, "1", "", dispatch.ResultBad, time.Millisecond)
				}
			}
			got := 0
			for n := range uint64(200) {
				now = now.Add(time.Millisecond)
				d.ObserveLoad(reportOf(now, tt.running, tt.waiting, 6))
				g := d.GrantIsolated(now, newRequest(now, n), 1)
				if g.Target == "0" {
					got++
				}
				d.Done(now, g.ID, g.Target, dispatch.ResultIgnored, 0)
			}
			if got < tt.low || got > tt.high {
				t.Errorf("%d of 200 requests, want %d to %d", got, tt.low, tt.high)
			}
		})
	}
}

// A target that sheds because others filled it must not count as failing.
func TestShedOfLoadedTargetIsNoEvidence(t *testing.T) {
	for _, running := range []int{1, 6} {
		d := oneTarget()
		now := start.Add(time.Minute)
		before := d.Status(now).Targets[0].FailureProbability
		g := d.RequestGrant(now, newRequest(now, 100))
		d.ObserveLoad(reportOf(now, running, running, 6))
		d.Done(now, g.ID, g.Target, dispatch.ResultShed, time.Millisecond)
		after := d.Status(now).Targets[0].FailureProbability
		if full := running == 6; full != (after <= before) {
			t.Errorf("%d running, failure probability %.3f, then %.3f", running, before, after)
		}
	}
}

// The expected wait must count the slots that others leave, and one of a target that is full: guards against
// requests that wait in vain, and against refusals by a dispatcher that has just got its role.
func TestExpectedWaitCountsReportedSlots(t *testing.T) {
	queued := func(running, waiting int) int {
		d, now := newTrainedScheduler(dispatch.Target{
			Key:      "0",
			DataHall: "a",
			Slots:    6,
		}, dispatch.Target{
			Key:      "1",
			DataHall: "a",
			Slots:    6,
		})
		for _, key := range []string{"0", "1"} {
			r := reportOf(now, running, waiting, 6)
			r.Target = key
			d.ObserveLoad(r)
		}
		n := 0
		for number := range uint64(400) {
			if d.RequestGrant(now, newRequest(now, number)).Decision == dispatch.Queued {
				n++
			}
		}
		return n
	}
	alone, shared, full := queued(0, 0), queued(4, 0), queued(6, 6)
	if shared*2 > alone {
		t.Errorf("%d requests are queued for two slots of each target, %d for six", shared, alone)
	}
	if full < alone/8 {
		t.Errorf("%d requests are queued for full targets, %d for others", full, alone)
	}
}
