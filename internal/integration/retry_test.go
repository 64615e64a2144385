// SPDX-License-Identifier: Apache-2.0

package integration_test

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"ploverjunction.example/ploverjunction/internal/history"
	"ploverjunction.example/ploverjunction/internal/standin/faultproxy"
	"ploverjunction.example/ploverjunction/internal/standin/target"
)

// oneTarget returns a site with one target, so that its faults affect every request.
func oneTarget(t *testing.T) (*site, *backend, *node) {
	s := newSite(t)
	b := s.target("quotes", "a", 30)
	s.publishTargets(nil)
	s.standardRoutes("quotes")
	n := s.node("a")
	s.allReady()
	return s, b, n
}

func TestUnconfirmedWriteIsNotRetried(t *testing.T) {
	cases := []struct {
		name    string
		mode    target.Mode
		status  int
		maxTook time.Duration
	}{
		{
			name: "runs and never answers",
			mode: target.Mode{
				Stall: true,
			},
			status:  http.StatusGatewayTimeout,
			maxTook: 3 * time.Second,
		},
		{
			name: "answer lost",
			mode: target.Mode{
				ResetAfter: true,
			},
			status:  http.StatusBadGateway,
			maxTook: time.Second,
		},
		{
			name: "reset before it runs",
			mode: target.Mode{
				ResetBefore: true,
			},
			status:  http.StatusBadGateway,
			maxTook: time.Second,
		},
		{
			name: "answer cut",
			mode: target.Mode{
				CutAfter: 5,
			},
			status:  http.StatusBadGateway,
			maxTook: time.Second,
		},
		{
			name: "answer of another request",
			mode: target.Mode{
				Swap: true,
			},
			status:  http.StatusBadGateway,
			maxTook: time.Second,
		},
	}
	s, b, n := oneTarget(t)
	other := s.target("quotes", "a", 30)
	s.publishTargets(nil)
	eventually(t, "two targets", func() bool {
		st := n.status()
		return st != nil && len(st.Services) == 1 && len(st.Services[0].Targets) == 2
	})
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b.SetMode(c.mode)
			other.SetMode(c.mode)
			r := n.do(http.MethodPost, "/quotes/1", c.name, "", "Idempotency-Key", c.name)
			if r.err != nil || r.status != c.status || r.outcome != "unknown" {
				t.Fatalf("status %d outcome %q err %v", r.status, r.outcome, r.err)
			}
			if r.took > c.maxTook {
				t.Fatalf("the final answer took %v", r.took)
			}
			if r.header.Get("Retry-After") == "" {
				t.Fatal("no Retry-After")
			}
			if runs := s.runsOf(c.name); runs > 1 {
				t.Fatalf("ran %d times", runs)
			}
		})
	}
}

// Guards against refusing a body without a length, which is complete when its connection
// ends without an error.
func TestAnswerWithoutLengthIsDelivered(t *testing.T) {
	s, b, n := oneTarget(t)
	b.SetMode(target.Mode{
		Unframed: true,
	})
	r := n.do(http.MethodPost, "/quotes/1", "unframed", "")
	want := target.Echo(http.MethodPost, "/quotes/1", "unframed", nil)
	if r.err != nil || r.status != http.StatusOK || !bytes.Equal(r.body, want) {
		t.Fatalf("status %d body %q err %v", r.status, r.body, r.err)
	}
	if runs := s.runsOf("unframed"); runs != 1 {
		t.Fatalf("ran %d times", runs)
	}
}

