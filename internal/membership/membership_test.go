// SPDX-License-Identifier: Apache-2.0

package membership_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"ploverjunction.example/ploverjunction/internal/membership"
)

var start = time.Unix(1_000_000, 0)

func nodes(n int) []membership.Node {
	out := make([]membership.Node, n)
	for i := range out {
		out[i] = membership.NewNode(fmt.Sprintf("192.0.2.%d:1", i), string(rune('a'+i%3)))
	}
	return out
}

func table(n int) (*membership.Table, []membership.Node) {
	list := nodes(n)
	t := membership.NewTable(list[0])
	t.List(list, nil)
	return t, list
}

func ExampleView_Role() {
	t, _ := table(9)
	view := t.View(start)
	for _, n := range view.Role("observer/quotes", "b", 2) {
		fmt.Println(n.DataHall())
	}
	// Output:
	// b
	// b
}

func TestRoleMovesOnFailureAndReturns(t *testing.T) {
	tab, _ := table(9)
	first := tab.View(start).Role("x", "b", 1)[0]
	tab.RecordFailure(start, first.Address())
	if got := tab.View(start).Role("x", "b", 1)[0]; got != first {
		t.Fatal("a node lost its role after one failed call")
	}
	tab.RecordFailure(start, first.Address())
	second := tab.View(start).Role("x", "b", 1)[0]
	if second == first {
		t.Fatal("a suspected node keeps its role")
	}
	tab.Observe(start, first, 1, false)
	if got := tab.View(start).Role("x", "b", 1)[0]; got != first {
		t.Fatal("a node that sends again doesn't get its role back")
	}
}

func TestSuspicionEnds(t *testing.T) {
	tab, list := table(3)
	tab.RecordFailure(start, list[1].Address())
	tab.RecordFailure(start, list[1].Address())
	if n := len(tab.View(start).Live()); n != 2 {
		t.Fatalf("%d live nodes, want 2", n)
	}
	if n := len(tab.View(start.Add(membership.NoRoleTime)).Live()); n != 3 {
		t.Fatalf("%d live nodes after the suspicion ended, want 3", n)
	}
}

func TestDrainingNode(t *testing.T) {
	tab, list := table(3)
	tab.Observe(start, list[1], 5, true)
	tab.List(list, nil)
	if n := tab.View(start).Nodes(); n != 2 {
		t.Fatalf("an old list undoes the draining of a node: %d nodes, want 2", n)
	}
	tab.Observe(start, list[1], 4, false)
	if n := tab.View(start).Nodes(); n != 2 {
		t.Fatalf("a message of an earlier incarnation is applied: %d nodes, want 2", n)
	}
	tab.Observe(start, list[1], 6, false)
	if n := tab.View(start).Nodes(); n != 3 {
		t.Fatalf("a new process at the address counts as draining: %d nodes, want 3", n)
	}
}

func TestUnlistedNodesAreForgotten(t *testing.T) {
	tab, _ := table(2)
	stray := membership.NewNode("192.0.2.99:1", "c")
	tab.Discover(start, stray)
	if n := tab.View(start).Nodes(); n != 3 {
		t.Fatalf("%d nodes, want 3", n)
	}
	tab.RecordFailure(start.Add(2*membership.ForgetTime), stray.Address())
	if n := tab.View(start).Nodes(); n != 2 {
		t.Fatalf("%d nodes after the unlisted one failed, want 2", n)
	}
}

// Guards against a role without a holder, and a role that moves although only
// nodes behind the first rank are suspected.
func TestRoleProperty(t *testing.T) {
	p := gopter.NewProperties(nil)
	p.Property("a role always has a holder, and suspecting others doesn't move it", prop.ForAll(
		func(suspects []int, role string) bool {
			tab, list := table(12)
			before := tab.View(start).Role(role, "", 1)[0]
			for _, i := range suspects {
				if list[i] == before || i == 0 {
					continue
				}
				tab.RecordFailure(start, list[i].Address())
				tab.RecordFailure(start, list[i].Address())
			}
			after := tab.View(start).Role(role, "", 1)
			return len(after) == 1 && after[0] == before
		},
		gen.SliceOfN(5, gen.IntRange(0, 11)),
		gen.AlphaString(),
	))
	p.TestingRun(t)
}
