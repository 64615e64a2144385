// SPDX-License-Identifier: Apache-2.0

package dispatch_test

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"ploverjunction.example/ploverjunction/internal/dispatch"
	"ploverjunction.example/ploverjunction/internal/signal"
)

// handoverWork is the response time in these tests, well below the median that is assumed without
// results.
const handoverWork = 60 * time.Millisecond

// failsAt reports whether a target of these tests fails: three in ten do.
func failsAt(key string) bool { return number(key)%10 < 3 }

// serveOne requests a grant, ends the attempt after its work, and returns the target and the grant. Failing
// targets fail at once.
func serveOne(d *dispatch.Scheduler, now time.Time, n uint64) (g dispatch.Grant, after time.Time) {
	g = d.RequestGrant(now, newRequest(now, n))
	if g.Decision != dispatch.Granted {
		return g, now.Add(handoverWork)
	}
	if failsAt(g.Target) {
		after = now.Add(3 * time.Millisecond)
		d.Done(after, g.ID, g.Target, dispatch.ResultBad, 3*time.Millisecond)
		return g, after
	}
	after = now.Add(handoverWork)
	d.Done(after, g.ID, g.Target, dispatch.ResultGood, handoverWork)
	return g, after
}

// trained returns a scheduler of ten targets that has served requests, and the time after them.
func trained(seed uint64) (*dispatch.Scheduler, time.Time) {
	d := newSuccessor(start, seed)
	now := start
	for n := range uint64(400) {
		_, now = serveOne(d, now, n)
		d.Advance(now)
	}
	return d, now
}

// newSuccessor returns a scheduler without results of the targets of trained.
func newSuccessor(now time.Time, seed uint64) *dispatch.Scheduler {
	d := dispatch.NewScheduler(now, dispatch.Budget{
		Share:   0.2,
		Reserve: 50,
		Window:  10 * time.Second,
	}, rand.New(rand.NewPCG(seed, 2)).Float64)
	d.Configure(now, pool(10))
	return d
}

// Guards against a new dispatcher that sends requests to targets of which the one before it knew that they
// fail, and that doesn't know the usual response times.
func TestSuccessorUsesImportedState(t *testing.T) {
	const requests = 30
	var empty, imported, continued int
	for seed := range uint64(20) {
		before, now := trained(seed)
		h := before.Export(now)
		count := func(d *dispatch.Scheduler) (failed int, hedgeAfter time.Duration) {
			at := now
			for n := range uint64(requests) {
				var g dispatch.Grant
				if g, at = serveOne(d, at, 10_000+n); failsAt(g.Target) {
					failed++
				}
				if n == 0 {
					hedgeAfter = g.HedgeAfter
				}
			}
			return failed, hedgeAfter
		}
		failed, after := count(newSuccessor(now, seed+100))
		empty += failed
		if after != 0 {
			t.Errorf("an empty scheduler knows that a hedge may follow after %v", after)
		}
		d := newSuccessor(now, seed+100)
		if r := d.Import(now, h); r != dispatch.Imported {
			t.Fatal(r)
		}
		failed, after = count(d)
		imported += failed
		failed, want := count(before)
		continued += failed
		if after == 0 || math.Abs(float64(after-want)) > 0.1*float64(want) {
			t.Errorf("a hedge may follow after %v, at the predecessor after %v", after, want)
		}
	}
	t.Logf("of %d requests, %d went to failing targets at empty schedulers, %d after the import, %d at the predecessors", 20*requests, empty, imported, continued)
	if 2*imported > empty || imported > 2*continued {
		t.Errorf("%d requests went to failing targets after the import", imported)
	}
}

// Guards against rejections of targets that a new dispatcher takes for failures, because it doesn't know that
// all of them reject.
func TestSuccessorKnowsRejections(t *testing.T) {
	before := newScheduler(pool(10)...)
	now := start
	for n := range uint64(100) {
		g := before.RequestGrant(now, newRequest(now, n))
		now = now.Add(5 * time.Millisecond)
		result := dispatch.ResultGood
		if n%2 == 0 {
			result = dispatch.ResultShed
		}
		before.Done(now, g.ID, g.Target, result, 5*time.Millisecond)
	}
	d := newSuccessor(now, 1)
	d.Import(now, before.Export(now))
	if got, want := d.Status(now).RejectedShare, before.Status(now).RejectedShare; got != want || want != 0.5 {
		t.Errorf("rejected share %.2f, at the predecessor %.2f", got, want)
	}
	if got := d.Status(now.Add(2 * time.Second)).RejectedShare; got != 0 {
		t.Errorf("rejected share %.2f after two periods", got)
	}
}