// Guards against the silent retry of net/http: it resends a request with an
// Idempotency-Key when the target closes a reused connection after it ran the request.
func TestReusedConnectionIsNotRetriedSilently(t *testing.T) {
	s, b, n := oneTarget(t)
	for i := range 50 {
		b.SetMode(target.Mode{})
		// Requests that are repeatable have connections of their own.
		warm := n.do(http.MethodPost, "/quotes/1", fmt.Sprintf("warm-%d", i), "")
		if warm.status != http.StatusOK {
			t.Fatalf("warm request: status %d", warm.status)
		}
		b.SetMode(target.Mode{
			ResetAfter: true,
		})
		key := fmt.Sprintf("once-%d", i)
		r := n.do(http.MethodPost, "/quotes/1", key, "", "Idempotency-Key", key)
		if runs := s.runsOf(key); runs != 1 || r.outcome != "unknown" {
			t.Fatalf("%s: ran %d times, outcome %q", key, runs, r.outcome)
		}
	}
}

func TestRefusedConnectionIsNotRun(t *testing.T) {
	s, b, n := oneTarget(t)
	b.server.Close()
	b.proxy.SetUpstream("127.0.0.1:1")
	b.proxy.Close()
	r := n.do(http.MethodPost, "/quotes/1", "refused", "x")
	if r.outcome != "not-run" || r.status != http.StatusServiceUnavailable || s.runsOf("refused") != 0 {
		t.Fatalf("status %d outcome %q runs %d", r.status, r.outcome, s.runsOf("refused"))
	}
	if r.header.Get("Retry-After") == "" {
		t.Fatal("no Retry-After")
	}
}

func TestShedRequestIsRetriedOnAnotherTarget(t *testing.T) {
	s, b, n := oneTarget(t)
	b.SetMode(target.Mode{
		Shed: true,
	})
	r := n.do(http.MethodPost, "/quotes/1", "alone", "x")
	if r.outcome != "not-run" || s.runsOf("alone") != 0 {
		t.Fatalf("outcome %q runs %d", r.outcome, s.runsOf("alone"))
	}
	s.target("quotes", "a", 30)
	s.publishTargets(nil)
	eventually(t, "a request answered by the other target", func() bool {
		return n.do(http.MethodPost, "/quotes/1", "elsewhere", "x").outcome == "done"
	})
}

func TestCallerGoneCancelsTheRun(t *testing.T) {
	s, b, n := oneTarget(t)
	b.SetMode(target.Mode{
		Stall: true,
	})
	ctx, cancel := context.WithCancel(context.Background())
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+n.entry+"/quotes/1", nil)
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set(target.HeaderKey, "gone")
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		if res, err := callers.Do(req); err == nil {
			_ = res.Body.Close()
		}
	}()
	eventually(t, "the run", func() bool { return s.runsOf("gone") == 1 })
	cancel()
	<-ended
	eventually(t, "the end of the run", func() bool { return b.InFlight() == 0 })
	if runs := s.runsOf("gone"); runs != 1 {
		t.Fatalf("ran %d times", runs)
	}
}

// recordCalls sends requests that are not repeatable one after another and records them.
func recordCalls(n *node, name string, count int) []history.Call {
	client := newCaller()
	defer client.CloseIdleConnections()
	var calls []history.Call
	for i := range count {
		key := fmt.Sprintf("%s-%d", name, i)
		r := send(client, http.MethodPost, "http://"+n.entry+"/quotes/1", key, key, "Idempotency-Key", key, "Plover-Timeout", "300ms")
		calls = append(calls, history.Call{
			Key:      key,
			Outcome:  r.outcome,
			Status:   r.status,
			Complete: r.err == nil,
			Correct:  string(r.body) == string(target.Echo(http.MethodPost, "/quotes/1", key, []byte(key))) || r.status != http.StatusOK,
		})
	}
	return calls
}

func (s *site) runs() []history.Run {
	var out []history.Run
	for _, b := range s.targets {
		for _, r := range b.Runs() {
			out = append(out, history.Run{
				Key:      r.Key,
				Target:   b.Name(),
				At:       r.At,
				Deadline: r.Deadline,
			})
		}
	}
	return out
}

