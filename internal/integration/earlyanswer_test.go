// SPDX-License-Identifier: Apache-2.0

package integration_test

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"ploverjunction.example/ploverjunction/internal/standin/target"
)

const (
	// earlyAfter is how many bytes of a body a target reads before it answers.
	earlyAfter = 8 << 10
	// earlyPiece and earlyPause are the pace of callers that send such a body.
	earlyPiece = 8 << 10
	earlyPause = 4 * time.Millisecond
	// earlyReadPause is how long a target that has answered does not read: longer than net/http's transport keeps a
	// connection that has an answer and still sends a body.
	earlyReadPause = 150 * time.Millisecond
	// writeDeadline is the deadline of the route (standardRoutes).
	writeDeadline = 2 * time.Second
)

// earlyUpload is a request whose target answers before it has read the whole body.
type earlyUpload struct {
	key     string
	size    int
	chunked bool
	version string
	// expect has the caller wait for 100 (Continue) before it sends the body.
	expect bool
	query  string
}

func (u earlyUpload) path() string { return "/quotes/early" }

// content returns the body.
func (u earlyUpload) content() []byte { return target.Document(u.path(), int64(u.size)) }

func (u earlyUpload) head() string {
	var b strings.Builder
	fmt.Fprintf(&b, "POST %s?%s %s\r\nHost: a.example\r\n%s: %s\r\n", u.path(), u.query, u.version, target.HeaderKey, u.key)
	if u.expect {
		b.WriteString("Expect: 100-continue\r\n")
	}
	if u.chunked {
		b.WriteString("Transfer-Encoding: chunked\r\n\r\n")
	} else {
		fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n", u.size)
	}
	return b.String()
}

// send sends the first n bytes of the body, and its end if these are all. An error means that the node has closed
// the connection.
func (u earlyUpload) send(conn net.Conn, n int) {
	for body := u.content()[:n]; len(body) > 0; {
		piece := body[:min(earlyPiece, len(body))]
		body = body[len(piece):]
		if u.chunked {
			piece = fmt.Appendf(nil, "%x\r\n%s\r\n", len(piece), piece)
		}
		if _, err := conn.Write(piece); err != nil {
			return
		}
		time.Sleep(earlyPause)
	}
	if u.chunked && n == u.size {
		_, _ = io.WriteString(conn, "0\r\n\r\n")
	}
}

// open sends the head of the request and returns the connection and a reader of its answers.
func (u earlyUpload) open(t *testing.T, n *node) (net.Conn, *bufio.Reader) {
	t.Helper()
	conn, err := net.Dial("tcp", n.entry)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(maxWait))
	if _, err := io.WriteString(conn, u.head()); err != nil {
		t.Fatal(err)
	}
	r := bufio.NewReader(conn)
	if u.expect {
		res, err := http.ReadResponse(r, nil)
		if err != nil || res.StatusCode != http.StatusContinue {
			t.Fatalf("interim answer %v, error %v", res, err)
		}
	}
	return conn, r
}

// uploaded waits until a target has read the body with a key, and returns what it read.
func (s *site) uploaded(key string) target.Upload {
	s.t.Helper()
	var out target.Upload
	eventually(s.t, "the end of the upload at a target", func() bool {
		for _, b := range s.targets {
			for _, u := range b.Uploads() {
				if u.Key == key {
					out = u
					return true
				}
			}
		}
		return false
	})
	return out
}

