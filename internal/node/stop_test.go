// SPDX-License-Identifier: Apache-2.0

package node_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"ploverjunction.example/ploverjunction/internal/membership"
	"ploverjunction.example/ploverjunction/internal/node"
)

// A draining node must notify its own data hall and only a few nodes of each other one, whatever
// their size.
func TestDrainingNodeNotifiesFewInOtherDataHalls(t *testing.T) {
	tab := membership.NewTable(membership.NewNode("192.0.2.1:1", "a"))
	for i := range 400 {
		hall := string(rune('a' + i%5))
		tab.Observe(time.Now(), membership.NewNode(fmt.Sprintf("%s.%d:1", hall, i), hall), 1, false)
	}
	notified := map[string]int{}
	for _, peer := range node.DrainingPeers(tab.View(time.Now())) {
		hall, _, _ := strings.Cut(peer, ".")
		notified[hall]++
	}
	if notified["a"] != 80 {
		t.Errorf("%d nodes of the own data hall notified, want all 80", notified["a"])
	}
	for _, hall := range []string{"b", "c", "d", "e"} {
		if notified[hall] < 1 || notified[hall] > 3 {
			t.Errorf("%d nodes of data hall %s notified", notified[hall], hall)
		}
	}
}
