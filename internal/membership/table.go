// SPDX-License-Identifier: Apache-2.0

// Package membership knows the nodes of the fleet: those that the platform
// lists, corrected by what this node hears itself. It is pure: the time is an
// argument. The list lags and nodes may disagree on it, so membership gives
// duties and never exclusive rights.
package membership

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Times of the table.
const (
	// SuspectTime is how long a node that didn't answer gets no duty.
	SuspectTime = 10 * time.Second
	// ForgetTime is after how long an unlisted node that nobody hears is dropped.
	ForgetTime = time.Minute
	// suspectAfter is how many calls must fail one after another.
	suspectAfter = 2
)

// Node is one process of the fleet.
type Node struct {
	address  string
	dataHall string
}

// NewNode returns a node by the address that it offers to peers.
func NewNode(address, dataHall string) Node {
	return Node{
		address:  address,
		dataHall: dataHall,
	}
}

// Address returns the address for peers; it names the node.
func (n Node) Address() string { return n.address }

// DataHall returns the data hall of the node.
func (n Node) DataHall() string { return n.dataHall }

// state is what the table holds of one node.
type state struct {
	node        Node
	listed      bool
	leaving     bool
	incarnation uint64
	heard       time.Time
	failures    int
	suspectTill time.Time
	// suspected is when a probe or a peer raised a suspicion, dead is set when
	// nobody refuted it.
	suspected time.Time
	dead      bool
	weight    uint32
}

// Table is the list of nodes as one node knows it. It isn't safe for concurrent
// use.
type Table struct {
	self  Node
	nodes map[string]*state
	// changed is set when the next view may differ from the last one.
	changed bool
	news    map[string]*rumor
	// weight is this node's own.
	weight uint32
}

// NewTable returns a table that knows only self.
func NewTable(self Node) *Table {
	return &Table{
		self:  self,
		nodes: map[string]*state{},
		news:  map[string]*rumor{},
	}
}

// Changed tells whether anything happened since the last call that can change a
// view; the mere end of a suspicion isn't noticed.
func (t *Table) Changed() bool {
	c := t.changed
	t.changed = false
	return c
}

// List takes the platform's list of nodes: live ones, and leaving ones. A node
// that said itself that it leaves stays leaving, however old the list is.
func (t *Table) List(live, leaving []Node) {
	t.changed = true
	for _, s := range t.nodes {
		s.listed = false
	}
	for _, n := range live {
		t.find(n).listed = true
	}
	for _, n := range leaving {
		s := t.find(n)
		s.listed = true
		s.leaving = true
	}
}

func (t *Table) find(n Node) *state {
	s := t.nodes[n.address]
	if s == nil {
		s = &state{
			node: n,
		}
		t.nodes[n.address] = s
		t.changed = true
	}
	if n.dataHall != "" && s.node.dataHall != n.dataHall {
		s.node.dataHall = n.dataHall
		t.changed = true
	}
	return s
}

// Heard notes a message of a node. incarnation tells the lives of a process at
// one address apart: a greater one is a new process, which isn't leaving because
// the one before it was.
func (t *Table) Heard(now time.Time, n Node, incarnation uint64, leaving bool) {
	if n.address == t.self.address || n.address == "" {
		return
	}
	s := t.find(n)
	if incarnation < s.incarnation {
		// The process started anew while its clock was behind: it is told, so that
		// it takes a greater one.
		t.spread(s, OpinionAlive)
		return
	}
	before := s.leaving
	if incarnation > s.incarnation {
		s.leaving = false
	}
	t.alive(s, incarnation, leaving)
	s.incarnation = incarnation
	s.leaving = s.leaving || leaving
	t.changed = t.changed || s.leaving != before || !s.suspectTill.IsZero()
	s.heard = now
	s.failures = 0
	s.suspectTill = time.Time{}
}

// Weigh notes how much of the duties a node, or this one, can carry; 0 says
// nothing.
func (t *Table) Weigh(address string, weight uint32) {
	if address == t.self.address {
		t.changed = t.changed || weight != t.weight
		t.weight = weight
		return
	}
	s := t.nodes[address]
	if s == nil || s.weight == weight || weight == 0 {
		return
	}
	s.weight = weight
	t.changed = true
	if r := t.news[address]; r != nil {
		// What was told so far had another weight, or none.
		r.news.Weight = weight
		r.told = 0
	}
}

// DefaultWeight is the weight of this node if it states none.
const DefaultWeight = 1000

// Mentioned notes a node that a peer knows.
func (t *Table) Mentioned(now time.Time, n Node) {
	if n.address == t.self.address || n.address == "" || t.nodes[n.address] != nil {
		return
	}
	t.find(n).heard = now
}

