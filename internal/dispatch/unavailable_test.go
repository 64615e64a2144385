// SPDX-License-Identifier: Apache-2.0

package dispatch_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"ploverjunction.example/ploverjunction/internal/dispatch"
)

// A target that signalled to any node that it drains gets no more requests from any node, also from
// a new scheduler that receives the signal with a grant request. Its next incarnation gets work.
func TestDrainSignal(t *testing.T) {
	drain := func(d *dispatch.Scheduler) { d.MarkDraining(start, "t0") }
	tests := []struct {
		name   string
		signal func(d *dispatch.Scheduler)
		modify func(a *dispatch.Request)
	}{
		{
			name:   "signalled at the end of an attempt",
			signal: drain,
			modify: func(*dispatch.Request) {},
		},
		{
			name:   "signalled with the request",
			signal: func(*dispatch.Scheduler) {},
			modify: func(a *dispatch.Request) { a.Draining = []string{"t0"} },
		},
		{
			name:   "repeatable request",
			signal: drain,
			modify: func(a *dispatch.Request) { a.Repeatable = true },
		},
		{
			name:   "retry",
			signal: drain,
			modify: func(a *dispatch.Request) {
				a.Retry = true
				a.Tried = []string{"t1", "t2"}
			},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			list := pool(3)
			for i := range list {
				list[i].HasID = true
			}
			d := newScheduler(list...)
			tt.signal(d)
			now := start
			for n := range uint64(200) {
				a := newRequest(now, n)
				tt.modify(a)
				g := d.RequestGrant(now, a)
				if n%2 == 1 {
					g = d.GrantIsolated(now, a, 1)
				}
				if g.Target == "t0" {
					t.Fatalf("request %d got the draining target", n)
				}
				now = now.Add(50 * time.Millisecond)
				for _, later := range d.Done(now, g.ID, g.Target, dispatch.ResultGood, 50*time.Millisecond) {
					if later.Target == "t0" {
						t.Fatal("a waiting request got the draining target")
					}
				}
			}
			list[0].Key = "t0/2"
			d.Configure(now, list)
			if got := grantCounts(d, now, 200)["t0/2"]; got == 0 {
				t.Error("the next incarnation got no request")
			}
		})
	}
}

// grantCounts sends requests one after another and counts the grants by target.
func grantCounts(d *dispatch.Scheduler, now time.Time, requests uint64) map[string]int {
	out := map[string]int{}
	for n := range requests {
		g := d.RequestGrant(now, newRequest(now, 10_000+n))
		out[g.Target]++
		now = now.Add(50 * time.Millisecond)
		d.Done(now, g.ID, g.Target, dispatch.ResultGood, 50*time.Millisecond)
	}
	return out
}

// A target without an ID has the same key after a restart, so its drain signal expires after a
// minute.
func TestDrainSignalWithoutID(t *testing.T) {
	d := newScheduler(pool(2)...)
	d.MarkDraining(start, "t0")
	if got := grantCounts(d, start.Add(50*time.Second), 100)["t0"]; got != 0 {
		t.Errorf("%d requests while it drains", got)
	}
	later := start.Add(61 * time.Second)
	got := 0
	for n := range uint64(6) {
		if d.RequestGrant(later, newRequest(later, n)).Target == "t0" {
			got++
		}
	}
	if got == 0 {
		t.Error("none a minute later")
	}
}

// No request is ever granted a target that is unavailable to it, in whatever order requests, ends
// and updates come. Half of the requests have three in ten targets unavailable.
func TestUnavailableTargetsAreNeverGranted(t *testing.T) {
	for seed := range uint64(40) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { simulateUnavailable(t, rand.New(rand.NewPCG(seed, 5))) })
	}
}

func simulateUnavailable(t *testing.T, rng *rand.Rand) {
	const targets, requests = 8, 400
	d := newScheduler(pool(targets)...)
	open := map[uint64]*dispatch.Request{}
	running := map[uint64]string{}
	now := start
	take := func(g dispatch.Grant) {
		if g.Decision != dispatch.Granted {
			return
		}
		if slices.Contains(open[g.ID.Number].Unavailable, g.Target) {
			t.Fatalf("request %d got %s, which is unavailable to it", g.ID.Number, g.Target)
		}
		running[g.ID.Number] = g.Target
	}
	all := func(grants []dispatch.Grant) {
		for _, g := range grants {
			take(g)
		}
	}
	setUnavailable := func(a *dispatch.Request) {
		a.Unavailable = nil
		for i := range targets {
			if rng.Float64() < 0.3 {
				a.Unavailable = append(a.Unavailable, fmt.Sprintf("t%d", i))
			}
		}
	}
	for n := range uint64(requests) {
		now = now.Add(time.Duration(rng.IntN(10)) * time.Millisecond)
		a := newRequest(now, n)
		a.Repeatable = rng.IntN(2) == 0
		if rng.IntN(2) == 0 {
			setUnavailable(a)
		}
		open[n] = a
		take(d.RequestGrant(now, a))
		for number, key := range running {
			if rng.IntN(4) > 0 {
				continue
			}
			delete(running, number)
			result := dispatch.Result(rng.IntN(4))
			all(d.Done(now, open[number].ID, key, result, 100*time.Millisecond))
		}
		// A waiting request is repeated with other unavailable targets.
		if waiting := open[n]; running[n] == "" && rng.IntN(2) == 0 {
			repeated := *waiting
			setUnavailable(&repeated)
			open[n] = &repeated
			take(d.RequestGrant(now, &repeated))
		}
		all(d.Advance(now))
	}
}

// If all targets that do not drain are unavailable to a node its requests are refused at once,
// waiting ones included; requests of other nodes are served.
func TestAllTargetsUnavailable(t *testing.T) {
	d := newScheduler(pool(2)...)
	withoutTargets := func(n uint64) *dispatch.Request {
		a := newRequest(start, n)
		a.Unavailable = []string{"t0", "t1"}
		return a
	}
	if g := d.RequestGrant(start, withoutTargets(1)); g.Decision != dispatch.Refused {
		t.Errorf("got %v", g.Decision)
	}
	nonQueueing := withoutTargets(2)
	nonQueueing.NonQueueing = true
	if g := d.RequestGrant(start, nonQueueing); g.Decision != dispatch.NoneFree {
		t.Errorf("non-queueing request: got %v", g.Decision)
	}
	for n := range uint64(6) {
		if g := d.RequestGrant(start, newRequest(start, 10+n)); g.Decision != dispatch.Granted {
			t.Fatalf("request of another node: got %v", g.Decision)
		}
	}
	waiting := newRequest(start, 20)
	if g := d.RequestGrant(start, waiting); g.Decision != dispatch.Queued {
		t.Fatalf("got %v", g.Decision)
	}
	if g := d.RequestGrant(start, withoutTargets(20)); g.Decision != dispatch.Refused {
		t.Errorf("waiting request: got %v", g.Decision)
	}
	if s := d.Status(start); s.Waiting != 0 {
		t.Errorf("%d requests wait", s.Waiting)
	}
}
