// SPDX-License-Identifier: Apache-2.0

package link

import (
	"errors"
	"net"
	"sync"

	"ploverjunction.example/ploverjunction/internal/memory"
)

const (
	// freeAnswer is the size in bytes up to which a message of an answer is not counted: more than a part of a body.
	// Larger ones are heads.
	freeAnswer = bodyPart + 8<<10
	// answerCost estimates the memory in bytes that a byte of a head takes while it is decoded: a field of a short line
	// has some 8 bytes and takes some 300.
	answerCost = 64
)

// errNoMemory is the failure of reading an answer for which there is no memory.
var errNoMemory = errors.New("link: no memory for the answer of a peer")

// answerConn is a connection for forwarded requests that scans the messages of answers and reserves memory for large
// ones. It may be used concurrently.
type answerConn struct {
	net.Conn
	budget *memory.Budget
	mu     sync.Mutex
	frames frames
	held   int64
}

// Read reads from the peer. It fails if there is no memory for the message being read.
func (c *answerConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.frames.add(p[:n])
	if c.frames.size <= freeAnswer {
		return n, err
	}
	cost := (answerCost*c.frames.size + messageStep - 1) / messageStep * messageStep
	if cost <= c.held {
		return n, err
	}
	if !c.budget.Reserve(cost - c.held) {
		return 0, errNoMemory
	}
	c.held = cost
	return n, err
}

// release returns the memory of the messages that were received.
func (c *answerConn) release() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.budget.Release(c.held)
	c.held = 0
}

// Close closes the connection and returns its memory.
func (c *answerConn) Close() error {
	c.release()
	return c.Conn.Close()
}
