// SPDX-License-Identifier: Apache-2.0

package integration_test

import (
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"ploverjunction.example/ploverjunction/internal/standin/target"
)

// Guards against a second signal that ends a planned stop, and with it all requests in flight, though their targets work
// on them.
func TestRepeatedSignalsCutNoRequest(t *testing.T) {
	const (
		requests = 20
		path     = "/quotes/1?work=800ms"
	)
	tests := []struct {
		name    string
		signals []os.Signal
	}{
		{
			name:    "SIGTERM twice",
			signals: []os.Signal{syscall.SIGTERM, syscall.SIGTERM},
		},
		{
			name:    "SIGTERM three times",
			signals: []os.Signal{syscall.SIGTERM, syscall.SIGTERM, syscall.SIGTERM},
		},
		{
			name:    "SIGINT, SIGTERM, SIGINT, SIGHUP",
			signals: []os.Signal{syscall.SIGINT, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := stopSite(t, path, "grace = 4s\ndrain_wait = 1s", target.Mode{})
			n := s.nodes[0]
			replies := make([]reply, requests)
			var all sync.WaitGroup
			for i := range requests {
				all.Go(func() { replies[i] = n.do(http.MethodPost, path, fmt.Sprintf("in-flight-%d", i), "x") })
			}
			for s.runsOf(fmt.Sprintf("in-flight-%d", requests-1)) == 0 {
				<-time.After(10 * time.Millisecond)
			}
			for _, sig := range tt.signals {
				n.signal(sig.(syscall.Signal))
				<-time.After(100 * time.Millisecond)
			}
			all.Wait()
			for i, r := range replies {
				if r.err != nil || r.status != http.StatusOK {
					t.Errorf("request %d: status %d, %v", i, r.status, r.err)
				}
			}
			<-n.proc.Load().Exited()
		})
	}
}

// Guards against a process that an operator cannot end at once, and against an end that the log does not show.
func TestQuitStopsAtOnce(t *testing.T) {
	const path = "/quotes/1?work=3s"
	for _, stopping := range []bool{false, true} {
		t.Run(fmt.Sprintf("during a planned stop %v", stopping), func(t *testing.T) {
			s := stopSite(t, "/quotes/1?work=50ms", "grace = 4s\ndrain_wait = 1s", target.Mode{})
			n := s.nodes[0]
			cut := make(chan error, 1)
			go func() { cut <- n.do(http.MethodPost, path, "in-flight", "x").err }()
			for s.runsOf("in-flight") == 0 {
				<-time.After(10 * time.Millisecond)
			}
			if stopping {
				n.signal(syscall.SIGTERM)
			}
			n.signal(syscall.SIGQUIT)
			n.awaitExit()
			if <-cut == nil {
				t.Error("the request in flight was answered")
			}
			log := n.proc.Load().Log()
			for _, line := range []string{`"msg":"node: stopping at once"`, `"msg":"node: stopping with requests in flight"`} {
				if !strings.Contains(log, line) {
					t.Errorf("the log has no line with %s", line)
				}
			}
		})
	}
}
