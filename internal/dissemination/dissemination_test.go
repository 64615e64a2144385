// SPDX-License-Identifier: Apache-2.0

package dissemination_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/protobuf/proto"

	"ploverjunction.example/ploverjunction/internal/dissemination"
	"ploverjunction.example/ploverjunction/internal/fleetconfig"
	"ploverjunction.example/ploverjunction/internal/membership"
	"ploverjunction.example/ploverjunction/internal/task"
	"ploverjunction.example/ploverjunction/internal/wire"
)

// peer is one node of a fake fleet.
type peer struct {
	name    string
	replica *dissemination.Replica
	gossip  *dissemination.Gossip
	view    *membership.View
}

// fleet is a fake fleet whose messages take a millisecond.
type fleet struct {
	mu    sync.Mutex
	peers map[string]*peer
	// drops reports whether messages from one node to another are lost.
	drops func(from, to string) bool
	calls int
	// bytes is the total size of all messages.
	bytes int
}

type lostError struct{}

// Error returns the message.
func (lostError) Error() string { return "lost" }

func newFleet(n int) *fleet {
	f := &fleet{
		peers: map[string]*peer{},
		drops: func(string, string) bool { return false },
	}
	var list []membership.Node
	for i := range n {
		list = append(list, membership.NewNode(fmt.Sprintf("192.0.2.%d:1", i), "a"))
	}
	for _, node := range list {
		tab := membership.NewTable(node)
		tab.List(list, nil)
		p := &peer{
			name:    node.Address(),
			replica: dissemination.NewReplica(func(*fleetconfig.Config, []fleetconfig.Refusal) {}),
			view:    tab.View(time.Now()),
		}
		p.gossip = dissemination.New(dissemination.Config{
			Seeds: func() []string { return nil },
			Self: func() *wire.Node {
				return &wire.Node{
					Address: p.name,
				}
			},
			View: func() *membership.View { return p.view },
			Call: func(ctx context.Context, to string, in *wire.SyncRequest) (*wire.SyncReply, error) {
				return f.call(ctx, p.name, to, in)
			},
			Received:   func(*wire.Node) {},
			Discovered: func(*wire.Node) {},
			Failed:     func(string) {},
		}, p.replica)
		f.peers[p.name] = p
	}
	return f
}

// call hangs for two seconds if the request is lost, like a real call.
func (f *fleet) call(ctx context.Context, from, to string, in *wire.SyncRequest) (*wire.SyncReply, error) {
	f.mu.Lock()
	f.calls++
	f.bytes += proto.Size(in)
	lost := f.drops(from, to)
	f.mu.Unlock()
	if lost {
		select {
		case <-ctx.Done():
		case <-time.After(2 * time.Second):
		}
		return nil, lostError{}
	}
	time.Sleep(time.Millisecond)
	reply, err := f.peers[to].gossip.Sync(ctx, in)
	if err != nil {
		return nil, err
	}
	time.Sleep(time.Millisecond)
	f.mu.Lock()
	f.bytes += proto.Size(reply)
	lost = f.drops(to, from)
	f.mu.Unlock()
	if lost {
		return nil, lostError{}
	}
	return reply, nil
}

func (f *fleet) run(ctx context.Context) *task.Group {
	var g task.Group
	for _, p := range f.peers {
		g.Go(ctx, p.name, p.gossip.Run)
	}
	return &g
}

func value(rev uint64, size int) *wire.Entry {
	return &wire.Entry{
		Key:      "key",
		Revision: rev,
		Value:    fmt.Appendf(nil, `{"workspaces":[{"id":"w%d"}]}%*s`, rev, size, ""),
	}
}

// countInForce counts the nodes that have a revision in force.
func (f *fleet) countInForce(rev uint64) int {
	n := 0
	for _, p := range f.peers {
		if p.replica.InForce()["key"].Revision() >= rev {
			n++
		}
	}
	return n
}

