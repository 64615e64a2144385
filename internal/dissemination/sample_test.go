// SPDX-License-Identifier: Apache-2.0

package dissemination_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"ploverjunction.example/ploverjunction/internal/dissemination"
	"ploverjunction.example/ploverjunction/internal/fleetconfig"
	"ploverjunction.example/ploverjunction/internal/membership"
	"ploverjunction.example/ploverjunction/internal/wire"
)

// Guards against a starting node that receives only nodes too weak for roles: a reply must
// name the few capable ones first.
func TestReplyNamesCapableNodesFirst(t *testing.T) {
	const nodes, strong = 443, 15
	self := membership.NewNode("192.0.2.1:1", "a")
	tab := membership.NewTable(self)
	tab.SetWeight(self.Address(), 160)
	for i := range nodes {
		n := membership.NewNode(fmt.Sprintf("198.51.%d.%d:1", 100+i/250, i%250), "a")
		tab.Observe(time.Now(), n, 1, false)
		weight := uint32(160)
		if i%30 == 0 {
			weight = 800
		}
		tab.SetWeight(n.Address(), weight)
	}
	view := tab.View(time.Now())
	g := dissemination.New(dissemination.Config{
		Self:     func() *wire.Node { return &wire.Node{} },
		View:     func() *membership.View { return view },
		Received: func(*wire.Node) {},
	}, dissemination.NewReplica(func(*fleetconfig.Config, []fleetconfig.Refusal) {}))
	reply, err := g.Sync(context.Background(), &wire.SyncRequest{
		Known: 1,
	})
	if err != nil {
		t.Fatal(err)
	}
	named := map[string]bool{}
	for _, n := range reply.GetNodes() {
		if n.GetWeight() == 800 {
			named[n.GetAddress()] = true
		}
	}
	if len(named) < strong {
		t.Errorf("%d capable nodes named, want %d", len(named), strong)
	}
}
