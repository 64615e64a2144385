// SPDX-License-Identifier: Apache-2.0

package kit

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

// maxMisses is the number of misses in a row after which a node gets no new connections.
const maxMisses = 2

// Balancer is a stand-in for the platform's entry: it asks each node every second whether it is ready, and
// chooses among those that are in. It may be used concurrently.
type Balancer struct {
	nodes  []*Node
	mu     sync.Mutex
	misses map[*Node]int
}

// NewBalancer returns a balancer that asks the nodes until the context ends.
func NewBalancer(ctx context.Context, nodes []*Node) *Balancer {
	b := &Balancer{
		nodes:  nodes,
		misses: map[*Node]int{},
	}
	for _, n := range nodes {
		go b.ask(ctx, n)
	}
	return b
}

func (b *Balancer) ask(ctx context.Context, n *Node) {
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		ready := n.IsReady()
		b.mu.Lock()
		if ready {
			b.misses[n] = 0
		} else {
			b.misses[n]++
		}
		b.mu.Unlock()
	}
}

// Choose returns a node that is in.
func (b *Balancer) Choose() *Node {
	b.mu.Lock()
	defer b.mu.Unlock()
	var in []*Node
	for _, n := range b.nodes {
		if b.misses[n] < maxMisses {
			in = append(in, n)
		}
	}
	if len(in) == 0 {
		in = b.nodes
	}
	return in[rand.IntN(len(in))]
}
