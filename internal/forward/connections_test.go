// SPDX-License-Identifier: Apache-2.0

package forward_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"ploverjunction.example/ploverjunction/internal/contract"
	"ploverjunction.example/ploverjunction/internal/forward"
	"ploverjunction.example/ploverjunction/internal/traffic"
)

// keepAlive answers all requests on a connection after work, with more lines in the header. It
// closes the connection once it was idle for idle; 0 keeps it.
func keepAlive(work, idle time.Duration, lines string) func(net.Conn) {
	return func(c net.Conn) {
		defer func() { _ = c.Close() }()
		r := bufio.NewReader(c)
		for {
			if idle > 0 {
				_ = c.SetReadDeadline(time.Now().Add(idle))
			}
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, req.Body)
			time.Sleep(work)
			id := req.Header.Get(contract.HeaderRequestID)
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nPlover-Request-Id: "+id+"\r\nContent-Length: 2\r\n"+lines+"\r\nok")
		}
	}
}

// nextID is the number of the last request with an ID of its own.
var nextID atomic.Int64

// nextRequest returns a request with an ID of its own.
func nextRequest(deadline time.Time) *forward.Request {
	r := request(deadline)
	r.ID = fmt.Sprintf("%06d", nextID.Add(1))
	return r
}

func counted(c *forward.Client) string {
	out := ""
	c.Connections().Each(func(cause forward.Cause, n int64) { out += fmt.Sprintf("%v %d ", cause, n) })
	return out
}

// Guards against new connections that are counted for another cause than theirs.
func TestConnectionsByCause(t *testing.T) {
	tests := []struct {
		name       string
		target     func(net.Conn)
		repeatable bool
		// pauses are the times between requests, deadline that of each.
		pauses   []time.Duration
		together int
		deadline time.Duration
		want     string
	}{
		{
			name:   "reused",
			target: keepAlive(0, 0, ""),
			pauses: []time.Duration{time.Second, time.Second},
			want:   "first 1 ",
		},
		{
			name:   "closed by the target",
			target: keepAlive(0, 500*time.Millisecond, ""),
			pauses: []time.Duration{time.Second, time.Second},
			want:   "first 1 closed_by_target 2 ",
		},
		{
			name:   "closed for age",
			target: keepAlive(0, 0, ""),
			pauses: []time.Duration{2 * time.Second, time.Second},
			want:   "first 1 closed_for_age 1 ",
		},
		{
			name:       "kept longer for repeatable requests",
			target:     keepAlive(0, 0, ""),
			repeatable: true,
			pauses:     []time.Duration{2 * time.Second, 7 * time.Second},
			want:       "first 1 closed_for_age 1 ",
		},
		{
			name:   "target said close",
			target: keepAlive(0, 0, "Connection: close\r\n"),
			pauses: []time.Duration{time.Second},
			want:   "first 1 target_said_close 1 ",
		},
		{
			name:     "none idle",
			target:   keepAlive(time.Second, 0, ""),
			together: 3,
			want:     "first 1 none_idle 2 ",
		},
		{
			name:     "after an error",
			target:   keepAlive(2*time.Second, 0, ""),
			pauses:   []time.Duration{3 * time.Second},
			deadline: time.Second,
			want:     "first 1 after_error 1 ",
		},
		{
			name:   "first again after a minute",
			target: keepAlive(0, 0, ""),
			pauses: []time.Duration{2 * time.Minute},
			want:   "first 2 ",
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := forward.NewClient(contract.Plover(), 1<<10, time.Second, netip.Addr{})
				c.SetDial(pipe(tt.target))
				deadline := 10 * time.Second
				if tt.deadline > 0 {
					deadline = tt.deadline
				}
				do := func() {
					r := nextRequest(time.Now().Add(deadline))
					r.Repeatable = tt.repeatable
					if a, err := c.Do(context.Background(), r); err == nil {
						a.Close()
					}
				}
				var group sync.WaitGroup
				for range tt.together {
					group.Go(do)
				}
				group.Wait()
				if tt.together == 0 {
					do()
				}
				for _, pause := range tt.pauses {
					time.Sleep(pause)
					do()
				}
				if got := counted(c); got != tt.want {
					t.Errorf("connections %q, want %q", got, tt.want)
				}
				c.Close()
				time.Sleep(time.Minute)
			})
		})
	}
}

// Guards against new connections that are counted for ends of long ago: while the connections to a target are
// in use, a connection that ended would have been closed for its age since.
func TestOldEndsAreNoCauses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := forward.NewClient(contract.Plover(), 1<<10, time.Second, netip.Addr{})
		c.SetDial(pipe(keepAlive(time.Second, 0, "")))
		do := func() {
			if a, err := c.Do(context.Background(), nextRequest(time.Now().Add(10*time.Second))); err == nil {
				a.Close()
			}
		}
		burst := func() {
			var group sync.WaitGroup
			for range 40 {
				group.Go(do)
			}
			group.Wait()
		}
		burst()
		// One connection stays in use. The others end for their age, or as there are too many idle ones.
		for range 10 {
			do()
		}
		before := counted(c)
		burst()
		if got, want := counted(c), "first 1 none_idle 78 "; before != "first 1 none_idle 39 " || got != want {
			t.Errorf("connections %q and %q after the second burst, want %q", before, got, want)
		}
		c.Close()
		time.Sleep(time.Minute)
	})
}

// Guards against bytes of requests and responses that are counted in another scope, or not.
func TestTargetBytesByScope(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := forward.NewClient(contract.Plover(), 1<<10, time.Second, netip.Addr{})
		var b traffic.Bytes
		c.CountBytes(&b)
		c.SetDial(pipe(keepAlive(0, 0, "")))
		sent := map[traffic.Scope]int64{}
		for _, scope := range []traffic.Scope{traffic.Within, traffic.Between, traffic.Within} {
			r := nextRequest(time.Now().Add(time.Second))
			r.Scope = scope
			a, err := c.Do(context.Background(), r)
			if err != nil {
				t.Fatal(err)
			}
			a.Close()
			sent[scope]++
		}
		for scope, n := range sent {
			requests, responses := b.Count(traffic.TargetRequests, scope), b.Count(traffic.TargetResponses, scope)
			const head = int64(len("HTTP/1.1 200 OK\r\nPlover-Request-Id: the-id\r\nContent-Length: 2\r\n\r\nok"))
			if requests < 4*n || responses != head*n {
				t.Errorf("%v: %d bytes of requests, %d of responses, want %d", scope, requests, responses, head*n)
			}
		}
		c.Close()
		synctest.Wait()
	})
}