// check sends an upload with another request behind it on its connection, and checks what targets and the caller got.
func (u earlyUpload) check(t *testing.T, s *site, n *node, status, answerSize int) {
	t.Helper()
	conn, r := u.open(t, n)
	next := u.key + ", next"
	sent := make(chan struct{})
	go func() {
		defer close(sent)
		u.send(conn, u.size)
		if u.version == "HTTP/1.0" {
			// Its connection carries no other request.
			return
		}
		_, _ = fmt.Fprintf(conn, "GET /quotes/next HTTP/1.1\r\nHost: a.example\r\n%s: %s\r\nConnection: close\r\n\r\n", target.HeaderKey, next)
	}()
	res, err := http.ReadResponse(r, nil)
	if err != nil {
		t.Fatalf("no answer: %v", err)
	}
	body, err := io.ReadAll(res.Body)
	if err != nil || res.StatusCode != status || !bytes.Equal(body, target.Document(u.path(), int64(answerSize))) {
		t.Errorf("status %d, %d bytes of the answer, error %v", res.StatusCode, len(body), err)
	}
	got := s.uploaded(u.key)
	switch content := u.content(); {
	case !bytes.HasPrefix(content, got.Body):
		t.Errorf("other bytes at the target, among %d of %d", len(got.Body), u.size)
	case got.Err == nil && len(got.Body) < len(content):
		t.Errorf("%d of %d bytes look like the whole body", len(got.Body), u.size)
	case got.Err != nil && status == http.StatusOK:
		t.Errorf("%d of %d bytes at a target that accepted the request: %v", len(got.Body), u.size, got.Err)
	}
	<-sent
	if res.Close {
		if _, err := r.Peek(1); err == nil {
			t.Error("bytes behind an answer that ends the connection")
		}
		if runs := s.runsOf(next); runs > 0 {
			t.Errorf("%d runs of a request on a connection that has ended", runs)
		}
		return
	}
	res, err = http.ReadResponse(r, nil)
	if err != nil {
		t.Fatalf("no answer to the next request: %v", err)
	}
	body, err = io.ReadAll(res.Body)
	if want := target.Echo(http.MethodGet, "/quotes/next", next, nil); err != nil || !bytes.Equal(body, want) {
		t.Errorf("answer to the next request: status %d, %q, error %v", res.StatusCode, body, err)
	}
}

// answerEarly has all targets answer before they have read bodies.
func (s *site) answerEarly(status int) {
	for _, b := range s.targets {
		b.SetMode(target.Mode{
			AnswerAfter:  earlyAfter,
			AnswerStatus: status,
			ReadPause:    earlyReadPause,
		})
	}
}

// Guards against an answer before the end of a body after which other bytes than the caller's reach the target.
func TestEarlyAnswersLeaveBodiesWhole(t *testing.T) {
	s := siteWithPeer(t, 3)
	type form struct {
		name    string
		version string
		expect  bool
		chunked bool
	}
	forms := []form{
		{
			name:    "with a length",
			version: "HTTP/1.1",
		},
		{
			name:    "in chunks",
			version: "HTTP/1.1",
			chunked: true,
		},
		{
			name:    "after 100",
			version: "HTTP/1.1",
			expect:  true,
		},
		{
			name:    "in chunks after 100",
			version: "HTTP/1.1",
			expect:  true,
			chunked: true,
		},
		{
			name:    "HTTP 1.0",
			version: "HTTP/1.0",
		},
	}
	for node, way := range []string{"by way of a peer", "direct"} {
		for _, status := range []int{http.StatusOK, http.StatusRequestEntityTooLarge} {
			s.answerEarly(status)
			for _, size := range []int{heldUpload, streamedUpload} {
				for _, f := range forms {
					for _, answer := range []string{"size=0", "size=4096", "size=163840", "size=163840&chunked"} {
						t.Run(fmt.Sprintf("%s/%d/%d bytes %s/%s", way, status, size, f.name, answer), func(t *testing.T) {
							u := earlyUpload{
								key:     t.Name(),
								size:    size,
								chunked: f.chunked,
								version: f.version,
								expect:  f.expect,
								query:   answer,
							}
							var answerSize int
							if _, err := fmt.Sscanf(answer, "size=%d", &answerSize); err != nil {
								t.Fatal(err)
							}
							u.check(t, s, s.nodes[node], status, answerSize)
						})
					}
				}
			}
		}
	}
}

