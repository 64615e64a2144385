// SPDX-License-Identifier: Apache-2.0

package integration_test

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"
)

// numberedRoutes returns routes by which a caller detects the revision in force.
func numberedRoutes(version int) string {
	return fmt.Sprintf(`{"routes":[{"name":"v%[1]d","pathPrefix":"/v%[1]d","methods":["GET"],"service":"quotes","repeatable":true}]}`, version)
}

func (n *node) serves(version int) bool {
	return n.do(http.MethodGet, fmt.Sprintf("/v%d/1", version), "k", "").status == http.StatusOK
}

// Guards against processes that return to old values, or do not apply new ones, after the platform is restored from a copy.
func TestRestoredPlatform(t *testing.T) {
	s := newSite(t)
	s.target("quotes", "a", 3)
	s.publishTargets(nil)
	s.platform.Publish("routes", numberedRoutes(1))
	s.fleet(4)
	copied := s.platform.Snapshot()
	for _, version := range []int{2, 3, 4} {
		s.platform.Publish("routes", numberedRoutes(version))
	}
	for _, n := range s.nodes {
		eventually(t, "the newest routes", func() bool { return n.serves(4) })
	}
	s.platform.Restore(copied)
	for _, n := range s.nodes {
		eventually(t, "the new era", func() bool {
			st := n.status()
			return st != nil && st.Config.Era == 1
		})
		if !n.serves(4) {
			t.Error("the restore lost routes that were in force")
		}
		if ahead := n.status().Config.Ahead; !slices.Equal(ahead, []string{"routes"}) {
			t.Errorf("ahead of the platform: %v", ahead)
		}
	}
	// A starting node compares with its peers before it serves by the copy.
	s.nodes[0].restart()
	eventually(t, "the restarted node ready", s.nodes[0].ready)
	if !s.nodes[0].serves(4) {
		t.Error("a starting node serves by the copy")
	}
	s.platform.Publish("routes", numberedRoutes(5))
	for _, n := range s.nodes {
		eventually(t, "routes of the new era", func() bool { return n.serves(5) && len(n.status().Config.Ahead) == 0 })
		if !strings.Contains(n.proc.Load().Log(), `"era":1`) {
			t.Error("the log does not name the era")
		}
	}
}