// Guards against wrong outcomes and double runs while targets reset, shed, stall and
// swap IDs, links are cut one way and one of two nodes freezes and resumes late.
func TestStormKeepsPromises(t *testing.T) {
	s := newSite(t)
	for range 4 {
		s.target("quotes", "a", 10)
	}
	s.publishTargets(map[string]string{"quotes": `,"policy":{"floor":"capacity"}`})
	s.standardRoutes("quotes")
	nodes := []*node{s.node("a"), s.node("a")}
	s.allReady()
	var mu sync.Mutex
	var h history.History
	var all sync.WaitGroup
	const each = 150
	for i := range 16 {
		all.Go(func() {
			calls := recordCalls(nodes[i%2], fmt.Sprintf("storm-%d", i), each)
			mu.Lock()
			defer mu.Unlock()
			h.Calls = append(h.Calls, calls...)
		})
	}
	stop := make(chan struct{})
	stormed := make(chan struct{})
	go func() {
		defer close(stormed)
		storm(s, nodes[0], stop)
	}()
	all.Wait()
	close(stop)
	<-stormed
	h.Calls = append(h.Calls, everyOutcome(s, nodes[1])...)
	h.Runs = s.runs()
	for _, v := range history.Check(h, 50*time.Millisecond) {
		t.Error(v)
	}
	count := map[string]int{}
	for _, c := range h.Calls {
		count[c.Outcome]++
	}
	t.Logf("%d calls, %d runs, outcomes %v", len(h.Calls), len(h.Runs), count)
	if count["done"] == 0 || count["not-run"] == 0 || count["unknown"] == 0 {
		t.Fatalf("not every outcome occurred: %v", count)
	}
}

// everyOutcome makes one call of each outcome, so that the check covers all of them
// whatever the storm causes.
func everyOutcome(s *site, n *node) []history.Call {
	var calls []history.Call
	for i, m := range []target.Mode{{}, {
		Shed: true,
	}, {
		Stall: true,
	}} {
		for _, b := range s.targets {
			b.SetMode(m)
			b.proxy.SetForward(faultproxy.Fault{})
			b.proxy.SetBackward(faultproxy.Fault{})
		}
		calls = append(calls, recordCalls(n, fmt.Sprintf("calm-%d", i), 1)...)
	}
	return calls
}

// storm injects one fault after another until stop is closed, then clears them.
func storm(s *site, frozen *node, stop <-chan struct{}) {
	rng := rand.New(rand.NewPCG(1, 2))
	modes := []target.Mode{
		{},
		{
			ResetAfter: true,
		},
		{
			ResetBefore: true,
		},
		{
			Shed: true,
		},
		{
			Stall: true,
		},
		{
			ErrorShare: 0.5,
		},
		{
			CutAfter: 7,
		},
		{
			Swap: true,
		},
		{
			Unframed: true,
		},
		{
			Latency: 50 * time.Millisecond,
		},
	}
	next := time.NewTicker(30 * time.Millisecond)
	defer next.Stop()
	defer frozen.signal(syscall.SIGCONT)
	for step := 0; ; step++ {
		select {
		case <-stop:
			return
		case <-next.C:
		}
		if step%20 < 2 {
			for _, b := range s.targets {
				b.SetMode(target.Mode{
					Shed: step%20 == 0,
				})
			}
			continue
		}
		b := s.targets[rng.IntN(len(s.targets))]
		switch step % 5 {
		case 0, 1:
			b.SetMode(modes[rng.IntN(len(modes))])
		case 2:
			b.proxy.SetForward(faultproxy.Fault{
				Cut: rng.IntN(3) == 0,
			})
			b.proxy.SetBackward(faultproxy.Fault{
				Cut: rng.IntN(3) == 0,
			})
		case 3:
			b.proxy.Reset()
		case 4:
			if step%20 == 4 {
				frozen.signal(syscall.SIGSTOP)
			} else {
				frozen.signal(syscall.SIGCONT)
			}
		}
	}
}
