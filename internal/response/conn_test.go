// SPDX-License-Identifier: Apache-2.0

package response_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"ploverjunction.example/ploverjunction/internal/response"
)

// connTimeout is much longer than any exchange of these tests.
const connTimeout = 20 * time.Second

// bounds are those of the connections of these tests.
var bounds = response.Bounds{
	Memory:   256 << 10,
	Interims: 4,
}

// listen serves each connection with serve, which is given the number of the connection from 1 on.
func listen(t *testing.T, serve func(n int64, c *net.TCPConn)) string {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = lis.Close() })
	go func() {
		for n := int64(1); ; n++ {
			c, err := lis.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				serve(n, c.(*net.TCPConn))
			}()
		}
	}()
	return lis.Addr().String()
}

// dialScanned opens a connection that scans answers.
func dialScanned(t *testing.T, addr string) net.Conn {
	t.Helper()
	c, err := response.Dial((&net.Dialer{}).DialContext, bounds)(t.Context(), "tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	if err := c.SetDeadline(time.Now().Add(connTimeout)); err != nil {
		t.Fatal(err)
	}
	return c
}

func newClient(t *testing.T) *http.Client {
	t.Helper()
	transport := &http.Transport{
		DialContext: response.Dial((&net.Dialer{}).DialContext, bounds),
	}
	t.Cleanup(transport.CloseIdleConnections)
	return &http.Client{
		Transport: transport,
		Timeout:   connTimeout,
	}
}

// get returns the body of an answer.
func get(ctx context.Context, c *http.Client, url string) (string, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return "", err
	}
	res, err := c.Do(req)
	if err != nil {
		return "", err
	}
	body, err := io.ReadAll(res.Body)
	return string(body), errors.Join(err, res.Body.Close())
}

// Guards against answers in order that are rejected on a connection that is used again, also where a request is longer than
// a buffer and thus written in parts.
func TestConnCarriesExchangesOneAfterAnother(t *testing.T) {
	answers := []string{
		length + "\r\nabc",
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n" + length + "\r\nabc",
		chunks + "\r\n1\r\na\r\n2\r\nbc\r\n0\r\nX: 1\r\n\r\n",
		"HTTP/1.1 204 No Content\r\n\r\n",
		"HTTP/1.1 304 Not Modified\r\nContent-Length: 3\r\n\r\n",
		"HTTP/1.1 503 Service Unavailable\nContent-Length: 3\n\nabc",
		ok + "Content-Length: 0\r\n\r\n",
		ok + "\r\nabc",
	}
	for _, part := range []int{1, 7, 1 << 10} {
		var conns atomic.Int64
		addr := listen(t, func(n int64, c *net.TCPConn) {
			conns.Store(n)
			from := bufio.NewReader(c)
			for _, text := range answers {
				if _, err := http.ReadRequest(from); err != nil {
					return
				}
				for rest := text; rest != ""; rest = rest[min(part, len(rest)):] {
					_, _ = io.WriteString(c, rest[:min(part, len(rest))])
				}
			}
		})
		c := newClient(t)
		for i, text := range answers {
			want := ""
			if strings.Contains(text, "c\r\n0") || strings.HasSuffix(text, "abc") {
				want = "abc"
			}
			query := strings.Repeat("q", i%2*3*4096)
			if body, err := get(t.Context(), c, "http://"+addr+"/?"+query); err != nil || body != want {
				t.Errorf("parts of %d: answer %d: %q, %v, want %q", part, i, body, err, want)
			}
		}
		if n := conns.Load(); n != 1 {
			t.Errorf("parts of %d: %d connections, want 1", part, n)
		}
	}
}

// Guards against an answer in order that is rejected because it came before the request was written whole.
func TestConnPassesAnAnswerBeforeTheEndOfTheRequest(t *testing.T) {
	for _, answer := range []string{length + "\r\nabc", chunks + "\r\n3\r\nabc\r\n0\r\n\r\n", ok + "\r\nabc"} {
		addr := listen(t, func(_ int64, c *net.TCPConn) {
			_, _ = io.ReadFull(c, make([]byte, 3))
			_, _ = io.WriteString(c, answer)
			if strings.HasPrefix(answer, ok+"\r\n") {
				_ = c.CloseWrite()
			}
			_, _ = io.Copy(io.Discard, c)
		})
		c := dialScanned(t, addr)
		_, err := io.WriteString(c, "GET")
		from := bufio.NewReader(c)
		_, perr := from.Peek(len(answer))
		_, werr := io.WriteString(c, " / HTTP/1.1\r\nHost: a\r\n\r\n")
		if err := errors.Join(err, perr, werr); err != nil {
			t.Fatalf("%q: %v", answer, err)
		}
		res, err := readFinal(from, http.MethodGet)
		if err != nil {
			t.Fatalf("%q: %v", answer, err)
		}
		if body, err := io.ReadAll(res.Body); err != nil || string(body) != "abc" {
			t.Errorf("%q: %q, %v", answer, body, err)
		}
	}
}

