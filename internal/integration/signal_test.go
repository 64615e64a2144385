// SPDX-License-Identifier: Apache-2.0

package integration_test

import (
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"ploverjunction.example/ploverjunction/internal/standin/target"
)

// noticeSite starts four nodes before three targets of the same data hall, of which the first
// will say something.
func noticeSite(t *testing.T, tt *trouble) *site {
	t.Helper()
	s := newSite(t)
	for range 3 {
		b := s.target("quotes", "a", 3)
		b.SetMode(target.Mode{
			Latency: noticeWork,
		})
	}
	s.publishTargets(nil)
	s.standardRoutes("quotes")
	for i := range 4 {
		s.node("a",
			withPeersAt(fmt.Sprintf("127.0.%d.%d:7950", tt.net, i+1)),
			withExtra("[targets]\nchoice = "+tt.choice+"\n"))
	}
	s.allReady()
	for _, n := range s.nodes {
		eventually(t, "all members live", func() bool { return liveMembers(n) == len(s.nodes) })
	}
	return s
}

// noticeWork is how long a request takes, noticeGap the time between two of one node: all
// four keep two thirds of the slots busy, so that each target gets work.
const (
	noticeWork = 60 * time.Millisecond
	noticeGap  = 40 * time.Millisecond
)

// load sends requests to some nodes, each at its own pace, until the function that it returns
// is called. Keys begin with the number of the node.
func (s *site) load(nodes ...int) (stop func()) {
	end := make(chan struct{})
	var all sync.WaitGroup
	for _, i := range nodes {
		all.Go(func() {
			next := time.NewTicker(noticeGap)
			defer next.Stop()
			for number := 0; ; number++ {
				select {
				case <-end:
					return
				case <-next.C:
				}
				all.Go(func() {
					s.nodes[i].do(http.MethodGet, "/quotes/1", fmt.Sprintf("%d-%d", i, number), "")
				})
			}
		})
	}
	return func() {
		close(end)
		all.Wait()
	}
}

// from returns what reached a target from a node.
func (b *backend) from(node int) []target.Arrival {
	var out []target.Arrival
	for _, a := range b.Arrivals() {
		if strings.HasPrefix(a.Key, fmt.Sprintf("%d-", node)) {
			out = append(out, a)
		}
	}
	return out
}

// trouble is what happens to the nodes besides, and which of them send requests on.
type trouble struct {
	name string
	// net is the part of the nodes' addresses that is the test's own.
	net    int
	choice string
	strike func(s *site)
	left   []int
}

// stopped returns the nodes that send no requests on once it happens.
func (tt *trouble) stopped() []int {
	var out []int
	for i := range 4 {
		if !slices.Contains(tt.left, i) {
			out = append(out, i)
		}
	}
	return out
}

var troubles = []trouble{
	{
		name:   "joint choice",
		net:    50,
		choice: "joint",
		strike: func(*site) {},
		left:   []int{0, 1, 2, 3},
	},
	{
		name:   "dispatchers that have just begun",
		net:    51,
		choice: "joint",
		strike: func(s *site) {
			s.nodes[0].restart()
			s.nodes[1].restart()
		},
		left: []int{2, 3},
	},
	{
		name:   "a node that no other answers",
		net:    52,
		choice: "joint",
		strike: func(s *site) {
			for _, n := range s.nodes[:3] {
				n.signal(syscall.SIGSTOP)
			}
		},
		left: []int{3},
	},
	{
		name:   "nodes that choose alone",
		net:    53,
		choice: "alone",
		strike: func(*site) {},
		left:   []int{0, 1, 2, 3},
	},
}

