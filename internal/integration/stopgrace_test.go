// SPDX-License-Identifier: Apache-2.0

package integration_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"ploverjunction.example/ploverjunction/internal/standin/target"
)

const (
	// stopGrace is the grace time of the tests; stopWork is how long targets take for a request.
	stopGrace = 4 * time.Second
	stopWork  = 800 * time.Millisecond
	// stopStep is the time between two moments at which requests are sent during a planned stop. The first one is
	// half of it after the signal, so that none is at the end of the drain wait, and the last one 1.5 of it before
	// the end of the grace time, so that a delay of the test does not send it after that.
	stopStep = 100 * time.Millisecond
	// atOnce bounds the time of a refusal: far less than stopWork.
	atOnce = 400 * time.Millisecond
)

// stopCall is one request during a planned stop, sent at a moment after the signal.
type stopCall struct {
	key  string
	kind string
	at   time.Duration
	// conn is the connection that was opened before, nil for one that is opened at the moment.
	conn net.Conn
	// method is that of the request, wait how long its caller waits.
	method string
	wait   time.Duration
	// closed is set if the connection was closed or refused before the request was sent.
	closed bool
	reply  reply
}

// post sends a request that must not be repeated on a connection and reads the answer.
func post(conn net.Conn, path, key, body string) reply {
	return sendOn(conn, http.MethodPost, path, key, body, maxWait)
}

// sendOn sends a request on a connection, whose caller waits for a time, and reads the answer.
func sendOn(conn net.Conn, method, path, key, body string, wait time.Duration) reply {
	started := time.Now()
	r := reply{}
	_ = conn.SetDeadline(started.Add(maxWait))
	_, r.err = fmt.Fprintf(conn, "%s %s HTTP/1.1\r\nHost: quotes\r\n%s: %s\r\nPlover-Timeout: %v\r\nContent-Length: %d\r\n\r\n%s",
		method, path, target.HeaderKey, key, wait, len(body), body)
	if r.err == nil {
		r.read(bufio.NewReader(conn))
	}
	r.took = time.Since(started)
	return r
}

// read reads an answer to its end.
func (r *reply) read(from *bufio.Reader) {
	res, err := http.ReadResponse(from, nil)
	if err != nil {
		r.err = err
		return
	}
	defer func() { _ = res.Body.Close() }()
	r.status, r.outcome, r.header, r.closes = res.StatusCode, res.Header.Get("Plover-Outcome"), res.Header, res.Close
	r.body, r.err = io.ReadAll(res.Body)
}

// isClosed reports whether the other side has closed a connection on which no answer is due.
func isClosed(conn net.Conn) bool {
	_ = conn.SetReadDeadline(time.Now().Add(time.Millisecond))
	_, err := conn.Read(make([]byte, 1))
	return !errors.Is(err, os.ErrDeadlineExceeded)
}

// play sends the request at its moment.
func (c *stopCall) play(entry, path string, signalled time.Time) {
	<-time.After(time.Until(signalled.Add(c.at)))
	if c.conn == nil {
		conn, err := net.Dial("tcp", entry)
		if err != nil {
			c.closed = true
			return
		}
		c.conn = conn
	} else if isClosed(c.conn) {
		c.closed = true
		return
	}
	c.reply = sendOn(c.conn, c.method, path, c.key, "x", c.wait)
}

// begin sends the head of the request and the first byte of its body.
func (c *stopCall) begin(t *testing.T, path string, length int) {
	t.Helper()
	_ = c.conn.SetDeadline(time.Now().Add(maxWait))
	_, err := fmt.Fprintf(c.conn, "POST %s HTTP/1.1\r\nHost: quotes\r\n%s: %s\r\nContent-Length: %d\r\n\r\nx",
		path, target.HeaderKey, c.key, length)
	if err != nil {
		t.Fatal(err)
	}
}

// stopSite starts one node with one target and has the node learn how long the target takes.
func stopSite(t *testing.T, path, extra string, mode target.Mode) *site {
	t.Helper()
	s := newSite(t)
	s.target("quotes", "a", 500).SetMode(mode)
	s.publishTargets(nil)
	s.platform.Publish("routes", `{"routes":[
		{"name":"write","pathPrefix":"/quotes","methods":["POST"],"service":"quotes","class":"write","deadline":"10s"},
		{"name":"read","pathPrefix":"/quotes","methods":["GET"],"service":"quotes","class":"read","deadline":"10s","repeatable":true}]}`)
	n := s.node("a", withExtra(extra))
	s.listNodes()
	s.allReady()
	var all sync.WaitGroup
	for i := range 24 {
		all.Go(func() {
			<-time.After(time.Duration(i) * 50 * time.Millisecond)
			if r := n.do(http.MethodPost, path, fmt.Sprintf("before-%d", i), "x"); r.err != nil || r.outcome != "done" {
				t.Errorf("before the stop: status %d err %v", r.status, r.err)
			}
		})
	}
	all.Wait()
	return s
}