// Failed notes a call to a node that got no answer.
func (t *Table) Failed(now time.Time, address string) {
	s := t.nodes[address]
	if s == nil {
		return
	}
	s.failures++
	if s.failures >= suspectAfter {
		s.suspectTill = now.Add(SuspectTime)
		t.changed = true
	}
	if !s.listed && now.Sub(s.heard) > ForgetTime {
		delete(t.nodes, address)
		delete(t.news, address)
		t.changed = true
	}
}

// View is an immutable copy of a table. It may be read concurrently.
type View struct {
	self  Node
	peers []Node
	live  []Node
	// weights are those of the live nodes, as far as they are known.
	weights map[string]uint32
	// duties are the holders of duties that were asked for before.
	duties sync.Map
}

// dutyKey is one question after the holders of a duty.
type dutyKey struct {
	duty     string
	dataHall string
	n        int
}

// Same tells whether two views hold the same nodes.
func (v *View) Same(o *View) bool {
	return o != nil && v.self == o.self && slices.Equal(v.peers, o.peers) && slices.Equal(v.live, o.live) && maps.Equal(v.weights, o.weights)
}

// View returns the table as it stands at now.
func (t *Table) View(now time.Time) *View {
	v := &View{
		self: t.self,
		live: []Node{t.self},

		weights: map[string]uint32{},
	}
	if t.weight != 0 {
		v.weights[t.self.address] = t.weight
	}
	for _, s := range t.nodes {
		if s.leaving || s.node.address == t.self.address {
			continue
		}
		v.peers = append(v.peers, s.node)
		if !now.Before(s.suspectTill) && !s.dead {
			v.live = append(v.live, s.node)
			if s.weight != 0 {
				v.weights[s.node.address] = s.weight
			}
		}
	}
	byAddress := func(a, b Node) int { return strings.Compare(a.address, b.address) }
	slices.SortFunc(v.peers, byAddress)
	slices.SortFunc(v.live, byAddress)
	return v
}

// Self returns the node whose view this is.
func (v *View) Self() Node { return v.self }

// Peers returns the other nodes that aren't leaving, suspected ones too. The
// slice must not be changed.
func (v *View) Peers() []Node { return v.peers }

// Live returns the nodes that can have a duty, this one too. The slice must not
// be changed.
func (v *View) Live() []Node { return v.live }

// Halls returns the other live nodes, divided into those of this node's data hall
// and those of the others.
func (v *View) Halls() (near, far []Node) {
	for _, n := range v.live {
		switch {
		case n == v.self:
		case n.dataHall == v.self.dataHall:
			near = append(near, n)
		default:
			far = append(far, n)
		}
	}
	return near, far
}

// Nodes returns how many nodes share the work: all that aren't leaving.
func (v *View) Nodes() int { return len(v.peers) + 1 }

// Duty returns the n live nodes of a data hall that rank first for a duty by
// rendezvous hashing, or of all data halls if dataHall is empty. The slice must
// not be changed.
func (v *View) Duty(duty, dataHall string, n int) []Node {
	k := dutyKey{
		duty:     duty,
		dataHall: dataHall,
		n:        n,
	}
	if known, ok := v.duties.Load(k); ok {
		return known.([]Node)
	}
	out := v.rank(duty, dataHall, n)
	v.duties.Store(k, out)
	return out
}

// rank gives duties to the strong nodes, as long as there are any in question.
func (v *View) rank(duty, dataHall string, n int) []Node {
	type ranked struct {
		node Node
		rank float64
	}
	var all []ranked
	least := v.strong(dataHall)
	for _, node := range v.live {
		if (dataHall == "" || node.dataHall == dataHall) && v.weight(node) >= least {
			all = append(all, ranked{
				node: node,
				rank: v.score(duty, node),
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

// Weight returns how much of the duties a live node can carry, 0 if that isn't
// known.
func (v *View) Weight(node Node) uint32 { return v.weights[node.address] }

// weight returns the same for ranks. A node of which it isn't known counts as one
// like this: most fleets have instances of one size, and nodes that took it for
// more than that would give it duties that the others do not.
func (v *View) weight(node Node) uint32 {
	return cmp.Or(v.weights[node.address], v.weights[v.self.address], DefaultWeight)
}

// weakPart is the part of the strongest node's weight below which a node gets no
// duty: what it costs would show in the requests that it serves itself.
const weakPart = 2

// strong returns the least weight that gets duties.
func (v *View) strong(dataHall string) uint32 {
	most := uint32(0)
	for _, node := range v.live {
		if dataHall == "" || node.dataHall == dataHall {
			most = max(most, v.weight(node))
		}
	}
	return most / weakPart
}

// score is the rank of a node by weighted rendezvous hashing: over many duties a
// node gets as many as its weight says (Schindelhauer and Schomaker, SPAA 2005).
func (v *View) score(duty string, node Node) float64 {
	w := v.weight(node)
	u := (float64(xxhash.Sum64String(duty+"|"+node.address)) + 0.5) / (1 << 64)
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
