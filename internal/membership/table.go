// SPDX-License-Identifier: Apache-2.0

// Package membership tracks the nodes of the fleet: those that the platform
// lists, corrected by the messages that this node receives. It does no I/O, and
// the time is an argument. The list lags and nodes may disagree on it, so
// membership assigns roles and never exclusive rights.
package membership

import (
	"slices"
	"strings"
	"time"
)

// Times of the table.
const (
	// NoRoleTime is how long a node that didn't answer calls gets no role.
	NoRoleTime = 10 * time.Second
	// ForgetTime is the time after its last message after which a failed call to an
	// unlisted node removes it.
	ForgetTime = time.Minute
	// maxFailures is the number of consecutive failed calls after which a node gets no role.
	maxFailures = 2
)

// Node is one process of the fleet.
type Node struct {
	address  string
	dataHall string
}

// NewNode returns a node with the address that it advertises to peers.
func NewNode(address, dataHall string) Node {
	return Node{
		address:  address,
		dataHall: dataHall,
	}
}

// Address returns the address for peers, which identifies the node.
func (n Node) Address() string { return n.address }

// DataHall returns the data hall of the node.
func (n Node) DataHall() string { return n.dataHall }

// state is the table's state of one node.
type state struct {
	node         Node
	listed       bool
	draining     bool
	incarnation  uint64
	lastReceived time.Time
	failures     int
	noRoleUntil  time.Time
	// suspected is when a probe or a peer raised a suspicion; dead is set if it
	// was not refuted in time.
	suspected time.Time
	dead      bool
	weight    uint32
}

// Table is one node's copy of the list of nodes. It isn't safe for concurrent
// use.
type Table struct {
	self  Node
	nodes map[string]*state
	// order holds the states sorted by address, so that a view need not sort them: while
	// a fleet starts a node makes a view each time it discovers others.
	order []*state
	// changed is set when the next view differs from the last one.
	changed bool
	rumors  rumorQueues
	// weight is this node's own.
	weight uint32
}

// NewTable returns a table that holds only self.
func NewTable(self Node) *Table {
	return &Table{
		self:   self,
		nodes:  map[string]*state{},
		rumors: newRumorQueues(),
	}
}

// Changed reports whether anything happened since the last call that can change a
// view, except that a node's time without roles ended.
func (t *Table) Changed() bool {
	c := t.changed
	t.changed = false
	return c
}

// List applies the platform's list of nodes: live and draining ones. A node that
// reported itself as draining stays draining, however old the list is.
func (t *Table) List(live, draining []Node) {
	t.changed = true
	for _, s := range t.nodes {
		s.listed = false
	}
	for _, n := range live {
		t.find(n).listed = true
	}
	for _, n := range draining {
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

// search returns the index of a node in the order, or where to insert it.
func (t *Table) search(address string) (int, bool) {
	return slices.BinarySearchFunc(t.order, address, func(s *state, a string) int {
		return strings.Compare(s.node.address, a)
	})
}

// forget removes a node.
func (t *Table) forget(address string) {
	delete(t.nodes, address)
	t.rumors.drop(address)
	if at, ok := t.search(address); ok {
		t.order = slices.Delete(t.order, at, at+1)
	}
	t.changed = true
}

// Observe records a message of a node. A greater incarnation is a new process at the
// address, which isn't draining because the one before it was.
func (t *Table) Observe(now time.Time, n Node, incarnation uint64, draining bool) {
	if n.address == t.self.address || n.address == "" {
		return
	}
	s := t.find(n)
	if incarnation < s.incarnation {
		// The process restarted while its clock was behind: the update makes it
		// choose a greater incarnation.
		t.enqueue(s, StatusAlive, true)
		return
	}
	before := s.draining
	if incarnation > s.incarnation {
		s.draining = false
	}
	t.recordAlive(s, incarnation, draining)
	s.incarnation = incarnation
	s.draining = s.draining || draining
	t.changed = t.changed || s.draining != before || !s.noRoleUntil.IsZero()
	s.lastReceived = now
	s.failures = 0
	s.noRoleUntil = time.Time{}
}

// SetWeight sets the capacity for roles of a node, or of this one; 0 means unknown
// and is ignored for other nodes.
func (t *Table) SetWeight(address string, weight uint32) {
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

// Discover records a node that a peer named.
func (t *Table) Discover(now time.Time, n Node) {
	if n.address == t.self.address || n.address == "" || t.nodes[n.address] != nil {
		return
	}
	t.find(n).lastReceived = now
}

// RecordFailure records a call to a node that got no answer.
func (t *Table) RecordFailure(now time.Time, address string) {
	s := t.nodes[address]
	if s == nil {
		return
	}
	s.failures++
	if s.failures >= maxFailures {
		s.noRoleUntil = now.Add(NoRoleTime)
		t.changed = true
	}
	if !s.listed && now.Sub(s.lastReceived) > ForgetTime {
		t.forget(address)
	}
}
