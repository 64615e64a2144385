// SPDX-License-Identifier: Apache-2.0

package integration_test

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"testing"

	"ploverjunction.example/ploverjunction/internal/standin/target"
)

// jointSite returns a site with nodes in the joint mode, in two data halls.
func jointSite(t *testing.T, nodes int) *site {
	t.Helper()
	s := newSite(t)
	for i := range 4 {
		s.target("quotes", string(rune('a'+i%2)), 3)
	}
	s.publishTargets(nil)
	s.standardRoutes("quotes")
	for i := range nodes {
		s.node(string(rune('a'+i%2)),
			withPeerAddress(fmt.Sprintf("127.0.3.%d:7950", i+1)),
			withExtra("[targets]\nchoice = joint\n"))
	}
	s.allReady()
	for _, n := range s.nodes {
		eventually(t, "all members live", func() bool { return liveMembers(n) == nodes })
	}
	return s
}

func liveMembers(n *node) int {
	st := n.status()
	if st == nil {
		return 0
	}
	live := 0
	for _, m := range st.Members {
		if m.Live {
			live++
		}
	}
	return live
}

// Guards against requests that fail on other nodes or run twice when a node is killed
// that holds the role of dispatcher.
func TestDispatcherDeathFailsNoRequests(t *testing.T) {
	s := jointSite(t, 4)
	var number, failed atomic.Int64
	for _, victim := range s.nodes {
		var load sync.WaitGroup
		killed := make(chan struct{})
		for _, n := range s.nodes {
			if n == victim {
				continue
			}
			load.Go(func() {
				for i := 0; i < 60; i++ {
					if i == 20 && n == s.nodes[0] || i == 20 && victim == s.nodes[0] && n == s.nodes[1] {
						victim.signal(9)
						close(killed)
					}
					key := fmt.Sprintf("joint-%d", number.Add(1))
					r := n.do(http.MethodPost, "/quotes/1", key, "")
					if r.err != nil || r.status != http.StatusOK || s.runsOf(key) != 1 {
						failed.Add(1)
						t.Errorf("%s: status %d outcome %q err %v, ran %d times", key, r.status, r.outcome, r.err, s.runsOf(key))
					}
				}
			})
		}
		load.Wait()
		<-killed
		victim.restart()
		s.allReady()
		for _, n := range s.nodes {
			eventually(t, "all members live", func() bool { return liveMembers(n) == len(s.nodes) })
		}
	}
	if failed.Load() > 0 {
		t.Errorf("%d of %d requests failed", failed.Load(), number.Load())
	}
}

// Guards against nodes that each have to observe a failing target themselves. After one
// failure on one node all nodes avoid the target for requests that are not repeatable.
func TestFailureIsSharedWithAllNodes(t *testing.T) {
	s := jointSite(t, 3)
	bad := s.targets[0]
	bad.SetMode(target.Mode{
		ErrorShare: 1,
	})
	failures := 0
	for i := range 120 {
		n := s.nodes[i%len(s.nodes)]
		r := n.do(http.MethodPost, "/quotes/1", fmt.Sprintf("spread-%d", i), "")
		if r.err != nil || r.status != http.StatusOK {
			failures++
		}
	}
	// In the independent mode each node would repeatedly have to observe the failure itself.
	if failures > 4 {
		t.Errorf("%d of 120 requests failed", failures)
	}
}

// Guards against repeatable requests that fail on a target that suddenly stops answering.
// The node requests a second target until one is granted, and the stall diverts others.
func TestSilentTargetIsHedged(t *testing.T) {
	s := jointSite(t, 3)
	get := func(i int) reply {
		n := s.nodes[i%len(s.nodes)]
		return n.do(http.MethodGet, "/quotes/1", fmt.Sprintf("read-%d", i), "")
	}
	for i := range 60 {
		if r := get(i); r.status != http.StatusOK {
			t.Fatalf("before: status %d, err %v", r.status, r.err)
		}
	}
	// The target with the most requests is the preferred one.
	busiest := slices.MaxFunc(s.targets, func(a, b *backend) int { return int(a.Requests() - b.Requests()) })
	busiest.SetMode(target.Mode{
		Stall: true,
	})
	before := busiest.Requests()
	for i := range 60 {
		if r := get(60 + i); r.err != nil || r.status != http.StatusOK {
			t.Errorf("request %d: status %d, outcome %q, err %v", i, r.status, r.outcome, r.err)
		}
	}
	if busiest.Requests() == before {
		t.Fatal("no request was sent to the silent target")
	}
}
