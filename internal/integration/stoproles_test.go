// SPDX-License-Identifier: Apache-2.0

package integration_test

import (
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// roleCall is one request under the stops of TestPlannedStopOfRolesBesideARouteChange.
type roleCall struct {
	key   string
	reply reply
}

// fault returns what is wrong with the answer, or "".
func (c *roleCall) fault(s *site) string {
	ran := s.runsOf(c.key)
	says := fmt.Sprintf("%s: ran %d times, status %d outcome %q %s, %v after %v", c.key, ran, c.reply.status, c.reply.outcome, c.reply.body, c.reply.err, c.reply.took)
	switch {
	case ran > 1:
		return "ran twice: " + says
	case c.reply.err != nil:
		return "no answer: " + says
	case ran == 1 && c.reply.status != http.StatusOK, c.reply.status == http.StatusBadGateway:
		return "lost: " + says
	}
	return ""
}

// moveRoute leads the route to a service.
func (s *site) moveRoute(service string) {
	s.platform.Publish("routes", fmt.Sprintf(`{"routes":[{"name":"write","pathPrefix":"/quotes","methods":["POST"],"service":%q,"class":"write","deadline":"5s"}]}`,
		service))
}

// Guards against requests that are lost when the dispatcher of their service, or the reader of the platform, is stopped
// while the route moves to another service and the settings are read again: each node is stopped in turn.
func TestPlannedStopOfRolesBesideARouteChange(t *testing.T) {
	const workers = 6
	s := newSite(t)
	services := []string{"quotes", "offers"}
	for _, service := range services {
		for range 4 {
			s.target(service, "a", 10)
		}
	}
	s.publishTargets(nil)
	s.moveRoute(services[0])
	for i := range 3 {
		s.node("a",
			withPeerAddress(fmt.Sprintf("127.0.3.%d:7950", i+1)),
			withExtra("grace = 6s\ndrain_wait = 1s\n[targets]\nchoice = joint\nhandover = true\n"))
	}
	s.allReady()
	for _, n := range s.nodes {
		eventually(t, "all members live", func() bool { return liveMembers(n) == len(s.nodes) })
	}
	b := newBalancer(s.nodes)
	defer b.stop()
	var mu sync.Mutex
	var calls []*roleCall
	var done atomic.Bool
	var all sync.WaitGroup
	// A test that fails early must not leave the load running.
	defer all.Wait()
	defer done.Store(true)
	for w := range workers {
		all.Go(func() {
			for i := 0; !done.Load(); i++ {
				c := &roleCall{
					key: fmt.Sprintf("role-%d-%d", w, i),
				}
				conn, err := net.Dial("tcp", b.pick())
				if err != nil {
					t.Errorf("no node takes %s: %v", c.key, err)
					return
				}
				c.reply = sendOn(conn, http.MethodPost, "/quotes/1?work=150ms", c.key, "x", linkDeadline)
				_ = conn.Close()
				mu.Lock()
				calls = append(calls, c)
				mu.Unlock()
			}
		})
	}
	for i, n := range s.nodes {
		<-time.After(500 * time.Millisecond)
		n.killLater()
		n.signal(syscall.SIGHUP)
		s.moveRoute(services[(i+1)%len(services)])
		<-time.After(100 * time.Millisecond)
		n.signal(syscall.SIGHUP)
		n.awaitExit()
		n.start()
		eventually(t, "the new process ready", n.ready)
		eventually(t, "the balancer polls the node as ready", func() bool { return b.ready[slices.Index(s.nodes, n)].Load() })
	}
	done.Store(true)
	all.Wait()
	ran, faults := 0, 0
	for _, c := range calls {
		if f := c.fault(s); f != "" {
			faults++
			t.Error(f)
		}
		if c.reply.status == http.StatusOK {
			ran++
		}
	}
	t.Logf("%d requests, %d served, %d at fault", len(calls), ran, faults)
	if ran < len(calls)*9/10 {
		t.Error("few were served: the test shows nothing")
	}
}
