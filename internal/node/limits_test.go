// SPDX-License-Identifier: Apache-2.0

package node_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/protobuf/proto"

	"ploverjunction.example/ploverjunction/internal/membership"
	"ploverjunction.example/ploverjunction/internal/node"
	"ploverjunction.example/ploverjunction/internal/task"
	"ploverjunction.example/ploverjunction/internal/wire"
)

// limitedFleet is a fleet whose nodes enforce the limit of the workspace brokers together.
type limitedFleet struct {
	ctx    context.Context
	nodes  map[string]*node.LimitedNode
	order  []string
	random *rand.Rand

	mu sync.Mutex
	// isolated are the nodes that reach no other one, loss is the fraction of lost datagrams.
	isolated map[string]bool
	loss     float64
	// bytes counts the bytes that the nodes send.
	bytes int
}

const brokers = "brokers"

func newLimitedFleet(ctx context.Context, t *testing.T, nodes int, rate float64) *limitedFleet {
	t.Helper()
	f := &limitedFleet{
		ctx:      ctx,
		nodes:    map[string]*node.LimitedNode{},
		random:   rand.New(rand.NewPCG(1, 2)),
		isolated: map[string]bool{},
	}
	doc := &wire.Document{
		Workspaces: []*wire.Workspace{
			{
				Id:   brokers,
				Rate: rate,
			},
			{
				Id: "unlimited",
			},
		},
	}
	var all []membership.Node
	for i := range nodes {
		all = append(all, membership.NewNode(fmt.Sprintf("192.0.2.%d:1", i+1), "a"))
	}
	for _, n := range all {
		f.order = append(f.order, n.Address())
		f.nodes[n.Address()] = node.NewLimitedNode(n, doc, func(peer string, d *wire.Datagram) { f.send(n.Address(), peer, d) })
	}
	for _, n := range f.nodes {
		n.AddPeers(all)
	}
	return f
}

// send delivers a datagram after a millisecond, unless it is lost.
func (f *limitedFleet) send(from, to string, d *wire.Datagram) {
	f.mu.Lock()
	f.bytes += proto.Size(d)
	lost := f.isolated[from] || f.isolated[to] || f.random.Float64() < f.loss
	f.mu.Unlock()
	if lost {
		return
	}
	time.AfterFunc(time.Millisecond, func() { f.nodes[to].Receive(f.ctx, d) })
}

// start runs all nodes, which send datagrams to each other several times a second.
func (f *limitedFleet) start(t *testing.T) {
	t.Helper()
	var tasks task.Group
	ctx, cancel := context.WithCancel(f.ctx)
	for i, n := range f.nodes {
		tasks.Go(ctx, "limits of "+i, n.Run)
	}
	tasks.Go(ctx, "words", func(ctx context.Context) error {
		tick := time.NewTicker(200 * time.Millisecond)
		defer tick.Stop()
		for {
			select {
			case <-ctx.Done():
				return nil
			case <-tick.C:
			}
			for i, to := range f.order {
				from := f.order[(i+1)%len(f.order)]
				f.send(from, to, &wire.Datagram{
					From: &wire.Node{
						Address:     from,
						Incarnation: 1,
					},
				})
			}
		}
	})
	t.Cleanup(func() {
		cancel()
		if err := tasks.Wait(); err != nil {
			t.Error(err)
		}
	})
}

func (f *limitedFleet) bytesSent() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.bytes
}

func (f *limitedFleet) setIsolated(node string, cut bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.isolated[node] = cut
}

// play sends requests to random nodes at a rate, for some time, and returns how many were admitted,
// how many were sent, and the longest wait.
func (f *limitedFleet) play(nodes []string, rate float64, length time.Duration) (admitted, requests int, waited time.Duration) {
	random := rand.New(rand.NewPCG(3, 4))
	var mu sync.Mutex
	var wg sync.WaitGroup
	for end := time.Now().Add(length); time.Now().Before(end); {
		time.Sleep(time.Duration(random.ExpFloat64() / rate * float64(time.Second)))
		n := f.nodes[nodes[random.IntN(len(nodes))]]
		requests++
		wg.Go(func() {
			started := time.Now()
			ok := n.Admit(f.ctx, brokers) == 0
			mu.Lock()
			defer mu.Unlock()
			waited = max(waited, time.Since(started))
			if ok {
				admitted++
			}
		})
	}
	wg.Wait()
	return admitted, requests, waited
}

// Below its limit a workspace must not be refused, whichever nodes its callers use; above it the
// limit must be used up, and no request may wait long for the decision.
func TestFleetEnforcesLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newLimitedFleet(t.Context(), t, 20, 50)
		f.start(t)
		admitted, requests, waited := f.play(f.order, 30, 20*time.Second)
		if admitted < requests || waited > 10*time.Millisecond {
			t.Errorf("%d of %d requests admitted below the limit, in at most %v", admitted, requests, waited)
		}
		admitted, requests, waited = f.play(f.order[:5], 200, 20*time.Second)
		if admitted < 20*50*95/100 || admitted > 20*50+150 || waited > 10*time.Millisecond {
			t.Errorf("%d of %d requests admitted above the limit, in at most %v", admitted, requests, waited)
		}
		for range 1000 {
			if f.nodes[f.order[3]].Admit(f.ctx, "unlimited") > 0 {
				t.Fatal("workspace without a limit refused")
			}
		}
	})
}

