// SPDX-License-Identifier: Apache-2.0

// Package inbound bounds the connections that a process accepts, how long they may take to send a request, and the
// memory of what they send.
//
// Where a bound on connections or memory is reached, connections that have not sent a whole request are closed before
// idle ones, and these before those whose last answer is on its way, those that have been in that state for longest first. A connection whose request is being served is never
// closed for a limit.
package inbound

import (
	"container/list"
	"context"
	"net"
	"sync"
	"time"

	"ploverjunction.example/ploverjunction/internal/memory"
)

const (
	// sweepInterval is the time between two checks of the times of connections.
	sweepInterval = 250 * time.Millisecond
	// holderGrace is how long a connection may receive a request before its memory can be given to another one.
	holderGrace = time.Second
)

// Config holds the bounds of a Listener. The functions may be called concurrently; nil or 0 means no bound.
type Config struct {
	// Door names the listener in logs and metrics.
	Door string
	// Connections is the greatest number of open connections; 0 means no bound.
	Connections int
	// Memory bounds what connections hold; listeners may share one.
	Memory *memory.Budget
	// KeepMemory is set if connections keep what they hold until they are closed, as buffers that grow.
	KeepMemory bool
	// HeaderTimeout is how long a request's header may take from its first byte on, IdleTimeout how long a
	// connection may be open without a byte of a request.
	HeaderTimeout func() time.Duration
	IdleTimeout   func() time.Duration
	// OnClosed is called for each connection that is closed for a limit. It must not block or use the connection;
	// nil disables it.
	OnClosed func(Closed)
}

// Listener accepts connections within bounds.
type Listener struct {
	net.Listener
	cfg Config
	mu  sync.Mutex
	// byState are the connections in each state, those that have been in it for longest first.
	byState [serving + 1]list.List
}

// NewListener returns a listener that accepts the connections of lis.
func NewListener(lis net.Listener, cfg Config) *Listener {
	if cfg.Memory == nil {
		cfg.Memory = memory.NewBudget(0)
	}
	return &Listener{
		Listener: lis,
		cfg:      cfg,
	}
}

// Accept waits for the next connection that is within the bounds. The connection is a *Conn.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.add(conn, time.Now()); c != nil {
			return c, nil
		}
	}
}

// Open returns the number of open connections.
func (l *Listener) Open() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.open()
}

func (l *Listener) open() (n int) {
	for i := range l.byState {
		n += l.byState[i].Len()
	}
	return n
}

// add adds a connection, or closes it and returns nil if all others are in use.
func (l *Listener) add(conn net.Conn, now time.Time) *Conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := &Conn{
		Conn:     conn,
		listener: l,
		since:    now,
	}
	if l.cfg.Connections > 0 && l.open() >= l.cfg.Connections {
		victim := l.oldest()
		if victim == nil {
			l.notify(c, ReasonConnections, now)
			// The other end learns of it by its next read or write.
			_ = conn.Close()
			return nil
		}
		l.evict(victim, ReasonConnections, now)
	}
	c.element = l.byState[receiving].PushBack(c)
	return c
}

// oldest returns the connection to close for another one, or nil.
func (l *Listener) oldest() *Conn {
	for _, s := range []state{receiving, idle, lingering} {
		if e := l.byState[s].Front(); e != nil {
			return e.Value.(*Conn)
		}
	}
	return nil
}

// holder returns a connection other than c that holds memory and is idle, or else the one that has been receiving for
// longest, if that is holderGrace, or nil.
func (l *Listener) holder(c *Conn, now time.Time) *Conn {
	// Others release their memory before they become idle.
	for e := l.byState[idle].Front(); e != nil && l.cfg.KeepMemory; e = e.Next() {
		if v := e.Value.(*Conn); v != c && v.held > 0 {
			return v
		}
	}
	for e := l.byState[receiving].Front(); e != nil; e = e.Next() {
		v := e.Value.(*Conn)
		if now.Sub(v.since) < holderGrace {
			return nil
		}
		if v != c && v.held > 0 {
			return v
		}
	}
	return nil
}

// move moves a connection to another state.
func (l *Listener) move(c *Conn, to state, now time.Time) {
	l.byState[c.state].Remove(c.element)
	c.state = to
	c.since = now
	c.element = l.byState[to].PushBack(c)
}

// evict closes a connection for a limit. Its memory stays reserved until its owner closes it too: what it takes is in
// use until then.
func (l *Listener) evict(c *Conn, r Reason, now time.Time) {
	l.notify(c, r, now)
	l.remove(c)
	// An error means that the connection has ended already.
	_ = c.Conn.Close()
}

// remove removes a connection that is being closed.
func (l *Listener) remove(c *Conn) {
	if c.closed {
		return
	}
	c.closed = true
	l.byState[c.state].Remove(c.element)
}

func (l *Listener) release(c *Conn) {
	l.cfg.Memory.Release(c.held)
	c.held = 0
}

func (l *Listener) notify(c *Conn, r Reason, now time.Time) {
	if l.cfg.OnClosed == nil {
		return
	}
	l.cfg.OnClosed(Closed{
		Door:   l.cfg.Door,
		Reason: r,
		Remote: c.RemoteAddr().String(),
		Age:    now.Sub(c.since),
		Held:   c.held,
		Open:   l.open(),
	})
}

// CloseIdle closes the idle connections, and those that have been open for longer than unused at now without a byte of a
// request. A request that has begun to arrive is served: either Begin or Receive comes first, or it fails.
func (l *Listener) CloseIdle(now time.Time, unused time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, s := range []state{receiving, idle} {
		for e := l.byState[s].Front(); e != nil; {
			c := e.Value.(*Conn)
			e = e.Next()
			silent := c.begun.IsZero() && !c.body && now.Sub(c.since) > unused
			if s == idle || silent {
				l.remove(c)
				// An error means that the connection has ended already.
				_ = c.Conn.Close()
			}
		}
	}
}

// Run closes connections that exceed their times until the context ends.
func (l *Listener) Run(ctx context.Context) error {
	tick := time.NewTicker(sweepInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-tick.C:
			l.sweep(now)
		}
	}
}

// sweep closes the connections that exceed their times at now.
func (l *Listener) sweep(now time.Time) {
	header, rest := timeout(l.cfg.HeaderTimeout), timeout(l.cfg.IdleTimeout)
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, s := range []state{receiving, idle} {
		for e := l.byState[s].Front(); e != nil; {
			c := e.Value.(*Conn)
			e = e.Next()
			switch {
			case header > 0 && !c.begun.IsZero() && now.Sub(c.begun) > header:
				l.evict(c, ReasonSlow, now)
			case rest > 0 && c.begun.IsZero() && !c.body && now.Sub(c.since) > rest:
				l.evict(c, ReasonIdle, now)
			}
		}
	}
}

func timeout(fn func() time.Duration) time.Duration {
	if fn == nil {
		return 0
	}
	return fn()
}
