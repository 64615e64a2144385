// SPDX-License-Identifier: Apache-2.0

package dissemination_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"ploverjunction.example/ploverjunction/internal/order"
	"ploverjunction.example/ploverjunction/internal/task"
	"ploverjunction.example/ploverjunction/internal/wire"
)

// Guards against a comparison that ends with its first peer when that doesn't answer, although others
// would: the node then has to wait for its next comparison, about a second later. No peer
// reaches the node, and two of its three peers receive no calls.
func TestComparisonGoesOnWithoutAnswer(t *testing.T) {
	const (
		runs = 50
		// maxTime is less than the time of a comparison with three peers, and of the delay before it.
		maxTime = time.Second
	)
	for range runs {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(4)
			for _, p := range f.peers {
				p.gossip.PublishTo([]*wire.Entry{value(1, 0)}, order.At(0, 1))
			}
			f.peers["192.0.2.3:1"].gossip.PublishTo([]*wire.Entry{value(2, 0)}, order.At(0, 2))
			f.drops = func(_, to string) bool { return to == "192.0.2.1:1" || to == "192.0.2.2:1" }
			node := f.peers["192.0.2.0:1"]
			ctx, cancel := context.WithCancel(t.Context())
			var g task.Group
			g.Go(ctx, "node", node.gossip.Run)
			time.Sleep(maxTime)
			synctest.Wait()
			if got := node.replica.InForce()["key"].Revision(); got != 2 {
				t.Errorf("revision %d in force after %v", got, maxTime)
			}
			cancel()
			if err := g.Wait(); err != nil {
				t.Fatal(err)
			}
		})
	}
}
