// SPDX-License-Identifier: Apache-2.0

package node_test

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"ploverjunction.example/ploverjunction/internal/membership"
	"ploverjunction.example/ploverjunction/internal/node"
	"ploverjunction.example/ploverjunction/internal/outlier"
	"ploverjunction.example/ploverjunction/internal/task"
	"ploverjunction.example/ploverjunction/internal/wire"
)

// failingTarget is the target of handoverEntries that fails all requests.
const failingTarget = "198.51.100.1:80"

// handoverEntries publishes a service of a number of targets with a number of slots.
func handoverEntries(targets, slots int) []*wire.Entry {
	var list []string
	for i := range targets {
		list = append(list, fmt.Sprintf(`{"service":"quotes","address":"198.51.100.%d:80","dataHall":"a","slots":%d,"connections":200}`, i+1, slots))
	}
	return []*wire.Entry{
		{
			Key:      "services",
			Revision: 1,
			Value:    []byte(`{"services":[{"name":"quotes"}],"targets":[` + strings.Join(list, ",") + `]}`),
		},
	}
}

// handoverRun is a fleet in a test, with its nodes by rank.
type handoverRun struct {
	*node.HandoverFleet
	t     *testing.T
	nodes []membership.Node
}

// playHandover runs a test with a fleet of nodes on a paused clock.
func playHandover(t *testing.T, nodes, targets, slots int, play func(ctx context.Context, f *handoverRun)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		var all []membership.Node
		for i := range nodes {
			all = append(all, membership.NewNode(fmt.Sprintf("192.0.2.%d:1", i+1), "a"))
		}
		f := &handoverRun{
			HandoverFleet: node.NewHandoverFleet("quotes", handoverEntries(targets, slots), all...),
			t:             t,
		}
		f.nodes = f.RankedNodes(all...)
		ctx, cancel := context.WithCancel(t.Context())
		var running task.Group
		f.Run(ctx, &running)
		play(ctx, f)
		cancel()
		if err := running.Wait(); err != nil {
			t.Error(err)
		}
	})
}

// train sends requests from a node, one after another, until the dispatcher knows which target fails.
func (f *handoverRun) train(ctx context.Context, from membership.Node) {
	for range 100 {
		choice, err := f.Chooser(from).ChooseUntil(ctx, 3*time.Second)
		if err != nil {
			f.t.Fatal(err)
		}
		took, failed := 50*time.Millisecond, choice.Key == failingTarget
		if failed {
			took = time.Millisecond
		}
		time.Sleep(took)
		choice.Done(outlier.Result{
			Failed: failed,
		}, took)
	}
}

// expect checks what became of the handovers of each node, by rank.
func (f *handoverRun) expect(what string, want ...string) {
	f.t.Helper()
	for i, n := range f.nodes {
		if got := strings.Join(f.Outcomes(n), " "); got != want[i] {
			f.t.Errorf("%s: handovers of node %d: %q, want %q", what, i, got, want[i])
		}
	}
}

// expectKnown checks whether a node that becomes dispatcher knows which target fails.
func (f *handoverRun) expectKnown(n membership.Node, want bool) {
	f.t.Helper()
	if p := f.Chooser(n).FailureProbability(failingTarget); p > 0.3 != want {
		f.t.Errorf("failure probability %.2f of the failing target at the successor, want it known: %t", p, want)
	}
}

// Guards against a planned stop after which the next dispatcher starts with the default estimates, against
// state that is sent more than once or without the setting, and against that of a partition without recent
// grants.
func TestPlannedStopHandsOver(t *testing.T) {
	tests := []struct {
		name  string
		off   bool
		pause time.Duration
		want  []string
	}{
		{name: "on", want: []string{"sent", "accepted", ""}},
		{name: "grants 9 s ago", pause: 9 * time.Second, want: []string{"sent", "accepted", ""}},
		{name: "grants 11 s ago", pause: 11 * time.Second, want: []string{"", "", ""}},
		{name: "off", off: true, want: []string{"", "", ""}},
	}
	for _, tt := range tests {
		playHandover(t, 3, 6, 3, func(ctx context.Context, f *handoverRun) {
			if tt.off {
				f.Disable()
			}
			f.train(ctx, f.nodes[2])
			time.Sleep(tt.pause)
			if err := f.Stop(ctx, f.nodes[0]); err != nil {
				t.Error(err)
			}
			time.Sleep(time.Second)
			f.expect(tt.name, tt.want...)
			if tt.pause == 0 {
				f.expectKnown(f.nodes[1], !tt.off)
			}
		})
	}
}

