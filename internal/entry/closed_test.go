// SPDX-License-Identifier: Apache-2.0

package entry_test

import (
	"net/http"
	"testing"

	"ploverjunction.example/ploverjunction/internal/entry"
	"ploverjunction.example/ploverjunction/internal/signal"
	"ploverjunction.example/ploverjunction/internal/wire"
)

// Guards against requests that were granted before an evacuation and are sent after it.
func TestGrantInAnEvacuatedDataHallIsNotSent(t *testing.T) {
	evacuated, other := newSignalTarget(t, "evacuated", serveOK), newSignalTarget(t, "other", serveOK)
	evacuated.choice.DataHall, other.choice.DataHall = "a", "b"
	c := &choices{
		list: []*signalTarget{evacuated, other},
	}
	s := signalSite(t, &signal.Ledger{}, c)
	c.before = func(n int) {
		if n == 0 {
			d := document()
			d.Evacuations = []*wire.Evacuation{
				{
					DataHall: "a",
				},
			}
			s.config.Store(build(t, d))
		}
	}
	if status := s.get(t, http.DefaultClient, "/quotes/1", brokers); status != http.StatusOK {
		t.Errorf("status %d", status)
	}
	if n := evacuated.arrived.Load(); n != 0 {
		t.Errorf("%d requests reached the evacuated data hall", n)
	}
	if len(c.queries) != 2 || c.queries[1].Retry {
		t.Errorf("%d choices, or the second one is a retry", len(c.queries))
	}
}

// Guards against a query without the regions where a request may be served.
func TestQueryHoldsTheRegionsOfRouteAndWorkspace(t *testing.T) {
	c := &choices{
		list:   []*signalTarget{newSignalTarget(t, "target", serveOK)},
		before: func(int) {},
	}
	s := newSite(t, func(cfg *entry.Config) { cfg.Choose = c.choose })
	d := document()
	for _, r := range d.GetRoutes() {
		r.Regions = []string{"north"}
	}
	for _, w := range d.GetWorkspaces() {
		w.Regions = []string{"north", "south"}
	}
	s.config.Store(build(t, d))
	if status := s.get(t, http.DefaultClient, "/quotes/1", brokers); status != http.StatusOK {
		t.Fatalf("status %d", status)
	}
	if got := c.queries[0].Regions; len(got) != 2 || got[0].Allow("south") || !got[1].Allow("south") || got[1].Allow("east") {
		t.Errorf("regions %v", got)
	}
}

// Guards against a query without the workspace whose share of the slots the request uses.
func TestQueryHoldsTheWorkspace(t *testing.T) {
	s := newSite(t)
	if status := s.get(t, http.DefaultClient, "/quotes/1", brokers); status != http.StatusOK {
		t.Fatalf("status %d", status)
	}
	if status := s.get(t, http.DefaultClient, "/open", nil); status != http.StatusOK {
		t.Fatalf("status %d", status)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if a, b := s.queries[0].Workspace, s.queries[1].Workspace; a != "brokers" || b != "" {
		t.Errorf("workspaces %q and %q", a, b)
	}
}