// killAtGrace signals the process and kills it after the grace time, as the platform does.
func (n *node) killAtGrace() (signalled time.Time) {
	n.signal(syscall.SIGTERM)
	time.AfterFunc(stopGrace, func() { n.signal(syscall.SIGKILL) })
	return time.Now()
}

// connect opens a connection to the node and sends one request on it if it is a kept one.
func (n *node) connect(path string, kept bool) net.Conn {
	n.t.Helper()
	conn, err := net.Dial("tcp", n.entry)
	if err != nil {
		n.t.Fatal(err)
	}
	n.t.Cleanup(func() { _ = conn.Close() })
	if kept {
		if r := post(conn, path, "kept", "x"); r.err != nil || r.outcome != "done" {
			n.t.Errorf("before the stop: status %d err %v", r.status, r.err)
		}
	}
	return conn
}

// check checks that the request has a whole answer if it ran or may have, and was refused at once otherwise. It
// returns whether it was served, and whether it was refused.
func (c *stopCall) check(t *testing.T, s *site) (served, refused bool) {
	t.Helper()
	r := c.reply
	ran := s.runsOf(c.key) > 0
	says := fmt.Sprintf("%s at %v: status %d outcome %q retry-after %q closes %v err %v after %v, ran %v",
		c.kind, c.at, r.status, r.outcome, r.header.Get("Retry-After"), r.closes, r.err, r.took, ran)
	switch {
	case c.closed:
		return false, false
	case r.err != nil:
		t.Errorf("no whole answer: %s", says)
	case ran:
		if r.status != http.StatusOK || r.outcome != "done" {
			t.Errorf("cut: %s", says)
		}
		if !r.closes {
			t.Errorf("connection kept: %s", says)
		}
		return true, false
	case r.status != http.StatusServiceUnavailable || r.outcome != "not-run" || r.header.Get("Retry-After") == "" || !r.closes:
		t.Errorf("not served, and not refused as not run: %s", says)
	case r.took > atOnce:
		t.Errorf("refused late: %s", says)
	default:
		return false, true
	}
	return false, false
}

// Guards against requests that a node takes late in the grace time of a planned stop, passes on, and cuts at its end:
// a caller then doesn't know whether a request ran that must not be repeated. A request that can be answered in time
// must still be served.
func TestPlannedStopTakesNoRequestItCannotAnswer(t *testing.T) {
	cases := []struct {
		name  string
		extra string
		path  string
		mode  target.Mode
		// method is that of the requests, wait how long their callers wait.
		method string
		wait   time.Duration
	}{
		{
			name:   "drain wait within the grace time",
			extra:  "grace = 4s\ndrain_wait = 1s",
			path:   "/quotes/1?work=800ms",
			method: http.MethodPost,
			// After the drain wait a request is served only if its deadline leaves time.
			wait: 2 * time.Second,
		},
		{
			name:   "answer that begins late",
			extra:  "grace = 4s\ndrain_wait = 5s",
			path:   "/quotes/1?work=800ms",
			method: http.MethodPost,
			wait:   maxWait,
		},
		{
			name:   "answer that begins late, may be repeated",
			extra:  "grace = 4s\ndrain_wait = 5s",
			path:   "/quotes/1?work=800ms",
			method: http.MethodGet,
			wait:   maxWait,
		},
		{
			// The head comes at once, the body of 300 KB in 19 pieces: some 800 ms.
			name:  "answer that comes slowly",
			extra: "grace = 4s\ndrain_wait = 5s\nhold_body = 4KiB",
			path:  "/quotes/1?size=300000",
			mode: target.Mode{
				ChunkDelay: 40 * time.Millisecond,
			},
			method: http.MethodPost,
			wait:   maxWait,
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := stopSite(t, c.path, c.extra, c.mode)
			n := s.nodes[0]
			var calls []*stopCall
			for at := stopStep / 2; at < stopGrace-stopStep; at += stopStep {
				for _, kind := range []string{"kept", "opened before", "new"} {
					calls = append(calls, &stopCall{
						key:  fmt.Sprintf("%s-%v", kind, at),
						kind: kind,
						at:   at,

						method: c.method,
						wait:   c.wait,
					})
				}
			}
			var all sync.WaitGroup
			for _, call := range calls {
				if call.kind != "new" {
					all.Go(func() { call.conn = n.connect(c.path, call.kind == "kept") })
				}
			}
			all.Wait()
			signalled := n.killAtGrace()
			for _, call := range calls {
				all.Go(func() { call.play(n.entry, c.path, signalled) })
			}
			all.Wait()
			<-n.proc.Load().Exited()
			served, refused, closed := 0, 0, 0
			for _, call := range calls {
				s, r := call.check(t, s)
				if s {
					served++
				}
				if r {
					refused++
				}
				if call.closed {
					closed++
				}
				if r && call.at < stopGrace/2-stopWork {
					t.Errorf("%s at %v was refused, with time left for it", call.kind, call.at)
				}
			}
			t.Logf("%d requests: %d served, %d refused, %d on connections closed before", len(calls), served, refused, closed)
			if served == 0 || refused == 0 {
				t.Error("none served or none refused: the test shows nothing")
			}
		})
	}
}

