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
		tab.Heard(time.Now(), membership.NewNode(fmt.Sprintf("%s.%d:1", hall, i), hall), 1, false)
	}
	told := map[string]int{}
	for _, peer := range node.LeaveTo(tab.View(time.Now())) {
		hall, _, _ := strings.Cut(peer, ".")
		told[hall]++
	}
	if told["a"] != 80 {
		t.Errorf("%d nodes of the own data hall notified, want all 80", told["a"])
	}
	for _, hall := range []string{"b", "c", "d", "e"} {
		if told[hall] < 1 || told[hall] > 3 {
			t.Errorf("%d nodes of data hall %s notified", told[hall], hall)
		}
	}
}
