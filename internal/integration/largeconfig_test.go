// SPDX-License-Identifier: Apache-2.0

package integration_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
)

// Guards against documents of more than 1 MiB that are refused, or that a new node cannot get from its peers.
func TestLargeConfigurationReachesNewNodes(t *testing.T) {
	const routes = 12_000
	s := newSite(t)
	s.target("quotes", "a", 3)
	s.publishTargets(nil)
	s.standardRoutes("quotes")
	s.fleet(2)
	list := make([]string, routes)
	for i := range list {
		list[i] = fmt.Sprintf(`{"name":"route-%[1]d","pathPrefix":"/large/%[1]d/","service":"quotes","class":"read","repeatable":true,"deadline":"2.5s"}`, i)
	}
	rev := s.platform.Publish("many", `{"routes":[`+strings.Join(list, ",")+`]}`)
	for _, n := range s.nodes {
		eventually(t, "the large document in force", func() bool { return n.revision("many") == rev })
	}
	fresh := s.node("a", withPlatform(unreachable))
	eventually(t, "a new node ready", fresh.ready)
	eventually(t, "the large document in force on a new node", func() bool { return fresh.revision("many") == rev })
	if r := fresh.do(http.MethodGet, fmt.Sprintf("/large/%d/1", routes-1), "last", ""); r.status != http.StatusOK {
		t.Errorf("status %d, error %v on the last route", r.status, r.err)
	}
}
