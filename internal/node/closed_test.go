// SPDX-License-Identifier: Apache-2.0

package node_test

import (
	"context"
	"errors"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"ploverjunction.example/ploverjunction/internal/attempt"
	"ploverjunction.example/ploverjunction/internal/entry"
	"ploverjunction.example/ploverjunction/internal/fleetconfig"
	"ploverjunction.example/ploverjunction/internal/membership"
	"ploverjunction.example/ploverjunction/internal/node"
	"ploverjunction.example/ploverjunction/internal/wire"
)

// evacuations returns entries that evacuate data halls.
func evacuations(halls ...string) []*wire.Entry {
	var out []*wire.Entry
	for i, h := range halls {
		out = append(out, &wire.Entry{
			Key:      "evacuations/" + h,
			Revision: uint64(10 + i),
			Value:    []byte(`{"evacuations":[{"dataHall":"` + h + `"}]}`),
		})
	}
	return out
}

// Guards against requests to targets of a data hall that operators have evacuated.
func TestNoRequestToAnEvacuatedDataHall(t *testing.T) {
	stranger := membership.NewNode("192.0.2.4:1", "b")
	tests := []struct {
		name    string
		targets int
		closed  string
		peers   []membership.Node
		want    string
	}{
		{
			name:    "own data hall, divided service",
			targets: 40,
			closed:  "a",
			want:    "b",
		},
		{
			name:    "own data hall, one dispatcher",
			targets: 8,
			closed:  "a",
			want:    "b",
		},
		{
			name:    "another data hall, divided service",
			targets: 40,
			closed:  "b",
			want:    "a",
		},
		{
			name:    "a dispatcher that has not received it yet",
			targets: 8,
			closed:  "b",
			peers:   []membership.Node{stranger},
			want:    "a",
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := node.NewChooser("quotes", append(twoHalls(tt.targets), evacuations(tt.closed)...), tt.peers...)
				for i := range tt.targets * slots {
					choice, err := c.Choose(context.Background())
					if err != nil {
						t.Fatalf("request %d: %v", i, err)
					}
					if choice.DataHall != tt.want {
						t.Fatalf("request %d went to data hall %s, want %s", i, choice.DataHall, tt.want)
					}
				}
			})
		})
	}
}

// Guards against a dispatcher that grants evacuated targets to a node that has not received the
// evacuation yet.
func TestDispatcherGrantsNoTargetOfAnEvacuatedDataHall(t *testing.T) {
	c := node.NewChooser("quotes", append(twoHalls(8), evacuations("a")...))
	if !c.Draining("198.51.100.1:80") || c.Draining("198.51.100.2:80") {
		t.Error("the dispatcher may grant a target of data hall a, or none of b")
	}
}

// Guards against queueing of requests that no data hall may serve.
func TestRequestWithoutOpenDataHallIsRefusedAtOnce(t *testing.T) {
	tests := []struct {
		name    string
		closed  []string
		regions []fleetconfig.Regions
	}{
		{
			name:   "all are evacuated",
			closed: []string{"a", "b"},
		},
		{
			name:    "none is in a region of the route",
			regions: []fleetconfig.Regions{{"south"}},
		},
		{
			name:    "the regions of the route and of the workspace have none in common",
			regions: []fleetconfig.Regions{{"north"}, {"east"}},
		},
		{
			name:    "the only one of the region is evacuated",
			closed:  []string{"a"},
			regions: []fleetconfig.Regions{{"north"}},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := node.NewChooser("quotes", append(twoHalls(40), evacuations(tt.closed...)...))
				c.SetRegions(map[string]string{"a": "north", "b": "east"})
				started := time.Now()
				_, err := c.Choose(context.Background(), tt.regions...)
				var none *entry.NoTargetError
				if !errors.As(err, &none) || none.Reason() != attempt.ReasonClosedDataHalls {
					t.Fatalf("got %v", err)
				}
				if took := time.Since(started); took > 0 {
					t.Errorf("refused after %v", took)
				}
			})
		})
	}
}

// Guards against requests that run outside the regions where they may be served.
func TestRequestStaysInItsRegions(t *testing.T) {
	for _, targets := range []int{8, 40} {
		synctest.Test(t, func(t *testing.T) {
			c := node.NewChooser("quotes", twoHalls(targets))
			c.SetRegions(map[string]string{"a": "north", "b": "east"})
			for range targets * slots {
				choice, err := c.Choose(context.Background(), fleetconfig.Regions{"east", "south"}, fleetconfig.Regions{"east"})
				if err != nil {
					t.Fatal(err)
				}
				if choice.DataHall != "b" {
					t.Fatalf("a request went to data hall %s", choice.DataHall)
				}
			}
			ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
			defer cancel()
			if choice, err := c.Choose(ctx, fleetconfig.Regions{"east"}); err == nil {
				t.Errorf("with no slot free there it went to data hall %s", choice.DataHall)
			}
		})
	}
}

// Guards against requests that are refused because their own data hall was evacuated for a while.
func TestDataHallIsInUseAfterItsEvacuation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		entries := append(twoHalls(40), evacuations("a")...)
		c := node.NewChooser("quotes", entries)
		if _, err := c.Choose(context.Background()); err != nil {
			t.Fatal(err)
		}
		c.Offer(&wire.Entry{
			Key:      "evacuations/a",
			Revision: 20,
			Deleted:  true,
		})
		choice, err := c.Choose(context.Background())
		if err != nil || choice.DataHall != "a" {
			t.Errorf("data hall %q, %v", choice.DataHall, err)
		}
		if halls := c.Config().Evacuations(); !slices.Equal(halls, nil) {
			t.Errorf("evacuated: %v", halls)
		}
	})
}