// Guards against a target that takes the part of a body that its caller sent before it left for the whole.
func TestUploadBreaksOffWhenItsCallerLeavesAfterAnEarlyAnswer(t *testing.T) {
	s := siteWithPeer(t, 3)
	s.answerEarly(http.StatusOK)
	for node, way := range []string{"by way of a peer", "direct"} {
		for _, chunked := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, chunked %t", way, chunked), func(t *testing.T) {
				u := earlyUpload{
					key:     t.Name(),
					size:    streamedUpload,
					chunked: chunked,
					version: "HTTP/1.1",
					query:   "size=4096",
				}
				conn, r := u.open(t, s.nodes[node])
				u.send(conn, u.size*3/5)
				if res, err := http.ReadResponse(r, nil); err != nil || res.StatusCode != http.StatusOK {
					t.Fatalf("answer %v, error %v", res, err)
				}
				_ = conn.Close()
				if got := s.uploaded(u.key); got.Err == nil || !bytes.HasPrefix(u.content(), got.Body) {
					t.Errorf("%d of %d bytes at the target, error %v", len(got.Body), u.size, got.Err)
				}
			})
		}
	}
}

// Guards against an early answer that reaches its caller only once the caller sends more of the body.
func TestEarlyAnswerDoesNotWaitForTheBody(t *testing.T) {
	s := siteWithPeer(t, 3)
	for node, way := range []string{"by way of a peer", "direct"} {
		for _, status := range []int{http.StatusOK, http.StatusRequestEntityTooLarge} {
			s.answerEarly(status)
			for _, query := range []string{"size=0", "size=4096", "size=163840"} {
				t.Run(fmt.Sprintf("%s/%d/%s", way, status, query), func(t *testing.T) {
					u := earlyUpload{
						key:     t.Name(),
						size:    streamedUpload,
						version: "HTTP/1.1",
						query:   query,
					}
					conn, r := u.open(t, s.nodes[node])
					u.send(conn, u.size*3/5)
					started := time.Now()
					res, err := http.ReadResponse(r, nil)
					if err != nil || res.StatusCode != status {
						t.Fatalf("answer %v, error %v", res, err)
					}
					if _, err := io.Copy(io.Discard, res.Body); err != nil {
						t.Error(err)
					}
					if took := time.Since(started); took > writeDeadline/2 {
						t.Errorf("answer after %v", took)
					}
					_ = conn.Close()
					if got := s.uploaded(u.key); !bytes.HasPrefix(u.content(), got.Body) || got.Err == nil {
						t.Errorf("%d of %d bytes at the target, error %v", len(got.Body), u.size, got.Err)
					}
				})
			}
		}
	}
}

// Guards against a planned stop that breaks off a body behind an answer that its caller already has.
func TestPlannedStopSendsBodiesBehindEarlyAnswers(t *testing.T) {
	for _, chunked := range []bool{false, true} {
		t.Run(fmt.Sprintf("chunked %t", chunked), func(t *testing.T) {
			s := jointSite(t, 2)
			s.answerEarly(http.StatusOK)
			u := earlyUpload{
				key:     "upload",
				size:    streamedUpload,
				chunked: chunked,
				version: "HTTP/1.1",
				query:   "size=4096",
			}
			conn, r := u.open(t, s.nodes[0])
			sent := make(chan struct{})
			go func() {
				defer close(sent)
				u.send(conn, u.size)
			}()
			if res, err := http.ReadResponse(r, nil); err != nil || res.StatusCode != http.StatusOK {
				t.Fatalf("answer %v, error %v", res, err)
			}
			s.nodes[0].signal(syscall.SIGTERM)
			<-sent
			if got := s.uploaded(u.key); got.Err != nil || !bytes.Equal(got.Body, u.content()) {
				t.Errorf("%d of %d bytes at the target, error %v", len(got.Body), u.size, got.Err)
			}
		})
	}
}