// Users saw requests reach a target for 13 s after it had begun to say in its answers that it
// leaves, each granted in 3 ms by a dispatcher for which it was one of the best; nodes that
// had passed on such an answer sent more 5 s later. The platform took no writes in that time,
// so that the target's entry called it ready. The cause: the word was read nowhere on the way
// of a joint choice, neither where the answer came nor where targets are chosen.
//
// What proved it: lines of the answers said that the target leaves, and nothing after them
// differed.
func TestLeavingTargetsGetNothingMore(t *testing.T) {
	// within is the users' time for a leaving target to get nothing new.
	const within = 2 * time.Second
	for _, tt := range troubles {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			s := noticeSite(t, &tt)
			b := s.targets[0]
			stopped := s.load(tt.stopped()...)
			stop := s.load(tt.left...)
			eventually(t, "work at the target", func() bool { return len(b.Arrivals()) > 40 })
			b.SetMode(target.Mode{
				Latency: noticeWork,
				Leaving: true,
			})
			for _, i := range tt.left {
				eventually(t, "a word of leaving", func() bool { return heardLeaving(b, i) || tt.choice == "joint" && quiet(b) })
			}
			stopped()
			tt.strike(s)
			time.AfterFunc(2*within, stop)
			<-time.After(2*within + within/2)
			for _, i := range tt.left {
				checkLeft(t, b, i, within)
			}
		})
	}
}

// heardLeaving reports whether the target told a node that it leaves.
func heardLeaving(b *backend, node int) bool {
	for _, a := range b.from(node) {
		if a.Leaving {
			return true
		}
	}
	return false
}

// quiet reports whether nothing has reached the target for a while.
func quiet(b *backend) bool {
	all := b.Arrivals()
	return len(all) > 0 && time.Since(all[len(all)-1].At) > time.Second
}

// checkLeft expects nothing from a node later than within after it was told.
func checkLeft(t *testing.T, b *backend, node int, within time.Duration) {
	t.Helper()
	var told time.Time
	late := 0
	for _, a := range b.from(node) {
		switch {
		case !told.IsZero() && a.At.Sub(told) > within:
			late++
		case a.Leaving && told.IsZero():
			told = a.At.Add(noticeWork)
		}
	}
	if late > 0 {
		t.Errorf("node %d sent %d requests later than %v after it was told that the target leaves", node, late, within)
	}
}

// Users saw a target turn a node away and ask it for three seconds of rest, and get four
// requests from it in that time. The target had been well again for two seconds by then and had
// answered other nodes, so that the dispatcher believed in it again; what it had asked of one
// node was read nowhere.
//
// What proved it: lines of the refusals said for how long, and nothing after them differed.
func TestTargetsAreLeftAlone(t *testing.T) {
	const rest = 4 * time.Second
	for _, tt := range troubles {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			s := noticeSite(t, &tt)
			b := s.targets[0]
			stopped := s.load(tt.stopped()...)
			stop := s.load(tt.left...)
			eventually(t, "work at the target", func() bool { return len(b.Arrivals()) > 40 })
			b.SetMode(target.Mode{
				Shed: true,
				Rest: rest,
			})
			eventually(t, "a request turned away", func() bool { return turnedAway(b, tt.left) })
			b.SetMode(target.Mode{
				Latency: noticeWork,
			})
			stopped()
			tt.strike(s)
			time.AfterFunc(rest+time.Second, stop)
			<-time.After(rest + 2*time.Second)
			for _, i := range tt.left {
				checkRest(t, b, i)
			}
		})
	}
}

// turnedAway reports whether the target asked one of the nodes for rest.
func turnedAway(b *backend, nodes []int) bool {
	for _, i := range nodes {
		for _, a := range b.from(i) {
			if a.Rest > 0 {
				return true
			}
		}
	}
	return false
}

// checkRest expects at most two requests from a node between half a second after the target
// asked it for rest and the end of that.
func checkRest(t *testing.T, b *backend, node int) {
	t.Helper()
	const (
		slack = 500 * time.Millisecond
		most  = 2
	)
	all := b.from(node)
	for _, asked := range all {
		n := 0
		for _, a := range all {
			if after := a.At.Sub(asked.At); asked.Rest > 0 && after > slack && after < asked.Rest {
				n++
			}
		}
		if n > most {
			t.Errorf("node %d sent %d requests in the %v of rest that it was asked for", node, n, asked.Rest)
			return
		}
	}
}