// Guards against a node of higher rank that joins and starts with the default estimates, against state that
// is sent to it again and again, and against state that isn't sent when the role moves a second time.
func TestNodeOfHigherRankGetsState(t *testing.T) {
	playHandover(t, 3, 6, 3, func(ctx context.Context, f *handoverRun) {
		first, others := f.nodes[0], f.nodes[1:]
		for _, n := range others {
			f.SetView(n, others...)
		}
		f.train(ctx, f.nodes[2])
		time.Sleep(100 * time.Millisecond)
		f.expect("before", "", "", "")
		for _, n := range others {
			f.SetView(n, f.nodes...)
		}
		time.Sleep(5 * time.Second)
		f.expect("joined", "accepted", "sent", "")
		f.expectKnown(first, true)
		// The role returns and moves again. The receiver has no results of its own.
		for _, n := range others {
			f.SetView(n, others...)
		}
		f.train(ctx, f.nodes[2])
		time.Sleep(time.Second)
		for _, n := range others {
			f.SetView(n, f.nodes...)
		}
		time.Sleep(2 * time.Second)
		f.expect("joined again", "accepted accepted", "sent sent", "")
	})
}

// Guards against a failed call that is given up at once, or repeated for long, and against repeated calls to
// a node of an older version.
func TestFailedHandoverIsRetriedOnce(t *testing.T) {
	tests := []struct {
		name     string
		failures int
		older    bool
		calls    int
		took     time.Duration
		want     []string
	}{
		{name: "one failure", failures: 1, calls: 2, took: 200 * time.Millisecond, want: []string{"sent", "accepted"}},
		{name: "two failures", failures: 2, calls: 2, took: 200 * time.Millisecond, want: []string{"failed", ""}},
		{name: "older node", failures: 1, older: true, calls: 1, want: []string{"failed", ""}},
	}
	for _, tt := range tests {
		playHandover(t, 2, 6, 3, func(ctx context.Context, f *handoverRun) {
			f.train(ctx, f.nodes[1])
			f.FailCalls(tt.failures, tt.older)
			began := time.Now()
			if err := f.Stop(ctx, f.nodes[0]); err != nil {
				t.Error(err)
			}
			if took := time.Since(began); took != tt.took {
				t.Errorf("%s: took %v, want %v", tt.name, took, tt.took)
			}
			time.Sleep(5 * time.Second)
			if got := f.Calls(); got != tt.calls {
				t.Errorf("%s: %d calls, want %d", tt.name, got, tt.calls)
			}
			f.expect(tt.name, tt.want...)
			// The successor serves in any case.
			f.Kill(f.nodes[0])
			f.SetView(f.nodes[1], f.nodes[1])
			if choice, err := f.Chooser(f.nodes[1]).ChooseUntil(ctx, time.Second); err != nil {
				t.Error(err)
			} else {
				choice.Done(outlier.Result{}, time.Millisecond)
			}
		})
	}
}

// Guards against two dispatchers at once whose state is added up at their common successor.
func TestFirstOfTwoHandoversCounts(t *testing.T) {
	playHandover(t, 3, 6, 3, func(ctx context.Context, f *handoverRun) {
		for _, n := range f.nodes[:2] {
			f.SetView(n, n, f.nodes[2])
			f.train(ctx, n)
		}
		// The state of the one trained last is the newest.
		for _, n := range []membership.Node{f.nodes[1], f.nodes[0]} {
			if err := f.Stop(ctx, n); err != nil {
				t.Error(err)
			}
		}
		f.expect("both stop", "sent", "sent", "accepted ignored")
		f.expectKnown(f.nodes[2], true)
	})
}

