// SPDX-License-Identifier: Apache-2.0

package node

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"ploverjunction.example/ploverjunction/internal/membership"
	"ploverjunction.example/ploverjunction/internal/wire"
)

// This file allocates the tokens of workspaces to other nodes.

// holder returns the node that allocates the limit of a workspace.
func (l *limitController) holder(workspace string) membership.Node {
	view := l.board.view.Load()
	role := uint64(0)
	if view.Nodes() > singleAllocatorNodes {
		role = xxhash.Sum64String(workspace) % allocatorRoles
	}
	if nodes := view.Role(limitRoles[role], "", 1); len(nodes) > 0 {
		return nodes[0]
	}
	return view.Self()
}

// limitRoles are the names of the allocators' roles.
var limitRoles = func() (out [allocatorRoles]string) {
	for i := range out {
		out[i] = "limits/" + string(rune('A'+i))
	}
	return out
}()

// allocate answers the token request of a node in one of its incarnations.
func (l *limitController) allocate(now time.Time, node string, incarnation uint64, in *wire.Draw) *wire.Allot {
	out := &wire.Allot{
		By: l.incarnation,
	}
	c := l.board.currentConfig()
	allocating := c != nil && l.mayAllocate(now)
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, u := range in.GetUsages() {
		a := &wire.Allotment{
			Declined: true,
		}
		if allocating {
			if w := c.Workspace(u.GetWorkspace()); w != nil && w.Rate() > 0 && validUsage(u) {
				limit, _ := limitOf(w)
				fillAllotment(a, l.allocator.Report(now, w.ID(), limit, node, incarnation, reportOfWire(u)))
			}
		}
		out.Allotments = append(out.Allotments, a)
	}
	return out
}

// mayAllocate reports whether this node may allocate: a minority that lost most of the fleet must
// not give out the whole limit once more.
func (l *limitController) mayAllocate(now time.Time) bool {
	view := l.board.view.Load()
	if len(view.Peers()) == 0 {
		return l.seeds == 0
	}
	if now.Sub(l.started)-time.Duration(l.lastReceived.Load()) > contactTimeout {
		return false
	}
	return 2*len(view.Live()) > view.Nodes()
}

// handleTokenRequest answers the token request of a peer.
func (l *limitController) handleTokenRequest(in *wire.Datagram) {
	now := time.Now()
	key := tokenRequestKey{
		node: in.GetFrom().GetAddress(),
		call: in.GetCall(),
	}
	l.mu.Lock()
	answer := l.tokenAnswers[key]
	l.mu.Unlock()
	if answer == nil {
		answer = &tokenAnswer{
			at:    now,
			allot: l.allocate(now, key.node, in.GetFrom().GetIncarnation(), in.GetDraw()),
		}
		l.mu.Lock()
		l.tokenAnswers[key] = answer
		l.mu.Unlock()
	}
	l.messenger.send(key.node, &wire.Datagram{
		Call: in.GetCall(),
		Body: &wire.Datagram_Allot{
			Allot: answer.allot,
		},
	})
}

// recordReceived records that a message of a peer arrived.
func (l *limitController) recordReceived(now time.Time) {
	l.lastReceived.Store(int64(now.Sub(l.started)))
}

// recordIncarnation records a node's incarnation. A new one holds none of the tokens of the one
// before.
func (l *limitController) recordIncarnation(node string, incarnation uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if incarnation <= l.nodeIncarnations[node] {
		return
	}
	if l.nodeIncarnations[node] > 0 {
		l.allocator.NodeStarted(node, incarnation)
		delete(l.allocatorIncarnations, node)
	}
	l.nodeIncarnations[node] = incarnation
}

// maintain updates the allocator with the fraction of the fleet that is lost and drops unused
// state, buckets only if buckets is set.
func (l *limitController) maintain(now time.Time, buckets bool) {
	view := l.board.view.Load()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.allocator.SetUnreachable(1 - float64(len(view.Live()))/float64(view.Nodes()))
	for key, a := range l.tokenAnswers {
		if now.Sub(a.at) > time.Second {
			delete(l.tokenAnswers, key)
		}
	}
	if buckets {
		l.allocator.Forget(now)
	}
}
