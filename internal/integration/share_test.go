// SPDX-License-Identifier: Apache-2.0

package integration_test

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"ploverjunction.example/ploverjunction/internal/standin/target"
)

// workspaceCount counts the requests of one workspace.
type workspaceCount struct {
	all, inTime int
	slowest     time.Duration
	// failed describes the first requests that were not served in time.
	failed []string
}

// sendWorkspace sends requests of a workspace at a rate to nodes in turn, and counts those answered
// in time. It returns when the last one has ended.
func (s *site) sendWorkspace(nodes []*node, workspace string, perSecond int, d, inTime time.Duration) workspaceCount {
	var mu sync.Mutex
	var all sync.WaitGroup
	var out workspaceCount
	next := time.NewTicker(time.Second / time.Duration(perSecond))
	defer next.Stop()
	began := time.Now()
	for i := 0; time.Since(began) < d; i++ {
		all.Go(func() {
			at := time.Since(began)
			r := nodes[i%len(nodes)].do(http.MethodPost, "/quotes/1", fmt.Sprintf("%s-%d", workspace, i), "", "Plover-Workspace", workspace)
			mu.Lock()
			defer mu.Unlock()
			out.all++
			out.slowest = max(out.slowest, r.took)
			if r.err == nil && r.status == http.StatusOK && r.took <= inTime {
				out.inTime++
			} else if len(out.failed) < 5 {
				out.failed = append(out.failed, fmt.Sprintf("at %v: status %d, outcome %q, error %v, after %v", at, r.status, r.outcome, r.err, r.took))
			}
		})
		<-next.C
	}
	all.Wait()
	return out
}

// Guards against a dispatcher's successor that serves the workspaces within their share behind the
// queue of one that sends ten times its usual requests: three workspaces use three quarters of 12 slots,
// and the dispatcher is killed while one of them does so.
func TestSharesSurviveDispatcherDeath(t *testing.T) {
	const (
		work      = 100 * time.Millisecond
		perSecond = 30
		inTime    = 1500 * time.Millisecond
		busyTime  = 4 * time.Second
		// unnoticedLoss is the share of requests that callers lose at any target anyway.
		unnoticedLoss = 0.012
	)
	s := jointSite(t, 4)
	for _, b := range s.targets {
		b.SetMode(target.Mode{
			Latency:    work,
			ReportLoad: true,
		})
	}
	s.platform.Publish("routes", `{"routes":[{"name":"write","pathPrefix":"/quotes","methods":["POST"],"service":"quotes",
		"class":"write","deadline":"3s","targetLatency":"1.5s"}]}`)
	s.platform.Publish("workspaces", `{"workspaces":[{"id":"w0"},{"id":"w1"},{"id":"w2"}]}`)
	for _, n := range s.nodes {
		eventually(t, "the workspaces in force", func() bool {
			st := n.status()
			return st != nil && st.Config.Workspaces == 3
		})
	}
	s.sendWorkspace(s.nodes, "w1", 2*perSecond, time.Second, inTime)
	var dispatcher *node
	eventually(t, "a dispatcher", func() bool {
		for _, n := range s.nodes {
			if st := n.status(); st != nil && len(st.TargetLoads) > 0 && st.TargetLoads[0].Dispatcher {
				dispatcher = n
			}
		}
		return dispatcher != nil
	})
	callersOf := slices.DeleteFunc(slices.Clone(s.nodes), func(n *node) bool { return n == dispatcher })
	got := make([]workspaceCount, 3)
	var load sync.WaitGroup
	for i := range got {
		rate := perSecond
		if i == 0 {
			rate *= 10
		}
		load.Go(func() { got[i] = s.sendWorkspace(callersOf, fmt.Sprint("w", i), rate, busyTime, inTime) })
	}
	time.Sleep(busyTime / 2)
	dispatcher.signal(9)
	load.Wait()
	for i, c := range got {
		t.Logf("w%d: %d of %d in time, the slowest after %v; %v", i, c.inTime, c.all, c.slowest.Round(time.Millisecond), c.failed)
		if i > 0 && float64(c.all-c.inTime) > unnoticedLoss*float64(c.all) {
			t.Errorf("w%d: %d of %d requests not served in time", i, c.all-c.inTime, c.all)
		}
	}
	if got[0].inTime > got[0].all*3/4 {
		t.Error("slots are not short")
	}
}