// Guards against a node that accepts the state of a partition that it won't be asked about.
func TestHandoverNeedsRank(t *testing.T) {
	for rank, want := range []string{"", "accepted", "accepted", "ignored", "ignored"} {
		if rank == 0 {
			continue
		}
		playHandover(t, 5, 6, 3, func(ctx context.Context, f *handoverRun) {
			f.train(ctx, f.nodes[0])
			f.SetView(f.nodes[0], f.nodes[0], f.nodes[rank])
			if err := f.Stop(ctx, f.nodes[0]); err != nil {
				t.Error(err)
			}
			if got := f.Outcomes(f.nodes[rank]); !slices.Equal(got, []string{want}) {
				t.Errorf("node %d: %v, want %s", rank, got, want)
			}
		})
	}
}

// Guards against a waiting request that loses its place when its dispatcher is killed: it has waited longer
// than one that was queued at the next dispatcher first.
func TestKilledDispatcherCostsNoPlace(t *testing.T) {
	playHandover(t, 3, 1, 1, func(ctx context.Context, f *handoverRun) {
		old, next, asking := f.nodes[0], f.nodes[1], f.nodes[2]
		hold := func(n membership.Node) func() {
			choice, err := f.Chooser(n).ChooseUntil(ctx, 10*time.Second)
			if err != nil {
				t.Fatal(err)
			}
			return func() { choice.Done(outlier.Result{}, time.Second) }
		}
		// Both dispatchers hold their only slot.
		hold(old)
		f.SetView(next, next, asking)
		release := hold(next)
		served := make(chan string, 2)
		wait := func(name string, n membership.Node) func(context.Context) error {
			return func(context.Context) error {
				done := hold(n)
				served <- name
				done()
				return nil
			}
		}
		var requests task.Group
		requests.Go(ctx, "first", wait("first", asking))
		time.Sleep(700 * time.Millisecond)
		f.Kill(old)
		requests.Go(ctx, "second", wait("second", next))
		time.Sleep(time.Second)
		release()
		if err := requests.Wait(); err != nil {
			t.Error(err)
		}
		if got := <-served; got != "first" {
			t.Errorf("the %s request was served first", got)
		}
		f.expect("killed", "", "", "")
	})
}

// Guards against a request that passes others because it waited for a target that was granted to it: the time
// before an answer doesn't count for the next grant request.
func TestGrantEndsTheWait(t *testing.T) {
	playHandover(t, 2, 1, 1, func(ctx context.Context, f *handoverRun) {
		choice, err := f.Chooser(f.nodes[1]).ChooseUntil(ctx, 3*time.Second)
		if err != nil {
			t.Fatal(err)
		}
		var requests task.Group
		requests.Go(ctx, "request", func(ctx context.Context) error {
			began := time.Now()
			since, err := f.Chooser(f.nodes[1]).QueuedAt(ctx, 3*time.Second)
			if time.Since(began) < time.Second || !since.IsZero() {
				t.Errorf("granted after %v, waits since %v", time.Since(began), since)
			}
			return err
		})
		time.Sleep(time.Second)
		choice.Done(outlier.Result{}, time.Second)
		if err := requests.Wait(); err != nil {
			t.Error(err)
		}
	})
}

// Guards against the last node of a data hall that stops and finds no successor for its partition.
func TestLastNodeOfDataHallHandsOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		last, other := membership.NewNode("192.0.2.1:1", "a"), membership.NewNode("192.0.2.2:1", "b")
		f := node.NewHandoverFleet("quotes", twoHalls(40), last, other)
		choice, err := f.Chooser(last).ChooseUntil(t.Context(), time.Second)
		if err != nil {
			t.Fatal(err)
		}
		choice.Done(outlier.Result{}, time.Millisecond)
		// The receiver knows that the sender stops.
		f.SetView(other, other)
		if err := f.Stop(t.Context(), last); err != nil {
			t.Error(err)
		}
		if got := f.Outcomes(other); !slices.Equal(got, []string{"accepted"}) {
			t.Errorf("handovers of the node of the other data hall: %v", got)
		}
	})
}
