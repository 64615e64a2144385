// SPDX-License-Identifier: Apache-2.0

package forward_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"ploverjunction.example/ploverjunction/internal/attempt"
	"ploverjunction.example/ploverjunction/internal/contract"
	"ploverjunction.example/ploverjunction/internal/forward"
)

// lateConn is a connection on which bytes arrive while it is being closed.
type lateConn struct {
	net.Conn
	late    string
	closing chan struct{}
	once    sync.Once
	read    chan struct{}
}

func (c *lateConn) Read(p []byte) (int, error) {
	type result struct {
		n   int
		err error
	}
	got := make(chan result, 1)
	buf := make([]byte, len(p))
	go func() {
		n, err := c.Conn.Read(buf)
		got <- result{
			n:   n,
			err: err,
		}
	}()
	select {
	case r := <-got:
		return copy(p, buf[:r.n]), r.err
	case <-c.closing:
		defer c.once.Do(func() { close(c.read) })
		return copy(p, c.late), nil
	}
}

func (c *lateConn) Close() error {
	if c.late != "" {
		select {
		case <-c.closing:
		default:
			close(c.closing)
			<-c.read
			<-time.After(10 * time.Millisecond)
		}
	}
	return c.Conn.Close()
}

// Guards against bytes of a connection that an attempt has given up, which are scanned as a part of its answer on another
// connection.
func TestBytesOfGivenUpConnectionAreNotOfTheAnswer(t *testing.T) {
	const refusal = "HTTP/1.1 503 Busy\r\nPlover-Request-Id: the-id\r\nPlover-Outcome: not-run\r\nContent-Length: 0\r\n\r\n"
	const good = "HTTP/1.1 200 OK\r\nPlover-Request-Id: the-id\r\nContent-Length: 2\r\n\r\nok"
	const bad = "HTTP/1.1 200 OK\r\nPlover-Request-Id: the-id\r\nX Odd: 1\r\nContent-Length: 2\r\n\r\nok"
	for _, tt := range []struct {
		name   string
		late   string
		answer string
		ok     bool
	}{
		{
			name:   "nothing late",
			answer: good,
			ok:     true,
		},
		{
			name:   "part of a late answer",
			late:   "HTTP/1.1 20",
			answer: good,
			ok:     true,
		},
		{
			name:   "whole late answer",
			late:   refusal,
			answer: good,
			ok:     true,
		},
		{
			name:   "malformed answer after a whole late one",
			late:   refusal,
			answer: bad,
		},
	} {
		t.Run(tt.name, func(t *testing.T) {
			opened := 0
			c := forward.NewClient(contract.Plover(), 1<<10, 5*time.Second, netip.Addr{})
			defer c.Close()
			c.SetDial(func(context.Context, string, string) (net.Conn, error) {
				near, far := net.Pipe()
				opened++
				text := tt.answer
				if opened > 1 {
					go func() {
						<-time.After(50 * time.Millisecond)
						reply(text)(far)
					}()
					return near, nil
				}
				go func() {
					req, err := http.ReadRequest(bufio.NewReader(far))
					if err == nil {
						_, _ = io.Copy(io.Discard, req.Body)
						_, _ = io.WriteString(far, refusal)
					}
				}()
				return &lateConn{
					Conn:    near,
					late:    tt.late,
					closing: make(chan struct{}),
					read:    make(chan struct{}),
				}, nil
			})
			do := func() (*forward.Answer, error) {
				r := request(time.Now().Add(5 * time.Second))
				r.Method, r.Body, r.Length = http.MethodGet, nil, 0
				return c.Do(context.Background(), r)
			}
			_, err := do()
			if fe := asError(t, err); fe.Outcome() != attempt.OutcomeNotRun {
				t.Fatal(err)
			}
			<-time.After(50 * time.Millisecond)
			a, err := do()
			if err != nil {
				t.Logf("%d connections: kind %q, outcome %v: %v", opened, asError(t, err).Kind(), asError(t, err).Outcome(), err)
			} else {
				a.Close()
			}
			if (err == nil) != tt.ok {
				t.Errorf("got %v, want an answer: %t", err, tt.ok)
			}
		})
	}
}

// Guards against bytes that were read before a byte of the request was written, and are taken for its answer.
func TestBytesBeforeTheRequestAreNoAnswer(t *testing.T) {
	const answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n"
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = lis.Close() }()
	conns := make(chan net.Conn, 4)
	var runs atomic.Int64
	go func() {
		for {
			c, err := lis.Accept()
			if err != nil {
				return
			}
			go func() {
				br := bufio.NewReader(c)
				for {
					req, err := http.ReadRequest(br)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, req.Body)
					if runs.Add(1) == 1 {
						_, _ = io.WriteString(c, answer+"ok")
						conns <- c
					}
				}
			}()
		}
	}()
	c := forward.NewClient(contract.Plover(), 1<<10, 5*time.Second, netip.Addr{})
	defer c.Close()
	r := request(time.Now().Add(time.Second))
	r.Target, r.ID = lis.Addr().String(), "first"
	a, err := c.Do(context.Background(), r)
	if err != nil {
		t.Fatal(err)
	}
	a.Close()
	conn := <-conns
	calls := 0
	r = request(time.Now().Add(time.Second))
	r.Target, r.ID = lis.Addr().String(), "second"
	r.Unavailable = func(time.Time) bool {
		// The last call is made immediately before the first byte is sent.
		if calls++; calls == 2 {
			_, _ = io.WriteString(conn, answer+"no")
			<-time.After(50 * time.Millisecond)
		}
		return false
	}
	a, err = c.Do(context.Background(), r)
	if err == nil {
		body, _ := io.ReadAll(a)
		t.Errorf("got %q, which was sent before the request", body)
	} else {
		t.Log(err)
	}
}
