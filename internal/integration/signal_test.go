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

// signalSite returns a site with four nodes and three targets in one data hall. The first
// target is the one that sends signals.
func signalSite(t *testing.T, tt *nodeFault) *site {
	t.Helper()
	s := newSite(t)
	for range 3 {
		b := s.target("quotes", "a", 3)
		b.SetMode(target.Mode{
			Latency: signalLatency,
		})
	}
	s.publishTargets(nil)
	s.standardRoutes("quotes")
	for i := range 4 {
		s.node("a",
			withPeerAddress(fmt.Sprintf("127.0.%d.%d:7950", tt.net, i+1)),
			withExtra("[targets]\nchoice = "+tt.choice+"\n"))
	}
	s.allReady()
	for _, n := range s.nodes {
		eventually(t, "all members live", func() bool { return liveMembers(n) == len(s.nodes) })
	}
	return s
}

// signalLatency is the latency of a request, signalInterval the interval between two of one node. The
// four nodes keep two thirds of the slots busy, so that each target gets requests.
const (
	signalLatency  = 60 * time.Millisecond
	signalInterval = 40 * time.Millisecond
)

// load sends requests to some nodes, each at its own rate, until the returned function is
// called. Keys begin with the index of the node.
func (s *site) load(nodes ...int) (stop func()) {
	end := make(chan struct{})
	var all sync.WaitGroup
	for _, i := range nodes {
		all.Go(func() {
			next := time.NewTicker(signalInterval)
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

// from returns the requests that reached a target from a node.
func (b *backend) from(node int) []target.Arrival {
	var out []target.Arrival
	for _, a := range b.Arrivals() {
		if strings.HasPrefix(a.Key, fmt.Sprintf("%d-", node)) {
			out = append(out, a)
		}
	}
	return out
}

// nodeFault is an additional fault of the nodes; remaining lists the nodes that still forward requests.
type nodeFault struct {
	name string
	// net is the third octet of the nodes' addresses, unique to the test.
	net       int
	choice    string
	inject    func(s *site)
	remaining []int
}

// stopped returns the nodes that forward no requests after the fault.
func (tt *nodeFault) stopped() []int {
	var out []int
	for i := range 4 {
		if !slices.Contains(tt.remaining, i) {
			out = append(out, i)
		}
	}
	return out
}

var nodeFaults = []nodeFault{
	{
		name:      "joint mode",
		net:       50,
		choice:    "joint",
		inject:    func(*site) {},
		remaining: []int{0, 1, 2, 3},
	},
	{
		name:   "dispatchers that have just started",
		net:    51,
		choice: "joint",
		inject: func(s *site) {
			s.nodes[0].restart()
			s.nodes[1].restart()
		},
		remaining: []int{2, 3},
	},
	{
		name:   "an isolated node",
		net:    52,
		choice: "joint",
		inject: func(s *site) {
			for _, n := range s.nodes[:3] {
				n.signal(syscall.SIGSTOP)
			}
		},
		remaining: []int{3},
	},
	{
		name:      "independent mode",
		net:       53,
		choice:    "alone",
		inject:    func(*site) {},
		remaining: []int{0, 1, 2, 3},
	},
}

// Guards against requests to a target that signals in its answers that it is draining. In an
// incident it got requests for 13 s, granted in 3 ms by a dispatcher that ranked it among the
// best; nodes that had relayed the signal sent more 5 s later. The platform accepted no writes
// then, so that the target's entry was still ready, and in the joint mode neither the node that
// got the answer nor the dispatcher read the signal. Log lines of the answers showed the signal
// and no change after it.
func TestDrainingTargetsGetNoRequests(t *testing.T) {
	// within is the users' bound for a draining target to get no new requests.
	const within = 2 * time.Second
	for _, tt := range nodeFaults {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			s := signalSite(t, &tt)
			b := s.targets[0]
			stopped := s.load(tt.stopped()...)
			stop := s.load(tt.remaining...)
			eventually(t, "work at the target", func() bool { return len(b.Arrivals()) > 40 })
			b.SetMode(target.Mode{
				Latency:  signalLatency,
				Draining: true,
			})
			for _, i := range tt.remaining {
				// A node may hear of the signal before it sends a request: from a dispatcher, or in the
				// independent mode from the observer.
				eventually(t, "the draining signal", func() bool { return signaledDraining(b, i) || idle(b) })
			}
			stopped()
			tt.inject(s)
			time.AfterFunc(2*within, stop)
			<-time.After(2*within + within/2)
			for _, i := range tt.remaining {
				checkDraining(t, b, i, within)
			}
		})
	}
}

// signaledDraining reports whether the target signaled to a node that it is draining.
func signaledDraining(b *backend, node int) bool {
	for _, a := range b.from(node) {
		if a.Draining {
			return true
		}
	}
	return false
}

// idle reports whether no request has reached the target for a second.
func idle(b *backend) bool {
	all := b.Arrivals()
	return len(all) > 0 && time.Since(all[len(all)-1].At) > time.Second
}

// checkDraining checks that a node sends no request later than within after the draining signal.
func checkDraining(t *testing.T, b *backend, node int, within time.Duration) {
	t.Helper()
	var received time.Time
	late := 0
	for _, a := range b.from(node) {
		switch {
		case !received.IsZero() && a.At.Sub(received) > within:
			late++
		case a.Draining && received.IsZero():
			received = a.At.Add(signalLatency)
		}
	}
	if late > 0 {
		t.Errorf("node %d sent %d requests later than %v after the draining signal", node, late, within)
	}
}

// Guards against requests to a target during the backoff that it requested of a node. In an
// incident a target refused a node with a backoff of 3 s and got four requests from it in that
// time: it had recovered 2 s before and answered other nodes, so that the dispatcher's estimate was
// good again, and nothing read the backoff. Log lines of the refusals showed the backoff
// and no change after it.
func TestRequestedBackoffIsRespected(t *testing.T) {
	const backoff = 4 * time.Second
	for _, tt := range nodeFaults {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			s := signalSite(t, &tt)
			b := s.targets[0]
			stopped := s.load(tt.stopped()...)
			stop := s.load(tt.remaining...)
			eventually(t, "work at the target", func() bool { return len(b.Arrivals()) > 40 })
			b.SetMode(target.Mode{
				Shed:    true,
				Backoff: backoff,
			})
			eventually(t, "a request refused with a backoff", func() bool { return requestedBackoff(b, tt.remaining) })
			b.SetMode(target.Mode{
				Latency: signalLatency,
			})
			stopped()
			tt.inject(s)
			time.AfterFunc(backoff+time.Second, stop)
			<-time.After(backoff + 2*time.Second)
			for _, i := range tt.remaining {
				checkBackoff(t, b, i)
			}
		})
	}
}