// errAny stands for any error: net/http reads a line that stops as a line.
var errAny = errors.New("any")

// Guards against answers that are none and that a caller gets as answers.
func TestConnRejectsWhatIsNoAnswer(t *testing.T) {
	tests := []struct {
		name string
		text string
		want error
	}{
		{
			name: "status 000",
			text: "HTTP/1.1 000 OK\r\nContent-Length: 3\r\n\r\nabc",
		},
		{
			name: "blank in a name",
			text: length + "X Odd: 1\r\n\r\nabc",
		},
		{
			name: "blank in the name of a trailer",
			text: chunks + "\r\n3\r\nabc\r\n0\r\nX Odd: 1\r\n\r\n",
		},
		{
			name: "nothing",
			want: io.EOF,
		},
		{
			name: "status line that stops",
			text: "HTTP/1.1 20",
			want: errAny,
		},
		{
			name: "head that stops after a line",
			text: length,
			want: io.ErrUnexpectedEOF,
		},
		{
			name: "head that stops in a line",
			text: ok + "X-Od",
			want: errAny,
		},
		{
			name: "interim response alone",
			text: "HTTP/1.1 103 Early Hints\r\n\r\n",
			want: io.ErrUnexpectedEOF,
		},
		{
			name: "body that stops",
			text: length + "\r\nab",
			want: io.ErrUnexpectedEOF,
		},
		{
			name: "chunks that stop",
			text: chunks + "\r\n3\r\nabc\r\n",
			want: io.ErrUnexpectedEOF,
		},
		{
			name: "interim responses beyond the bound",
			text: strings.Repeat("HTTP/1.1 103 Early Hints\r\n\r\n", bounds.Interims+1) + length + "\r\nabc",
			want: response.ErrTooLarge,
		},
		{
			name: "head beyond the bound",
			text: length + strings.Repeat("X: y\r\n", 1000) + "\r\nabc",
			want: response.ErrTooLarge,
		},
	}
	for _, tt := range tests {
		addr := listen(t, func(_ int64, c *net.TCPConn) {
			if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
				return
			}
			_, _ = io.WriteString(c, tt.text)
		})
		body, err := get(t.Context(), newClient(t), "http://"+addr)
		var se *response.SyntaxError
		if err == nil || tt.want == nil && !errors.As(err, &se) || tt.want != nil && tt.want != errAny && !errors.Is(err, tt.want) {
			t.Errorf("%s: %q, %v, want %v", tt.name, body, err, tt.want)
		}
	}
}

// Guards against a malformed answer that is taken for an answer because its reader reads on after the error: that of net/http
// drops an error in the middle of a line.
func TestConnFailsForGoodAfterAMalformedAnswer(t *testing.T) {
	for _, parts := range [][]string{
		{ok + "X: a", "\x00b", "\r\nContent-Length: 3\r\n\r\nabc"},
		{ok + "Content-Length: 3\r\nX: a", "\x00", "\r\n\r\nabc"},
		{"HTTP/1.1 200 O", "\x00K", "\r\nContent-Length: 3\r\n\r\nabc"},
	} {
		transport := &http.Transport{
			DialContext: response.Dial(func(context.Context, string, string) (net.Conn, error) {
				near, far := net.Pipe()
				go func() {
					defer func() { _ = far.Close() }()
					_, err := http.ReadRequest(bufio.NewReader(far))
					for _, part := range parts {
						if err == nil {
							_, err = io.WriteString(far, part)
						}
					}
				}()
				return near, nil
			}, bounds),
		}
		body, err := get(t.Context(), &http.Client{
			Transport: transport,
			Timeout:   connTimeout,
		}, "http://192.0.2.1")
		var se *response.SyntaxError
		if !errors.As(err, &se) {
			t.Errorf("%q: %q, %v, want a syntax error", parts, body, err)
		}
		transport.CloseIdleConnections()
	}
}

