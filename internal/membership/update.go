// SPDX-License-Identifier: Apache-2.0

package membership

import (
	"math/bits"
	"time"
)

// Status is the status of a node as estimated by another.
type Status uint8

// Opinions.
const (
	StatusAlive Status = iota
	// StatusSuspect means that probes went unanswered; the node can refute it.
	StatusSuspect
	// StatusDead means that a suspicion was not refuted in time.
	StatusDead
)

// Update is a status update that nodes exchange.
type Update struct {
	Node        Node
	Incarnation uint64
	Draining    bool
	Status      Status
	// Weight is the node's capacity for roles; 0 if it isn't known.
	Weight uint32
}

// Times and counts of updates.
const (
	// RefuteTimeout is how long a node has to refute a suspicion: several probe
	// intervals, so that the suspicion reaches it and its answer returns.
	RefuteTimeout = 500 * time.Millisecond
	// urgentFactor is how often an urgent update is sent, as a multiple of the logarithm
	// of the number of nodes (Das, Gupta and Motivala, "SWIM", DSN 2002).
	urgentFactor = 3
	// joinFactor is the same for updates on live nodes. Replies to comparisons name
	// nodes too, so a node that misses such an update still discovers the other.
	joinFactor = 2
)

// recordAlive records that a node is alive in the given incarnation.
func (t *Table) recordAlive(s *state, incarnation uint64, draining bool) {
	refuted := s.dead || !s.suspected.IsZero()
	if refuted || s.lastReceived.IsZero() || incarnation > s.incarnation || draining != s.draining {
		t.changed = t.changed || s.dead || draining && !s.draining
		s.incarnation = incarnation
		s.draining = s.draining || draining
		t.enqueue(s, StatusAlive, refuted || s.draining)
	}
	s.dead = false
	s.suspected = time.Time{}
}

// Suspect records that a node answered neither this node's probe nor those that
// others sent on its behalf.
func (t *Table) Suspect(now time.Time, address string) {
	s := t.nodes[address]
	if s == nil || s.dead || !s.suspected.IsZero() {
		return
	}
	s.suspected = now
	t.enqueue(s, StatusSuspect, true)
}

// Apply applies an update of a peer; own is this node's incarnation. It returns true if
// the update is about this node itself and wrong, so that this node must refute it with
// an incarnation greater than the update's.
func (t *Table) Apply(now time.Time, n Update, own uint64) (refute bool) {
	if n.Node.address == t.self.address {
		return n.Incarnation > own || n.Status != StatusAlive && n.Incarnation == own
	}
	if n.Node.address == "" {
		return false
	}
	known := t.nodes[n.Node.address] != nil
	s := t.find(n.Node)
	t.SetWeight(n.Node.address, n.Weight)
	switch {
	case n.Incarnation < s.incarnation:
	case n.Status == StatusAlive:
		if !known || n.Incarnation > s.incarnation || n.Draining && !s.draining {
			if n.Incarnation > s.incarnation {
				t.changed = t.changed || s.draining
				s.draining = false
			}
			t.recordAlive(s, n.Incarnation, n.Draining)
			s.lastReceived = now
		}
	case s.dead:
	case n.Status == StatusDead:
		s.incarnation = n.Incarnation
		t.declareDead(s)
	case s.suspected.IsZero():
		s.incarnation = n.Incarnation
		t.Suspect(now, n.Node.address)
	}
	return false
}

func (t *Table) declareDead(s *state) {
	s.dead = true
	t.changed = true
	t.enqueue(s, StatusDead, true)
}

// DeclareDead declares nodes dead that did not refute a suspicion in time, and returns
// them.
func (t *Table) DeclareDead(now time.Time) []Node {
	var out []Node
	for _, s := range t.nodes {
		if !s.dead && !s.suspected.IsZero() && now.Sub(s.suspected) >= RefuteTimeout {
			t.declareDead(s)
			out = append(out, s.node)
		}
	}
	return out
}

// RestartSuspicions restarts the time to refute of all suspected nodes, because this node itself
// was paused.
func (t *Table) RestartSuspicions(now time.Time) {
	for _, s := range t.nodes {
		if !s.dead && !s.suspected.IsZero() {
			s.suspected = now
		}
	}
}

// NextUpdates returns up to n updates to send, the least often sent first: on nodes that are
// suspected, refuted, dead or draining, and, only if joins is set, on other live nodes.
func (t *Table) NextUpdates(n int, joins bool) []Update {
	scale := bits.Len(uint(len(t.nodes) + 1))
	out := t.rumors.urgent.next(nil, n, urgentFactor*scale)
	if joins {
		out = t.rumors.joins.next(out, n, joinFactor*scale)
	}
	return out
}

// Dead returns the nodes that are declared dead and not draining. They are probed now
// and then to find those that are back.
func (t *Table) Dead() []Node {
	var out []Node
	for _, s := range t.nodes {
		if s.dead && !s.draining {
			out = append(out, s.node)
		}
	}
	return out
}
