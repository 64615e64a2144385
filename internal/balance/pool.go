// SPDX-License-Identifier: Apache-2.0

// Package balance chooses the target of each attempt. A Pool is an immutable
// snapshot of one node's view of a service's targets; controllers build a new one
// on every change, and requests read it without a lock.
package balance

import (
	"cmp"
	"slices"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"
)

// Gauge counts this node's requests in flight at one target. It outlives pools and
// is safe for concurrent use.
type Gauge struct {
	inFlight atomic.Int32
}

// InFlight returns the number of requests in flight.
func (g *Gauge) InFlight() int { return int(g.inFlight.Load()) }

// Member is one target in a pool.
type Member struct {
	// Key identifies the target within its service.
	Key string
	// Slots is the target's capacity in concurrent requests, Connections the number of
	// connections that it accepts from all nodes.
	Slots       int
	Connections int
	// Warmth is the share of the slots that a warming target can use, from 0 to 1; 0
	// means fully warm, as does 1.
	Warmth float64
	// Draining targets get no requests, even if the floor isn't met.
	Draining bool
	// Sick targets get no requests unless the floor needs them. Score orders them:
	// those with the least evidence are used first.
	Sick  bool
	Score float64
	// Trial is set for a sick target that gets copies of repeatable requests.
	Trial bool
	// Reported is the load last reported by the target, in requests, already reduced
	// for its age.
	Reported float64
	// Gauge counts this node's requests in flight at the target. It must not be nil.
	Gauge *Gauge
}

func (m *Member) capacity() float64 {
	if m.Warmth > 0 && m.Warmth < 1 {
		return float64(m.Slots) * m.Warmth
	}
	return float64(m.Slots)
}

// choice is a target that may get requests, in the form that Pick reads.
type choice struct {
	key    string
	weight float64
	load   float64
	limit  int32
	gauge  *Gauge
}

// Pool chooses among the targets of one service. It is immutable and safe for
// concurrent use.
type Pool struct {
	choices     []choice
	trials      []choice
	capacity    float64
	serving     float64
	floor       float64
	keptByFloor int
}

// NewPool returns the pool of one node. floor is the capacity in slots that must
// stay in service: sick targets are retained, those with the least evidence first,
// until it is met. nodes is the number of nodes in the fleet, node the name of this
// one; they determine the subset of targets that the node uses and its share of
// their connections.
func NewPool(members []Member, floor float64, node string, nodes int) *Pool {
	p := &Pool{
		floor: floor,
	}
	present := slices.DeleteFunc(slices.Clone(members), func(m Member) bool { return m.Draining })
	for i := range present {
		p.capacity += present[i].capacity()
	}
	serving := p.selectServing(present)
	for i := range serving {
		p.serving += serving[i].capacity()
	}
	size, share := subset(serving, nodes)
	if size < len(serving) {
		sortForNode(serving, node)
		serving = serving[:size]
	}
	for i := range serving {
		p.choices = append(p.choices, newChoice(&serving[i], share))
	}
	for i := range present {
		if present[i].Trial {
			p.trials = append(p.trials, newChoice(&present[i], share))
		}
	}
	return p
}

func newChoice(m *Member, share float64) choice {
	return choice{
		key:    m.Key,
		weight: max(m.capacity(), minWeight),
		load:   m.Reported,
		limit:  int32(max(float64(m.Connections)*share, 1)),
		gauge:  m.Gauge,
	}
}

// minWeight is the least weight of a target, so that a cold one can be picked.
const minWeight = 0.05

// selectServing returns the healthy members and as many of the least sick ones as the
// floor needs.
func (p *Pool) selectServing(present []Member) []Member {
	slices.SortStableFunc(present, func(a, b Member) int {
		if a.Sick != b.Sick {
			if a.Sick {
				return 1
			}
			return -1
		}
		if !a.Sick {
			return 0
		}
		return cmp.Compare(a.Score, b.Score)
	})
	capacity := 0.0
	n := 0
	for n < len(present) && (!present[n].Sick || capacity < min(p.floor, p.capacity)) {
		capacity += present[n].capacity()
		if present[n].Sick {
			p.keptByFloor++
		}
		n++
	}
	return present[:n]
}

// Parameters of subsets. minSubset targets leave a choice when one fails; with
// minConnections connections to each a node can choose by load. headroom is the
// share of a target's connections that is allocated, as hashing spreads the nodes
// unevenly.
const (
	minSubset      = 4
	minConnections = 2
	headroom       = 0.8
)

// subset returns the number of targets that a node uses and its share of a target's
// connections. A node uses all targets if there are enough connections; otherwise
// the subset shrinks as the fleet grows, so that all nodes together stay within each
// target's connections.
func subset(serving []Member, nodes int) (size int, share float64) {
	nodes = max(nodes, 1)
	connections := 0.0
	for i := range serving {
		connections += headroom * float64(serving[i].Connections)
	}
	size = min(len(serving), max(int(connections)/(nodes*minConnections), minSubset))
	switch size {
	case 0:
		return 0, 0
	case len(serving):
		// All nodes use all targets, so the load is even and needs no headroom.
		return size, 1 / float64(nodes)
	default:
		return size, headroom * float64(len(serving)) / float64(nodes*size)
	}
}

// sortForNode sorts members by rendezvous hashing for a node: each node has its own
// order, and adding or removing a member leaves the order of the others.
func sortForNode(members []Member, node string) {
	slices.SortFunc(members, func(a, b Member) int {
		return cmp.Or(
			cmp.Compare(rendezvousHash(node, b.Key), rendezvousHash(node, a.Key)),
			cmp.Compare(a.Key, b.Key),
		)
	})
}

func rendezvousHash(node, key string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(node)
	_, _ = d.WriteString("|")
	_, _ = d.WriteString(key)
	return d.Sum64()
}

// Capacity returns the slots of all targets that aren't draining.
func (p *Pool) Capacity() float64 { return p.capacity }

// Serving returns the slots of the targets that get requests from any node.
func (p *Pool) Serving() float64 { return p.serving }

// Floor returns the slots that must stay in service.
func (p *Pool) Floor() float64 { return p.floor }

// KeptByFloor returns the number of sick targets that get requests because of the floor.
func (p *Pool) KeptByFloor() int { return p.keptByFloor }

// Trials returns the number of targets on trial.
func (p *Pool) Trials() int { return len(p.trials) }

// Len returns the number of targets that this node uses.
func (p *Pool) Len() int { return len(p.choices) }

// Limit returns the bound of this node's requests in flight and connections at a
// target, or 0 for a target that it doesn't use.
func (p *Pool) Limit(key string) int {
	for i := range p.choices {
		if p.choices[i].key == key {
			return int(p.choices[i].limit)
		}
	}
	return 0
}

// Keys returns the keys of the targets that this node uses.
func (p *Pool) Keys() []string {
	out := make([]string, len(p.choices))
	for i := range p.choices {
		out[i] = p.choices[i].key
	}
	return out
}
