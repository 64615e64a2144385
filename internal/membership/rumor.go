// SPDX-License-Identifier: Apache-2.0

package membership

import (
	"cmp"
	"slices"
)

// rumor is news that this node still passes on.
type rumor struct {
	update News
	sent   int
}

// before reports whether a rumor should be told before another one.
func (r *rumor) before(o *rumor) bool {
	return cmp.Or(cmp.Compare(r.sent, o.sent), cmp.Compare(r.update.Node.address, o.update.Node.address)) < 0
}

// rumors are those of one kind, by the address of the node that they are about.
type rumors map[string]*rumor

// next appends rumors to out until it has n entries, the least told first, and drops
// those that have been told most times. It looks at each rumor once: there are as many
// as nodes while a fleet starts, and a datagram carries few.
func (r rumors) next(out []News, n, most int) []News {
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
		if f.sent++; f.sent >= most {
			delete(r, f.update.Node.address)
		}
	}
	return out
}

// rumorQueues is what this node passes on. Urgent news changes roles at once; a fleet that
// starts has joins of all its nodes, which must not hold up the rest.
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

func (n *rumorQueues) drop(address string) {
	delete(n.urgent, address)
	delete(n.joins, address)
}

// setWeight notes another weight of a node: what was told so far had the old one, or none.
func (n *rumorQueues) setWeight(address string, weight uint32) {
	for _, r := range [...]rumors{n.urgent, n.joins} {
		if rumor := r[address]; rumor != nil {
			rumor.update.Weight = weight
			rumor.sent = 0
		}
	}
}

// enqueue begins to pass on what this node believes of s.
func (t *Table) enqueue(s *state, o Opinion, urgent bool) {
	t.rumors.drop(s.node.address)
	to := t.rumors.joins
	if urgent {
		to = t.rumors.urgent
	}
	to[s.node.address] = &rumor{
		update: News{
			Node:        s.node,
			Incarnation: s.incarnation,
			Leaving:     s.draining,
			Opinion:     o,
			Weight:      s.weight,
		},
	}
}
