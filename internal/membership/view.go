// SPDX-License-Identifier: Apache-2.0

package membership

import (
	"cmp"
	"math"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// View is an immutable copy of a table. It may be read concurrently.
type View struct {
	self  Node
	peers []Node
	live  []Node
	// weights are those of the live nodes, in their order; 0 where it isn't known.
	weights []uint32
	// weight is the one of this node.
	weight uint32
	// roles are the holders of roles that were asked for before.
	roles sync.Map
	// near and far are the other live nodes, divided when first asked for.
	halls sync.Once
	near  []Node
	far   []Node
}

// roleKey is one question after the holders of a role.
type roleKey struct {
	role     string
	dataHall string
	n        int
}

// Same reports whether two views hold the same nodes.
func (v *View) Same(o *View) bool {
	return o != nil && v.self == o.self && slices.Equal(v.peers, o.peers) && slices.Equal(v.live, o.live) && slices.Equal(v.weights, o.weights)
}

// View returns the table as it stands at now.
func (t *Table) View(now time.Time) *View {
	v := &View{
		self:    t.self,
		weight:  t.weight,
		peers:   make([]Node, 0, len(t.order)),
		live:    make([]Node, 0, len(t.order)+1),
		weights: make([]uint32, 0, len(t.order)+1),
	}
	own, _ := t.search(t.self.address)
	for _, s := range t.order[:own] {
		v.add(now, s)
	}
	v.live = append(v.live, t.self)
	v.weights = append(v.weights, t.weight)
	for _, s := range t.order[own:] {
		v.add(now, s)
	}
	return v
}

func (v *View) add(now time.Time, s *state) {
	if s.draining || s.node.address == v.self.address {
		return
	}
	v.peers = append(v.peers, s.node)
	if !now.Before(s.noRoleUntil) && !s.dead {
		v.live = append(v.live, s.node)
		v.weights = append(v.weights, s.weight)
	}
}

// Self returns the node whose view this is.
func (v *View) Self() Node { return v.self }

// Peers returns the other nodes that aren't leaving, suspected ones too. The
// slice must not be changed.
func (v *View) Peers() []Node { return v.peers }

// Live returns the nodes that can have a role, this one too. The slice must not
// be changed.
func (v *View) Live() []Node { return v.live }

// Halls returns the other live nodes, divided into those of this node's data hall
// and those of the others. The slices must not be changed.
func (v *View) Halls() (near, far []Node) {
	v.halls.Do(func() {
		for _, n := range v.live {
			switch {
			case n == v.self:
			case n.dataHall == v.self.dataHall:
				v.near = append(v.near, n)
			default:
				v.far = append(v.far, n)
			}
		}
	})
	return v.near, v.far
}

// Near reports whether a live node is in this node's data hall.
func (v *View) Near(address string) bool {
	at, ok := v.find(address)
	return ok && v.live[at].dataHall == v.self.dataHall
}

// find returns where a live node stands.
func (v *View) find(address string) (int, bool) {
	return slices.BinarySearchFunc(v.live, address, func(n Node, a string) int {
		return strings.Compare(n.address, a)
	})
}

// Nodes returns how many nodes share the work: all that aren't leaving.
func (v *View) Nodes() int { return len(v.peers) + 1 }

// Role returns the n live nodes of a data hall that rank first for a role by
// rendezvous hashing, or of all data halls if dataHall is empty. The slice must
// not be changed.
func (v *View) Role(role, dataHall string, n int) []Node {
	k := roleKey{
		role:     role,
		dataHall: dataHall,
		n:        n,
	}
	if known, ok := v.roles.Load(k); ok {
		return known.([]Node)
	}
	out := v.rank(role, dataHall, n)
	v.roles.Store(k, out)
	return out
}

// rank gives roles to the strong nodes, as long as there are any in question.
func (v *View) rank(role, dataHall string, n int) []Node {
	type ranked struct {
		node Node
		rank float64
	}
	var all []ranked
	least := v.minRoleWeight(dataHall)
	for i, node := range v.live {
		if w := v.weightAt(i); (dataHall == "" || node.dataHall == dataHall) && w >= least {
			all = append(all, ranked{
				node: node,
				rank: score(role, node, w),
			})
		}
	}
	slices.SortFunc(all, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(b.rank, a.rank), strings.Compare(a.node.address, b.node.address))
	})
	out := make([]Node, 0, n)
	for _, r := range all[:min(n, len(all))] {
		out = append(out, r.node)
	}
	return out
}

// Weight returns how much of the roles a live node can carry, 0 if that isn't
// known.
func (v *View) Weight(node Node) uint32 {
	at, ok := v.find(node.address)
	if !ok {
		return 0
	}
	return v.weights[at]
}

// weightAt returns the same for ranks. A node of which it isn't known counts as one
// like this: most fleets have instances of one size, and nodes that took it for
// more than that would give it roles that the others do not.
func (v *View) weightAt(i int) uint32 {
	return cmp.Or(v.weights[i], v.weight, DefaultWeight)
}

// minWeightDivisor is the part of the strongest node's weight below which a node gets no
// role: what it costs would show in the requests that it serves itself.
const minWeightDivisor = 2

// minRoleWeight returns the least weight that gets roles.
func (v *View) minRoleWeight(dataHall string) uint32 {
	most := uint32(0)
	for i, node := range v.live {
		if dataHall == "" || node.dataHall == dataHall {
			most = max(most, v.weightAt(i))
		}
	}
	return most / minWeightDivisor
}

// Capable returns the live nodes that are strong enough for roles.
func (v *View) Capable() []Node {
	var out []Node
	least := v.minRoleWeight("")
	for i, node := range v.live {
		if v.weightAt(i) >= least {
			out = append(out, node)
		}
	}
	return out
}

// score is the rank of a node by weighted rendezvous hashing: over many roles a
// node gets as many as its weight says (Schindelhauer and Schomaker, SPAA 2005).
func score(role string, node Node, w uint32) float64 {
	u := (float64(xxhash.Sum64String(role+"|"+node.address)) + 0.5) / (1 << 64)
	return float64(w) / -math.Log(u)
}

// DataHalls returns the data halls with live nodes, sorted.
func (v *View) DataHalls() []string {
	var out []string
	for _, n := range v.live {
		out = append(out, n.dataHall)
	}
	slices.Sort(out)
	return slices.Compact(out)
}
