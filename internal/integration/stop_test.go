// SPDX-License-Identifier: Apache-2.0

package integration_test

import (
	"bytes"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"ploverjunction.example/ploverjunction/internal/standin/target"
)

// balancer sends each request to a ready node, as the platform's load balancer does: it
// polls the readiness of each node and uses the last result.
type balancer struct {
	nodes []*node
	ready []atomic.Bool
	next  atomic.Int64
	done  chan struct{}
	all   sync.WaitGroup
}

// balancerInterval is the polling interval of the balancer.
const balancerInterval = 200 * time.Millisecond

func newBalancer(nodes []*node) *balancer {
	b := &balancer{
		nodes: nodes,
		ready: make([]atomic.Bool, len(nodes)),
		done:  make(chan struct{}),
	}
	b.poll()
	b.all.Go(func() {
		tick := time.NewTicker(balancerInterval)
		defer tick.Stop()
		for {
			select {
			case <-b.done:
				return
			case <-tick.C:
				b.poll()
			}
		}
	})
	return b
}

func (b *balancer) poll() {
	for i, n := range b.nodes {
		res, err := http.Get("http://" + n.proc.Load().Operator() + "/readyz")
		b.ready[i].Store(err == nil && res.StatusCode == http.StatusOK)
		if err == nil {
			_ = res.Body.Close()
		}
	}
}

func (b *balancer) stop() {
	close(b.done)
	b.all.Wait()
}

// pick returns the entry address of a ready node.
func (b *balancer) pick() string {
	for range 2 * len(b.nodes) {
		i := int(b.next.Add(1)) % len(b.nodes)
		if b.ready[i].Load() {
			return b.nodes[i].proc.Load().Entry()
		}
	}
	return ""
}

func TestPlannedStopFailsNoRequests(t *testing.T) {
	s := ejectionSite(t, 1, "")
	for _, b := range s.targets {
		b.SetMode(target.Mode{
			ChunkDelay: time.Millisecond,
		})
	}
	n := s.nodes[0]
	const size = 50 << 20
	download := make(chan reply, 1)
	go func() {
		download <- n.do(http.MethodGet, fmt.Sprintf("/quotes/pack?size=%d", size), "pack", "")
	}()
	eventually(t, "the download under way", func() bool { return s.runsOf("pack") == 1 })
	n.signal(syscall.SIGTERM)
	eventually(t, "not ready", func() bool { return !n.ready() })
	// The balancer has not polled yet; its requests are still served.
	r := n.do(http.MethodPost, "/quotes/1", "late", "x")
	if r.err != nil || r.outcome != "done" {
		t.Fatalf("a request within the drain wait: status %d err %v", r.status, r.err)
	}
	if !r.closes {
		t.Error("the connection of a stopping node is kept open")
	}
	d := <-download
	if d.err != nil || !bytes.Equal(d.body, target.Document("/quotes/pack", size)) {
		t.Fatalf("download: %d of %d bytes, err %v", len(d.body), size, d.err)
	}
	t.Logf("a download of %v was completed", d.took)
	n.awaitExit()
}

// awaitExit waits for the process to exit, which must be without error.
func (n *node) awaitExit() {
	n.t.Helper()
	p := n.proc.Load()
	<-p.Exited()
	if err := p.ExitError(); err != nil {
		n.t.Errorf("exit: %v", err)
	}
}

func TestAllNodesReplacedUnderLoad(t *testing.T) {
	s := newSite(t)
	for range 4 {
		s.target("quotes", "a", 30).SetMode(target.Mode{
			Latency: 3 * time.Millisecond,
		})
	}
	s.publishTargets(nil)
	s.standardRoutes("quotes")
	for i := range 4 {
		s.node(string(rune('a'+i%2)), withExtra("drain_wait = 1s"))
	}
	s.listNodes()
	s.allReady()
	b := newBalancer(s.nodes)
	defer b.stop()
	var sent, failed atomic.Int64
	done := make(chan struct{})
	var all sync.WaitGroup
	var first atomic.Pointer[string]
	for w := range 8 {
		all.Go(func() {
			client := newCaller()
			defer client.CloseIdleConnections()
			for i := 0; ; i++ {
				select {
				case <-done:
					return
				default:
				}
				key := fmt.Sprintf("replace-%d-%d", w, i)
				r := send(client, http.MethodPost, "http://"+b.pick()+"/quotes/1", key, "x")
				sent.Add(1)
				if r.err != nil || r.outcome != "done" {
					failed.Add(1)
					text := fmt.Sprintf("%s: status %d outcome %q err %v", key, r.status, r.outcome, r.err)
					first.CompareAndSwap(nil, &text)
				}
			}
		})
	}
	for _, n := range s.nodes {
		n.signal(syscall.SIGTERM)
		n.awaitExit()
		n.start()
		eventually(t, "the new process ready", n.ready)
		// The balancer must poll it before the next one is stopped.
		i := slices.Index(s.nodes, n)
		eventually(t, "the balancer polls the node as ready", func() bool { return b.ready[i].Load() })
	}
	close(done)
	all.Wait()
	t.Logf("%d sent, %d failed", sent.Load(), failed.Load())
	if failed.Load() > 0 || sent.Load() == 0 {
		t.Fatalf("%d of %d failed, first: %s", failed.Load(), sent.Load(), *first.Load())
	}
}

func TestDrainingTargetGetsNoNewRequests(t *testing.T) {
	s := newSite(t)
	for range 4 {
		s.target("quotes", "a", 30).SetMode(target.Mode{
			Latency: 3 * time.Millisecond,
		})
	}
	s.publishTargets(map[string]string{"quotes": `,"healthPath":"/health"`})
	s.standardRoutes("quotes")
	for i := range 6 {
		s.node(string(rune('a' + i%3)))
	}
	s.listNodes()
	s.allReady()
	l := startLoad(s.nodes[:2], 4, 5*time.Millisecond)
	draining := s.targets[0]
	eventually(t, "work on the target", func() bool { return len(draining.Runs()) > 20 })
	// The platform's list keeps the target as live.
	draining.SetMode(target.Mode{
		Latency:  3 * time.Millisecond,
		Draining: true,
	})
	started := time.Now()
	for _, n := range s.nodes {
		eventually(t, "the draining signal on all nodes", func() bool { return n.phase(draining).Draining })
	}
	took := time.Since(started)
	t.Logf("received by all nodes after %v", took)
	if took > 3*time.Second {
		t.Errorf("received after %v", took)
	}
	before := len(draining.Runs())
	ran := len(s.targets[1].Runs())
	eventually(t, "more work elsewhere", func() bool { return len(s.targets[1].Runs()) > ran+300 })
	if now := len(draining.Runs()); now != before {
		t.Errorf("%d requests ran on a draining target after all nodes had received the signal", now-before)
	}
	if sent, failed := l.stop(); failed > 0 {
		t.Errorf("%d of %d failed", failed, sent)
	}
}
