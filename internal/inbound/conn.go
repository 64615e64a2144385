// SPDX-License-Identifier: Apache-2.0

package inbound

import (
	"container/list"
	"errors"
	"net"
	"time"
)

// state is what a connection is used for.
type state uint8

const (
	// receiving means that no whole request has arrived since the connection was accepted, or since the current
	// one began.
	receiving state = iota
	// idle means that the last request was answered.
	idle
	// lingering means that the last request was answered and the connection is being closed, once the client has the
	// answer.
	lingering
	// serving means that a whole request is being answered.
	serving
)

// ErrClosed is the error of a connection that was closed for a limit.
var ErrClosed = errors.New("inbound: connection closed for a limit")

// Conn is a connection of a Listener. Its owner reports the progress of requests; without reports a connection
// stays one that is receiving. Close may be called concurrently with all other methods.
type Conn struct {
	net.Conn
	listener *Listener
	// The fields below are protected by listener.mu.
	state state
	// since is when the state began. begun is when the first byte of the header being received arrived, the zero time
	// if none is. body is set while the body of a request is received.
	since time.Time
	begun time.Time
	body  bool
	held  int64
	// element is that of the list of the state.
	element *list.Element
	closed  bool
}

// Begin reports that bytes of a request have arrived. It returns false if the connection was closed.
func (c *Conn) Begin() bool {
	l := c.listener
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.closed {
		return false
	}
	if c.state == serving {
		return true
	}
	now := time.Now()
	if c.state == idle {
		l.move(c, receiving, now)
	}
	if c.begun.IsZero() && !c.body {
		c.begun = now
	}
	return true
}

// Receive reports that the header of a request is whole and its body is being read. It returns false if the
// connection was closed, so that the request must not be served.
func (c *Conn) Receive() bool {
	l := c.listener
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.closed {
		return false
	}
	if c.state != receiving {
		l.move(c, receiving, time.Now())
	}
	c.begun, c.body = time.Time{}, true
	return true
}

// Whole reports that what was received has no answer: a connection that is not serving becomes idle.
func (c *Conn) Whole() {
	l := c.listener
	l.mu.Lock()
	defer l.mu.Unlock()
	if !c.closed && c.state != serving {
		l.move(c, idle, time.Now())
		c.begun, c.body = time.Time{}, false
	}
}

// Serve reports that a request is whole, or that its answer may begin. The connection is not closed for a limit from
// then on. It returns false if it was closed before, so that the request must not be served.
func (c *Conn) Serve() bool {
	l := c.listener
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.closed {
		return false
	}
	l.move(c, serving, time.Now())
	c.begun, c.body = time.Time{}, false
	return true
}

// Wait reports that the last request was answered, and releases its memory unless the listener keeps it.
func (c *Conn) Wait() { c.finish(idle) }

// Linger reports the same of a connection that its owner closes once the client has had time to receive the answer. Until then it
// is not idle.
func (c *Conn) Linger() { c.finish(lingering) }

func (c *Conn) finish(to state) {
	l := c.listener
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.closed {
		return
	}
	l.move(c, to, time.Now())
	c.begun, c.body = time.Time{}, false
	if !l.cfg.KeepMemory {
		l.release(c)
	}
}

// Hold raises the memory in bytes that the connection takes to n. It returns false if there is none; another connection
// that is idle, or has been receiving for long, is closed then, whose memory is available once its owner has closed it
// too.
func (c *Conn) Hold(n int64) bool {
	l := c.listener
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.closed {
		return false
	}
	if n <= c.held {
		return true
	}
	if l.cfg.Memory.Reserve(n - c.held) {
		c.held = n
		return true
	}
	now := time.Now()
	if victim := l.holder(c, now); victim != nil {
		l.evict(victim, ReasonMemory, now)
	}
	return false
}

// CloseFor closes the connection for a limit.
func (c *Conn) CloseFor(r Reason) {
	l := c.listener
	l.mu.Lock()
	defer l.mu.Unlock()
	if !c.closed {
		l.evict(c, r, time.Now())
	}
}

// report reports that the connection will be closed for a limit.
func (c *Conn) report(r Reason) {
	l := c.listener
	l.mu.Lock()
	defer l.mu.Unlock()
	l.notify(c, r, time.Now())
}

// Close closes the connection and releases its memory.
func (c *Conn) Close() error {
	l := c.listener
	l.mu.Lock()
	l.remove(c)
	l.release(c)
	l.mu.Unlock()
	return c.Conn.Close()
}
