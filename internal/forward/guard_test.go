// SPDX-License-Identifier: Apache-2.0

package forward_test

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"ploverjunction.example/ploverjunction/internal/forward"
)

// unavailableAfter returns a function that reports a target unavailable after d, nil for 0.
func unavailableAfter(d time.Duration) func(time.Time) bool {
	if d == 0 {
		return nil
	}
	from := time.Now().Add(d)
	return func(now time.Time) bool { return !now.Before(from) }
}

func TestGuardWritesOnlyForAValidClaim(t *testing.T) {
	cases := []struct {
		name string
		// unavailableAfter is when the target becomes unavailable, 0 for never.
		unavailableAfter time.Duration
		steps            func(c net.Conn, seal func() bool)
		want             string
		wrote            bool
	}{
		{
			name:  "in time",
			steps: func(c net.Conn, _ func() bool) { _, _ = io.WriteString(c, "a") },
			want:  "a",
			wrote: true,
		},
		{
			name: "resumed after the deadline",
			steps: func(c net.Conn, _ func() bool) {
				time.Sleep(time.Second)
				_, _ = io.WriteString(c, "a")
			},
			want:  "",
			wrote: false,
		},
		{
			name: "continues after the deadline once started",
			steps: func(c net.Conn, _ func() bool) {
				_, _ = io.WriteString(c, "a")
				time.Sleep(time.Second)
				_, _ = io.WriteString(c, "b")
			},
			want:  "ab",
			wrote: true,
		},
		{
			name:             "unavailable since it was chosen",
			unavailableAfter: 10 * time.Millisecond,
			steps: func(c net.Conn, _ func() bool) {
				time.Sleep(20 * time.Millisecond)
				_, _ = io.WriteString(c, "a")
			},
			want:  "",
			wrote: false,
		},
		{
			name:             "unavailable after the first write",
			unavailableAfter: 10 * time.Millisecond,
			steps: func(c net.Conn, _ func() bool) {
				_, _ = io.WriteString(c, "a")
				time.Sleep(20 * time.Millisecond)
				_, _ = io.WriteString(c, "b")
			},
			want:  "ab",
			wrote: true,
		},
		{
			name: "sealed before the write",
			steps: func(c net.Conn, seal func() bool) {
				seal()
				_, _ = io.WriteString(c, "a")
			},
			want:  "",
			wrote: false,
		},
		{
			name: "sealed during the request",
			steps: func(c net.Conn, seal func() bool) {
				_, _ = io.WriteString(c, "a")
				seal()
				_, _ = io.WriteString(c, "b")
			},
			want:  "a",
			wrote: true,
		},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				near, far := net.Pipe()
				got := make(chan string, 1)
				go func() {
					b, _ := io.ReadAll(far)
					got <- string(b)
				}()
				c, seal := forward.NewGuard(near, time.Now().Add(time.Second), unavailableAfter(tc.unavailableAfter))
				tc.steps(c, seal)
				if wrote := seal(); wrote != tc.wrote {
					t.Errorf("seal reports written %t, want %t", wrote, tc.wrote)
				}
				_ = near.Close()
				if b := <-got; b != tc.want {
					t.Errorf("the target received %q, want %q", b, tc.want)
				}
			})
		})
	}
}

// asKind returns the kind of a failed attempt, or "".
func asKind(err error) forward.Kind {
	var fe *forward.Error
	if !errors.As(err, &fe) {
		return ""
	}
	return fe.Kind()
}

// Guards against bytes behind a whole answer that are taken for the answer to the next request: net/http looks for them only
// once the connection is idle, when the next request may have it.
func TestConnectionWithSurplusBytesIsNotUsedAgain(t *testing.T) {
	const answer = "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx"
	for _, surplus := range []string{"", answer} {
		near, far := net.Pipe()
		go reply(answer + surplus)(far)
		g, _ := forward.NewGuard(near, time.Now().Add(time.Minute), nil)
		if _, err := io.WriteString(g, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
			t.Fatal(err)
		}
		if _, err := g.Read(make([]byte, 1<<10)); err != nil {
			t.Fatal(err)
		}
		forward.Reattach(g, time.Now().Add(time.Minute))
		_, err := io.WriteString(g, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		if untrusted := asKind(err) == forward.KindUntrusted; untrusted != (surplus != "") {
			t.Errorf("%d surplus bytes: %v", len(surplus), err)
		}
	}
}

// Guards against bytes after a whole answer that net/http takes for the answer to the next request, which was written before they
// were read.
func TestBytesAfterAnAnswerAreNotRead(t *testing.T) {
	const answer = "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx"
	near, far := net.Pipe()
	go func() {
		_, _ = http.ReadRequest(bufio.NewReader(far))
		_, _ = io.WriteString(far, answer)
		_, _ = io.WriteString(far, answer)
	}()
	g, _ := forward.NewGuard(near, time.Now().Add(time.Minute), nil)
	if _, err := io.WriteString(g, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	buf := make([]byte, 1<<10)
	if n, err := g.Read(buf); err != nil || string(buf[:n]) != answer {
		t.Fatalf("%q, %v", buf[:n], err)
	}
	if n, err := g.Read(buf); err == nil {
		t.Errorf("read %q", buf[:n])
	}
	_ = far.Close()
}
