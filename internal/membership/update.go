// SPDX-License-Identifier: Apache-2.0

package membership

import (
	"math/bits"
	"time"
)

// Opinion is what one node believes of another.
type Opinion uint8

// Opinions.
const (
	OpinionAlive Opinion = iota
	// OpinionSuspect means that probes went unanswered; the node can refute it.
	OpinionSuspect
	// OpinionDead means that nobody refuted a suspicion.
	OpinionDead
)

// News is an opinion that travels between nodes.
type News struct {
	Node        Node
	Incarnation uint64
	Leaving     bool
	Opinion     Opinion
	// Weight is how much of the roles the node can carry; 0 if it isn't known.
	Weight uint32
}

// Times and counts of news.
const (
	// RefuteTime is how long a suspected node has to refute a suspicion: some
	// ticks of the probes, so that news reaches it and its word comes back.
	RefuteTime = 500 * time.Millisecond
	// urgentFactor is how often urgent news is passed on, in times the logarithm of the
	// number of nodes (Das, Gupta and Motivala, "SWIM", DSN 2002).
	urgentFactor = 3
	// joinFactor is the same for news of nodes that live. Comparisons name nodes too,
	// so that a node which misses such news hears of the other all the same.
	joinFactor = 2
)

// recordAlive notes that a node lives, in the given incarnation.
func (t *Table) recordAlive(s *state, incarnation uint64, leaving bool) {
	refuted := s.dead || !s.suspected.IsZero()
	if refuted || s.lastReceived.IsZero() || incarnation > s.incarnation || leaving != s.draining {
		t.changed = t.changed || s.dead || leaving && !s.draining
		s.incarnation = incarnation
		s.draining = s.draining || leaving
		t.enqueue(s, OpinionAlive, refuted || s.draining)
	}
	s.dead = false
	s.suspected = time.Time{}
}

// Suspect notes that a node did not answer a probe, nor others on this node's
// behalf.
func (t *Table) Suspect(now time.Time, address string) {
	s := t.nodes[address]
	if s == nil || s.dead || !s.suspected.IsZero() {
		return
	}
	s.suspected = now
	t.enqueue(s, OpinionSuspect, true)
}

// Take takes the news of a peer. It returns true when the news is about this node
// itself and wrong, so that it must be refuted by a greater incarnation than the
// one named.
func (t *Table) Take(now time.Time, n News, own uint64) (refute bool) {
	if n.Node.address == t.self.address {
		return n.Incarnation > own || n.Opinion != OpinionAlive && n.Incarnation == own
	}
	if n.Node.address == "" {
		return false
	}
	known := t.nodes[n.Node.address] != nil
	s := t.find(n.Node)
	t.Weigh(n.Node.address, n.Weight)
	switch {
	case n.Incarnation < s.incarnation:
	case n.Opinion == OpinionAlive:
		if !known || n.Incarnation > s.incarnation || n.Leaving && !s.draining {
			if n.Incarnation > s.incarnation {
				t.changed = t.changed || s.draining
				s.draining = false
			}
			t.recordAlive(s, n.Incarnation, n.Leaving)
			s.lastReceived = now
		}
	case s.dead:
	case n.Opinion == OpinionDead:
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
	t.enqueue(s, OpinionDead, true)
}

// Advance takes nodes for dead whose time to refute a suspicion is over. It
// returns them.
func (t *Table) Advance(now time.Time) []Node {
	var out []Node
	for _, s := range t.nodes {
		if !s.dead && !s.suspected.IsZero() && now.Sub(s.suspected) >= RefuteTime {
			t.declareDead(s)
			out = append(out, s.node)
		}
	}
	return out
}

// Calm gives all suspected nodes their whole time to refute again: this node has
// just stood still.
func (t *Table) Calm(now time.Time) {
	for _, s := range t.nodes {
		if !s.dead && !s.suspected.IsZero() {
			s.suspected = now
		}
	}
}

// Tell returns up to n pieces of news to pass on, the least told first: of nodes that
// were suspected, died or leave, and only if joins is set of nodes that just live.
func (t *Table) Tell(n int, joins bool) []News {
	scale := bits.Len(uint(len(t.nodes) + 1))
	out := t.rumors.urgent.next(nil, n, urgentFactor*scale)
	if joins {
		out = t.rumors.joins.next(out, n, joinFactor*scale)
	}
	return out
}

// Dead returns the nodes that are taken for dead: one that comes back is found by
// asking them now and then.
func (t *Table) Dead() []Node {
	var out []Node
	for _, s := range t.nodes {
		if s.dead && !s.draining {
			out = append(out, s.node)
		}
	}
	return out
}
