// SPDX-License-Identifier: Apache-2.0

package dissemination

import (
	"math/rand/v2"
	"slices"

	"ploverjunction.example/ploverjunction/internal/membership"
)

// pushPeers returns the peers, of the own data hall and of others, to which this node pushes a new
// value; ownRead is set on the node that read it. In each data hall a few other nodes also push it
// to other data halls, in case that node's messages were lost.
func (g *Gossip) pushPeers(ownRead bool) (near, far []string) {
	if !g.cfg.PreferOwnHall {
		return nil, g.choosePeers(fanout)
	}
	ours, others := g.cfg.View().Halls()
	near = randomAddresses(ours, fanout)
	switch {
	case ownRead:
		return near, addressesPerHall(others, fanoutFar)
	case crossesHalls(len(ours)):
		return near, randomAddresses(others, 1)
	default:
		return near, nil
	}
}

// crossesHalls reports, at random, whether a node with near others in its data hall sends to other
// data halls: on average fanoutFar nodes of each data hall do.
func crossesHalls(near int) bool { return rand.IntN(near+1) < fanoutFar }

// addressesPerHall returns up to n nodes of each data hall among far.
func addressesPerHall(far []membership.Node, n int) []string {
	byHall := map[string][]membership.Node{}
	for _, p := range far {
		byHall[p.DataHall()] = append(byHall[p.DataHall()], p)
	}
	var out []string
	for _, peers := range byHall {
		out = append(out, randomAddresses(peers, n)...)
	}
	return out
}

// randomAddresses returns the addresses of up to n different random nodes of a list.
func randomAddresses(list []membership.Node, n int) []string {
	n = min(n, len(list))
	picked := make([]int, 0, n)
	out := make([]string, 0, n)
	for len(out) < n {
		if i := rand.IntN(len(list)); !slices.Contains(picked, i) {
			picked = append(picked, i)
			out = append(out, list[i].Address())
		}
	}
	return out
}

// notCompared returns the nodes of a list with which this node has not compared yet.
func (g *Gossip) notCompared(list []membership.Node) []membership.Node {
	g.mu.Lock()
	defer g.mu.Unlock()
	var out []membership.Node
	for _, n := range list {
		if !g.comparedWith[n.Address()] {
			out = append(out, n)
		}
	}
	return out
}

// sortNewFirst moves the peers with which this node has not compared yet to the front.
func (g *Gossip) sortNewFirst(peers []string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	slices.SortStableFunc(peers, func(a, b string) int {
		switch {
		case g.comparedWith[a] == g.comparedWith[b]:
			return 0
		case g.comparedWith[b]:
			return -1
		}
		return 1
	})
}

// choosePeers returns up to n different random peers, mostly of the own data hall. Until this node has
// compared with startCompares peers it takes new ones first, those of its data hall before others.
// Seeds are candidates while fewer than n peers are known, and later at random: without them two
// partitions of the fleet without contact would never merge.
func (g *Gossip) choosePeers(n int) []string {
	from := g.cfg.View().Peers()
	starting := g.Compared() < startCompares
	if g.cfg.PreferOwnHall {
		near, far := g.cfg.View().Halls()
		if starting {
			near, far = g.notCompared(near), g.notCompared(far)
		}
		from = far
		if len(near) > 0 && (starting || rand.IntN(10) < ownHallTenths || rand.IntN(len(near)+len(far)) < len(near)) {
			from = near
		}
	}
	out := randomAddresses(from, n)
	const seedOdds = 10
	if len(out) < n || rand.IntN(seedOdds) == 0 {
		self := g.cfg.Self().GetAddress()
		for _, s := range g.cfg.Seeds() {
			if s != self {
				out = append(out, s)
			}
		}
		rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	}
	if starting && !g.cfg.PreferOwnHall {
		// The others follow, since the new ones may all be dead.
		g.sortNewFirst(out)
	}
	out = slices.Compact(out)
	return out[:min(n, len(out))]
}
