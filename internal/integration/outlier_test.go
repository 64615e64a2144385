// SPDX-License-Identifier: Apache-2.0

package integration_test

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"ploverjunction.example/ploverjunction/internal/operator"
	"ploverjunction.example/ploverjunction/internal/standin/faultproxy"
	"ploverjunction.example/ploverjunction/internal/standin/target"
)

// load sends repeatable requests through nodes until stop is called and counts
// failures.
type load struct {
	mu     sync.Mutex
	sent   int
	failed int
	done   chan struct{}
	all    sync.WaitGroup
}

func startLoad(nodes []*node, workers int, gap time.Duration) *load {
	l := &load{
		done: make(chan struct{}),
	}
	for w := range workers {
		l.all.Go(func() { l.work(nodes[w%len(nodes)], w, gap) })
	}
	return l
}

func (l *load) work(n *node, w int, gap time.Duration) {
	client := newCaller()
	defer client.CloseIdleConnections()
	next := time.NewTicker(gap)
	defer next.Stop()
	for i := 0; ; i++ {
		select {
		case <-l.done:
			return
		case <-next.C:
		}
		key := fmt.Sprintf("load-%d-%d", w, i)
		r := send(client, http.MethodGet, "http://"+n.entry+"/quotes/1", key, "")
		l.mu.Lock()
		l.sent++
		if r.err != nil || r.status != http.StatusOK {
			l.failed++
		}
		l.mu.Unlock()
	}
}

func (l *load) stop() (sent, failed int) {
	close(l.done)
	l.all.Wait()
	return l.sent, l.failed
}

// phase returns the state of a target on a node.
func (n *node) phase(b *backend) operator.TargetStatus {
	if s := n.status(); s != nil {
		for _, svc := range s.Services {
			for _, t := range svc.Targets {
				if t.Address == b.proxy.Addr() {
					return t
				}
			}
		}
	}
	return operator.TargetStatus{}
}

// ejectionSite returns a site with six targets and nodes in two data halls.
func ejectionSite(t *testing.T, nodes int, policy string) *site {
	s := newSite(t)
	for range 6 {
		s.target("quotes", "a", 30).SetMode(target.Mode{
			Latency: 5 * time.Millisecond,
		})
	}
	s.publishTargets(map[string]string{"quotes": policy})
	s.standardRoutes("quotes")
	for i := range nodes {
		s.node(string(rune('a' + i%2)))
	}
	s.listNodes()
	s.allReady()
	return s
}

func TestStalledTargetLosesWorkEverywhereAndReturns(t *testing.T) {
	s := ejectionSite(t, 6, "")
	bad := s.targets[2]
	// Only four of the six nodes have callers; the others depend on ejection decisions.
	l := startLoad(s.nodes[:4], 16, 10*time.Millisecond)
	eventually(t, "work on the target", func() bool { return len(bad.Runs()) > 50 })
	started := time.Now()
	bad.SetMode(target.Mode{
		Stall: true,
	})
	for _, n := range s.nodes {
		eventually(t, "ejection on "+n.hall, func() bool {
			p := n.phase(bad).Phase
			return p == "ejected" || p == "trial"
		})
	}
	t.Logf("ejected on all nodes after %v", time.Since(started))
	if took := time.Since(started); took > 5*time.Second {
		t.Errorf("ejected after %v", took)
	}
	for _, b := range s.targets {
		if b == bad {
			continue
		}
		for _, n := range s.nodes {
			if p := n.phase(b).Phase; p != "healthy" {
				t.Errorf("healthy target is %s", p)
			}
		}
	}
	bad.SetMode(target.Mode{
		Latency: 5 * time.Millisecond,
	})
	eventually(t, "the target healthy again on the nodes with callers", func() bool {
		for _, n := range s.nodes[:4] {
			if n.phase(bad).Phase != "healthy" {
				return false
			}
		}
		return true
	})
	sent, failed := l.stop()
	t.Logf("%d sent, %d failed", sent, failed)
	if failed > 0 {
		t.Errorf("%d of %d repeatable requests failed", failed, sent)
	}
}

func TestFloorHoldsWhenMostTargetsFail(t *testing.T) {
	s := ejectionSite(t, 2, `,"policy":{"floor":"0.5 * capacity"}`)
	l := startLoad(s.nodes, 8, 10*time.Millisecond)
	defer l.stop()
	// The targets fail one after another, so that each is an outlier in its pool.
	// Without the floor four of six would be ejected.
	for _, b := range s.targets[:4] {
		b.SetMode(target.Mode{
			ErrorShare: 1,
		})
		for _, n := range s.nodes {
			eventually(t, "the target ejected", func() bool {
				s.checkFloor(n)
				return n.phase(b).Phase == "ejected"
			})
		}
	}
	for _, n := range s.nodes {
		eventually(t, "a sick target kept by the floor", func() bool {
			return s.checkFloor(n) > 0
		})
	}
}

// checkFloor fails the test if fewer slots are in service than the floor requires. It
// returns the number of sick targets that the floor keeps in service.
func (s *site) checkFloor(n *node) int {
	s.t.Helper()
	st := n.status()
	if st == nil {
		return 0
	}
	svc := st.Services[0]
	if svc.Serving < svc.Floor {
		s.t.Fatalf("%v slots in service, the floor is %v", svc.Serving, svc.Floor)
	}
	return svc.KeptByFloor
}

// Guards against a cut between one node, or one data hall, and a target that ejects the
// target on other nodes.
func TestPartialCutEjectsNoTargetElsewhere(t *testing.T) {
	cases := []struct {
		name string
		// cut lists the nodes whose link to the target is cut in one direction.
		cut      []int
		forward  faultproxy.Fault
		backward faultproxy.Fault
	}{
		{
			name: "requests of one node are cut",
			cut:  []int{0},
			forward: faultproxy.Fault{
				Cut: true,
			},
			backward: faultproxy.Fault{},
		},
		{
			name:    "answers to one node are cut",
			cut:     []int{0},
			forward: faultproxy.Fault{},
			backward: faultproxy.Fault{
				Cut: true,
			},
		},
		{
			name: "requests of one data hall are cut",
			cut:  []int{0, 2, 4},
			forward: faultproxy.Fault{
				Cut: true,
			},
			backward: faultproxy.Fault{},
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := ejectionSite(t, 6, "")
			bad := s.targets[1]
			l := startLoad(s.nodes, 24, 10*time.Millisecond)
			eventually(t, "work on the target", func() bool { return len(bad.Runs()) > 200 })
			for _, i := range c.cut {
				bad.proxy.SetSource(s.nodes[i].outgoing, c.forward, c.backward)
			}
			for _, i := range c.cut {
				eventually(t, "the cut nodes avoid the target", func() bool { return s.nodes[i].phase(bad).Phase != "healthy" })
			}
			ran := len(bad.Runs())
			eventually(t, "more work on the target", func() bool { return len(bad.Runs()) > ran+1000 })
			for i, n := range s.nodes {
				if p := n.phase(bad).Phase; !slices.Contains(c.cut, i) && p != "healthy" {
					t.Errorf("node %d, which is not cut from the target, has it as %s", i, p)
				}
			}
			sent, failed := l.stop()
			t.Logf("%d sent, %d failed", sent, failed)
			if failed > 0 {
				t.Errorf("%d of %d repeatable requests failed", failed, sent)
			}
		})
	}
}
