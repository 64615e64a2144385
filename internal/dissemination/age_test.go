// SPDX-License-Identifier: Apache-2.0

package dissemination_test

import (
	"testing"
	"testing/synctest"
	"time"
)

// Nodes that tell each other all the time how long ago the platform was heard don't keep
// it young: what is old for one stays old for all.
func TestAgeIsNotHeldByEchoes(t *testing.T) {
	const (
		silent = 4 * time.Second
		// way is how long a message is under way, gap the time between two of a node.
		way   = 2 * time.Millisecond
		gap   = time.Millisecond
		nodes = 5
	)
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(nodes)
		var order []*peer
		for _, p := range f.peers {
			order = append(order, p)
		}
		order[0].gossip.PlatformHeard(time.Now())
		begun := time.Now()
		for n := 0; time.Since(begun) < silent; n++ {
			from, to := order[n%nodes], order[(n+1+n/nodes%(nodes-1))%nodes]
			age := from.gossip.PlatformAge(time.Now())
			time.Sleep(gap)
			time.AfterFunc(way-gap, func() { to.gossip.LearnAge(time.Now(), age) })
		}
		for _, p := range order {
			if age := p.gossip.PlatformAge(time.Now()); age < silent-time.Millisecond {
				t.Errorf("heard %v ago, it was %v", age, silent)
			}
		}
	})
}
