// SPDX-License-Identifier: Apache-2.0

package integration_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"ploverjunction.example/ploverjunction/internal/fleetconfig"
	"ploverjunction.example/ploverjunction/internal/operator"
	"ploverjunction.example/ploverjunction/internal/standin/faultproxy"
	"ploverjunction.example/ploverjunction/internal/standin/platform"
)

// unreachable is an address at which no platform listens.
const unreachable = "127.0.0.1:1"

func (n *node) revision(key string) uint64 {
	s := n.status()
	if s == nil {
		return 0
	}
	return s.Revisions[key]
}

func routesDoc(version int) string {
	return fmt.Sprintf(`{"routes":[{"name":"v%d","pathPrefix":"/quotes","methods":["GET"],"service":"quotes","repeatable":true}]}`, version)
}

func TestOneReaderServesThreeNodes(t *testing.T) {
	s := newSite(t)
	s.target("quotes", "a", 3)
	s.publishTargets(nil)
	s.standardRoutes("quotes")
	s.node("a")
	s.node("b", withPlatform(unreachable))
	s.node("c", withPlatform(unreachable))
	s.allReady()
	for i := range 5 {
		rev := s.platform.Publish("routes", routesDoc(i))
		for _, n := range s.nodes {
			eventually(t, "the newest revision", func() bool { return n.revision("routes") == rev })
		}
	}
	for _, n := range s.nodes {
		if r := n.do(http.MethodGet, "/quotes/1", "k", ""); r.status != http.StatusOK {
			t.Fatalf("status %d", r.status)
		}
	}
}

func TestBadValueIsRefusedAndShown(t *testing.T) {
	s := newSite(t)
	s.target("quotes", "a", 3)
	s.publishTargets(nil)
	good := s.platform.Publish("routes", routesDoc(1))
	n := s.node("a")
	s.allReady()
	cases := []struct {
		name  string
		key   string
		value string
		want  string
	}{
		{
			name:  "no json",
			key:   "routes",
			value: `{`,
			want:  "syntax error",
		},
		{
			name:  "unknown field",
			key:   "routes",
			value: `{"rutes":[]}`,
			want:  "syntax error",
		},
		{
			name:  "unknown service",
			key:   "routes",
			value: `{"routes":[{"name":"x","pathPrefix":"/","service":"nothing"}]}`,
			want:  "refers to nothing",
		},
		{
			name:  "policy type",
			key:   "policy",
			value: `{"services":[{"name":"other","policy":{"sick":"score"}}]}`,
			want:  "policy: sick:1:1",
		},
		{
			name:  "policy place",
			key:   "policy",
			value: `{"services":[{"name":"other","policy":{"sick":"score >\n nothing"}}]}`,
			want:  "policy: sick:2:2",
		},
		{
			name:  "policy loop",
			key:   "policy",
			value: `{"services":[{"name":"other","policy":{"sick":"[1,2].all(x, x > 0)"}}]}`,
			want:  "policy: sick",
		},
		{
			name:  "too large",
			key:   "routes",
			value: strings.Repeat(" ", fleetconfig.MaxDocument) + "{}",
			want:  "too large",
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			rev := s.platform.Publish(c.key, c.value)
			eventually(t, "the refusal in the status", func() bool {
				st := n.status()
				return st != nil && slices.ContainsFunc(st.Config.Refused, func(r operator.RefusedStatus) bool {
					return r.Key == c.key && r.Revision == rev && strings.Contains(r.Reason, c.want)
				})
			})
			if got := n.revision("routes"); got != good {
				t.Fatalf("revision %d in force, want %d", got, good)
			}
			eventually(t, "the line in the log", func() bool {
				for text := range strings.SplitSeq(n.proc.Load().Log(), "\n") {
					if strings.Contains(text, "value refused") && strings.Contains(text, fmt.Sprintf(`"revision":%d`, rev)) {
						return true
					}
				}
				return false
			})
		})
	}
	// A restarted process receives the value in force, not the refused one, from
	// a peer.
	fresh := s.node("a", withPlatform(unreachable))
	eventually(t, "a new node ready", fresh.ready)
	if got := fresh.revision("routes"); got != good {
		t.Fatalf("revision %d in force on a new node, want %d", got, good)
	}
}

// fleet returns a site with nodes in three data halls.
func (s *site) fleet(count int) {
	s.t.Helper()
	for i := range count {
		s.node(string(rune('a' + i%3)))
	}
	s.listNodes()
	s.allReady()
}

