// SPDX-License-Identifier: Apache-2.0

package membership_test

import (
	"fmt"
	"testing"

	"ploverjunction.example/ploverjunction/internal/membership"
)

// Guards against datagrams of requests that carry updates on live nodes, or lack
// suspicions and their refutations.
func TestOnlyUrgentUpdatesAreSentWithRequests(t *testing.T) {
	tab := tableOf(30)
	if updates := tab.NextUpdates(4, false); len(updates) != 0 {
		t.Errorf("updates on live nodes: %v", updates)
	}
	tab.Suspect(begin, peer(7).Address())
	if updates := tab.NextUpdates(4, false); len(updates) != 1 || updates[0].Node != peer(7) {
		t.Errorf("updates %v, want the suspicion", updates)
	}
	tab.Observe(begin, peer(7), 1, false)
	if updates := tab.NextUpdates(4, false); len(updates) != 1 || updates[0].Status != membership.StatusAlive {
		t.Errorf("updates %v, want the refutation of the suspicion", updates)
	}
}

// Guards against suspicions that are delayed by the joins of a starting fleet.
func TestSuspicionIsSentBeforeJoins(t *testing.T) {
	tab := tableOf(30)
	tab.Suspect(begin, peer(7).Address())
	if updates := tab.NextUpdates(4, true); len(updates) != 4 || updates[0].Node != peer(7) {
		t.Errorf("updates %v, want the suspicion first", updates)
	}
}

// Guards against new views without a change: each datagram repeats the state of its sender.
func TestRepeatedUpdateDoesNotChangeTheView(t *testing.T) {
	tab := tableOf(30)
	tab.SetWeight(peer(3).Address(), 160)
	tab.Changed()
	tab.Observe(begin, peer(3), 2, false)
	tab.SetWeight(peer(3).Address(), 160)
	tab.Apply(begin, membership.Update{
		Node:        peer(4),
		Incarnation: 9,
	}, 1)
	if tab.Changed() {
		t.Error("the table reports a change after repeated updates")
	}
	tab.Apply(begin, membership.Update{
		Node:        peer(4),
		Incarnation: 9,
		Draining:    true,
	}, 1)
	if !tab.Changed() {
		t.Error("the table reports no change after a node began to drain")
	}
	tab.Apply(begin, membership.Update{
		Node:        peer(4),
		Incarnation: 10,
	}, 1)
	if !tab.Changed() {
		t.Error("the table reports no change after a drained node restarted")
	}
}

// BenchmarkNextUpdates measures the choice of updates with as many rumors as a starting fleet of 443
// nodes has. Two queues examined once, instead of one that is sorted, reduced it from 85 to
// 13 us for a datagram of a probe, and from 85 us to 20 ns for one of a request.
func BenchmarkNextUpdates(b *testing.B) {
	for _, joins := range []bool{true, false} {
		b.Run(fmt.Sprintf("joins=%v", joins), func(b *testing.B) {
			tab := tableOf(443)
			for i := 0; b.Loop(); i++ {
				if i%100 == 0 {
					b.StopTimer()
					tab = tableOf(443)
					b.StartTimer()
				}
				tab.NextUpdates(4, joins)
			}
		})
	}
}

// BenchmarkView measures a view of 443 nodes. Keeping the table in order reduced it from
// 150 to 11 us.
func BenchmarkView(b *testing.B) {
	tab := tableOf(443)
	for b.Loop() {
		tab.View(begin)
	}
}
