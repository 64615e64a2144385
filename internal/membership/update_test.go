// SPDX-License-Identifier: Apache-2.0

package membership_test

import (
	"fmt"
	"testing"
	"time"

	"ploverjunction.example/ploverjunction/internal/membership"
)

var begin = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func peer(n int) membership.Node {
	return membership.NewNode(fmt.Sprintf("192.0.2.%d:1", n), "a")
}

// tableOf returns the table of node 0, which has received messages of n others.
func tableOf(n int) *membership.Table {
	t := membership.NewTable(peer(0))
	for i := 1; i <= n; i++ {
		t.Observe(begin, peer(i), 1, false)
	}
	return t
}

func live(t *membership.Table, now time.Time, n membership.Node) bool {
	for _, l := range t.View(now).Live() {
		if l == n {
			return true
		}
	}
	return false
}

// Guards against a node that keeps its roles when a suspicion was not refuted within
// RefuteTimeout, or loses them before. A suspicion is to be decided within a second.
func TestUnrefutedSuspicionDeclaresDead(t *testing.T) {
	tab := tableOf(3)
	tab.Suspect(begin, peer(1).Address())
	if !live(tab, begin, peer(1)) {
		t.Error("a suspected node lost its roles before it could refute")
	}
	now := begin.Add(membership.RefuteTimeout)
	if dead := tab.DeclareDead(now); len(dead) != 1 || live(tab, now, peer(1)) {
		t.Errorf("dead: %v", dead)
	}
}

// Guards against a node that stays suspected or dead although it sends messages.
func TestMessageRefutesSuspicionAndDeath(t *testing.T) {
	tab := tableOf(3)
	tab.Suspect(begin, peer(1).Address())
	tab.Observe(begin, peer(1), 1, false)
	now := begin.Add(2 * membership.RefuteTimeout)
	if dead := tab.DeclareDead(now); len(dead) != 0 {
		t.Errorf("dead: %v", dead)
	}
	tab.Suspect(now, peer(1).Address())
	now = now.Add(membership.RefuteTimeout)
	tab.DeclareDead(now)
	tab.Observe(now, peer(1), 1, false)
	if !live(tab, now, peer(1)) {
		t.Error("a node that sends messages is still declared dead")
	}
}

// Guards against a received suspicion that a greater incarnation doesn't refute, and
// against updates of an older incarnation that are applied.
func TestGreaterIncarnationRefutes(t *testing.T) {
	tab := tableOf(3)
	apply := func(o membership.Status, incarnation uint64) {
		tab.Apply(begin, membership.Update{
			Node:        peer(1),
			Incarnation: incarnation,
			Status:      o,
		}, 1)
	}
	apply(membership.StatusSuspect, 1)
	apply(membership.StatusAlive, 2)
	now := begin.Add(membership.RefuteTimeout)
	if dead := tab.DeclareDead(now); len(dead) != 0 {
		t.Errorf("dead: %v", dead)
	}
	apply(membership.StatusDead, 1)
	if !live(tab, now, peer(1)) {
		t.Error("an update of an older incarnation declared a node dead")
	}
	apply(membership.StatusDead, 2)
	if live(tab, now, peer(1)) {
		t.Error("the update that a node is dead was not applied")
	}
}

// Guards against a node that doesn't refute an update that declares it dead.
func TestOwnDeathIsRefuted(t *testing.T) {
	tab := tableOf(3)
	n := membership.Update{
		Node:        peer(0),
		Incarnation: 5,
		Status:      membership.StatusDead,
	}
	if !tab.Apply(begin, n, 5) {
		t.Error("an update that declares this node dead was not refuted")
	}
	if tab.Apply(begin, n, 6) {
		t.Error("an update was refuted again")
	}
}

