// SPDX-License-Identifier: Apache-2.0

package integration_test

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"ploverjunction.example/ploverjunction/internal/membership"
	"ploverjunction.example/ploverjunction/internal/standin/target"
)

// Guards against a node that keeps an outdated configuration after it was frozen while a
// value was published.
func TestFrozenNodeCatchesUp(t *testing.T) {
	s := newSite(t)
	s.target("quotes", "a", 3)
	s.publishTargets(nil)
	s.platform.Publish("routes", routesDoc(0))
	s.fleet(6)
	frozen := s.nodes[2]
	frozen.signal(syscall.SIGSTOP)
	rev := s.platform.Publish("routes", routesDoc(1))
	others := append(append([]*node{}, s.nodes[:2]...), s.nodes[3:]...)
	s.checkSpread(t, rev, others)
	frozen.signal(syscall.SIGCONT)
	s.checkSpread(t, rev, []*node{frozen})
}

// Guards against nodes that diverge when several operators publish the same keys
// concurrently. The platform orders the values, and every node applies the last of each.
func TestConcurrentPublishing(t *testing.T) {
	s := newSite(t)
	s.target("quotes", "a", 3)
	s.publishTargets(nil)
	s.platform.Publish("routes", routesDoc(0))
	s.fleet(9)
	const keys, each = 3, 20
	var mu sync.Mutex
	last := map[string]uint64{}
	var all sync.WaitGroup
	for op := range 4 {
		all.Go(func() {
			for i := range each {
				key := fmt.Sprint("limits-", i%keys)
				rev := s.platform.Publish(key, fmt.Sprintf(`{"workspaces":[{"id":"%s-%d-%d"}]}`, key, op, i))
				mu.Lock()
				last[key] = max(last[key], rev)
				mu.Unlock()
			}
		})
	}
	all.Wait()
	for _, n := range s.nodes {
		for key, rev := range last {
			eventually(t, "the last revision of "+key, func() bool { return n.revision(key) == rev })
		}
		if got := n.status().Config.Workspaces; got != keys {
			t.Errorf("%d workspaces in force, want %d", got, keys)
		}
	}
}

// Guards against a frozen observer when a target begins to stall. The other nodes replace
// it, and its late reports after it resumes have no effect.
func TestFrozenObserverIsReplaced(t *testing.T) {
	s := ejectionSite(t, 6, "")
	observer := s.observerOf("quotes", "a")
	var awake []*node
	for _, n := range s.nodes {
		if n != observer {
			awake = append(awake, n)
		}
	}
	bad := s.targets[3]
	l := startLoad(awake[:4], 16, 10*time.Millisecond)
	eventually(t, "work on the target", func() bool { return len(bad.Runs()) > 50 })
	observer.signal(syscall.SIGSTOP)
	started := time.Now()
	bad.SetMode(target.Mode{
		Stall: true,
	})
	for _, n := range awake {
		eventually(t, "ejection", func() bool { return n.phase(bad).Phase != "healthy" })
	}
	t.Logf("ejected on the running nodes after %v", time.Since(started))
	bad.SetMode(target.Mode{
		Latency: 5 * time.Millisecond,
	})
	observer.signal(syscall.SIGCONT)
	eventually(t, "all targets healthy on the nodes with callers", func() bool {
		for _, n := range awake[:4] {
			for _, b := range s.targets {
				if n.phase(b).Phase != "healthy" {
					return false
				}
			}
		}
		return true
	})
	if sent, failed := l.stop(); failed > 0 {
		t.Errorf("%d of %d failed", failed, sent)
	}
}

// observerOf returns the node with the highest rank as observer of a service in a
// data hall.
func (s *site) observerOf(service, hall string) *node {
	var list []membership.Node
	byAddress := map[string]*node{}
	for _, n := range s.nodes {
		list = append(list, membership.NewNode(n.peerProxy.Addr(), n.hall))
		byAddress[n.peerProxy.Addr()] = n
	}
	table := membership.NewTable(list[0])
	table.List(list, nil)
	first := table.View(time.Now()).Role("observer/"+service, hall, 1)[0]
	return byAddress[first.Address()]
}

// Guards against delivering the late answer to an abandoned request to the next request
// on the same connection.
func TestLateAnswerIsDiscarded(t *testing.T) {
	s, b, n := oneTarget(t)
	for i := range 20 {
		b.SetMode(target.Mode{
			Latency: 60 * time.Millisecond,
		})
		late := fmt.Sprint("late-", i)
		r := n.do(http.MethodPost, "/quotes/1", late, "", "Plover-Timeout", "30ms")
		if r.status != http.StatusGatewayTimeout || r.outcome != "unknown" {
			t.Fatalf("status %d outcome %q", r.status, r.outcome)
		}
		b.SetMode(target.Mode{})
		next := fmt.Sprint("next-", i)
		r = n.do(http.MethodPost, "/quotes/1", next, "")
		if string(r.body) != string(target.Echo(http.MethodPost, "/quotes/1", next, nil)) {
			t.Fatalf("got %q", r.body)
		}
		if s.runsOf(late) > 1 || s.runsOf(next) != 1 {
			t.Fatalf("ran %d and %d times", s.runsOf(late), s.runsOf(next))
		}
	}
}

// Guards against a gross regression of added latency. It compares the medians of one run,
// through a node and directly, with a target that takes 10 ms.
func TestAddedLatencyGuard(t *testing.T) {
	_, b, n := oneTarget(t)
	b.SetMode(target.Mode{
		Latency: 10 * time.Millisecond,
	})
	const count = 150
	var direct, through []time.Duration
	for i := range count {
		key := fmt.Sprint("latency-", i)
		direct = append(direct, send(callers, http.MethodGet, "http://"+b.proxy.Addr()+"/quotes/1", key, "").took)
		through = append(through, n.do(http.MethodGet, "/quotes/1", key, "").took)
	}
	d, th := median(direct), median(through)
	t.Logf("median direct %v, through a node %v", d, th)
	if th > d*3/2 {
		t.Fatalf("median %v through a node, %v directly", th, d)
	}
}