func TestSpread(t *testing.T) {
	cases := []struct {
		name    string
		size    int
		cut     func(from, to string) bool
		maxTime time.Duration
	}{
		{
			name:    "small value",
			size:    10,
			cut:     func(string, string) bool { return false },
			maxTime: 3 * time.Second,
		},
		{
			name:    "large value",
			size:    100_000,
			cut:     func(string, string) bool { return false },
			maxTime: 3 * time.Second,
		},
		{
			name:    "a node that can only be reached",
			size:    10,
			cut:     func(from, _ string) bool { return from == "192.0.2.7:1" },
			maxTime: 30 * time.Second,
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(60)
				f.drops = c.cut
				ctx, cancel := context.WithCancel(t.Context())
				g := f.run(ctx)
				time.Sleep(3 * time.Second)
				start := time.Now()
				f.peers["192.0.2.0:1"].gossip.Publish([]*wire.Entry{value(1, c.size)})
				for f.countInForce(1) < len(f.peers) && time.Since(start) < time.Minute {
					time.Sleep(5 * time.Millisecond)
				}
				took := time.Since(start)
				t.Logf("on all nodes after %v", took)
				if took > c.maxTime {
					t.Errorf("on %d of %d nodes after %v", f.countInForce(1), len(f.peers), took)
				}
				cancel()
				if err := g.Wait(); err != nil {
					t.Error(err)
				}
			})
		})
	}
}

// Guards against a node that sends but receives nothing, and doesn't detect that
// it is cut off.
func TestDeafNodeReportsCutOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const deaf = "192.0.2.7:1"
		f := newFleet(20)
		f.drops = func(_, to string) bool { return to == deaf }
		ctx, cancel := context.WithCancel(t.Context())
		g := f.run(ctx)
		time.Sleep(30 * time.Second)
		for name, p := range f.peers {
			if got := p.gossip.CutOff(); got != (name == deaf) {
				t.Errorf("%s: cut off %t", name, got)
			}
		}
		cancel()
		if err := g.Wait(); err != nil {
			t.Error(err)
		}
	})
}

// Guards against calls of an idle fleet that grow with its size: about one per node
// and interval is expected.
func TestQuietCost(t *testing.T) {
	for _, n := range []int{10, 40, 160} {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(n)
			ctx, cancel := context.WithCancel(t.Context())
			g := f.run(ctx)
			const seconds = 20
			time.Sleep(seconds * time.Second)
			f.mu.Lock()
			each := float64(f.calls) / float64(n) / seconds
			f.mu.Unlock()
			t.Logf("%d nodes: %.2f calls per second and node", n, each)
			if each > 1.3 {
				t.Errorf("%d nodes: %.2f calls per second and node, want at most 1.3", n, each)
			}
			cancel()
			if err := g.Wait(); err != nil {
				t.Error(err)
			}
		})
	}
}

func TestHealedPartitionsConverge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(20)
		side := func(name string) bool { return len(name) == len("192.0.2.1:1") }
		f.drops = func(from, to string) bool { return side(from) != side(to) }
		ctx, cancel := context.WithCancel(t.Context())
		g := f.run(ctx)
		f.peers["192.0.2.1:1"].gossip.Publish([]*wire.Entry{value(7, 0)})
		f.peers["192.0.2.11:1"].gossip.Publish([]*wire.Entry{value(9, 0)})
		time.Sleep(10 * time.Second)
		if a, b := f.countInForce(7), f.countInForce(9); a != 20 || b != 10 {
			t.Errorf("during the partition %d nodes have 7 and %d have 9, want 20 and 10", a, b)
		}
		f.mu.Lock()
		f.drops = func(string, string) bool { return false }
		f.mu.Unlock()
		time.Sleep(10 * time.Second)
		if n := f.countInForce(9); n != 20 {
			t.Errorf("after the partition %d nodes have 9, want 20", n)
		}
		cancel()
		if err := g.Wait(); err != nil {
			t.Error(err)
		}
	})
}

// Guards against a node whose answers are lost, and that missed the push of a value, without
// receiving the value from peers that try to compare with it.
func TestUnresponsivePeerGetsRecentValues(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const reached = "192.0.2.1:1"
		f := newFleet(2)
		f.drops = func(_, to string) bool { return to == reached }
		ctx, cancel := context.WithCancel(t.Context())
		g := f.run(ctx)
		f.peers["192.0.2.0:1"].gossip.Publish([]*wire.Entry{value(1, 10)})
		// The push is lost; from now on only answers are.
		time.Sleep(100 * time.Millisecond)
		f.mu.Lock()
		f.drops = func(from, _ string) bool { return from == reached }
		f.mu.Unlock()
		time.Sleep(10 * time.Second)
		if f.countInForce(1) != len(f.peers) {
			t.Error("the node whose answers are lost does not have the value")
		}
		cancel()
		if err := g.Wait(); err != nil {
			t.Error(err)
		}
	})
}
