// SPDX-License-Identifier: Apache-2.0

package integration_test

import (
	"net/http"
	"testing"
	"time"

	"ploverjunction.example/ploverjunction/internal/standin/faultproxy"
	"ploverjunction.example/ploverjunction/internal/standin/target"
)

// Guards against a planned stop that peers which do not answer delay until the process is killed.
func TestPlannedStopWaitsForNoSilentPeer(t *testing.T) {
	const path = "/quotes/1?work=100ms"
	s := stopSite(t, path, "grace = 4s\ndrain_wait = 1s", target.Mode{})
	n := s.nodes[0]
	peer := s.node("a")
	s.listNodes()
	eventually(t, "both nodes known to each other", func() bool { return liveMembers(n) == 2 && liveMembers(peer) == 2 })
	cut := faultproxy.Fault{
		Cut: true,
	}
	peer.peerProxy.SetForward(cut)
	peer.peerProxy.SetBackward(cut)
	idle := n.connect(path, true)
	signalled := n.killAtGrace()
	if r := sendOn(n.connect(path, false), http.MethodPost, path, "late", "x", maxWait); r.err != nil || r.status != http.StatusOK {
		t.Errorf("a request within the drain wait: status %d err %v", r.status, r.err)
	}
	eventually(t, "the idle connection closed", func() bool { return isClosed(idle) })
	_ = idle.Close()
	closed := time.Since(signalled)
	n.awaitExit()
	t.Logf("an idle connection was closed after %v, the process ended after %v", closed, time.Since(signalled))
	if closed > 2*time.Second {
		t.Errorf("an idle connection was closed after %v, with a drain wait of 1 s", closed)
	}
}
