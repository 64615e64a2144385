// SPDX-License-Identifier: Apache-2.0

package integration_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"ploverjunction.example/ploverjunction/internal/standin/faultproxy"
	"ploverjunction.example/ploverjunction/internal/standin/target"
)

const (
	// linkDeadline is how long callers on slow links wait.
	linkDeadline = 2500 * time.Millisecond
	// linkAnswer is the size of a large answer, linkBody that of a large body.
	linkAnswer = 200 << 10
	linkBody   = 100 << 10
	// linkRefused is the size of the body of a request that is refused at its header.
	linkRefused = 1 << 20
	// linkStep is the time between two moments at which one request of each kind is sent.
	linkStep = 60 * time.Millisecond
)

// linkKind is a form of request.
type linkKind struct {
	name    string
	path    string
	body    int
	chunked bool
	// refused is set if the node refuses such requests.
	refused bool
}

var linkKinds = []linkKind{
	{
		name: "small",
		path: "/quotes/1?work=300ms",
		body: 1,
	},
	{
		name:    "chunks",
		path:    "/quotes/2?work=200ms",
		body:    linkBody,
		chunked: true,
	},
	{
		name: "large answer",
		path: fmt.Sprintf("/quotes/3?size=%d", linkAnswer),
		body: 1,
	},
	{
		name:    "refused at once",
		path:    "/other/1",
		body:    linkRefused,
		refused: true,
	},
	{
		name:    "refused at once, in chunks",
		path:    "/other/2",
		body:    linkRefused,
		chunked: true,
		refused: true,
	},
}

// linkCall is one request on a connection of its own.
type linkCall struct {
	linkKind
	key   string
	at    time.Duration
	reply reply
	// unopened is set if no connection was opened.
	unopened bool
}

// play sends the request at its moment and reads the answer meanwhile.
func (c *linkCall) play(address string, signalled time.Time) {
	<-time.After(time.Until(signalled.Add(c.at)))
	started := time.Now()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		c.unopened = true
		return
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(started.Add(maxWait))
	framing := fmt.Sprintf("Content-Length: %d", c.body)
	if c.chunked {
		framing = "Transfer-Encoding: chunked"
	}
	var sending sync.WaitGroup
	// The node may end the connection before it has read the body: the answer tells.
	sending.Go(func() {
		_, _ = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: quotes\r\n%s: %s\r\nPlover-Timeout: %v\r\n%s\r\n\r\n",
			c.path, target.HeaderKey, c.key, linkDeadline, framing)
		c.sendBody(conn)
	})
	c.reply.read(bufio.NewReader(conn))
	c.reply.took = time.Since(started)
	_ = conn.SetWriteDeadline(time.Now())
	sending.Wait()
}

func (c *linkCall) sendBody(conn net.Conn) {
	const part = 8 << 10
	for sent := 0; sent < c.body; sent += part {
		p := strings.Repeat("x", min(part, c.body-sent))
		if c.chunked {
			p = fmt.Sprintf("%x\r\n%s\r\n", len(p), p)
		}
		if _, err := io.WriteString(conn, p); err != nil {
			return
		}
	}
	if c.chunked {
		_, _ = io.WriteString(conn, "0\r\n\r\n")
	}
}

// fault returns what is wrong with the answer, or "".
func (c *linkCall) fault(s *site) string {
	ran := s.runsOf(c.key)
	r := &c.reply
	says := fmt.Sprintf("%s at %v: ran %d times, status %d outcome %q, %d bytes, %v after %v", c.name, c.at, ran, r.status, r.outcome, len(r.body), r.err, r.took)
	switch {
	case ran > 1:
		return "ran twice: " + says
	case ran == 1 && (r.err != nil || r.status != http.StatusOK):
		return "lost: " + says
	case ran == 1 && c.name == "large answer" && !bytes.Equal(r.body, target.Document("/quotes/3", linkAnswer)):
		return "another answer: " + says
	case ran == 0 && r.status == http.StatusBadGateway:
		return "unknown outcome of a request that did not run: " + says
	case c.unopened:
	case r.err != nil:
		return "no answer: " + says
	case c.refused && r.status != http.StatusNotFound:
		return "no refusal: " + says
	}
	return ""
}

