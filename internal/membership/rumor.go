// SPDX-License-Identifier: Apache-2.0

package membership

import (
	"cmp"
	"slices"
)

// rumor is an update that this node still sends, and how often it was sent.
type rumor struct {
	update Update
	sent   int
}

// before reports whether a rumor should be sent before another one.
func (r *rumor) before(o *rumor) bool {
	return cmp.Or(cmp.Compare(r.sent, o.sent), cmp.Compare(r.update.Node.address, o.update.Node.address)) < 0
}

// rumors are rumors of one kind, by the address of the node that they are about.
type rumors map[string]*rumor

// next appends updates to out until it has n entries, the least often sent first, and
// drops those that have been sent maxSent times. It examines each rumor once, without a
// sort: while a fleet starts there are as many as nodes, and a datagram carries few.
func (r rumors) next(out []Update, n, maxSent int) []Update {
	var first []*rumor
	for _, candidate := range r {
		at := len(first)
		for at > 0 && candidate.before(first[at-1]) {
			at--
		}
		if len(out)+at >= n {
			continue
		}
		first = slices.Insert(first, at, candidate)
		first = first[:min(len(first), n-len(out))]
	}
	for _, f := range first {
		out = append(out, f.update)
		if f.sent++; f.sent >= maxSent {
			delete(r, f.update.Node.address)
		}
	}
	return out
}

// rumorQueues holds the rumors to send. Urgent ones change roles at once; a starting fleet
// has joins of all its nodes, which must not delay them.
type rumorQueues struct {
	urgent rumors
	joins  rumors
}

func newRumorQueues() rumorQueues {
	return rumorQueues{
		urgent: rumors{},
		joins:  rumors{},
	}
}

func (q *rumorQueues) drop(address string) {
	delete(q.urgent, address)
	delete(q.joins, address)
}

// setWeight changes the weight in queued updates on a node, and sends them from the start:
// those sent so far carried the old weight, or none.
func (q *rumorQueues) setWeight(address string, weight uint32) {
	for _, r := range [...]rumors{q.urgent, q.joins} {
		if rumor := r[address]; rumor != nil {
			rumor.update.Weight = weight
			rumor.sent = 0
		}
	}
}

// enqueue replaces the queued updates on s by a new one.
func (t *Table) enqueue(s *state, o Status, urgent bool) {
	t.rumors.drop(s.node.address)
	to := t.rumors.joins
	if urgent {
		to = t.rumors.urgent
	}
	to[s.node.address] = &rumor{
		update: Update{
			Node:        s.node,
			Incarnation: s.incarnation,
			Draining:    s.draining,
			Status:      o,
			Weight:      s.weight,
		},
	}
}
