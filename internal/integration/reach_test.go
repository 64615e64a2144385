// SPDX-License-Identifier: Apache-2.0

package integration_test

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"ploverjunction.example/ploverjunction/internal/standin/faultproxy"
	"ploverjunction.example/ploverjunction/internal/standin/target"
)

// Load and bounds of the tests of nodes that reach no target.
const (
	reachNodes = 8
	// reachPerSecond is the rate of all callers; a third of the requests is repeatable.
	reachPerSecond = 160
	reachWork      = 20 * time.Millisecond
	reachWarmup    = 2 * time.Second
	// reachSettle is the time from the cut on after which the bounds hold.
	reachSettle = time.Second
	// reachLength leaves 160 requests to a single node: one of them is less than maxLostShare.
	reachLength = 8 * time.Second
	// minServedShare is the least share served at nodes that are cut off, of the share at the others.
	minServedShare = 0.95
	// maxLostShare is the greatest share that the others may lose through the cut.
	maxLostShare = 0.02
)

// tally counts the requests of one group of nodes in one period.
type tally struct {
	sent, served int
	slow         int
}

func (c tally) share() float64 { return float64(c.served) / float64(max(c.sent, 1)) }

func (c tally) String() string {
	return fmt.Sprintf("%d of %d (%d over 1 s)", c.served, c.sent, c.slow)
}

// play sends requests to all nodes for a time. It returns the counts of nodes in cut and of the
// others, for requests sent after skip.
func (s *site) play(name string, cut []int, length, skip time.Duration) (cutOff, others tally) {
	var mu sync.Mutex
	var load sync.WaitGroup
	pace := time.NewTicker(time.Second / reachPerSecond)
	defer pace.Stop()
	started := time.Now()
	for i := 0; time.Since(started) < length; i++ {
		<-pace.C
		at := time.Since(started)
		node := i % len(s.nodes)
		load.Go(func() {
			method := http.MethodPost
			if i/len(s.nodes)%3 == 0 {
				method = http.MethodGet
			}
			r := s.nodes[node].do(method, "/quotes/1", fmt.Sprintf("%s-%d", name, i), "")
			if at < skip {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			c := &others
			if slices.Contains(cut, node) {
				c = &cutOff
			}
			c.sent++
			if r.err == nil && r.status == http.StatusOK {
				c.served++
			}
			if r.took > time.Second {
				c.slow++
			}
		})
	}
	load.Wait()
	return cutOff, others
}

// cutOff cuts all paths between a node and the targets, or restores them.
func (s *site) cutOff(node int, cut bool) {
	f := faultproxy.Fault{
		Cut: cut,
	}
	for _, b := range s.targets {
		b.proxy.SetSource(s.nodes[node].outgoing, f, f)
	}
}

// Guards against callers that are served worse because their node reaches no target while other
// nodes do, and against other callers who suffer with them.
func TestCallersOfNodesWithoutTargetsAreServed(t *testing.T) {
	tests := []struct {
		name string
		// cut are the nodes cut off. Those with even numbers are in data hall a.
		cut []int
		// reset breaks all connections to targets at the cut.
		reset bool
	}{
		{
			name: "one node",
			cut:  []int{3},
		},
		{
			name: "half of both data halls",
			cut:  []int{0, 1, 2, 3},
		},
		{
			name:  "half, connections reset",
			cut:   []int{4, 5, 6, 7},
			reset: true,
		},
		{
			name: "a data hall",
			cut:  []int{0, 2, 4, 6},
		},
		{
			name: "all but one",
			cut:  []int{0, 1, 2, 3, 4, 6, 7},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := jointSite(t, reachNodes)
			for _, b := range s.targets {
				b.SetMode(target.Mode{
					Latency: reachWork,
				})
			}
			_, before := s.play("before", nil, reachWarmup, reachWarmup/2)
			for _, i := range tt.cut {
				s.cutOff(i, true)
			}
			if tt.reset {
				for _, b := range s.targets {
					b.proxy.Reset()
				}
			}
			cutOff, others := s.play("cut", tt.cut, reachSettle+reachLength, reachSettle)
			t.Logf("before the cut: %v; cut off: %v; others: %v", before, cutOff, others)
			if cutOff.share() < minServedShare*others.share() {
				t.Errorf("nodes that are cut off served %v, the others %v", cutOff, others)
			}
			if lost := before.share() - others.share(); lost > maxLostShare {
				t.Errorf("the other nodes served %v, before the cut %v", others, before)
			}
			for _, i := range tt.cut {
				s.cutOff(i, false)
			}
			_, after := s.play("after", nil, reachSettle+reachWarmup, reachSettle)
			t.Logf("after the cut: %v", after)
			if lost := before.share() - after.share(); lost > maxLostShare {
				t.Errorf("after the cut %v were served, before it %v", after, before)
			}
		})
	}
}
