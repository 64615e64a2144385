// SPDX-License-Identifier: Apache-2.0

package integration_test

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"ploverjunction.example/ploverjunction/internal/standin/target"
)

// Guards against requests that a planned stop takes because requests usually end in time, and cuts because these take
// longer: one in a hundred does at many targets.
func TestPlannedStopCutsNoSlowRequest(t *testing.T) {
	const (
		usual = "/quotes/1?work=50ms"
		slow  = "/quotes/2?work=1300ms"
		// fast requests are sent every fastStep, and one in slowShare of them is slow.
		fastStep  = 20 * time.Millisecond
		slowShare = 15
		// slowWait is how long callers wait.
		slowWait = 1500 * time.Millisecond
	)
	for _, method := range []string{http.MethodPost, http.MethodGet} {
		t.Run(method, func(t *testing.T) {
			s := stopSite(t, usual, "grace = 4s\ndrain_wait = 1s", target.Mode{})
			n := s.nodes[0]
			var calls []*stopCall
			paths := map[*stopCall]string{}
			for i := 0; ; i++ {
				at := time.Duration(i)*fastStep + fastStep/2
				if at > stopGrace-stopStep {
					break
				}
				c := &stopCall{
					key:  fmt.Sprintf("%v", at),
					kind: "usual",
					at:   at,
					conn: n.connect(usual, false),

					method: method,
					wait:   slowWait,
				}
				paths[c] = usual
				if i%slowShare == 0 {
					c.kind, paths[c] = "slow", slow
				}
				calls = append(calls, c)
			}
			signalled := n.killAtGrace()
			var all sync.WaitGroup
			for _, call := range calls {
				all.Go(func() { call.play(n.entry, paths[call], signalled) })
			}
			all.Wait()
			<-n.proc.Load().Exited()
			served, refused := 0, 0
			for _, call := range calls {
				s, r := call.check(t, s)
				if call.kind != "slow" {
					continue
				}
				if s {
					served++
				}
				if r {
					refused++
				}
			}
			t.Logf("%d requests, slow ones: %d served, %d refused", len(calls), served, refused)
			if served == 0 || refused == 0 {
				t.Error("none served or none refused: the test shows nothing")
			}
		})
	}
}

// Guards against requests that may be repeated, which are taken within a long drain wait because requests usually end in
// time, and cut because these take longer. Not excused: they are sent more than 3 s after the signal.
func TestPlannedStopCutsNoSlowRepeatableRequest(t *testing.T) {
	const (
		usual = "/quotes/1?work=50ms"
		slow  = "/quotes/2?work=1300ms"
	)
	s := stopSite(t, usual, "grace = 6s\ndrain_wait = 5s", target.Mode{})
	n := s.nodes[0]
	for i := range 24 {
		if r := sendOn(n.connect(usual, false), http.MethodGet, usual, fmt.Sprintf("get-%d", i), "", time.Second); r.status != http.StatusOK {
			t.Fatal(r.status, r.err)
		}
	}
	n.signal(syscall.SIGTERM)
	signalled := time.Now()
	var all sync.WaitGroup
	for i := range 8 {
		at := 3200*time.Millisecond + time.Duration(i)*200*time.Millisecond
		c := &stopCall{
			key:    fmt.Sprintf("slow-%v", at),
			at:     at,
			method: http.MethodGet,
			wait:   2500 * time.Millisecond,
		}
		all.Go(func() {
			c.play(n.entry, slow, signalled)
			if c.closed {
				return
			}
			r := c.reply
			t.Logf("sent after %v: status %d, outcome %q, %v, %d runs", at, r.status, r.outcome, r.err, s.runsOf(c.key))
			if r.outcome == "unknown" || r.err != nil {
				t.Errorf("sent after %v: cut while its target works", at)
			}
		})
	}
	all.Wait()
	<-n.proc.Load().Exited()
}

// Guards against a planned stop that refuses requests which the load balancer still sends, and of which all could be
// answered: they must not be repeated and have the default deadline of routes, 10 s, but take 50 ms. The grace time is that
// of the store's platform.
func TestPlannedStopServesShortRequestsWithinTheDrainWait(t *testing.T) {
	const path = "/quotes/1?work=50ms"
	s := stopSite(t, path, "grace = 6s\ndrain_wait = 3s", target.Mode{})
	n := s.nodes[0]
	n.signal(syscall.SIGTERM)
	signalled := time.Now()
	replies := make([]reply, 50)
	var all sync.WaitGroup
	for i := range replies {
		at := 50*time.Millisecond + time.Duration(i)*40*time.Millisecond
		all.Go(func() {
			<-time.After(time.Until(signalled.Add(at)))
			replies[i] = n.do(http.MethodPost, path, fmt.Sprintf("short-%v", at), "x")
		})
	}
	all.Wait()
	<-n.proc.Load().Exited()
	refused := 0
	for _, r := range replies {
		if r.err != nil || r.status != http.StatusOK {
			refused++
		}
	}
	if refused > 0 {
		t.Errorf("%d of %d refused", refused, len(replies))
	}
}
