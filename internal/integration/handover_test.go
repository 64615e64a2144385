// SPDX-License-Identifier: Apache-2.0

package integration_test

import (
	"fmt"
	"net/http"
	"strings"
	"syscall"
	"testing"

	"ploverjunction.example/ploverjunction/internal/standin/target"
)

// Guards against a planned stop of a dispatcher that sends its state to nobody, or to a node that doesn't use
// it, and against requests that fail meanwhile.
func TestPlannedStopHandsOverDispatcher(t *testing.T) {
	s := newSite(t)
	for range 4 {
		s.target("quotes", "a", 3)
	}
	s.publishTargets(nil)
	s.standardRoutes("quotes")
	for i := range 3 {
		s.node("a",
			withPeerAddress(fmt.Sprintf("127.0.3.%d:7950", i+1)),
			withExtra("drain_wait = 1s\n[targets]\nchoice = joint\nhandover = true\n"))
	}
	s.allReady()
	for _, n := range s.nodes {
		eventually(t, "all members live", func() bool { return liveMembers(n) == len(s.nodes) })
	}
	logged := func(n *node, line string) int { return strings.Count(n.proc.Load().Log(), line) }
	s.targets[0].SetMode(target.Mode{
		ErrorShare: 1,
	})
	for i := range 90 {
		s.nodes[i%len(s.nodes)].do(http.MethodPost, "/quotes/1", fmt.Sprintf("before-%d", i), "")
	}
	// Only the dispatcher of the service writes lines about it.
	var dispatcher *node
	eventually(t, "a dispatcher", func() bool {
		for _, n := range s.nodes {
			if logged(n, "dispatch: desk") > 0 {
				dispatcher = n
			}
		}
		return dispatcher != nil
	})
	dispatcher.signal(syscall.SIGTERM)
	others := func(line string) (n int) {
		for _, o := range s.nodes {
			if o != dispatcher {
				n += logged(o, line)
			}
		}
		return n
	}
	eventually(t, "a node accepts the state", func() bool { return others("handover accepted") == 1 })
	dispatcher.awaitExit()
	failures := 0
	for i := range 60 {
		n := s.nodes[i%len(s.nodes)]
		if n == dispatcher {
			continue
		}
		if r := n.do(http.MethodPost, "/quotes/1", fmt.Sprintf("after-%d", i), ""); r.status != http.StatusOK {
			failures++
		}
	}
	t.Logf("%d of 40 requests failed after the move", failures)
	if sent := logged(dispatcher, "handover sent"); sent != 1 || others("handover accepted") != 1 || others("handover ignored") != 0 {
		t.Errorf("%d handovers sent, %d accepted, %d ignored", sent, others("handover accepted"), others("handover ignored"))
	}
	if failures > 2 {
		t.Errorf("%d of 40 requests failed", failures)
	}
}
