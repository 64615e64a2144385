// SPDX-License-Identifier: Apache-2.0

package inbound_test

import (
	"context"
	"net"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"ploverjunction.example/ploverjunction/internal/inbound"
	"ploverjunction.example/ploverjunction/internal/memory"
)

// pipeListener accepts connections of pipes.
type pipeListener struct {
	conns chan net.Conn
}

func (l *pipeListener) Accept() (net.Conn, error) {
	c, ok := <-l.conns
	if !ok {
		return nil, net.ErrClosed
	}
	return c, nil
}

func (l *pipeListener) Close() error { return nil }

func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// door is a bounded listener and the reasons of the connections that it has closed.
type door struct {
	*inbound.Listener
	pipes   *pipeListener
	mu      sync.Mutex
	reasons []inbound.Reason
}

// closed returns the reasons of the connections closed so far.
func (d *door) closed() []inbound.Reason {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Clone(d.reasons)
}

func newDoor(t *testing.T, cfg inbound.Config) *door {
	t.Helper()
	d := &door{
		pipes: &pipeListener{
			conns: make(chan net.Conn, 16),
		},
	}
	cfg.OnClosed = func(c inbound.Closed) {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.reasons = append(d.reasons, c.Reason)
	}
	d.Listener = inbound.NewListener(d.pipes, cfg)
	return d
}

// open opens a connection, which is not accepted yet.
func (d *door) open() {
	near, _ := net.Pipe()
	d.pipes.conns <- near
}

// accept opens and accepts a connection.
func (d *door) accept(t *testing.T) *inbound.Conn {
	t.Helper()
	d.open()
	c, err := d.Accept()
	if err != nil {
		t.Fatal(err)
	}
	return c.(*inbound.Conn)
}

// Guards against clients that keep others out: the connection that has been without a whole request for longest is
// closed for a new one, then the one that has been idle for longest, and never one that is served.
func TestOldestConnectionWithoutRequestMakesRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDoor(t, inbound.Config{
			Connections: 4,
		})
		var conns []*inbound.Conn
		for range 4 {
			conns = append(conns, d.accept(t))
			time.Sleep(time.Millisecond)
		}
		conns[0].Serve()
		conns[0].Wait()
		conns[1].Serve()
		conns[2].Begin()
		for i, want := range []int{2, 3, 4, 5} {
			conns = append(conns, d.accept(t))
			if conns[want].Serve() {
				t.Errorf("connection %d: number %d is open", 4+i, want)
			}
		}
		if !conns[0].Begin() || !conns[7].Begin() {
			t.Error("an idle connection or the newest one was closed")
		}
		// All others are served, or idle.
		conns[7].Serve()
		conns[6].Close()
		conns = append(conns, d.accept(t))
		conns[8].Serve()
		conns[0].Serve()
		d.open()
		d.open()
		close(d.pipes.conns)
		if _, err := d.Accept(); err == nil {
			t.Error("a connection is accepted while all others are served")
		}
		if d.Open() != 4 {
			t.Errorf("%d connections open, want 4", d.Open())
		}
	})
}

// Guards against memory that is never reserved, never released, or held by connections that send slowly.
func TestMemoryOfConnectionsIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		budget := memory.NewBudget(100)
		d := newDoor(t, inbound.Config{
			Memory: budget,
		})
		first, second, third := d.accept(t), d.accept(t), d.accept(t)
		if !first.Hold(60) || !second.Hold(40) || third.Hold(1) {
			t.Fatal("wrong reservations")
		}
		time.Sleep(2 * time.Second)
		second.Serve()
		if third.Hold(50) || first.Begin() {
			t.Error("a connection that has been receiving for long stays open, or its memory is given away before it is closed")
		}
		first.Close()
		if !third.Hold(50) {
			t.Error("a connection that was closed for another one keeps its memory")
		}
		if third.Hold(70) {
			t.Error("a connection that is served lost its memory")
		}
		second.Wait()
		if budget.Used() != 50 || !third.Hold(100) {
			t.Errorf("%d bytes in use after an answer, want 50", budget.Used())
		}
		third.Close()
		third.Close()
		if budget.Used() != 0 {
			t.Errorf("%d bytes in use after the last connection", budget.Used())
		}
	})
}

