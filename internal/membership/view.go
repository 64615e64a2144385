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
	// weights are those of the live nodes, in the same order; 0 if unknown.
	weights []uint32
	// weight is this node's own.
	weight uint32
	// roles caches the holders of roles by roleKey.
	roles sync.Map
	// near and far are the other live nodes, divided on first use.
	halls sync.Once
	near  []Node
	far   []Node
}

// roleKey holds the arguments of a call of Role.
type roleKey struct {
	role     string
	dataHall string
	n        int
}

// Same reports whether two views hold the same nodes.
func (v *View) Same(o *View) bool {
	return o != nil && v.self == o.self && slices.Equal(v.peers, o.peers) && slices.Equal(v.live, o.live) && slices.Equal(v.weights, o.weights)
}

// View returns a view of the table at the time now.
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

// Self returns the node to which the view belongs.
func (v *View) Self() Node { return v.self }

// Peers returns the other nodes that aren't draining, suspected and dead ones
// included. The slice must not be modified.
func (v *View) Peers() []Node { return v.peers }

// Live returns the nodes that can have a role, this one included. The slice must not
// be modified.
func (v *View) Live() []Node { return v.live }

// Halls returns the other live nodes, divided into those of this node's data hall
// and those of the others. The slices must not be modified.
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

// DataHall returns the data hall of another node that isn't draining, or "" if there is no such node or its
// data hall is unknown.
func (v *View) DataHall(address string) string {
	at, ok := slices.BinarySearchFunc(v.peers, address, func(n Node, a string) int {
		return strings.Compare(n.address, a)
	})
	if !ok {
		return ""
	}
	return v.peers[at].dataHall
}

// find returns the index of a live node and whether there is one.
func (v *View) find(address string) (int, bool) {
	return slices.BinarySearchFunc(v.live, address, func(n Node, a string) int {
		return strings.Compare(n.address, a)
	})
}

// Nodes returns the number of nodes that aren't draining, this one included.
func (v *View) Nodes() int { return len(v.peers) + 1 }

// Index returns the position of this node among those that Nodes counts, by address.
func (v *View) Index() int {
	at, _ := slices.BinarySearchFunc(v.peers, v.self.address, func(n Node, a string) int {
		return strings.Compare(n.address, a)
	})
	return at
}

// Role returns the n live nodes of a data hall that rank first for a role by
// rendezvous hashing, or of all data halls if dataHall is empty. The slice must
// not be modified.
func (v *View) Role(role, dataHall string, n int) []Node {
	k := roleKey{
		role:     role,
		dataHall: dataHall,
		n:        n,
	}
	if cached, ok := v.roles.Load(k); ok {
		return cached.([]Node)
	}
	out := v.rank(role, dataHall, n)
	v.roles.Store(k, out)
	return out
}

// rank returns the n nodes that rank first for a role, among those of at least
// minRoleWeight.
func (v *View) rank(role, dataHall string, n int) []Node {
	type ranked struct {
		node Node
		rank float64
	}
	var all []ranked
	minWeight := v.minRoleWeight(dataHall)
	for i, node := range v.live {
		if w := v.weightAt(i); (dataHall == "" || node.dataHall == dataHall) && w >= minWeight {
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

// Weight returns the capacity for roles of a live node, 0 if unknown.
func (v *View) Weight(node Node) uint32 {
	at, ok := v.find(node.address)
	if !ok {
		return 0
	}
	return v.weights[at]
}

// weightAt returns the weight of the i-th live node for ranking. An unknown weight
// counts as this node's own: most fleets have instances of one size, and a node that
// assumed more would assign roles differently from the others.
func (v *View) weightAt(i int) uint32 {
	return cmp.Or(v.weights[i], v.weight, DefaultWeight)
}

// minWeightDivisor divides the greatest weight to give the least weight for roles: on a
// weaker node the cost of a role would slow the requests that it serves itself.
const minWeightDivisor = 2

// minRoleWeight returns the least weight of nodes that get roles.
func (v *View) minRoleWeight(dataHall string) uint32 {
	maxWeight := uint32(0)
	for i, node := range v.live {
		if dataHall == "" || node.dataHall == dataHall {
			maxWeight = max(maxWeight, v.weightAt(i))
		}
	}
	return maxWeight / minWeightDivisor
}

// Capable returns the live nodes whose weight suffices for roles.
func (v *View) Capable() []Node {
	var out []Node
	minWeight := v.minRoleWeight("")
	for i, node := range v.live {
		if v.weightAt(i) >= minWeight {
			out = append(out, node)
		}
	}
	return out
}

// score returns the rank of a node by weighted rendezvous hashing: over many roles a
// node gets a share proportional to its weight (Schindelhauer and Schomaker, SPAA 2005).
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