// Guards against bytes that were sent before a request, or behind the answer to one, and that are taken for the answer to the
// next.
func TestConnRejectsBytesOfNoRequest(t *testing.T) {
	const answer = length + "\r\nabc"
	for _, requests := range []int{0, 1} {
		addr := listen(t, func(_ int64, c *net.TCPConn) {
			from := bufio.NewReader(c)
			for range requests {
				if _, err := http.ReadRequest(from); err != nil {
					return
				}
				_, _ = io.WriteString(c, answer)
				// Wait until the client has read it.
				if _, err := from.ReadByte(); err != nil {
					return
				}
			}
			_, _ = io.WriteString(c, answer)
			_, _ = io.Copy(io.Discard, from)
		})
		c := dialScanned(t, addr)
		conn := c.(*response.Conn).Conn
		for range requests {
			_, _ = io.WriteString(c, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
			if _, err := io.ReadFull(c, make([]byte, len(answer))); err != nil {
				t.Fatal(err)
			}
			// Not by c, for which it would be the next request.
			_, _ = io.WriteString(conn, "x")
		}
		if n, err := c.Read(make([]byte, 1<<10)); !errors.Is(err, response.ErrSurplus) {
			t.Errorf("after %d requests: %d bytes, %v, want %v", requests, n, err, response.ErrSurplus)
		}
		if _, err := io.WriteString(c, "GET"); !errors.Is(err, response.ErrSurplus) {
			t.Errorf("after %d requests: next request: %v, want %v", requests, err, response.ErrSurplus)
		}
	}
}

// Guards against a part of an answer without a length that is taken for the whole: the kernel reports a reset once, here to a
// write, and reading then ends as if the other end had closed the connection. An orderly end is none of it.
func TestConnReportsAResetThatAWriteGot(t *testing.T) {
	for _, reset := range []bool{false, true} {
		end, ended := make(chan struct{}), make(chan struct{})
		addr := listen(t, func(_ int64, c *net.TCPConn) {
			defer close(ended)
			if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
				return
			}
			_, _ = io.WriteString(c, ok+"\r\npart")
			<-end
			if reset {
				_ = c.SetLinger(0)
				_ = c.Close()
				return
			}
			_ = c.CloseWrite()
		})
		c := dialScanned(t, addr)
		_, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
		res, rerr := readFinal(bufio.NewReader(c), http.MethodGet)
		if err := errors.Join(err, rerr); err != nil {
			t.Fatal(err)
		}
		close(end)
		<-ended
		if reset {
			for err == nil {
				_, err = io.WriteString(c, "x")
			}
		}
		body, err := io.ReadAll(res.Body)
		if reset && !errors.Is(err, response.ErrReset) || !reset && (err != nil || string(body) != "part") {
			t.Errorf("reset %v: %q, %v", reset, body, err)
		}
	}
}

// Guards against races between calls, and against calls that are harmed by others which were cancelled.
func TestConnsOfConcurrentCalls(t *testing.T) {
	const (
		callers = 8
		calls   = 60
	)
	addr := listen(t, func(_ int64, c *net.TCPConn) {
		from := bufio.NewReader(c)
		for {
			req, err := http.ReadRequest(from)
			if err != nil {
				return
			}
			id := req.URL.RawQuery
			_, _ = fmt.Fprintf(c, "HTTP/1.1 103 Early Hints\r\n\r\n"+chunks+"\r\n%x\r\n%s\r\n", len(id), id)
			time.Sleep(time.Millisecond)
			_, _ = io.WriteString(c, "0\r\n\r\n")
		}
	})
	c := newClient(t)
	var all sync.WaitGroup
	for i := range callers {
		all.Go(func() {
			for j := range calls {
				ctx, cancel := context.WithCancel(t.Context())
				if j%3 == 0 {
					time.AfterFunc(time.Duration(j%7)*300*time.Microsecond, cancel)
				}
				id := fmt.Sprintf("%d-%d", i, j)
				if body, err := get(ctx, c, "http://"+addr+"/?"+id); ctx.Err() == nil && (err != nil || body != id) {
					t.Errorf("%s: %q, %v", id, body, err)
				}
				cancel()
			}
		})
	}
	all.Wait()
}
