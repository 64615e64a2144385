// SPDX-License-Identifier: Apache-2.0

// Package membership knows the nodes of the fleet: those that the platform
// lists, corrected by what this node hears itself. It is pure: the time is an
// argument. The list lags and nodes may disagree on it, so membership gives
// roles and never exclusive rights.
package membership

import (
	"slices"
	"strings"
	"time"
)

// Times of the table.
const (
	// SuspectTime is how long a node that didn't answer gets no role.
	SuspectTime = 10 * time.Second
	// ForgetTime is after how long an unlisted node that nobody hears is dropped.
	ForgetTime = time.Minute
	// maxFailures is how many calls must fail one after another.
	maxFailures = 2
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
	node         Node
	listed       bool
	draining     bool
	incarnation  uint64
	lastReceived time.Time
	failures     int
	noRoleUntil  time.Time
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
	// order holds the states by address, so that a view need not sort them: while a
	// fleet starts a node makes a view each time it hears of others.
	order []*state
	// changed is set when the next view differs from the last one.
	changed bool
	rumors  rumorQueues
	// weight is this node's own.
	weight uint32
}

// NewTable returns a table that knows only self.
func NewTable(self Node) *Table {
	return &Table{
		self:   self,
		nodes:  map[string]*state{},
		rumors: newRumorQueues(),
	}
}

// Changed reports whether anything happened since the last call that can change a
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
		s.draining = true
	}
}

func (t *Table) find(n Node) *state {
	s := t.nodes[n.address]
	if s == nil {
		s = &state{
			node: n,
		}
		t.nodes[n.address] = s
		at, _ := t.search(n.address)
		t.order = slices.Insert(t.order, at, s)
		t.changed = true
	}
	if n.dataHall != "" && s.node.dataHall != n.dataHall {
		s.node.dataHall = n.dataHall
		t.changed = true
	}
	return s
}

// search returns where a node stands, or would stand, in the order.
func (t *Table) search(address string) (int, bool) {
	return slices.BinarySearchFunc(t.order, address, func(s *state, a string) int {
		return strings.Compare(s.node.address, a)
	})
}

// forget drops a node.
func (t *Table) forget(address string) {
	delete(t.nodes, address)
	t.rumors.drop(address)
	if at, ok := t.search(address); ok {
		t.order = slices.Delete(t.order, at, at+1)
	}
	t.changed = true
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
		t.enqueue(s, OpinionAlive, true)
		return
	}
	before := s.draining
	if incarnation > s.incarnation {
		s.draining = false
	}
	t.recordAlive(s, incarnation, leaving)
	s.incarnation = incarnation
	s.draining = s.draining || leaving
	t.changed = t.changed || s.draining != before || !s.noRoleUntil.IsZero()
	s.lastReceived = now
	s.failures = 0
	s.noRoleUntil = time.Time{}
}

// Weigh notes how much of the roles a node, or this one, can carry; 0 says
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
	t.rumors.setWeight(address, weight)
}

// DefaultWeight is the weight of this node if it states none.
const DefaultWeight = 1000

// Mentioned notes a node that a peer knows.
func (t *Table) Mentioned(now time.Time, n Node) {
	if n.address == t.self.address || n.address == "" || t.nodes[n.address] != nil {
		return
	}
	t.find(n).lastReceived = now
}

// Failed notes a call to a node that got no answer.
func (t *Table) Failed(now time.Time, address string) {
	s := t.nodes[address]
	if s == nil {
		return
	}
	s.failures++
	if s.failures >= maxFailures {
		s.noRoleUntil = now.Add(SuspectTime)
		t.changed = true
	}
	if !s.listed && now.Sub(s.lastReceived) > ForgetTime {
		t.forget(address)
	}
}