// Guards against a process that restarts with a smaller incarnation, because its clock
// was set back, and never receives the greater one.
func TestRestartWithAnOlderClock(t *testing.T) {
	tab := tableOf(3)
	tab.Observe(begin, peer(1), 100, false)
	for sent := 1; sent > 0; {
		sent = len(tab.NextUpdates(10, true))
	}
	tab.Observe(begin, peer(1), 50, false)
	updates := tab.NextUpdates(10, true)
	if len(updates) != 1 || updates[0].Incarnation != 100 {
		t.Fatalf("updates %v, want the greater incarnation", updates)
	}
	own := membership.NewTable(peer(1))
	if !own.Apply(begin, updates[0], 50) {
		t.Error("the process does not choose a greater incarnation")
	}
}

// Guards against a node that was paused and then declares others dead whose time to
// refute passed meanwhile.
func TestOwnPauseDeclaresNobodyDead(t *testing.T) {
	tab := tableOf(3)
	tab.Suspect(begin, peer(1).Address())
	now := begin.Add(5 * time.Second)
	tab.RestartSuspicions(now)
	if dead := tab.DeclareDead(now); len(dead) != 0 {
		t.Errorf("dead: %v", dead)
	}
}

// Guards against updates that are sent forever.
func TestUpdatesAreSentABoundedNumberOfTimes(t *testing.T) {
	tab := tableOf(30)
	n := 0
	for len(tab.NextUpdates(4, true)) > 0 {
		if n++; n > 1000 {
			t.Fatal("updates are still sent after 1000 messages")
		}
	}
}

// Guards against roles that are not proportional to weights, and against roles on weak
// nodes while there are stronger ones.
func TestRolesFollowWeights(t *testing.T) {
	tab := tableOf(9)
	tab.SetWeight(peer(0).Address(), 100)
	for i := 1; i <= 9; i++ {
		tab.SetWeight(peer(i).Address(), 100)
	}
	tab.SetWeight(peer(3).Address(), 900)
	tab.SetWeight(peer(4).Address(), 600)
	count := func() map[membership.Node]int {
		view := tab.View(begin)
		out := map[membership.Node]int{}
		for i := range 2000 {
			out[view.Role(fmt.Sprintf("role-%d", i), "", 1)[0]]++
		}
		return out
	}
	if c := count(); len(c) != 2 || c[peer(3)] < 1100 || c[peer(3)] > 1300 {
		t.Errorf("roles: %v, want three fifths for the strongest", c)
	}
	for _, strong := range []int{3, 4} {
		tab.Suspect(begin, peer(strong).Address())
	}
	tab.DeclareDead(begin.Add(membership.RefuteTimeout))
	if c := count(); len(c) != 8 {
		t.Errorf("without the strong nodes %d nodes get roles, want 8", len(c))
	}
}

// Guards against roles that differ between nodes with and without a peer's weight:
// an unknown weight must not make the peer the strongest.
func TestUnknownWeightGivesTheSameRoles(t *testing.T) {
	observed, discovered := tableOf(9), membership.NewTable(peer(0))
	for _, tab := range []*membership.Table{
		observed,
		discovered,
	} {
		tab.SetWeight(peer(0).Address(), 320)
	}
	for i := 1; i <= 9; i++ {
		observed.SetWeight(peer(i).Address(), 320)
		if i < 5 {
			discovered.Observe(begin, peer(i), 1, false)
			discovered.SetWeight(peer(i).Address(), 320)
		} else {
			discovered.Discover(begin, peer(i))
		}
	}
	a, b := observed.View(begin), discovered.View(begin)
	for i := range 100 {
		role := fmt.Sprintf("role-%d", i)
		if x, y := a.Role(role, "", 1)[0], b.Role(role, "", 1)[0]; x != y {
			t.Fatalf("%s: %s or %s", role, x.Address(), y.Address())
		}
	}
}

// Guards against queued updates that lack a node's weight once it is known.
func TestUpdateCarriesTheWeight(t *testing.T) {
	tab := tableOf(1)
	for range 3 {
		tab.NextUpdates(1, true)
	}
	tab.SetWeight(peer(1).Address(), 320)
	if updates := tab.NextUpdates(1, true); len(updates) != 1 || updates[0].Weight != 320 {
		t.Errorf("updates %+v, want the weight 320", updates)
	}
}
