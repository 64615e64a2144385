// SPDX-License-Identifier: Apache-2.0

package node_test

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"

	"ploverjunction.example/ploverjunction/internal/membership"
	"ploverjunction.example/ploverjunction/internal/node"
	"ploverjunction.example/ploverjunction/internal/wire"
)

// slots is how many slots each target of twoHalls has.
const slots = 3

// twoHalls describes a service with the given number of targets in each of the data halls a and b.
func twoHalls(targets int) []*wire.Entry {
	var list []string
	for i := range 2 * targets {
		list = append(list, fmt.Sprintf(`{"service":"quotes","address":"198.51.100.%d:80","dataHall":%q,"slots":%d,"connections":200}`,
			i+1, string(rune('a'+i%2)), slots))
	}
	return []*wire.Entry{
		{
			Key:      "services",
			Revision: 1,
			Value:    []byte(`{"services":[{"name":"quotes"}],"targets":[` + strings.Join(list, ",") + `]}`),
		},
	}
}

// The targets of the own data hall must be used first, and those of the other one as soon as none
// of them is free, even if all requests come at the same moment.
func TestOverflowGoesToOtherDataHall(t *testing.T) {
	const targets = 40
	synctest.Test(t, func(t *testing.T) {
		c := node.NewChooser("quotes", twoHalls(targets))
		for i := range 2 * targets * slots {
			choice, err := c.Choose(context.Background())
			if err != nil {
				t.Fatalf("request %d: %v", i, err)
			}
			want := "a"
			if i >= targets*slots {
				want = "b"
			}
			if choice.DataHall != want {
				t.Fatalf("request %d went to data hall %s, want %s", i, choice.DataHall, want)
			}
		}
	})
}

// If no dispatcher of the own data hall answers, that of the other one must be used, and not the
// fallback.
func TestOtherPartitionServesIfDispatchersDoNotAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		first, second := membership.NewNode("192.0.2.2:1", "a"), membership.NewNode("192.0.2.3:1", "a")
		other := membership.NewNode("192.0.2.4:1", "b")
		c := node.NewChooser("quotes", twoHalls(40), first, second, other)
		choice, err := c.Choose(context.Background())
		if err != nil {
			t.Fatal(err)
		}
		if choice.DataHall != "b" || choice.By != other.Address() {
			t.Errorf("chosen by %s in data hall %s", choice.By, choice.DataHall)
		}
		if c.Requests()[first.Address()+" a"] == 0 || c.Requests()[second.Address()+" a"] == 0 {
			t.Errorf("grant requests: %v", c.Requests())
		}
	})
}

// A service with few targets in each data hall must have one dispatcher.
func TestSmallServiceIsNotDivided(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		peer := membership.NewNode("192.0.2.2:1", "b")
		c := node.NewChooser("quotes", twoHalls(8), peer)
		if _, err := c.Choose(context.Background()); err != nil {
			t.Fatal(err)
		}
		if c.Requests()[peer.Address()+" "] == 0 {
			t.Errorf("grant requests: %v", c.Requests())
		}
	})
}

// Nodes whose data hall has no targets must be distributed over those that have.
func TestNodesWithoutLocalTargetsAreDistributed(t *testing.T) {
	homes := map[string]int{}
	for i := range 100 {
		self := membership.NewNode(fmt.Sprintf("192.0.2.%d:1", i), "c")
		homes[node.NewChooserOf(self, "quotes", twoHalls(40)).Home()]++
	}
	if homes["a"] < 30 || homes["b"] < 30 {
		t.Errorf("nodes by the data hall that they try first: %v", homes)
	}
}
