// SPDX-License-Identifier: Apache-2.0

package dissemination_test

import (
	"testing"
	"testing/synctest"
	"time"

	"ploverjunction.example/ploverjunction/internal/dissemination"
)

// Nodes that tell each other all the time how long ago the platform was heard don't keep
// it young: what is old for one stays old for all.
func TestPlatformAgeGrowsDespiteGossip(t *testing.T) {
	const (
		silence = 4 * time.Second
		// latency is how long a message is under way, gap the time between two of a node.
		latency  = 2 * time.Millisecond
		interval = time.Millisecond
		nodes    = 5
	)
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(nodes)
		var order []*peer
		for _, p := range f.peers {
			order = append(order, p)
		}
		order[0].gossip.PlatformHeard(time.Now())
		start := time.Now()
		for n := 0; time.Since(start) < silence; n++ {
			from, to := order[n%nodes], order[(n+1+n/nodes%(nodes-1))%nodes]
			age := from.gossip.PlatformAge(time.Now())
			time.Sleep(interval)
			time.AfterFunc(latency-interval, func() { to.gossip.LearnAge(time.Now(), age) })
		}
		for _, p := range order {
			if age := p.gossip.PlatformAge(time.Now()); age < silence-time.Millisecond {
				t.Errorf("heard %v ago, it was %v", age, silence)
			}
		}
	})
}

// A machine that was suspended wakes with what it heard before: that is as old as for any
// other node, though the clock by which it measures ages stood still.
func TestAgesIncludeSuspendedTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var suspended time.Duration
		g := dissemination.New(dissemination.Config{
			Suspended: func(time.Time) time.Duration { return suspended },
		}, dissemination.NewReplica(nil))
		time.Sleep(time.Second)
		g.PlatformHeard(time.Now())
		g.Agrees(time.Now())
		time.Sleep(time.Second)
		suspended = 5 * time.Second
		if got := g.PlatformAge(time.Now()); got != 6*time.Second {
			t.Errorf("the platform was heard %v ago, it was 6 s", got)
		}
		if got := g.AgreedAge(time.Now()); got != 6*time.Second {
			t.Errorf("a peer agreed %v ago, it was 6 s", got)
		}
		// What is heard after it is new.
		g.PlatformHeard(time.Now())
		if got := g.PlatformAge(time.Now()); got != 0 {
			t.Errorf("heard %v ago, it was just now", got)
		}
	})
}
