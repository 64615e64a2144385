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
	"ploverjunction.example/ploverjunction/internal/quarantine"
	"ploverjunction.example/ploverjunction/internal/wire"
)

// quarantineFleet is a fleet whose nodes exchange records of requests under which targets crashed.
type quarantineFleet struct {
	ctx   context.Context
	all   []membership.Node
	nodes map[string]*node.QuarantineNode

	mu     sync.Mutex
	random *rand.Rand
	// loss is the fraction of lost datagrams, dead are nodes that receive nothing.
	loss float64
	dead map[string]bool
	// updates and bytes count the datagrams with records, and their size.
	updates int
	bytes   int
}

func newQuarantineFleet(ctx context.Context, nodes int) *quarantineFleet {
	f := &quarantineFleet{
		ctx:    ctx,
		nodes:  map[string]*node.QuarantineNode{},
		random: rand.New(rand.NewPCG(3, 4)),
		dead:   map[string]bool{},
	}
	for i := range nodes {
		f.all = append(f.all, membership.NewNode(fmt.Sprintf("192.0.%d.%d:1", i/200, i%200+1), "a"))
	}
	for _, n := range f.all {
		f.restart(n)
	}
	return f
}

// restart starts a node without state.
func (f *quarantineFleet) restart(n membership.Node) *node.QuarantineNode {
	q := node.NewQuarantineNode(n, f.all, func(peer string, d *wire.Datagram) { f.send(peer, d) })
	f.mu.Lock()
	defer f.mu.Unlock()
	f.nodes[n.Address()] = q
	return q
}

// send delivers a datagram after a millisecond, unless it is lost.
func (f *quarantineFleet) send(to string, d *wire.Datagram) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if d.GetQuarantineNews() != nil {
		f.updates++
		f.bytes += proto.Size(d)
	}
	if f.dead[to] || f.random.Float64() < f.loss {
		return
	}
	time.AfterFunc(time.Millisecond, func() { f.at(to).Receive(f.ctx, d) })
}

func (f *quarantineFleet) at(address string) *node.QuarantineNode {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.nodes[address]
}

// pings lets each node ping another one every 200 ms, for the given time.
func (f *quarantineFleet) pings(during time.Duration) {
	for started := time.Now(); time.Since(started) < during; time.Sleep(200 * time.Millisecond) {
		for _, n := range f.all {
			f.mu.Lock()
			peer := f.all[f.random.IntN(len(f.all))]
			f.mu.Unlock()
			if peer != n && !f.dead[n.Address()] {
				f.at(n.Address()).Ping(peer.Address())
			}
		}
	}
}

// refusing counts the nodes that refuse a request.
func (f *quarantineFleet) refusing(p quarantine.Fingerprints) int {
	n := 0
	for _, m := range f.all {
		if f.at(m.Address()).Check(p).Held() {
			n++
		}
	}
	return n
}

// threeCrashes records a crash under a request on each of three nodes, and lets all nodes receive
// them.
func (f *quarantineFleet) threeCrashes() quarantine.Fingerprints {
	p := crashingRequest()
	for i := range 3 {
		f.at(f.all[i].Address()).RecordCrash(p, fmt.Sprint(i))
	}
	f.pings(time.Second)
	return p
}

func crashingRequest() quarantine.Fingerprints {
	return quarantine.NewFingerprints(quarantine.Request{
		Method: "GET",
		URI:    "/drafts/7f3d5a",
		Caller: "198.51.100.7",
	})
}

// Three crashes on three nodes must reach all nodes almost at once, and those that missed the
// update after some pings.
func TestAllNodesReceiveCrashes(t *testing.T) {
	tests := []struct {
		name   string
		nodes  int
		loss   float64
		within time.Duration
	}{
		{
			name:   "a few nodes",
			nodes:  4,
			within: 100 * time.Millisecond,
		},
		{
			name:   "a small fleet",
			nodes:  40,
			within: 2 * time.Second,
		},
		{
			name:   "10 % of datagrams lost",
			nodes:  40,
			loss:   0.1,
			within: 2 * time.Second,
		},
		{
			name:   "a large fleet",
			nodes:  300,
			loss:   0.01,
			within: 2 * time.Second,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newQuarantineFleet(t.Context(), tt.nodes)
				f.loss = tt.loss
				p := crashingRequest()
				for i := range 3 {
					f.at(f.all[i].Address()).RecordCrash(p, fmt.Sprint(i))
					f.pings(300 * time.Millisecond)
				}
				f.pings(tt.within)
				if got := f.refusing(p); got != tt.nodes {
					t.Errorf("%d of %d nodes refuse the request after %v", got, tt.nodes, tt.within)
				}
				each := float64(f.bytes) / float64(tt.nodes)
				t.Logf("%.1f datagrams and %.0f bytes a node", float64(f.updates)/float64(tt.nodes), each)
				// What a node may send in a second for control.
				if each > 6000 {
					t.Errorf("%.0f bytes a node for one request", each)
				}
			})
		})
	}
}