// requestedBackoff reports whether the target requested a backoff of one of the nodes.
func requestedBackoff(b *backend, nodes []int) bool {
	for _, i := range nodes {
		for _, a := range b.from(i) {
			if a.Backoff > 0 {
				return true
			}
		}
	}
	return false
}

// checkBackoff checks that a node sends at most two requests between half a second after the
// target requested a backoff and its end.
func checkBackoff(t *testing.T, b *backend, node int) {
	t.Helper()
	const (
		slack       = 500 * time.Millisecond
		maxRequests = 2
	)
	all := b.from(node)
	for _, refusal := range all {
		n := 0
		for _, a := range all {
			if after := a.At.Sub(refusal.At); refusal.Backoff > 0 && after > slack && after < refusal.Backoff {
				n++
			}
		}
		if n > maxRequests {
			t.Errorf("node %d sent %d requests during the requested backoff of %v", node, n, refusal.Backoff)
			return
		}
	}
}

// Guards against useless attempts for a service whose targets are all backing off: each request
// was forwarded, refused and retried, and then its caller got a Retry-After of a quarter of a
// second. The caller must immediately get the time at which the request can be served, and
// another service must not be affected.
func TestServiceWithAllTargetsBackingOff(t *testing.T) {
	const backoff = 4 * time.Second
	s := twoServiceSite(t, 54, `"deadline":"5s"`)
	quotes := s.targets[:3]
	for _, b := range quotes {
		b.SetMode(target.Mode{
			Shed:    true,
			Backoff: backoff,
		})
	}
	request := func(i int) reply { return s.nodes[i].do(http.MethodGet, "/quotes/1", fmt.Sprintf("%d-q", i), "") }
	for i := range s.nodes {
		eventually(t, "backoffs of all targets", func() bool {
			request(i)
			return !slices.ContainsFunc(quotes, func(b *backend) bool { return !requestedBackoff(b, []int{i}) })
		})
	}
	for i := range s.nodes {
		ends := time.Now().Add(backoff)
		for _, b := range quotes {
			if at := b.from(i)[0].At.Add(backoff); at.Before(ends) {
				ends = at
			}
		}
		r := request(i)
		if r.status != http.StatusServiceUnavailable || r.outcome != "not-run" || r.took > 200*time.Millisecond {
			t.Errorf("node %d: status %d, outcome %q after %v", i, r.status, r.outcome, r.took)
		}
		seconds, err := strconv.Atoi(r.header.Get("Retry-After"))
		back := time.Now().Add(time.Duration(seconds) * time.Second)
		// The value is rounded up to seconds and jittered, to spread the callers.
		if err != nil || back.Before(ends) || back.After(ends.Add(backoff/2+time.Second)) {
			t.Errorf("node %d: Retry-After %q, the backoff ends in %v", i, r.header.Get("Retry-After"), time.Until(ends))
		}
	}
	for i, n := range s.nodes {
		if got := n.status().Signals; len(got) != len(quotes) || got[0].Service != "quotes" || got[0].BackoffMS <= 0 {
			t.Errorf("node %d has signals %+v", i, got)
		}
		if _, out := ctl(t, "status", "--node", n.proc.Load().Operator()); strings.Count(out, "told this node that it wants nothing") != len(quotes) {
			t.Errorf("node %d: ploverctl printed\n%s", i, out)
		}
		if !strings.Contains(n.proc.Load().Log(), "all targets rest") {
			t.Errorf("node %d does not log the reason", i)
		}
	}
	for i := range 40 {
		n := s.nodes[i%2]
		if r := n.do(http.MethodPost, "/documents/1", fmt.Sprintf("document-%d", i), ""); r.status != http.StatusOK || r.took > time.Second {
			t.Errorf("document %d: status %d after %v", i, r.status, r.took)
		}
		request(i % 2)
	}
	for _, b := range quotes {
		b.SetMode(target.Mode{})
	}
	for i := range s.nodes {
		eventually(t, "quotes after the backoff", func() bool { return request(i).status == http.StatusOK })
		for _, b := range quotes {
			checkBackoff(t, b, i)
		}
	}
}

// twoServiceSite returns a site with two nodes, three targets of quotes and two of documents. times
// holds the timeout fields of the quotes' route, net the third octet of the nodes' addresses,
// unique to the test.
func twoServiceSite(t *testing.T, net int, times string) *site {
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
			withPeerAddress(fmt.Sprintf("127.0.%d.%d:7950", net, i+1)),
			withExtra("[targets]\nchoice = joint\n"))
	}
	s.allReady()
	for _, n := range s.nodes {
		eventually(t, "all members live", func() bool { return liveMembers(n) == len(s.nodes) })
	}
	return s
}
