// SPDX-License-Identifier: Apache-2.0

package integration_test

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"ploverjunction.example/ploverjunction/internal/standin/target"
)

// Sizes of uploads in bytes: one is held whole by a node, the other is streamed.
const (
	heldUpload     = 40_000
	streamedUpload = 200_000
)

// upload is a request that is written byte by byte.
type upload struct {
	key     string
	size    int
	chunked bool
}

// head returns the header of the request.
func (u upload) head() string {
	framing := fmt.Sprintf("Content-Length: %d", u.size)
	if u.chunked {
		framing = "Transfer-Encoding: chunked"
	}
	return fmt.Sprintf("POST /quotes/1 HTTP/1.1\r\nHost: a.example\r\nConnection: close\r\n%s: %s\r\n%s\r\n\r\n", target.HeaderKey, u.key, framing)
}

// body returns the first n bytes of the body, in chunks of 1,000 bytes if it has no length. A whole body has its end.
func (u upload) body(n int) string {
	if !u.chunked {
		return strings.Repeat("b", n)
	}
	const size = 1000
	b := strings.Repeat(fmt.Sprintf("%x\r\n%s\r\n", size, strings.Repeat("b", size)), n/size)
	if n == u.size {
		b += "0\r\n\r\n"
	}
	return b
}

// open connects to a node and sends the header and the first n bytes of the body.
func (u upload) open(t *testing.T, n *node, first int) *net.TCPConn {
	t.Helper()
	conn, err := net.Dial("tcp", n.entry)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	if _, err := io.WriteString(conn, u.head()+u.body(first)); err != nil {
		t.Fatal(err)
	}
	return conn.(*net.TCPConn)
}

// answer reads until the node closes a connection, and returns the first line of the answer.
func answer(conn net.Conn) string {
	// An error is as good as an end: the node may reset the connection.
	b, _ := io.ReadAll(conn)
	line, _, _ := strings.Cut(string(b), "\r\n")
	return line
}

// arrivals returns the number of requests with a key that reached targets by way of a number of nodes.
func (s *site) arrivals(key string, hops int) int {
	count := 0
	for _, b := range s.targets {
		for _, a := range b.Arrivals() {
			if a.Key == key && a.Hops == hops {
				count++
			}
		}
	}
	return count
}

// siteWithPeer returns a site whose first node reaches no target and has its peers make the attempts.
func siteWithPeer(t *testing.T, nodes int) *site {
	t.Helper()
	s := jointSite(t, nodes)
	s.cutOff(0, true)
	attempts := 0
	eventually(t, "an attempt by way of a peer", func() bool {
		attempts++
		key := fmt.Sprintf("probe-%d", attempts)
		s.nodes[0].do(http.MethodGet, "/quotes/1", key, "")
		return s.arrivals(key, 2) > 0
	})
	return s
}

// Guards against targets that run a part of a body as if it was whole, after its caller or a node on its way
// has broken off.
func TestUploadsThatBreakOffDoNotRun(t *testing.T) {
	const each = 5
	s := siteWithPeer(t, 3)
	for _, n := range []struct {
		name string
		node int
		hops int
	}{
		{
			name: "direct",
			node: 1,
			hops: 1,
		},
		{
			name: "by way of a peer",
			node: 0,
			hops: 2,
		},
	} {
		for _, size := range []int{heldUpload, streamedUpload} {
			for _, chunked := range []bool{false, true} {
				name := fmt.Sprintf("%s, %d bytes, chunked %t", n.name, size, chunked)
				t.Run(name, func(t *testing.T) {
					for i := range each {
						u := upload{
							key:     fmt.Sprintf("%s, %d", name, i),
							size:    size,
							chunked: chunked,
						}
						conn := u.open(t, s.nodes[n.node], size*3/5)
						if size == streamedUpload {
							eventually(t, "the request at a target", func() bool { return s.arrivals(u.key, n.hops) == 1 })
						}
						if err := conn.CloseWrite(); err != nil {
							t.Fatal(err)
						}
						if line := answer(conn); s.runsOf(u.key) > 0 {
							t.Errorf("a part of an upload ran; answer %q", line)
						}
						u.key += ", whole"
						if line := answer(u.open(t, s.nodes[n.node], size)); s.runsOf(u.key) != 1 || s.arrivals(u.key, n.hops) != 1 {
							t.Errorf("%d runs of a whole upload, %d by way of %d nodes; answer %q",
								s.runsOf(u.key), s.arrivals(u.key, n.hops), n.hops, line)
						}
					}
				})
			}
		}
	}
}