// Guards against a late or repeated handover that replaces or doubles what the receiver knows, and against
// one that is ignored because the receiver's node has results of attempts that the predecessor granted, or
// had the role before.
func TestHandoverIsIgnored(t *testing.T) {
	before, now := trained(1)
	h := before.Export(now)
	tests := []struct {
		name    string
		results uint64
		remote  int
		pause   time.Duration
		first   time.Duration
		want    dispatch.ImportResult
	}{
		{name: "without results", want: dispatch.Imported},
		{name: "49 results", results: 49, want: dispatch.Imported},
		{name: "50 results", results: 50, want: dispatch.ResultsKnown},
		{name: "50 results of attempts of the predecessor", remote: 50, want: dispatch.Imported},
		{name: "50 results before a pause in the role", results: 50, pause: 11 * time.Second, want: dispatch.Imported},
		{name: "50 results before a short pause", results: 50, pause: 9 * time.Second, want: dispatch.ResultsKnown},
		{name: "second", first: 9 * time.Second, want: dispatch.Repeated},
		{name: "second after a while", first: 10 * time.Second, want: dispatch.Imported},
	}
	for _, tt := range tests {
		d := newSuccessor(now, 1)
		at := now
		for n := range tt.results {
			g := d.RequestGrant(at, newRequest(at, n))
			at = at.Add(handoverWork)
			d.Done(at, g.ID, g.Target, dispatch.ResultGood, handoverWork)
		}
		for range tt.remote {
			d.RecordRemote(at, "t9", "", dispatch.ResultGood, handoverWork)
		}
		if tt.pause > 0 {
			at = at.Add(tt.pause)
			g := d.RequestGrant(at, newRequest(at, 1000))
			d.Done(at, g.ID, g.Target, dispatch.ResultGood, handoverWork)
		}
		if tt.first > 0 {
			d.Import(at, dispatch.Handover{})
			at = at.Add(tt.first)
		}
		before := d.Status(at)
		if got := d.Import(at, h); got != tt.want {
			t.Errorf("%s: %v, want %v", tt.name, got, tt.want)
		}
		after := d.Status(at)
		same := slices.Equal(before.Targets, after.Targets) && before.FailureRate == after.FailureRate && before.LostFailing == after.LostFailing
		if same != (tt.want != dispatch.Imported) {
			t.Errorf("%s: the state is the same: %t", tt.name, same)
		}
	}
}

// Guards against a handover that replaces what the receiver's own attempts show of a target.
func TestOwnResultsOutweighHandover(t *testing.T) {
	d := newScheduler(pool(2)...)
	g := d.RequestGrant(start, newRequest(start, 1))
	now := start.Add(handoverWork)
	d.Done(now, g.ID, g.Target, dispatch.ResultGood, handoverWork)
	var h dispatch.Handover
	for _, target := range pool(2) {
		h.Targets = append(h.Targets, dispatch.TargetHandover{
			Key:                target.Key,
			FailureProbability: 0.9,
			GrantAge:           -1,
		})
	}
	d.Import(now, h)
	for _, s := range d.Status(now).Targets {
		if failing := s.FailureProbability > 0.5; failing != (s.Key != g.Target) {
			t.Errorf("target %s: failure probability %.2f; %s had a result", s.Key, s.FailureProbability, g.Target)
		}
	}
}