// Guards against connections that stay open for longer than their limits, and those that are closed within them.
func TestTimesOfConnections(t *testing.T) {
	tests := []struct {
		name string
		use  func(c *inbound.Conn)
		want time.Duration
		why  inbound.Reason
	}{
		{
			name: "nothing sent",
			use:  func(*inbound.Conn) {},
			want: 10 * time.Second,
			why:  inbound.ReasonIdle,
		},
		{
			name: "a part of a header",
			use:  func(c *inbound.Conn) { c.Begin() },
			want: 3 * time.Second,
			why:  inbound.ReasonSlow,
		},
		{
			name: "answered",
			use: func(c *inbound.Conn) {
				c.Begin()
				c.Receive()
				c.Serve()
				c.Wait()
			},
			want: 10 * time.Second,
			why:  inbound.ReasonIdle,
		},
		{
			name: "a part of the next header",
			use: func(c *inbound.Conn) {
				c.Serve()
				c.Wait()
				c.Begin()
			},
			want: 3 * time.Second,
			why:  inbound.ReasonSlow,
		},
		{
			name: "a body",
			use: func(c *inbound.Conn) {
				c.Begin()
				c.Receive()
			},
			want: time.Hour,
		},
		{
			name: "served",
			use:  func(c *inbound.Conn) { c.Serve() },
			want: time.Hour,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := newDoor(t, inbound.Config{
					HeaderTimeout: func() time.Duration { return 3 * time.Second },
					IdleTimeout:   func() time.Duration { return 10 * time.Second },
				})
				ctx, cancel := context.WithCancel(t.Context())
				go func() { _ = d.Run(ctx) }()
				c := d.accept(t)
				tt.use(c)
				time.Sleep(tt.want - time.Millisecond)
				if got := d.closed(); len(got) > 0 {
					t.Errorf("closed before %v: %v", tt.want, got)
				}
				time.Sleep(time.Second)
				want := []inbound.Reason{tt.why}
				if tt.why == "" {
					want = nil
				}
				if got := d.closed(); !slices.Equal(got, want) {
					t.Errorf("after %v closed for %v, want %v", tt.want, got, want)
				}
				cancel()
			})
		})
	}
}

// Guards against a planned stop that closes the connection of a request and then serves it.
func TestClosedIdleConnectionsAreNotServed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDoor(t, inbound.Config{})
		idle, begun, served, fresh, old := d.accept(t), d.accept(t), d.accept(t), d.accept(t), d.accept(t)
		for _, c := range []*inbound.Conn{idle, begun, served, fresh} {
			c.Serve()
			c.Wait()
		}
		begun.Begin()
		served.Receive()
		served.Serve()
		_ = fresh.Close()
		time.Sleep(time.Second)
		fresh = d.accept(t)
		d.CloseIdle(time.Now(), time.Second/2)
		if idle.Begin() || idle.Receive() || old.Begin() || old.Receive() {
			t.Error("a request is served on a connection that was closed")
		}
		if !begun.Receive() || !served.Serve() || !fresh.Begin() {
			t.Error("a connection with a request, or a new one, was closed")
		}
		if d.Open() != 3 {
			t.Errorf("%d connections open, want 3", d.Open())
		}
	})
}

// Guards against a planned stop, or a limit of idle connections, that closes a connection while its answer is on the way:
// with bytes that were not read the kernel resets it, and the client loses what has not arrived.
func TestLingeringConnectionsAreNotIdle(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDoor(t, inbound.Config{
			Connections: 2,
			IdleTimeout: func() time.Duration { return time.Second },
		})
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go func() { _ = d.Run(ctx) }()
		lingering, idle := d.accept(t), d.accept(t)
		for _, c := range []*inbound.Conn{lingering, idle} {
			c.Serve()
		}
		lingering.Linger()
		idle.Wait()
		d.CloseIdle(time.Now(), time.Minute)
		time.Sleep(2 * time.Second)
		if d.Open() != 1 || lingering.Receive() == idle.Receive() {
			t.Fatalf("%d connections open, want the lingering one", d.Open())
		}
		lingering.Linger()
		d.accept(t).Serve()
		d.accept(t)
		if got := d.closed(); !slices.Equal(got, []inbound.Reason{inbound.ReasonConnections}) || lingering.Receive() {
			t.Errorf("closed for %v, want the lingering connection for the number of connections", got)
		}
	})
}
