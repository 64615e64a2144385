// SPDX-License-Identifier: Apache-2.0

package dissemination_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/protobuf/proto"

	"ploverjunction.example/ploverjunction/internal/dissemination"
	"ploverjunction.example/ploverjunction/internal/fleetconfig"
	"ploverjunction.example/ploverjunction/internal/membership"
	"ploverjunction.example/ploverjunction/internal/order"
	"ploverjunction.example/ploverjunction/internal/task"
	"ploverjunction.example/ploverjunction/internal/wire"
)

// halls is the number of data halls of a hallFleet.
const halls = 5

// hallFleet is a fleet whose nodes also exchange digests, as datagrams do.
type hallFleet struct {
	*fleet
	list []membership.Node
	// crossHallBytes is the size of all messages between data halls, largestMessage that of the
	// largest message, in bytes.
	crossHallBytes int
	largestMessage int
}

func newHallFleet(n int) *hallFleet {
	f := &hallFleet{
		fleet: &fleet{
			peers: map[string]*peer{},
			drops: func(string, string) bool { return false },
		},
	}
	for i := range n {
		f.list = append(f.list, membership.NewNode(fmt.Sprintf("192.0.2.%d:1", i), fmt.Sprint("hall-", i%halls)))
	}
	for _, node := range f.list {
		f.start(node)
	}
	return f
}

// start starts an incarnation of a node without values; it has the list of nodes.
func (f *hallFleet) start(node membership.Node) *peer {
	table := membership.NewTable(node)
	table.List(f.list, nil)
	p := &peer{
		name:    node.Address(),
		replica: dissemination.NewReplica(func(*fleetconfig.Config, []fleetconfig.Refusal) {}),
		view:    table.View(time.Now()),
	}
	p.gossip = dissemination.New(dissemination.Config{
		PreferOwnHall: true,
		Seeds:         func() []string { return nil },
		Self: func() *wire.Node {
			return &wire.Node{
				Address:  p.name,
				DataHall: node.DataHall(),
			}
		},
		View: func() *membership.View { return p.view },
		Call: func(ctx context.Context, to string, in *wire.SyncRequest) (*wire.SyncReply, error) {
			reply, err := f.call(ctx, p.name, to, in)
			f.count(p.view.Near(to), proto.Size(in), proto.Size(reply))
			return reply, err
		},
		Received:   func(*wire.Node) {},
		Discovered: func(*wire.Node) {},
		Failed:     func(string) {},
	}, p.replica)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.peers[p.name] = p
	return p
}

func (f *hallFleet) count(near bool, sizes ...int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, n := range sizes {
		f.largestMessage = max(f.largestMessage, n)
		if !near {
			f.crossHallBytes += n
		}
	}
}

// run runs all nodes and the datagrams between them.
func (f *hallFleet) run(ctx context.Context) *task.Group {
	g := f.fleet.run(ctx)
	for _, p := range f.peers {
		g.Go(ctx, "datagrams", func(ctx context.Context) error { return f.datagrams(ctx, p) })
	}
	return g
}

// datagrams passes the digests of others, mostly of its data hall, to a node.
func (f *hallFleet) datagrams(ctx context.Context, p *peer) error {
	tick := time.NewTicker(200 * time.Millisecond)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
		near, far := p.view.Halls()
		if rand.IntN(4) == 0 {
			near = far
		}
		f.mu.Lock()
		other := f.peers[near[rand.IntN(len(near))].Address()]
		f.mu.Unlock()
		if other.replica.Digest() != p.replica.Digest() {
			p.gossip.ObserveDigestMismatch(other.name, other.gossip.ReadTo())
		}
	}
}

// converged reports whether all nodes have the same values.
func (f *hallFleet) converged() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	digest := f.peers[f.list[0].Address()].replica.Digest()
	for _, p := range f.peers {
		if p.replica.Digest() != digest || p.replica.Len() == 0 {
			return false
		}
	}
	return true
}

// awaitConvergence waits until all nodes have the same values, and returns how long that took.
func (f *hallFleet) awaitConvergence(t *testing.T) time.Duration {
	t.Helper()
	start := time.Now()
	for !f.converged() {
		if time.Since(start) > time.Minute {
			t.Fatal("values still differ between nodes after 1 min")
		}
		time.Sleep(20 * time.Millisecond)
	}
	return time.Since(start)
}

// register has two nodes of different data halls read targets from the source in ten batches.
func (f *hallFleet) register(targets int) {
	const batches = 10
	entries := manyValues(targets)
	for i := range batches {
		batch := entries[i*len(entries)/batches : (i+1)*len(entries)/batches]
		for _, reader := range f.list[:2] {
			f.peers[reader.Address()].gossip.PublishTo(batch, order.At(0, batch[len(batch)-1].GetRevision()))
			time.Sleep(200 * time.Millisecond)
		}
	}
}

