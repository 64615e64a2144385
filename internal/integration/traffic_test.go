// SPDX-License-Identifier: Apache-2.0

package integration_test

import (
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"
)

// bytesByPurpose sums the bytes sent by the nodes, by purpose and scope with a space between them.
func bytesByPurpose(nodes []*node) map[string]int64 {
	out := map[string]int64{}
	for _, n := range nodes {
		for _, t := range n.status().Traffic {
			out[t.Purpose+" "+t.Scope] += t.Bytes
		}
	}
	return out
}

func connectionsByCause(nodes []*node) map[string]int64 {
	out := map[string]int64{}
	for _, n := range nodes {
		for _, c := range n.status().Connections {
			out[c.Cause] += c.Count
		}
	}
	return out
}

// Guards against bytes and connections that operators can't tell apart: each purpose of a request,
// within a data hall and between two, must be in the status, in the metrics and in ploverctl's output.
func TestBytesAndConnectionsAreShown(t *testing.T) {
	s := jointSite(t, 4)
	const requests = 120
	before := bytesByPurpose(s.nodes)
	for i := range requests {
		if r := s.nodes[i%len(s.nodes)].do(http.MethodPost, "/quotes/1", fmt.Sprintf("traffic-%d", i), ""); r.status != http.StatusOK {
			t.Fatalf("request %d: status %d, error %v", i, r.status, r.err)
		}
	}
	after := bytesByPurpose(s.nodes)
	for _, k := range slices.Sorted(maps.Keys(after)) {
		t.Logf("%-30s %8d at the start, %7.1f per request", k, before[k], float64(after[k]-before[k])/requests)
	}
	t.Logf("connections: %v", connectionsByCause(s.nodes))
	// Targets of the own data hall are preferred, so that few requests or none go to others.
	for _, k := range []string{"target_requests within", "target_responses within"} {
		if after[k] == 0 {
			t.Errorf("no bytes for %s data halls", k)
		}
	}
	for _, k := range []string{"grant_requests", "grants", "dones", "confirmations", "probes", "state"} {
		for _, scope := range []string{"within", "between"} {
			if after[k+" "+scope] == 0 {
				t.Errorf("no bytes for %s %s data halls", k, scope)
			}
		}
	}
	if after["target_requests unknown"] > 0 || after["grants unknown"] > 0 {
		t.Error("the data hall of a listed target or node is not known")
	}
	n := s.nodes[0]
	exit, text := ctl(t, "status", "--node", n.proc.Load().Operator())
	if exit != 0 || !strings.Contains(text, "bytes for target_requests: within ") || !strings.Contains(text, "connections to targets: first ") {
		t.Errorf("ploverctl status ended with %d:\n%s", exit, text)
	}
	// Metrics follow within two intervals of a second.
	deadline := time.Now().Add(5 * time.Second)
	for {
		text := n.metricsText()
		if strings.Contains(text, `plover_bytes{purpose="target_requests",scope="within"}`) && strings.Contains(text, `plover_connections{cause="first"}`) {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("metrics:\n%s", text)
		}
		time.Sleep(100 * time.Millisecond)
	}
}