// Guards against a request whose body is still being read when a planned stop ends unanswered requests: its caller must
// be told that it did not run before the process is killed.
func TestPlannedStopAnswersARequestThatIsNotRead(t *testing.T) {
	cases := []struct {
		name   string
		length int
	}{
		{
			name:   "held body",
			length: 2,
		},
		{
			name:   "streamed body",
			length: 1 << 20,
		},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			const path = "/quotes/1?work=800ms"
			s := stopSite(t, path, "grace = 4s\ndrain_wait = 1s\nhold_body = 64KiB", target.Mode{})
			n := s.nodes[0]
			c := &stopCall{
				key:  "part",
				kind: "body without end",
				conn: n.connect(path, false),
			}
			c.begin(t, path, tc.length)
			eventually(t, "the request in flight", func() bool { return n.status().InFlight > 0 })
			signalled := n.killAtGrace()
			c.reply.read(bufio.NewReader(c.conn))
			c.at = time.Since(signalled)
			<-n.proc.Load().Exited()
			if _, refused := c.check(t, s); !refused {
				t.Error("not refused")
			}
		})
	}
}

// Guards against a request whose body ends late in the grace time of a planned stop, and which is passed on although
// too little time is left for it.
func TestPlannedStopRefusesARequestThatIsReadLate(t *testing.T) {
	const path = "/quotes/1?work=800ms"
	s := stopSite(t, path, "grace = 4s\ndrain_wait = 1s", target.Mode{})
	n := s.nodes[0]
	c := &stopCall{
		key:  "late",
		kind: "body that ends late",
		conn: n.connect(path, false),
	}
	c.begin(t, path, 2)
	eventually(t, "the request in flight", func() bool { return n.status().InFlight > 0 })
	signalled := n.killAtGrace()
	// It is whole three seconds after the signal and has half a second, less than targets take.
	const lateAt = 3 * time.Second
	<-time.After(time.Until(signalled.Add(lateAt)))
	_, _ = io.WriteString(c.conn, "x")
	c.reply.read(bufio.NewReader(c.conn))
	c.at = time.Since(signalled)
	<-n.proc.Load().Exited()
	if _, refused := c.check(t, s); !refused {
		t.Error("not refused")
	}
	if late := c.at - lateAt; late > atOnce {
		t.Errorf("refused %v after the whole request was sent", late)
	}
}

// Guards against a drain wait that leaves nothing of the grace time: the process took callers until it was killed, with
// the connections of those that it had answered.
func TestPlannedStopEndsWithinTheGraceTime(t *testing.T) {
	const path = "/quotes/1?work=800ms"
	s := stopSite(t, path, "grace = 4s\ndrain_wait = 5s", target.Mode{})
	n := s.nodes[0]
	idle := n.connect(path, true)
	signalled := n.killAtGrace()
	<-time.After(time.Until(signalled.Add(time.Second)))
	if r := n.do(http.MethodPost, path, "late", "x"); r.err != nil || r.outcome != "done" {
		t.Errorf("a request within the drain wait: status %d err %v", r.status, r.err)
	}
	callers.CloseIdleConnections()
	if isClosed(idle) {
		t.Error("an idle connection was closed before the end of the drain wait")
	}
	// As other clients do, this one closes the connection when the node has; the node waits half a second for that.
	var all sync.WaitGroup
	all.Go(func() {
		_ = idle.SetReadDeadline(time.Now().Add(maxWait))
		_, _ = io.Copy(io.Discard, idle)
		_ = idle.Close()
	})
	n.awaitExit()
	all.Wait()
	t.Logf("ended after %v", time.Since(signalled))
	if log := n.proc.Load().Log(); !strings.Contains(log, `"msg":"node: drain wait is too long for the grace time"`) {
		t.Error("the log doesn't tell of the drain wait")
	}
}