// Guards against a start whose messages, or bytes per target, grow with the number of targets:
// saturated links lose the messages that show that nodes are alive.
func TestStartupBytesAreProportionalToTargets(t *testing.T) {
	const (
		nodes = 60
		// maxBytesPerTarget limits the bytes that a node exchanges per target, a registration of some
		// 130 bytes; maxMessage limits the bytes of a message.
		maxBytesPerTarget = 120
		maxMessage        = 72 << 10
		maxTime           = 3 * time.Second
	)
	for _, targets := range []int{1500, 3000} {
		synctest.Test(t, func(t *testing.T) {
			f := newHallFleet(nodes)
			ctx, cancel := context.WithCancel(t.Context())
			g := f.run(ctx)
			f.register(targets)
			took := f.awaitConvergence(t)
			f.mu.Lock()
			each := float64(f.bytes) / nodes / float64(targets)
			t.Logf("%d targets: %.0f bytes per node and target, %.0f between data halls, largest message %d, converged %v after the last one",
				targets, each, float64(f.crossHallBytes)/nodes/float64(targets), f.largestMessage, took)
			if each > maxBytesPerTarget || f.largestMessage > maxMessage || took > maxTime {
				t.Errorf("%d targets: %.0f bytes per node and target, largest message %d, converged after %v", targets, each, f.largestMessage, took)
			}
			f.mu.Unlock()
			cancel()
			if err := g.Wait(); err != nil {
				t.Error(err)
			}
		})
	}
}

// Guards against a restarted node that fetches all values several times, or from other data halls.
func TestNewNodeFetchesOnceFromItsDataHall(t *testing.T) {
	const (
		nodes, targets    = 30, 3000
		maxBytes          = 200 << 10
		maxCrossHallBytes = 20 << 10
	)
	synctest.Test(t, func(t *testing.T) {
		f := newHallFleet(nodes)
		for _, p := range f.peers {
			p.replica.Offer(manyValues(targets))
			p.replica.AdvanceReadTo(order.At(0, targets+1))
		}
		newNode := f.start(f.list[7])
		ctx, cancel := context.WithCancel(t.Context())
		g := f.run(ctx)
		took := f.awaitConvergence(t)
		time.Sleep(time.Second)
		f.mu.Lock()
		t.Logf("%d bytes, %d of them between data halls, in %v", f.bytes, f.crossHallBytes, took)
		if f.bytes > maxBytes || f.crossHallBytes > maxCrossHallBytes {
			t.Errorf("%d bytes, %d of them between data halls", f.bytes, f.crossHallBytes)
		}
		f.mu.Unlock()
		if newNode.gossip.Compared() == 0 {
			t.Error("the restarted node has finished no comparison")
		}
		cancel()
		if err := g.Wait(); err != nil {
			t.Error(err)
		}
	})
}

// Guards against cached batches that are sent after a value in them has changed.
func TestPulledBatchesAreCurrent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const targets = 2000
		f := newHallFleet(3 * halls)
		sender := f.peers[f.list[0].Address()]
		sender.gossip.PublishTo(manyValues(targets), order.At(0, targets+1))
		pull := func() []*wire.Entry {
			var out []*wire.Entry
			since := &wire.Position{}
			for {
				reply, err := sender.gossip.Sync(t.Context(), &wire.SyncRequest{
					From:  &wire.Node{},
					Pull:  true,
					Since: since,
				})
				if err != nil {
					t.Fatal(err)
				}
				entries, err := dissemination.UnpackBatch(reply.GetBatch())
				if err != nil {
					t.Fatal(err)
				}
				out = append(out, entries...)
				if !reply.GetMore() {
					return out
				}
				since = reply.GetUpTo()
			}
		}
		if n := len(pull()); n != targets+1 {
			t.Errorf("%d values", n)
		}
		fresh := targetValue(3, targets+10)
		fresh.Value = []byte(`{"targets":[{"service":"quotes","address":"192.0.2.1:9","dataHall":"b","slots":1,"id":"i-0000000003"}]}`)
		sender.gossip.PublishTo([]*wire.Entry{fresh}, order.At(0, targets+10))
		for range 2 {
			got := pull()
			if last := got[len(got)-1]; len(got) != targets+1 || string(last.GetValue()) != string(fresh.GetValue()) {
				t.Errorf("%d values, the last one %s", len(got), last.GetValue())
			}
		}
	})
}

// Guards against nodes that never become ready because they compare only with the few others of their data hall.
func TestNodesOfSmallDataHallsCompareWithOthers(t *testing.T) {
	const enough = 3
	for _, each := range []int{2, 3, 4} {
		synctest.Test(t, func(t *testing.T) {
			f := newHallFleet(each * halls)
			for _, p := range f.peers {
				p.gossip.PublishTo(manyValues(5), order.At(0, 6))
			}
			ctx, cancel := context.WithCancel(t.Context())
			g := f.run(ctx)
			time.Sleep(8 * time.Second)
			for _, p := range f.peers {
				if n := p.gossip.Compared(); n < enough {
					t.Errorf("%d nodes per data hall: %s has compared with %d others", each, p.name, n)
				}
			}
			cancel()
			if err := g.Wait(); err != nil {
				t.Error(err)
			}
		})
	}
}