// playLinks sends requests of all kinds to an address from half a second before a signal until the end of the drain wait, and reports each
// fault. It returns how many ran.
func (s *site) playLinks(address string, end time.Duration, signal func()) (ran int) {
	s.t.Helper()
	var calls []*linkCall
	for at := -500 * time.Millisecond; at < end; at += linkStep {
		for _, k := range linkKinds {
			calls = append(calls, &linkCall{
				linkKind: k,
				key:      fmt.Sprintf("%s-%v", k.name, at),
				at:       at,
			})
		}
	}
	signalled := time.Now().Add(600 * time.Millisecond)
	var all sync.WaitGroup
	for _, c := range calls {
		all.Go(func() { c.play(address, signalled) })
	}
	<-time.After(time.Until(signalled))
	signal()
	all.Wait()
	faults, refused := 0, 0
	for _, c := range calls {
		if f := c.fault(s); f != "" {
			faults++
			s.t.Error(f)
		}
		if s.runsOf(c.key) > 0 {
			ran++
		} else if c.reply.status > 0 {
			refused++
		}
	}
	s.t.Logf("%d requests, %d ran, %d were refused, %d at fault", len(calls), ran, refused, faults)
	return ran
}

// linkSite starts nodes with the planned stop of the tests, and targets for the service quotes.
func linkSite(t *testing.T, nodes int) *site {
	t.Helper()
	s := newSite(t)
	for range 2 {
		s.target("quotes", "a", 500)
	}
	s.publishTargets(nil)
	s.platform.Publish("routes", `{"routes":[{"name":"write","pathPrefix":"/quotes","methods":["POST"],"service":"quotes","class":"write","deadline":"10s"}]}`)
	for range nodes {
		s.node("a", withExtra("grace = 6s\ndrain_wait = 1s\nhold_body = 16KiB"))
	}
	s.listNodes()
	s.allReady()
	for _, n := range s.nodes {
		for i := range 10 {
			if r := n.do(http.MethodPost, "/quotes/1?work=50ms", fmt.Sprintf("before-%d", i), "x"); r.err != nil || r.status != http.StatusOK {
				t.Fatalf("before the stop: status %d err %v", r.status, r.err)
			}
		}
	}
	return s
}

// killLater signals the process and kills it after the grace time of linkSite.
func (n *node) killLater() {
	p := n.proc.Load()
	p.Signal(syscall.SIGTERM)
	// The node may be started again before that.
	time.AfterFunc(6*time.Second, func() { p.Signal(syscall.SIGKILL) })
}

// Guards against answers that a planned stop cuts on their way to callers on a link with a delay, and while callers
// still send.
func TestPlannedStopOnASlowLink(t *testing.T) {
	for _, delay := range []time.Duration{20 * time.Millisecond, 100 * time.Millisecond} {
		t.Run(delay.String(), func(t *testing.T) {
			s := linkSite(t, 1)
			n := s.nodes[0]
			link := newProxy(t, n.entry)
			link.SetForward(faultproxy.Fault{
				Delay: delay,
			})
			link.SetBackward(faultproxy.Fault{
				Delay: delay,
			})
			if ran := s.playLinks(link.Addr(), time.Second, n.killLater); ran == 0 {
				t.Error("none ran: the test shows nothing")
			}
			n.awaitExit()
		})
	}
}

// reachByPeers waits until requests at the first node, which reaches no target, are served by its peers.
func (s *site) reachByPeers() {
	s.t.Helper()
	s.cutOff(0, true)
	for _, b := range s.targets {
		b.proxy.Reset()
	}
	i := 0
	eventually(s.t, "requests served by peers", func() bool {
		i++
		ctx, cancel := context.WithTimeout(s.t.Context(), time.Second)
		defer cancel()
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.nodes[0].entry+"/quotes/1", strings.NewReader("x"))
		if err != nil {
			s.t.Fatal(err)
		}
		req.Header.Set(target.HeaderKey, fmt.Sprintf("reach-%d", i))
		res, err := callers.Do(req)
		if err != nil {
			return false
		}
		_, _ = io.Copy(io.Discard, res.Body)
		_ = res.Body.Close()
		return res.StatusCode == http.StatusOK
	})
}

// Guards against requests that are lost because the node that carries them for a peer is stopped, or the peer that
// has them carried.
func TestPlannedStopWithRequestsAtPeers(t *testing.T) {
	tests := []struct {
		name string
		// stopped is the node that is stopped: 0 takes the requests, 1 and 2 carry them.
		stopped []int
	}{
		{
			name:    "a node that carries",
			stopped: []int{1},
		},
		{
			name:    "the node that takes",
			stopped: []int{0},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := linkSite(t, 3)
			s.reachByPeers()
			for _, n := range s.nodes[1:] {
				n.peerProxy.SetForward(faultproxy.Fault{
					Delay: 20 * time.Millisecond,
				})
				n.peerProxy.SetBackward(faultproxy.Fault{
					Delay: 20 * time.Millisecond,
				})
			}
			if ran := s.playLinks(s.nodes[0].entry, time.Second, func() {
				for _, i := range tt.stopped {
					s.nodes[i].killLater()
				}
			}); ran == 0 {
				t.Error("none ran: the test shows nothing")
			}
			for _, i := range tt.stopped {
				s.nodes[i].awaitExit()
			}
		})
	}
}