// Guards against attempts of the previous dispatcher that overload a target, that take its slots for longer
// than a report of the target would, that count beside such a report, or whose end, reported again to the
// new dispatcher, frees a slot or counts as a result.
func TestImportedAttemptsTakeSlots(t *testing.T) {
	oneHall := pool(2)
	oneHall[1].DataHall = oneHall[0].DataHall
	h := dispatch.Handover{
		Targets: []dispatch.TargetHandover{
			{
				Key:                "t0",
				FailureProbability: 0.02,
				GrantAge:           time.Millisecond,
				InFlight:           3,
			},
		},
	}
	d := newScheduler(oneHall...)
	d.Import(start, h)
	foreign := func(at time.Time) int { return d.Foreign(at)[0] }
	if got := foreign(start); got != 3 {
		t.Errorf("%d foreign attempts, want 3", got)
	}
	for n := range uint64(3) {
		if g := d.RequestGrant(start, newRequest(start, n)); g.Target != "t1" {
			t.Errorf("request %d: %s %s, want the target without attempts", n, g.Decision, g.Target)
		}
	}
	probability := d.Status(start).Targets[0].FailureProbability
	for range 3 {
		d.Done(start, dispatch.ID{
			Node:   "other",
			Number: 77,
		}, "t0", dispatch.ResultBad, handoverWork)
	}
	if s := d.Status(start); foreign(start) != 3 || s.InFlight != 3 || s.Targets[0].FailureProbability != probability {
		t.Errorf("after the end of an unknown attempt: %d foreign, %d in flight, failure probability %.3f, before %.3f", foreign(start), s.InFlight, s.Targets[0].FailureProbability, probability)
	}
	if got := foreign(start.Add(750 * time.Millisecond)); got != 0 {
		t.Errorf("%d foreign attempts after 750 ms", got)
	}
	d = newScheduler(oneHall...)
	d.ObserveLoad(dispatch.LoadReport{
		Target: "t0",
		Load: signal.Load{
			Running: 1,
			Slots:   3,
		},
		Since: start.Add(-time.Millisecond),
		At:    start.Add(-time.Millisecond),
	})
	d.Import(start, h)
	if got := foreign(start); got != 1 {
		t.Errorf("%d foreign attempts, but the target reported 1", got)
	}
}

// Guards against a workspace that gets its share twice when the dispatcher role moves.
func TestWorkspacesKeepTheirShares(t *testing.T) {
	first := map[bool]string{}
	for _, imports := range []bool{false, true} {
		q := newShareQueue(1, nil)
		if imports {
			q.scheduler.Import(q.now, dispatch.Handover{
				Workspaces: []dispatch.WorkspaceLead{
					{Workspace: "ahead", Lead: 5},
					{Workspace: "behind"},
				},
			})
		}
		q.request("ahead", 0)
		q.request("behind", 0)
		first[imports] = q.end(100 * time.Millisecond)[0].Workspace
	}
	if first[false] != "ahead" || first[true] != "behind" {
		t.Errorf("first served is %q without the state of the previous dispatcher, %q with it", first[false], first[true])
	}
}

// Guards against a handover that loses more requests than none, in the simulation of a service whose
// dispatcher role moves every three seconds.
func TestHandoverUnderMoves(t *testing.T) {
	t.Parallel()
	s := services[slices.IndexFunc(services, func(s serviceModel) bool { return s.dispatcherMoves > 0 })]
	var lost, low [2]int
	s.reported = true
	requests, windows := 0, 0
	for seed := range uint64(20) {
		for i, handover := range []bool{false, true} {
			s.handover = handover
			p := newSimulation(&s, seed)
			p.run()
			all, few := p.windows()
			lost[i] += p.lost
			low[i] += few
			if handover {
				requests += p.all
				windows += all
			}
		}
	}
	t.Logf("%d requests: %d lost without handover, %d with it; %d windows: %d below the floor without, %d with it", requests, lost[0], lost[1], windows, low[0], low[1])
	if 10*lost[1] > 9*lost[0] || float64(low[1]) > 0.002*float64(windows) {
		t.Errorf("%d requests lost with handover, %d without; %d windows below the floor", lost[1], lost[0], low[1])
	}
}

// Guards against a node that reaches no dispatcher and sends the state of a role that it doesn't have.
func TestIsolatedGrantIsNoRole(t *testing.T) {
	d := newScheduler(pool(2)...)
	if g := d.GrantIsolated(start, newRequest(start, 1), 1); g.Decision != dispatch.Granted {
		t.Fatal(g.Decision)
	}
	if at := d.LastGrant(); !at.IsZero() {
		t.Errorf("last grant at %v", at)
	}
	d.RequestGrant(start, newRequest(start, 2))
	if at := d.LastGrant(); !at.Equal(start) {
		t.Errorf("last grant at %v, want %v", at, start)
	}
}