func (s *site) listNodes() {
	var list []string
	for _, n := range s.nodes {
		list = append(list, fmt.Sprintf(`{"address":%q,"dataHall":%q,"state":"LIVE","role":"ENTRY"}`, n.peerProxy.Addr(), n.hall))
	}
	s.platform.Publish("instances", fmt.Sprintf(`{"instances":[%s]}`, strings.Join(list, ",")))
}

// spreadTime returns how long each node took to apply a revision of the routes.
func (s *site) spreadTime(rev uint64, nodes []*node) []time.Duration {
	started := time.Now()
	took := make([]time.Duration, len(nodes))
	var all sync.WaitGroup
	for i, n := range nodes {
		all.Go(func() {
			for took[i] == 0 && time.Since(started) < maxWait {
				if n.revision("routes") >= rev {
					took[i] = time.Since(started)
				} else {
					time.Sleep(2 * time.Millisecond)
				}
			}
		})
	}
	all.Wait()
	slices.Sort(took)
	return took
}

const inForceWithin = 5 * time.Second

// Guards against values that some of 40 nodes apply late or never while links, nodes
// or the platform fail.
func TestConfigurationIsInForceEverywhere(t *testing.T) {
	if testing.Short() {
		t.Skip("40 processes")
	}
	s := newSite(t)
	s.target("quotes", "a", 3)
	s.publishTargets(nil)
	s.platform.Publish("routes", routesDoc(0))
	s.fleet(40)
	version := 0
	publish := func() uint64 {
		version++
		return s.platform.Publish("routes", routesDoc(version))
	}
	cases := []struct {
		name  string
		fault func()
		heal  func()
	}{
		{
			name:  "no fault",
			fault: func() {},
			heal:  func() {},
		},
		{
			name: "a third cannot be reached",
			fault: func() {
				for i := 0; i < len(s.nodes); i += 3 {
					s.nodes[i].peerProxy.SetForward(faultproxy.Fault{
						Cut: true,
					})
				}
			},
			heal: func() {
				for _, n := range s.nodes {
					n.peerProxy.SetForward(faultproxy.Fault{})
				}
			},
		},
		{
			name: "answers of a third are cut",
			fault: func() {
				for i := 0; i < len(s.nodes); i += 3 {
					s.nodes[i].peerProxy.SetBackward(faultproxy.Fault{
						Cut: true,
					})
				}
			},
			heal: func() {
				for _, n := range s.nodes {
					n.peerProxy.SetBackward(faultproxy.Fault{})
				}
			},
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			c.fault()
			defer c.heal()
			var all []time.Duration
			for range 3 {
				all = append(all, s.spreadTime(publish(), s.nodes)...)
			}
			slices.Sort(all)
			t.Logf("median %v, 99 in 100 %v, last %v", all[len(all)/2], all[len(all)*99/100], all[len(all)-1])
			if all[0] == 0 || all[len(all)-1] > inForceWithin {
				t.Fatalf("last node after %v (0 means never)", all[len(all)-1])
			}
		})
	}
	for _, mode := range []platform.Mode{platform.ModeDown, platform.ModeHang, platform.ModeStale} {
		t.Run("platform "+string(mode)+" after one reader received the value", func(t *testing.T) {
			rev := publish()
			eventually(t, "one node with the revision", func() bool {
				return slices.ContainsFunc(s.nodes, func(n *node) bool { return n.revision("routes") >= rev })
			})
			s.platform.SetModeAt(mode, rev-1)
			defer s.platform.SetMode(platform.ModeGood)
			s.checkSpread(t, rev, s.nodes)
		})
	}
	t.Run("platform stale and a third cannot be reached", func(t *testing.T) {
		rev := publish()
		eventually(t, "one node with the revision", func() bool {
			return slices.ContainsFunc(s.nodes, func(n *node) bool { return n.revision("routes") >= rev })
		})
		s.platform.SetModeAt(platform.ModeStale, rev-1)
		defer s.platform.SetMode(platform.ModeGood)
		for i := 0; i < len(s.nodes); i += 3 {
			s.nodes[i].peerProxy.SetForward(faultproxy.Fault{
				Cut: true,
			})
			defer s.nodes[i].peerProxy.SetForward(faultproxy.Fault{})
		}
		s.checkSpread(t, rev, s.nodes)
	})
	t.Run("nodes restarting throughout", func(t *testing.T) {
		restarted := s.nodes[30:]
		done := make(chan struct{})
		go func() {
			defer close(done)
			for _, n := range restarted {
				n.restart()
			}
		}()
		for range 3 {
			s.checkSpread(t, publish(), s.nodes[:30])
		}
		<-done
		s.checkSpread(t, publish(), s.nodes)
	})
}