// Lost datagrams must be resent, and a resent one must not take tokens twice.
func TestLimitWithLostDatagrams(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newLimitedFleet(t.Context(), t, 20, 50)
		f.loss = 0.1
		f.start(t)
		admitted, requests, _ := f.play(f.order, 30, 30*time.Second)
		if admitted < requests*995/1000 {
			t.Errorf("%d of %d requests admitted below the limit", admitted, requests)
		}
	})
}

// An isolated node must continue at the earlier rate of its callers, and the fleet without its
// allocator must continue until it declares it dead.
func TestLimitOfIsolatedNodes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newLimitedFleet(t.Context(), t, 12, 60)
		f.start(t)
		f.play(f.order, 30, 15*time.Second)
		holder := f.nodes[f.order[0]].Holder(brokers)
		f.setIsolated(holder, true)
		admitted, requests, waited := f.play(f.order, 30, 1200*time.Millisecond)
		if admitted < requests*9/10 || waited > 100*time.Millisecond {
			t.Errorf("%d of %d requests admitted without the allocator, in at most %v", admitted, requests, waited)
		}
		for _, n := range f.nodes {
			if n.Address() != holder {
				n.DeclareDead(holder)
			}
		}
		admitted, requests, _ = f.play([]string{holder}, 2.5, 6*time.Second)
		if admitted < requests*8/10 {
			t.Errorf("%d of %d requests admitted on the isolated node", admitted, requests)
		}
		admitted, _, _ = f.play([]string{holder}, 300, 10*time.Second)
		if admitted > 10*60/4 {
			t.Errorf("%d requests admitted in 10 s on an isolated node, with a limit of 60 a second for the fleet", admitted)
		}
	})
}

// A node that has not reached any peer must not give out the whole limit.
func TestLimitOfStartingNode(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newLimitedFleet(t.Context(), t, 1, 100)
		admitted, _, _ := f.play(f.order, 200, 5*time.Second)
		if admitted > 5*100/20 {
			t.Errorf("%d requests admitted by a node without peers", admitted)
		}
	})
}

// When all nodes start at once, requests must wait until the nodes have connected; on an isolated
// node no longer than the maximum wait.
func TestRequestsWaitWhileNodesConnect(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newLimitedFleet(t.Context(), t, 12, 60)
		for _, n := range f.order {
			f.setIsolated(n, true)
		}
		f.start(t)
		for _, n := range f.order[1:] {
			time.AfterFunc(400*time.Millisecond, func() { f.setIsolated(n, false) })
		}
		admitted, requests, waited := f.play(f.order[1:], 30, 800*time.Millisecond)
		if admitted < requests*95/100 || waited > node.MaxWait+100*time.Millisecond {
			t.Errorf("%d of %d requests admitted below the limit, in at most %v", admitted, requests, waited)
		}
		admitted, _, waited = f.play(f.order[:1], 100, time.Second)
		if admitted > 2 || waited > node.MaxWait+100*time.Millisecond {
			t.Errorf("%d requests admitted by an isolated node, in at most %v", admitted, waited)
		}
	})
}

// Datagrams about limits must stay below 1 KB a second and node.
func TestLimitTraffic(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newLimitedFleet(t.Context(), t, 20, 50)
		f.start(t)
		before := f.bytesSent()
		const length = 20 * time.Second
		_, requests, _ := f.play(f.order, 30, length)
		each := float64(f.bytesSent()-before) / length.Seconds() / float64(len(f.order))
		t.Logf("%.0f bytes a second and node, %.1f requests", each, float64(requests)/length.Seconds()/float64(len(f.order)))
		if each > 1000 {
			t.Errorf("%.0f bytes a second and node", each)
		}
	})
}

// A token request that is received twice must take its tokens once.
func TestResentTokenRequestTakesNoTokensTwice(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newLimitedFleet(t.Context(), t, 3, 20)
		f.start(t)
		time.Sleep(6 * time.Second)
		holder := f.nodes[f.order[0]].Holder(brokers)
		draw := func(call uint64) *wire.Datagram {
			return &wire.Datagram{
				From: &wire.Node{
					Address:     f.order[0],
					Incarnation: 1,
				},
				Call: call,
				Body: &wire.Datagram_Draw{
					Draw: &wire.Draw{
						Usages: []*wire.Usage{
							{
								Workspace: brokers,
								Waiting:   15,
								Demand:    10,
								EveryMs:   1000,
							},
						},
					},
				},
			}
		}
		for range 10 {
			f.nodes[holder].Receive(f.ctx, draw(1<<40))
		}
		admitted, requests, _ := f.play([]string{holder}, 100, 50*time.Millisecond)
		if admitted < min(requests, 4) {
			t.Errorf("%d of %d requests admitted after 15 tokens of 20 were taken", admitted, requests)
		}
	})
}

// Guards against a node that has just started, knows no peers yet and admits the limit of the whole
// fleet.
func TestStartingNodeHasItsShareOfLimit(t *testing.T) {
	const rate, seeds, most = 20, 3, 10
	synctest.Test(t, func(t *testing.T) {
		doc := &wire.Document{
			Workspaces: []*wire.Workspace{
				{
					Id:    brokers,
					Rate:  rate,
					Burst: rate,
				},
			},
		}
		n := node.NewLimitedNode(membership.NewNode("192.0.2.1:1", "a"), doc, func(string, *wire.Datagram) {})
		n.UseEqualShares(seeds)
		admitted := 0
		for range 100 {
			if n.Admit(t.Context(), brokers) == 0 {
				admitted++
			}
			time.Sleep(10 * time.Millisecond)
		}
		if admitted > most {
			t.Errorf("%d admitted in the first second, want at most %d", admitted, most)
		}
	})
}
