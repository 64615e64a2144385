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

// quarantineFleet is a fleet whose nodes tell each other of requests under which targets ended.
type quarantineFleet struct {
	ctx   context.Context
	all   []membership.Node
	nodes map[string]*node.QuarantineNode

	mu     sync.Mutex
	random *rand.Rand
	// loss is the share of lost datagrams, dead are nodes that receive nothing.
	loss float64
	dead map[string]bool
	// updates and bytes count the datagrams about requests, and their size.
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

// restart starts a node anew.
func (f *quarantineFleet) restart(n membership.Node) *node.QuarantineNode {
	q := node.NewQuarantineNode(n, f.all, func(peer string, d *wire.Datagram) { f.send(peer, d) })
	f.mu.Lock()
	defer f.mu.Unlock()
	f.nodes[n.Address()] = q
	return q
}

// send carries a datagram in a millisecond, unless it is lost.
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

// pings has each node ping another one each 200 ms, for a time.
func (f *quarantineFleet) pings(during time.Duration) {
	for begun := time.Now(); time.Since(begun) < during; time.Sleep(200 * time.Millisecond) {
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
func (f *quarantineFleet) refusing(p quarantine.Prints) int {
	n := 0
	for _, m := range f.all {
		if f.at(m.Address()).Check(p).Held() {
			n++
		}
	}
	return n
}

// threeCrashes has three nodes see an end each under a request, and all hear of it.
func (f *quarantineFleet) threeCrashes() quarantine.Prints {
	p := crashingRequest()
	for i := range 3 {
		f.at(f.all[i].Address()).Ended(p, fmt.Sprint(i))
	}
	f.pings(time.Second)
	return p
}

func crashingRequest() quarantine.Prints {
	return quarantine.NewPrints(quarantine.Request{
		Method: "GET",
		URI:    "/drafts/7f3d5a",
		Caller: "198.51.100.7",
	})
}

// Three ends that three nodes saw, one each, are known to all nodes within a moment; to those
// that missed the news within the time of some pings.
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
			name:   "links that lose one datagram in ten",
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
					f.at(f.all[i].Address()).Ended(p, fmt.Sprint(i))
					f.pings(300 * time.Millisecond)
				}
				f.pings(tt.within)
				if got := f.refusing(p); got != tt.nodes {
					t.Errorf("%d of %d nodes refuse it after %v", got, tt.nodes, tt.within)
				}
				each := float64(f.bytes) / float64(tt.nodes)
				t.Logf("%.1f datagrams and %.0f bytes a node", float64(f.updates)/float64(tt.nodes), each)
				// What a node may send for control in a second.
				if each > 6000 {
					t.Errorf("%.0f bytes a node for one request", each)
				}
			})
		})
	}
}

// A node that begins anew knows what the others know before anyone may blame it.
func TestNewNodeReceivesCrashes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newQuarantineFleet(t.Context(), 40)
		p := f.threeCrashes()
		// So few that it is still refused when the last of them starts.
		for _, n := range f.all[:15] {
			q := f.restart(n)
			f.pings(2 * time.Second)
			if !q.Check(p).Held() {
				t.Fatalf("%s doesn't refuse it two seconds after its start", n.Address())
			}
		}
	})
}

// The loss of a node that adds up costs nothing: two do.
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
			var seen []*node.QuarantineNode
			for _, n := range f.all {
				q := f.restart(n)
				if n != lost {
					seen = append(seen, q)
				}
			}
			for i := range 3 {
				seen[i].Ended(p, fmt.Sprint(i))
				f.pings(200 * time.Millisecond)
			}
			f.pings(time.Second)
			if got := f.refusing(p); got < len(f.all)-1 {
				t.Errorf("without %s: %d of %d nodes refuse it", lost.Address(), got, len(f.all)-1)
			}
		}
	})
}

// What is answered anywhere is let go everywhere, and what many ask for is hardly refused
// at all.
func TestAnswerReleasesRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newQuarantineFleet(t.Context(), 40)
		p := f.threeCrashes()
		if f.refusing(p) != len(f.all) {
			t.Fatal("it isn't refused")
		}
		// One that was on its way when the third target ended.
		f.at(f.all[17].Address()).Answered(p)
		f.pings(2 * time.Second)
		if got := f.refusing(p); got > 0 {
			t.Errorf("%d nodes still refuse what was answered", got)
		}
		other := quarantine.NewPrints(quarantine.Request{
			Method: "GET",
			URI:    "/forms",
		})
		f.at(f.all[30].Address()).Answered(other)
		for i := range 3 {
			f.at(f.all[i].Address()).Ended(other, fmt.Sprint(i))
			time.Sleep(20 * time.Millisecond)
		}
		// A node that heard of the ends and missed that they don't count learns that by
		// comparing.
		f.pings(200 * time.Millisecond)
		if got := f.refusing(other); got > len(f.all)/10 {
			t.Errorf("%d nodes refuse what was answered a moment before", got)
		}
		f.pings(2 * time.Second)
		if got := f.refusing(other); got > 0 {
			t.Errorf("%d nodes still refuse what was answered before", got)
		}
	})
}

// The loss of a data hall ends many targets with as many requests on each as they have slots.
// No node has to hear of all of them.
func TestLossOfDataHallSendsFewBytes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const nodes, requests = 100, 3000
		f := newQuarantineFleet(t.Context(), nodes)
		for i := range requests {
			f.at(f.all[i%nodes].Address()).Ended(quarantine.NewPrints(quarantine.Request{
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

// What is forgotten isn't told any more: once its time is over nodes send nothing about it.
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
			t.Errorf("%d datagrams about it after an hour", f.updates-before)
		}
		if s := f.nodes[f.all[0].Address()].Check(p); s.Suspect() {
			t.Errorf("%d ends are still known", s.Ends)
		}
	})
}