// checkSpread fails the test if a revision is not in force on all nodes in time.
func (s *site) checkSpread(t *testing.T, rev uint64, nodes []*node) {
	t.Helper()
	took := s.spreadTime(rev, nodes)
	t.Logf("median %v, last %v", took[len(took)/2], took[len(took)-1])
	if took[0] == 0 || took[len(took)-1] > inForceWithin {
		t.Fatalf("last node after %v (0 means never)", took[len(took)-1])
	}
}

// Guards against nodes that return to an older revision when they restart while the
// platform's replica is stale.
func TestRevisionsNeverDecrease(t *testing.T) {
	s := newSite(t)
	s.target("quotes", "a", 3)
	s.publishTargets(nil)
	s.platform.Publish("routes", routesDoc(0))
	s.fleet(6)
	old := s.platform.Publish("routes", routesDoc(1))
	for _, n := range s.nodes {
		eventually(t, "the old revision", func() bool { return n.revision("routes") == old })
	}
	newest := s.platform.Publish("routes", routesDoc(3))
	for _, n := range s.nodes {
		eventually(t, "the newest revision", func() bool { return n.revision("routes") == newest })
	}
	seen := map[*node]uint64{}
	rng := rand.New(rand.NewPCG(3, 4))
	for step := range 8 {
		s.platform.SetModeAt([]platform.Mode{platform.ModeStale, platform.ModeHang, platform.ModeDown}[step%3], old)
		n := s.nodes[rng.IntN(len(s.nodes))]
		n.restart()
		eventually(t, "the restarted node ready", n.ready)
		for _, n := range s.nodes {
			got := n.revision("routes")
			if n.ready() && got < max(seen[n], newest) {
				t.Fatalf("step %d: revision %d in force after %d", step, got, max(seen[n], newest))
			}
			seen[n] = got
		}
	}
	if len(seen) != len(s.nodes) {
		t.Fatalf("watched %d nodes", len(slices.Collect(maps.Keys(seen))))
	}
}

// Guards against a load on the platform that grows in proportion to the fleet.
func TestPlatformCallsGrowSlowerThanTheFleet(t *testing.T) {
	s := newSite(t)
	s.target("quotes", "a", 3)
	s.publishTargets(nil)
	s.platform.Publish("routes", routesDoc(0))
	calls := map[int]int64{}
	version := 0
	for _, size := range []int{6, 12, 24} {
		for len(s.nodes) < size {
			s.node(string(rune('a' + len(s.nodes)%3)))
		}
		s.listNodes()
		s.allReady()
		for _, n := range s.nodes {
			eventually(t, "all members in the status", func() bool {
				st := n.status()
				return st != nil && len(st.Members) == size
			})
		}
		version++
		s.spreadTime(s.platform.Publish("routes", routesDoc(version)), s.nodes)
		before := s.platform.Calls()
		for range 10 {
			version++
			s.spreadTime(s.platform.Publish("routes", routesDoc(version)), s.nodes)
		}
		calls[size] = s.platform.Calls() - before
	}
	t.Logf("calls for 10 changes: %v", calls)
	if calls[24] > 2*calls[6] {
		t.Fatalf("calls grow with the fleet: %v", calls)
	}
}

// Guards against a starting node that serves by an outdated configuration, because the
// stale platform answers before the peers that have newer values.
func TestStartingNodeComparesBeforeItServes(t *testing.T) {
	s := newSite(t)
	s.target("quotes", "a", 3)
	s.publishTargets(nil)
	s.platform.Publish("routes", routesDoc(0))
	s.fleet(4)
	old := s.platform.Publish("routes", routesDoc(1))
	newest := s.platform.Publish("routes", routesDoc(2))
	for _, n := range s.nodes {
		eventually(t, "the newest revision", func() bool { return n.revision("routes") == newest })
	}
	s.platform.SetModeAt(platform.ModeStale, old)
	last := s.nodes[3]
	for _, n := range s.nodes[:3] {
		n.peerProxy.SetForward(faultproxy.Fault{
			Delay: 300 * time.Millisecond,
		})
	}
	last.restart()
	eventually(t, "the restarted node ready", last.ready)
	if got := last.revision("routes"); got < newest {
		t.Fatalf("ready with revision %d, the fleet has %d", got, newest)
	}
}
