// SPDX-License-Identifier: Apache-2.0

package node_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"ploverjunction.example/ploverjunction/internal/membership"
	"ploverjunction.example/ploverjunction/internal/node"
	"ploverjunction.example/ploverjunction/internal/task"
)

// The start of a fleet of 443 nodes must make few views on each node, and the last one must have
// all nodes.
func TestFewViewsDuringFleetStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := node.NewMembers(membership.NewNode("192.0.2.1:1", "a"))
		run := task.Go(context.Background(), "members", m.Run)
		synctest.Wait()
		time.Sleep(time.Second)
		views := 0
		last := m.View()
		for i := range 443 {
			m.RecordMessage(fmt.Sprintf("198.51.%d.%d:1", 100+i/250, i%250), "a")
			if v := m.View(); v != last {
				last = v
				views++
			}
			time.Sleep(time.Millisecond / 2)
		}
		time.Sleep(50 * time.Millisecond)
		if n := m.View().Nodes(); n != 444 {
			t.Errorf("%d nodes in the last view, want 444", n)
		}
		if views > 15 {
			t.Errorf("%d views within 0.22 s", views)
		}
		if err := run.Stop(); err != nil {
			t.Error(err)
		}
	})
}

// A single new node must be in the view at once.
func TestSingleChangeIsPublishedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := node.NewMembers(membership.NewNode("192.0.2.1:1", "a"))
		time.Sleep(time.Second)
		m.RecordMessage("192.0.2.2:1", "b")
		if n := m.View().Nodes(); n != 2 {
			t.Errorf("%d nodes, want 2", n)
		}
	})
}