// Callers of a service all of whose targets had asked for rest waited for nothing: each request
// was sent on, turned away and sent on again, and then they were told to come back in a quarter
// of a second. Now they hear at once when it can be served, and callers of another service pay
// nothing for it.
func TestServiceWhoseTargetsAllRest(t *testing.T) {
	const rest = 4 * time.Second
	s := quotesBeside(t, 54, `"deadline":"5s"`)
	quotes := s.targets[:3]
	for _, b := range quotes {
		b.SetMode(target.Mode{
			Shed: true,
			Rest: rest,
		})
	}
	ask := func(i int) reply { return s.nodes[i].do(http.MethodGet, "/quotes/1", fmt.Sprintf("%d-q", i), "") }
	for i := range s.nodes {
		eventually(t, "all targets to turn the node away", func() bool {
			ask(i)
			return !slices.ContainsFunc(quotes, func(b *backend) bool { return !turnedAway(b, []int{i}) })
		})
	}
	for i := range s.nodes {
		ends := time.Now().Add(rest)
		for _, b := range quotes {
			if at := b.from(i)[0].At.Add(rest); at.Before(ends) {
				ends = at
			}
		}
		r := ask(i)
		if r.status != http.StatusServiceUnavailable || r.outcome != "not-run" || r.took > 200*time.Millisecond {
			t.Errorf("node %d: status %d, outcome %q after %v", i, r.status, r.outcome, r.took)
		}
		seconds, err := strconv.Atoi(r.header.Get("Retry-After"))
		back := time.Now().Add(time.Duration(seconds) * time.Second)
		// Whole seconds are rounded up, and not all callers are to come at once.
		if err != nil || back.Before(ends) || back.After(ends.Add(rest/2+time.Second)) {
			t.Errorf("node %d: Retry-After %q, the rest ends in %v", i, r.header.Get("Retry-After"), time.Until(ends))
		}
	}
	for i, n := range s.nodes {
		if got := n.status().Signals; len(got) != len(quotes) || got[0].Service != "quotes" || got[0].RestMS <= 0 {
			t.Errorf("node %d shows %+v", i, got)
		}
		if _, out := ctl(t, "status", "--node", n.proc.Load().Operator()); strings.Count(out, "told this node that it wants nothing") != len(quotes) {
			t.Errorf("node %d: ploverctl shows\n%s", i, out)
		}
		if !strings.Contains(n.proc.Load().Log(), "all targets rest") {
			t.Errorf("node %d doesn't log why", i)
		}
	}
	for i := range 40 {
		n := s.nodes[i%2]
		if r := n.do(http.MethodPost, "/documents/1", fmt.Sprintf("document-%d", i), ""); r.status != http.StatusOK || r.took > time.Second {
			t.Errorf("document %d: status %d after %v", i, r.status, r.took)
		}
		ask(i % 2)
	}
	for _, b := range quotes {
		b.SetMode(target.Mode{})
	}
	for i := range s.nodes {
		eventually(t, "quotes after the rest", func() bool { return ask(i).status == http.StatusOK })
		for _, b := range quotes {
			checkRest(t, b, i)
		}
	}
}

// quotesBeside starts two nodes before three targets of quotes and two of documents. times are the
// fields of the quotes' route that give its times, net is the part of the nodes' addresses that is
// the test's own.
func quotesBeside(t *testing.T, net int, times string) *site {
	t.Helper()
	s := newSite(t)
	for range 3 {
		s.target("quotes", "a", 3)
	}
	for range 2 {
		s.target("documents", "a", 3)
	}
	s.publishTargets(nil)
	s.platform.Publish("routes", fmt.Sprintf(`{"routes":[
		{"name":"quotes","pathPrefix":"/quotes","methods":["GET"],"service":"quotes","repeatable":true,%s},
		{"name":"documents","pathPrefix":"/documents","methods":["POST"],"service":"documents","deadline":"2s"}]}`, times))
	for i := range 2 {
		s.node("a",
			withPeersAt(fmt.Sprintf("127.0.%d.%d:7950", net, i+1)),
			withExtra("[targets]\nchoice = joint\n"))
	}
	s.allReady()
	for _, n := range s.nodes {
		eventually(t, "all members live", func() bool { return liveMembers(n) == len(s.nodes) })
	}
	return s
}
