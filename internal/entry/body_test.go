// SPDX-License-Identifier: Apache-2.0

package entry_test

import (
	"bufio"
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

	"ploverjunction.example/ploverjunction/internal/attempt"
	"ploverjunction.example/ploverjunction/internal/entry"
	"ploverjunction.example/ploverjunction/internal/signal"
)

// sendPart sends a request of which only the first sent bytes of the body arrive, and returns the answer and how
// long it took.
func sendPart(t *testing.T, s *testSite, length, sent int) (*http.Response, time.Duration) {
	t.Helper()
	conn, err := net.Dial("tcp", s.server.Addr())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	started := time.Now()
	_ = conn.SetReadDeadline(started.Add(30 * time.Second))
	_, err = fmt.Fprintf(conn, "POST /quotes/1 HTTP/1.1\r\nHost: test\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s",
		keyBrokers, length, strings.Repeat("x", sent))
	if err != nil {
		t.Fatal(err)
	}
	res, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatalf("no answer after %v: %v", time.Since(started), err)
	}
	t.Cleanup(func() { _ = res.Body.Close() })
	return res, time.Since(started)
}

// Guards against a caller that stops in the middle of its body and holds the node's memory and a slot of a target
// for as long as its connection lasts.
func TestBodyThatDoesNotArriveEndsAtTheDeadline(t *testing.T) {
	cases := []struct {
		name         string
		length, sent int
		status       int
		outcome      string
	}{
		{
			name:    "held",
			length:  16 << 10,
			sent:    1 << 10,
			status:  http.StatusRequestTimeout,
			outcome: "not-run",
		},
		{
			name:    "head",
			length:  200 << 10,
			sent:    1 << 10,
			status:  http.StatusRequestTimeout,
			outcome: "not-run",
		},
		{
			name:    "stream",
			length:  200 << 10,
			sent:    100 << 10,
			status:  http.StatusGatewayTimeout,
			outcome: "unknown",
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			list := &choices{
				list: []*signalTarget{newSignalTarget(t, "target", func(_ http.ResponseWriter, r *http.Request) {
					_, _ = io.Copy(io.Discard, r.Body)
				})},
				before: func(int) {},
			}
			s := newSite(t, func(cfg *entry.Config) {
				cfg.Signals = &signal.Ledger{}
				cfg.Choose = list.choose
				cfg.Memory = 1 << 20
				cfg.Deadline = 300 * time.Millisecond
			})
			res, _ := sendPart(t, s, c.length, c.sent)
			if outcome := res.Header.Get("Plover-Outcome"); res.StatusCode != c.status || outcome != c.outcome {
				t.Errorf("status %d outcome %q, want %d %q", res.StatusCode, outcome, c.status, c.outcome)
			}
			// The answer is sent before the memory is released; the end of the connection follows both.
			_, _ = io.Copy(io.Discard, res.Body)
			if err := s.server.Drain(context.Background()); err != nil {
				t.Fatal(err)
			}
			if held, _ := s.server.Held(); held != 0 {
				t.Errorf("%d bytes held after the answer", held)
			}
		})
	}
}

// Guards against a refusal that the caller gets only once its whole body was read, however slowly it is sent.
func TestRefusalDoesNotWaitForTheBody(t *testing.T) {
	s := newSite(t, func(cfg *entry.Config) {
		cfg.Deadline = 5 * time.Second
		cfg.Choose = func(context.Context, *entry.Query) (entry.Choice, error) {
			return entry.Choice{}, entry.NewNoTargetError(attempt.ReasonTargets, time.Second)
		}
	})
	res, took := sendPart(t, s, 200<<10, 100<<10)
	if res.StatusCode != http.StatusServiceUnavailable || took >= 5*time.Second {
		t.Errorf("status %d after %v", res.StatusCode, took)
	}
}

// Guards against an answer that is broken off because the deadline for its request's body passes meanwhile.
func TestAnswerContinuesAfterTheDeadlineOfTheBody(t *testing.T) {
	for _, length := range []int{1 << 10, 200 << 10} {
		deadlinePassed := make(chan struct{})
		list := &choices{
			list: []*signalTarget{newSignalTarget(t, "target", func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				w.Header().Set("Content-Length", "200000")
				_, _ = io.WriteString(w, strings.Repeat("x", 100000))
				_ = http.NewResponseController(w).Flush()
				<-deadlinePassed
				_, _ = io.WriteString(w, strings.Repeat("x", 100000))
			})},
			before: func(int) {},
		}
		const deadline = 500 * time.Millisecond
		s := newSite(t, func(cfg *entry.Config) {
			cfg.Signals = &signal.Ledger{}
			cfg.Choose = list.choose
			cfg.Deadline = deadline
		})
		// The target must end also if the test fails before.
		pass := sync.OnceFunc(func() { close(deadlinePassed) })
		t.Cleanup(pass)
		time.AfterFunc(2*deadline, pass)
		res, _ := sendPart(t, s, length, length)
		if b, err := io.ReadAll(res.Body); err != nil || len(b) != 200000 {
			t.Errorf("body of %d bytes: %d bytes of the answer, error %v", length, len(b), err)
		}
	}
}

// Guards against an answer of which the last part is lost because its caller has sent more than the node reads.
func TestAnswerIsWholeIfItsCallerSendsMore(t *testing.T) {
	const size = 256 << 10
	s := largeAnswerSite(t, size)
	for range 20 {
		conn := dialSmall(t, s)
		sendBehind(t, conn)
		readLarge(t, conn, size)
		_ = conn.Close()
	}
}

// sentBehind is the number of bytes that callers send behind a request.
const sentBehind = 20 << 10

// largeAnswerSite returns a site whose target sends an answer of size bytes to each request.
func largeAnswerSite(t *testing.T, size int) *testSite {
	t.Helper()
	list := &choices{
		list: []*signalTarget{newSignalTarget(t, "target", func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			_, _ = w.Write(make([]byte, size))
		})},
		before: func(int) {},
	}
	return newSite(t, func(cfg *entry.Config) {
		cfg.Signals = &signal.Ledger{}
		cfg.Choose = list.choose
		cfg.Deadline = 5 * time.Second
	})
}

// dialSmall opens a connection with a small receive buffer.
func dialSmall(t *testing.T, s *testSite) net.Conn {
	t.Helper()
	dialer := net.Dialer{
		Control: func(_, _ string, c syscall.RawConn) error {
			return c.Control(func(fd uintptr) {
				_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4<<10)
			})
		},
	}
	conn, err := dialer.Dial("tcp", s.server.Addr())
	if err != nil {
		t.Fatal(err)
	}
	_ = conn.SetDeadline(time.Now().Add(30 * time.Second))
	return conn
}

// sendBehind sends a request with bytes behind it.
func sendBehind(t *testing.T, conn net.Conn) {
	t.Helper()
	// A request in chunks ends its connection.
	_, err := fmt.Fprintf(conn, "POST /quotes/1 HTTP/1.1\r\nHost: test\r\nAuthorization: Bearer %s\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n%s",
		keyBrokers, strings.Repeat("y", sentBehind))
	if err != nil {
		t.Error(err)
	}
}

// readLarge checks that the answer of a largeAnswerSite is whole.
func readLarge(t *testing.T, conn net.Conn, size int64) {
	t.Helper()
	res, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Error(err)
		return
	}
	if n, err := io.Copy(io.Discard, res.Body); n != size || err != nil {
		t.Errorf("%d of %d bytes of the answer, error %v", n, size, err)
	}
}