// Guards against a peer that takes the death of the node that sends it a body for the end of the body.
func TestUploadThroughKilledNodeDoesNotRun(t *testing.T) {
	for _, chunked := range []bool{false, true} {
		t.Run(fmt.Sprintf("chunked %t", chunked), func(t *testing.T) {
			s := siteWithPeer(t, 2)
			u := upload{
				key:     "upload",
				size:    streamedUpload,
				chunked: chunked,
			}
			u.open(t, s.nodes[0], u.size*3/5)
			eventually(t, "the request at a target", func() bool { return s.arrivals(u.key, 2) == 1 })
			s.nodes[0].kill()
			eventually(t, "no request at a target", func() bool {
				inFlight := int64(0)
				for _, b := range s.targets {
					inFlight += b.InFlight()
				}
				return inFlight == 0
			})
			if s.runsOf(u.key) > 0 {
				t.Error("a part of an upload ran")
			}
		})
	}
}

// cutParts is more than the parts of a broken answer that a node and a peer put together, each up to four.
const cutParts = 32

// Guards against answers that break off on their way through a peer and look whole to the caller.
func TestAnswersThatBreakOffByWayOfPeersLookBroken(t *testing.T) {
	s := siteWithPeer(t, 3)
	for _, size := range []int{heldUpload, streamedUpload, documentSize} {
		for _, framing := range []string{"", "&chunked"} {
			t.Run(fmt.Sprintf("%d bytes%s", size, framing), func(t *testing.T) {
				for _, b := range s.targets {
					b.SetMode(target.Mode{
						CutAfter: int64(size / cutParts),
					})
				}
				path := fmt.Sprintf("/quotes/1?size=%d%s", size, framing)
				r := s.nodes[0].do(http.MethodGet, path, t.Name(), "")
				if r.err == nil && r.status == http.StatusOK {
					t.Errorf("%d of %d bytes were delivered as a complete answer", len(r.body), size)
				}
				for _, b := range s.targets {
					b.SetMode(target.Mode{})
				}
				r = s.nodes[0].do(http.MethodGet, path, t.Name()+", whole", "")
				if r.err != nil || !bytes.Equal(r.body, target.Document("/quotes/1", int64(size))) {
					t.Errorf("status %d, %d of %d bytes of a whole answer, error %v", r.status, len(r.body), size, r.err)
				}
			})
		}
	}
}

// Guards against the end of a peer's process that looks to a caller like the end of the answer on its way through the peer.
func TestAnswerThroughKilledPeerLooksBroken(t *testing.T) {
	for _, framing := range []string{"", "&chunked"} {
		t.Run("framing "+framing, func(t *testing.T) {
			s := siteWithPeer(t, 2)
			for _, b := range s.targets {
				b.SetMode(target.Mode{
					ChunkDelay: 5 * time.Millisecond,
				})
			}
			// The whole document takes more than a second.
			res, err := callers.Get(fmt.Sprintf("http://%s/quotes/1?size=%d%s", s.nodes[0].entry, documentSize, framing))
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = res.Body.Close() }()
			first := make([]byte, 1<<10)
			if _, err := io.ReadFull(res.Body, first); err != nil {
				t.Fatal(err)
			}
			s.nodes[1].kill()
			if rest, err := io.ReadAll(res.Body); err == nil {
				t.Errorf("status %d, %d of %d bytes were delivered as a complete answer", res.StatusCode, len(first)+len(rest), documentSize)
			}
		})
	}
}