// A restarted node must receive the records of the others within two seconds: until then it would
// let a quarantined request crash further targets.
func TestNewNodeReceivesCrashes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newQuarantineFleet(t.Context(), 40)
		p := f.threeCrashes()
		// Few enough that the request is still refused when the last of them starts.
		for _, n := range f.all[:15] {
			q := f.restart(n)
			f.pings(2 * time.Second)
			if !q.Check(p).Held() {
				t.Fatalf("%s does not refuse the request 2 s after its start", n.Address())
			}
		}
	})
}

// The loss of any one node must not lose records: two nodes count the crashes of a request.
func TestLossOfHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newQuarantineFleet(t.Context(), 10)
		p := crashingRequest()
		for _, lost := range f.all {
			f.mu.Lock()
			f.dead = map[string]bool{
				lost.Address(): true,
			}
			f.mu.Unlock()
			var live []*node.QuarantineNode
			for _, n := range f.all {
				q := f.restart(n)
				if n != lost {
					live = append(live, q)
				}
			}
			for i := range 3 {
				live[i].RecordCrash(p, fmt.Sprint(i))
				f.pings(200 * time.Millisecond)
			}
			f.pings(time.Second)
			if got := f.refusing(p); got < len(f.all)-1 {
				t.Errorf("without %s: %d of %d nodes refuse the request", lost.Address(), got, len(f.all)-1)
			}
		}
	})
}

// An answer on any node must release the request on all nodes, and a request that many callers send
// must hardly be refused at all.
func TestAnswerReleasesRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newQuarantineFleet(t.Context(), 40)
		p := f.threeCrashes()
		if f.refusing(p) != len(f.all) {
			t.Fatal("not all nodes refuse the request")
		}
		// The answer to an attempt in flight when the third target crashed.
		f.at(f.all[17].Address()).RecordAnswer(p)
		f.pings(2 * time.Second)
		if got := f.refusing(p); got > 0 {
			t.Errorf("%d nodes still refuse the answered request", got)
		}
		other := quarantine.NewFingerprints(quarantine.Request{
			Method: "GET",
			URI:    "/forms",
		})
		f.at(f.all[30].Address()).RecordAnswer(other)
		for i := range 3 {
			f.at(f.all[i].Address()).RecordCrash(other, fmt.Sprint(i))
			time.Sleep(20 * time.Millisecond)
		}
		// A node that received the crashes but not the update that they do not count receives it by
		// comparison of digests.
		f.pings(200 * time.Millisecond)
		if got := f.refusing(other); got > len(f.all)/10 {
			t.Errorf("%d nodes refuse a request that was answered just before", got)
		}
		f.pings(2 * time.Second)
		if got := f.refusing(other); got > 0 {
			t.Errorf("%d nodes still refuse the request that was answered before", got)
		}
	})
}

// The loss of a data hall ends many targets, with as many requests on each as it has slots. Not
// every node may receive all of them.
func TestLossOfDataHallSendsFewBytes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const nodes, requests = 100, 3000
		f := newQuarantineFleet(t.Context(), nodes)
		for i := range requests {
			f.at(f.all[i%nodes].Address()).RecordCrash(quarantine.NewFingerprints(quarantine.Request{
				Method: "GET",
				URI:    fmt.Sprint(i),
			}), fmt.Sprint(i/3))
		}
		f.pings(time.Second)
		if each := f.bytes / nodes; each > 16_000 {
			t.Errorf("%d bytes a node for %d requests", each, requests)
		} else {
			t.Logf("%d bytes a node", each)
		}
	})
}

// Dropped records must not be sent: after their time nodes must send nothing about them.
func TestOldCrashesAreDropped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newQuarantineFleet(t.Context(), 10)
		p := f.threeCrashes()
		time.Sleep(time.Hour)
		f.pings(15 * time.Second)
		f.mu.Lock()
		before := f.updates
		f.mu.Unlock()
		f.pings(5 * time.Second)
		f.mu.Lock()
		defer f.mu.Unlock()
		if f.updates > before {
			t.Errorf("%d datagrams with dropped records after an hour", f.updates-before)
		}
		if s := f.nodes[f.all[0].Address()].Check(p); s.Suspect() {
			t.Errorf("%d crashes still recorded", s.Crashes)
		}
	})
}
