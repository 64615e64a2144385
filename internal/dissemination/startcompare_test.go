// SPDX-License-Identifier: Apache-2.0

package dissemination_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"
)

// Guards against starting nodes that compare with the same peers again and again, and so are not ready for a long time.
func TestStartingNodeComparesWithNewPeers(t *testing.T) {
	const (
		fleets = 200
		nodes  = 4
		// Three comparisons are at most 1.5 s apart.
		limit = 3100 * time.Millisecond
	)
	late := 0
	for range fleets {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(nodes)
			ctx, cancel := context.WithCancel(t.Context())
			g := f.run(ctx)
			time.Sleep(limit)
			for _, p := range f.peers {
				if p.gossip.Compared() < nodes-1 {
					late++
				}
			}
			cancel()
			if err := g.Wait(); err != nil {
				t.Error(err)
			}
		})
	}
	if late > 0 {
		t.Errorf("%d of %d nodes had not compared with all peers %v after their start", late, fleets*nodes, limit)
	}
}
