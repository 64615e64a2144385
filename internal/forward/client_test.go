// SPDX-License-Identifier: Apache-2.0

package forward_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"ploverjunction.example/ploverjunction/internal/attempt"
	"ploverjunction.example/ploverjunction/internal/contract"
	"ploverjunction.example/ploverjunction/internal/forward"
)

// pipe returns a dial function whose connections are served by answer.
func pipe(answer func(net.Conn)) func(context.Context, string, string) (net.Conn, error) {
	return func(context.Context, string, string) (net.Conn, error) {
		near, far := net.Pipe()
		go answer(far)
		return near, nil
	}
}

// reply reads one request and writes text.
func reply(text string) func(net.Conn) {
	return func(c net.Conn) {
		req, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		_, _ = io.WriteString(c, text)
		_ = c.Close()
	}
}

func request(deadline time.Time) *forward.Request {
	return &forward.Request{
		ID:       "the-id",
		Target:   "192.0.2.1:80",
		Method:   http.MethodPost,
		Host:     "host",
		URI:      "/x",
		Header:   http.Header{},
		Body:     strings.NewReader("body"),
		Length:   4,
		Deadline: deadline,
	}
}

func asError(t *testing.T, err error) *forward.Error {
	t.Helper()
	var fe *forward.Error
	if !errors.As(err, &fe) {
		t.Fatalf("got %v, want a *forward.Error", err)
	}
	return fe
}

// Guards against writes by a process that was frozen between the choice of a target and
// the write, and resumes with an outdated decision.
func TestNothingIsWrittenAfterTheDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var wrote atomic.Int64
		c := forward.NewClient(contract.Plover(), 1<<10, time.Second, netip.Addr{})
		c.SetDial(func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := pipe(func(far net.Conn) {
				n, _ := io.Copy(io.Discard, far)
				wrote.Add(n)
			})(ctx, network, address)
			// The dial ignores the context, as in a frozen process.
			time.Sleep(2 * time.Second)
			return conn, err
		})
		_, err := c.Do(t.Context(), request(time.Now().Add(time.Second)))
		if fe := asError(t, err); fe.Outcome() != attempt.OutcomeNotRun {
			t.Errorf("outcome %v, want not run: %v", fe.Outcome(), err)
		}
		time.Sleep(time.Minute)
		c.Close()
		synctest.Wait()
		if wrote.Load() != 0 {
			t.Errorf("%d bytes were written", wrote.Load())
		}
	})
}

func TestOnlyCompleteOwnAnswersAreAccepted(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nPlover-Request-Id: the-id\r\n"
	cases := []struct {
		name    string
		text    string
		kind    forward.Kind
		outcome attempt.Outcome
		body    string
	}{
		{
			name:    "whole",
			text:    head + "Content-Length: 4\r\n\r\nbody",
			kind:    "",
			outcome: 0,
			body:    "body",
		},
		{
			name:    "chunked",
			text:    head + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
			kind:    "",
			outcome: 0,
			body:    "body",
		},
		{
			name:    "short",
			text:    head + "Content-Length: 9\r\n\r\nbody",
			kind:    forward.KindReset,
			outcome: attempt.OutcomeUnknown,
			body:    "",
		},
		{
			name:    "chunk end missing",
			text:    head + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n",
			kind:    forward.KindReset,
			outcome: attempt.OutcomeUnknown,
			body:    "",
		},
		{
			name:    "bad chunk size",
			text:    head + "Transfer-Encoding: chunked\r\n\r\nzz\r\nbody\r\n0\r\n\r\n",
			kind:    forward.KindMalformed,
			outcome: attempt.OutcomeUnknown,
			body:    "",
		},
		{
			name:    "no length",
			text:    head + "\r\nbody",
			kind:    "",
			outcome: 0,
			body:    "body",
		},
		{
			name:    "two lengths",
			text:    head + "Content-Length: 4\r\nContent-Length: 3\r\n\r\nbody",
			kind:    forward.KindMalformed,
			outcome: attempt.OutcomeUnknown,
			body:    "",
		},
		{
			name:    "too long",
			text:    head + "Content-Length: 4\r\n\r\nbody and more",
			kind:    "",
			outcome: 0,
			body:    "body",
		},
		{
			name:    "foreign",
			text:    "HTTP/1.1 200 OK\r\nPlover-Request-Id: other\r\nContent-Length: 4\r\n\r\nbody",
			kind:    forward.KindForeign,
			outcome: attempt.OutcomeUnknown,
			body:    "",
		},
		{
			name:    "nothing",
			text:    "",
			kind:    forward.KindReset,
			outcome: attempt.OutcomeUnknown,
			body:    "",
		},
		{
			name:    "no http",
			text:    "hello\r\n\r\n",
			kind:    forward.KindMalformed,
			outcome: attempt.OutcomeUnknown,
			body:    "",
		},
		{
			name:    "shed",
			text:    "HTTP/1.1 503 Busy\r\nPlover-Request-Id: the-id\r\nPlover-Outcome: not-run\r\nContent-Length: 0\r\n\r\n",
			kind:    forward.KindShed,
			outcome: attempt.OutcomeNotRun,
			body:    "",
		},
		{
			name:    "shed, no ID",
			text:    "HTTP/1.1 503 Busy\r\nPlover-Outcome: not-run\r\nContent-Length: 0\r\n\r\n",
			kind:    forward.KindShed,
			outcome: attempt.OutcomeUnknown,
			body:    "",
		},
		{
			name:    "shed, another ID",
			text:    "HTTP/1.1 503 Busy\r\nPlover-Request-Id: other\r\nPlover-Outcome: not-run\r\nContent-Length: 0\r\n\r\n",
			kind:    forward.KindForeign,
			outcome: attempt.OutcomeUnknown,
			body:    "",
		},
		{
			name:    "another target, no ID",
			text:    "HTTP/1.1 421 Misdirected Request\r\nPlover-Outcome: not-run\r\nContent-Length: 0\r\n\r\n",
			kind:    forward.KindOtherTarget,
			outcome: attempt.OutcomeUnknown,
			body:    "",
		},
		{
			name:    "plain 503",
			text:    "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n",
			kind:    "",
			outcome: 0,
			body:    "",
		},
		{
			name:    "not run with 200",
			text:    head + "Plover-Outcome: not-run\r\nContent-Length: 0\r\n\r\n",
			kind:    "",
			outcome: 0,
			body:    "",
		},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			c := forward.NewClient(contract.Plover(), 1<<10, time.Second, netip.Addr{})
			defer c.Close()
			c.SetDial(pipe(reply(tc.text)))
			a, err := c.Do(t.Context(), request(time.Now().Add(time.Minute)))
			if tc.kind != "" {
				if fe := asError(t, err); fe.Kind() != tc.kind || fe.Outcome() != tc.outcome {
					t.Fatalf("kind %q outcome %v, want %q %v: %v", fe.Kind(), fe.Outcome(), tc.kind, tc.outcome, err)
				}
				return
			}
			if err != nil {
				t.Fatal(err)
			}
			defer a.Close()
			body, err := io.ReadAll(a)
			if err != nil || string(body) != tc.body {
				t.Fatalf("body %q err %v, want %q", body, err, tc.body)
			}
		})
	}
}

func TestSilentTargetTimesOutAtTheDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := forward.NewClient(contract.Plover(), 1<<10, time.Second, netip.Addr{})
		defer c.Close()
		c.SetDial(pipe(func(far net.Conn) { _, _ = io.Copy(io.Discard, far) }))
		started := time.Now()
		_, err := c.Do(t.Context(), request(started.Add(3*time.Second)))
		fe := asError(t, err)
		if fe.Kind() != forward.KindTimeout || fe.Outcome() != attempt.OutcomeUnknown {
			t.Errorf("kind %q outcome %v", fe.Kind(), fe.Outcome())
		}
		if took := time.Since(started); took != 3*time.Second {
			t.Errorf("took %v", took)
		}
	})
}

func TestStalledBodyIsBroken(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := forward.NewClient(contract.Plover(), 2, 4*time.Second, netip.Addr{})
		defer c.Close()
		c.SetDial(pipe(func(far net.Conn) {
			_, _ = http.ReadRequest(bufio.NewReader(far))
			_, _ = io.WriteString(far, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nbody")
			_, _ = io.Copy(io.Discard, far)
		}))
		a, err := c.Do(t.Context(), request(time.Now().Add(time.Hour)))
		if err != nil {
			t.Fatal(err)
		}
		defer a.Close()
		started := time.Now()
		body, err := io.ReadAll(a)
		if fe := asError(t, err); fe.Kind() != forward.KindStall || string(body) != "body" {
			t.Errorf("kind %q after %q", fe.Kind(), body)
		}
		if took := time.Since(started); took != 4*time.Second {
			t.Errorf("took %v", took)
		}
	})
}

// resetConn is a connection that sends an answer once written to, and is then reset.
type resetConn struct {
	net.Conn
	answer  *strings.Reader
	written chan struct{}
	once    sync.Once
}

func (c *resetConn) Write(p []byte) (int, error) {
	c.once.Do(func() { close(c.written) })
	return len(p), nil
}

func (c *resetConn) Read(p []byte) (int, error) {
	<-c.written
	if c.answer.Len() == 0 {
		return 0, syscall.ECONNRESET
	}
	return c.answer.Read(p)
}

// A body without length ends with its connection, unless the connection is reset.
func TestBodyWithoutLengthThatIsResetIsNotWhole(t *testing.T) {
	c := forward.NewClient(contract.Plover(), 1<<10, time.Second, netip.Addr{})
	defer c.Close()
	c.SetDial(func(context.Context, string, string) (net.Conn, error) {
		near, _ := net.Pipe()
		return &resetConn{
			Conn:    near,
			answer:  strings.NewReader("HTTP/1.1 200 OK\r\n\r\nbo"),
			written: make(chan struct{}),
		}, nil
	})
	_, err := c.Do(t.Context(), &forward.Request{
		ID:       "one",
		Target:   "192.0.2.1:80",
		Method:   http.MethodGet,
		URI:      "/",
		Header:   http.Header{},
		Deadline: time.Now().Add(time.Second),
	})
	var fe *forward.Error
	if !errors.As(err, &fe) || fe.Kind() != forward.KindReset || fe.Outcome() != attempt.OutcomeUnknown {
		t.Fatalf("got %v", err)
	}
}
