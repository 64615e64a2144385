// SPDX-License-Identifier: Apache-2.0

package dissemination

import (
	"math/rand/v2"

	"ploverjunction.example/ploverjunction/internal/membership"
	"ploverjunction.example/ploverjunction/internal/wire"
)

// sampleNodes returns a few random nodes, so that nodes find each other if the
// platform gives no list. A peer that knows few nodes gets more of them, nodes that can
// have roles first: without them a starting node sends grant requests to nodes that are
// too weak.
func (g *Gossip) sampleNodes(known int) []*wire.Node {
	view := g.cfg.View()
	live := view.Live()
	n := min(max(sampleSize, len(live)-known), maxSampleSize)
	var list []membership.Node
	if n > sampleSize {
		list = randomRun(view.Capable(), n/2)
	}
	list = append(list, randomRun(live, n-len(list))...)
	out := make([]*wire.Node, 0, len(list))
	for _, m := range list {
		out = append(out, &wire.Node{
			Address:  m.Address(),
			DataHall: m.DataHall(),
			Weight:   view.Weight(m),
		})
	}
	return out
}

// randomRun returns up to n consecutive nodes of a list, from a random offset, cyclically.
func randomRun(list []membership.Node, n int) []membership.Node {
	var out []membership.Node
	from := rand.IntN(max(len(list), 1))
	for i := range min(n, len(list)) {
		out = append(out, list[(from+i)%len(list)])
	}
	return out
}
