// SPDX-License-Identifier: Apache-2.0

package integration_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// smuggled is a request hidden in the body of another.
const smuggled = "GET /quotes/smuggled HTTP/1.1\r\nHost: h\r\nTest-Key: smuggled\r\n\r\n"

// sendRaw sends bytes to a node and returns the statuses of all answers until the
// node closes the connection or sends nothing more.
func sendRaw(t *testing.T, address, text string) []int {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	if _, err := io.WriteString(conn, text); err != nil {
		return nil
	}
	var out []int
	r := bufio.NewReader(conn)
	for {
		// A node that keeps the connection open is waiting for the next request.
		_ = conn.SetReadDeadline(time.Now().Add(500 * time.Millisecond))
		res, err := http.ReadResponse(r, nil)
		if err != nil {
			return out
		}
		_, _ = io.Copy(io.Discard, res.Body)
		_ = res.Body.Close()
		out = append(out, res.StatusCode)
	}
}

func TestSmugglingInputs(t *testing.T) {
	s, b, n := oneTarget(t)
	post := "POST /quotes/1 HTTP/1.1\r\nHost: h\r\nTest-Key: outer\r\n"
	cases := []struct {
		name string
		text string
		// want is the status of the only answer; 0 accepts any.
		want int
		// then is the status of a second answer; 0 means none.
		then int
	}{
		{
			name: "two lengths",
			text: post + "Content-Length: 3\r\nContent-Length: 90\r\n\r\nabc" + smuggled,
			want: 400,
		},
		{
			name: "list of lengths",
			text: post + "Content-Length: 3, 90\r\n\r\nabc" + smuggled,
			want: 400,
		},
		{
			name: "length with a sign",
			text: post + "Content-Length: +3\r\n\r\nabc" + smuggled,
			want: 400,
		},
		{
			name: "negative length",
			text: post + "Content-Length: -1\r\n\r\n" + smuggled,
			want: 400,
		},
		{
			name: "length and chunks",
			text: post + "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + smuggled,
			want: 400,
		},
		{
			name: "chunks and length",
			text: post + "Transfer-Encoding: chunked\r\nContent-Length: 4\r\n\r\n0\r\n\r\n" + smuggled,
			want: 400,
		},
		{
			name: "chunks right behind another request",
			text: "GET /quotes/1 HTTP/1.1\r\nHost: h\r\nTest-Key: first\r\n\r\n" +
				"POST /quotes/hidden HTTP/1.1\r\nHost: h\r\nTest-Key: smuggled\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
			then: 400,
		},
		{
			name: "unknown coding",
			text: post + "Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n" + smuggled,
			want: 501,
		},
		{
			name: "two codings",
			text: post + "Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n\r\n0\r\n\r\n" + smuggled,
			want: 501,
		},
		{
			name: "bad chunk size",
			text: post + "Transfer-Encoding: chunked\r\n\r\nzz\r\nabc\r\n0\r\n\r\n" + smuggled,
			want: 400,
		},
		{
			name: "chunk too long for its size",
			text: post + "Transfer-Encoding: chunked\r\n\r\n1\r\nabc\r\n0\r\n\r\n" + smuggled,
			want: 400,
		},
		{
			name: "huge chunk size",
			text: post + "Transfer-Encoding: chunked\r\n\r\nfffffffffffffffff\r\nabc\r\n0\r\n\r\n" + smuggled,
			want: 400,
		},
		{
			name: "space before the colon",
			text: post + "Transfer-Encoding : chunked\r\n\r\n0\r\n\r\n" + smuggled,
			want: 400,
		},
		{
			name: "folded header",
			text: post + "X-A: b\r\n c\r\nContent-Length: 0\r\n\r\n",
			want: 0,
		},
		{
			name: "zero byte in a header",
			text: post + "X-A: b\x00c\r\nContent-Length: 0\r\n\r\n",
			want: 400,
		},
		{
			name: "return in a header",
			text: post + "X-A: b\rc\r\nContent-Length: 0\r\n\r\n",
			want: 400,
		},
		{
			name: "no host",
			text: "GET /quotes/1 HTTP/1.1\r\nTest-Key: outer\r\n\r\n",
			want: 400,
		},
		{
			name: "two hosts",
			text: "GET /quotes/1 HTTP/1.1\r\nHost: a\r\nHost: b\r\nTest-Key: outer\r\n\r\n",
			want: 400,
		},
		{
			name: "other host in the target",
			text: "GET http://other/quotes/1 HTTP/1.1\r\nHost: h\r\nTest-Key: outer\r\n\r\n",
			want: 0,
		},
		{
			name: "line end in the path",
			text: "GET /quotes/1%0d%0aX: HTTP/1.1\r\nHost: h\r\nTest-Key: outer\r\n\r\n",
			want: 0,
		},
		{
			name: "no http",
			text: "hello\r\n\r\n",
			want: 400,
		},
		{
			name: "random bytes",
			text: "\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03\r\n\r\n",
			want: 400,
		},
		{
			name: "large header",
			text: post + "X-A: " + strings.Repeat("a", 200<<10) + "\r\nContent-Length: 0\r\n\r\n",
			want: 431,
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			got := sendRaw(t, n.entry, c.text)
			if c.then != 0 && len(got) == 2 && got[1] == c.then {
				got = got[:1]
			}
			if len(got) != 1 || c.want != 0 && got[0] != c.want {
				t.Fatalf("statuses %v, want %d, then %d", got, c.want, c.then)
			}
			t.Logf("status %d", got[0])
			if runs := s.runsOf("smuggled"); runs != 0 {
				t.Fatalf("the smuggled request ran %d times", runs)
			}
		})
	}
	for _, r := range b.Runs() {
		if r.Path != "/quotes/1" && r.Path != "/quotes/1\r\nX:" {
			t.Errorf("a target got the path %q", r.Path)
		}
	}
}

// Guards against forwarding hop-by-hop fields, or the fleet's own fields set by a caller.
func TestHeadersTowardsTargets(t *testing.T) {
	_, b, n := oneTarget(t)
	r := n.do(http.MethodGet, "/quotes/1", "headers", "",
		"Connection", "X-Secret, keep-alive",
		"X-Secret", "1",
		"Keep-Alive", "timeout=5",
		"Te", "trailers",
		"Upgrade", "h2c",
		"Proxy-Authorization", "Basic x",
		"X-Forwarded-For", "192.0.2.7",
		"Plover-Deadline", "99999999999999",
		"Plover-Request-Id", "forged",
		"X-Kept", "yes",
	)
	if r.status != http.StatusOK {
		t.Fatalf("status %d", r.status)
	}
	h := b.LastHeader()
	for _, name := range []string{"X-Secret", "Keep-Alive", "Te", "Upgrade", "Proxy-Authorization", "Connection"} {
		if h.Get(name) != "" {
			t.Errorf("%s reached the target: %q", name, h.Get(name))
		}
	}
	want := map[string]string{
		"X-Kept":            "yes",
		"X-Forwarded-For":   "192.0.2.7, 127.0.0.1",
		"X-Forwarded-Proto": "http",
		"Via":               "1.1 ploverjunction",
	}
	for name, value := range want {
		if h.Get(name) != value {
			t.Errorf("%s is %q, want %q", name, h.Get(name), value)
		}
	}
	if h.Get("Plover-Request-Id") == "forged" || h.Get("Plover-Deadline") == "99999999999999" {
		t.Errorf("forged fields reached the target: %v", h)
	}
}
