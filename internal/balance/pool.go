// SPDX-License-Identifier: Apache-2.0

// Package balance chooses the target of each attempt. A Pool is an immutable
// view of one service's targets as one node sees them; controllers build a new
// one when something changes and requests read it without a lock.
package balance

import (
	"cmp"
	"slices"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"
)

// Gauge counts what this node has in flight at one target. It outlives pools and
// may be used concurrently.
type Gauge struct {
	inFlight atomic.Int32
}

// InFlight returns the number of requests in flight.
func (g *Gauge) InFlight() int { return int(g.inFlight.Load()) }

// Member is one target in a pool.
type Member struct {
	// Key names the target among those of its service.
	Key string
	// Slots is the target's capacity; Connections what it accepts in all.
	Slots       int
	Connections int
	// Warmth is the part of the slots that a starting target can use, from 0
	// to 1; 0 means a warm target, as 1 does.
	Warmth float64
	// Leaving targets get no work, whatever the floor asks.
	Leaving bool
	// Sick targets get no work unless the floor needs them. Score orders them:
	// those with the least evidence return first.
	Sick  bool
	Score float64
	// Trial marks a sick target that gets copies of repeatable requests.
	Trial bool
	// Reported is the load that the target last reported, in requests, already
	// reduced for its age.
	Reported float64
	// Gauge counts this node's requests at the target, never nil.
	Gauge *Gauge
}

func (m *Member) capacity() float64 {
	if m.Warmth > 0 && m.Warmth < 1 {
		return float64(m.Slots) * m.Warmth
	}
	return float64(m.Slots)
}

// choice is one target that may get work, prepared for picking.
type choice struct {
	key    string
	weight float64
	load   float64
	limit  int32
	gauge  *Gauge
}

// Pool chooses among the targets of one service. It never changes and may be
// used concurrently.
type Pool struct {
	choices  []choice
	trials   []choice
	capacity float64
	serving  float64
	floor    float64
	kept     int
}

// NewPool builds the view of one node. floor is the capacity in slots that must
// stay in service: sick targets are kept, those with the least evidence first,
// until it is met. nodes is the number of nodes of the fleet and node names this
// one; both shape the subset of targets that the node uses and its share of
// their connections.
func NewPool(members []Member, floor float64, node string, nodes int) *Pool {
	p := &Pool{
		floor: floor,
	}
	present := slices.DeleteFunc(slices.Clone(members), func(m Member) bool { return m.Leaving })
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

// minWeight keeps a target that is nearly cold pickable.
const minWeight = 0.05

// selectServing returns the healthy members and, below the floor, the least sick.
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
			p.kept++
		}
		n++
	}
	return present[:n]
}

// Sizes of subsets. minSubset leaves a choice when one target fails; with
// minShare connections each a node can pick by load. headroom is the part of a
// target's connections that is given out: hashing spreads the nodes unevenly.
const (
	minSubset      = 4
	minConnections = 2
	headroom       = 0.8
)

// subset returns how many targets a node uses and which part of a target's
// connections is its own. Up to the bound of the connections a node uses all
// targets; beyond it the subset shrinks as the fleet grows, so that all nodes
// together stay within each target's connections.
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
		// All nodes use all targets: nothing is uneven.
		return size, 1 / float64(nodes)
	default:
		return size, headroom * float64(len(serving)) / float64(nodes*size)
	}
}

// sortForNode sorts members by rendezvous hashing for a node: each node has its own
// order, and a change of one member moves only that member.
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

// Capacity returns the slots of all targets that aren't leaving.
func (p *Pool) Capacity() float64 { return p.capacity }

// Serving returns the slots of the targets that get work in the whole fleet.
func (p *Pool) Serving() float64 { return p.serving }

// Floor returns the slots that must stay in service.
func (p *Pool) Floor() float64 { return p.floor }

// Kept returns how many sick targets get work because of the floor.
func (p *Pool) Kept() int { return p.kept }

// Trials returns the number of targets on trial.
func (p *Pool) Trials() int { return len(p.trials) }

// Len returns the number of targets that this node uses.
func (p *Pool) Len() int { return len(p.choices) }

// Limit returns how many requests this node may have in flight at a target, which
// is also how many connections it may hold; 0 for a target that it doesn't use.
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
