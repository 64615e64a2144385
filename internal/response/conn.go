// SPDX-License-Identifier: Apache-2.0

package response

import (
	"context"
	"crypto/tls"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
)

// ErrSurplus is the error of a connection on which more was read than the answer to the last request, or anything before the
// first one.
var ErrSurplus = errors.New("response: bytes that belong to no answer")

// ErrTooLarge is the error of an answer with a head beyond the bounds, or with too many interim responses.
var ErrTooLarge = errors.New("response: the head of an answer is too large")

// Bounds are those of the heads of an answer.
type Bounds struct {
	// Memory is the greatest estimated memory in bytes of one head; 0 means no bound.
	Memory int64
	// Interims is the greatest number of interim responses.
	Interims int
}

// DialFunc opens a connection.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Dial returns a dial function whose connections scan the answers that they carry. They are for requests without a body,
// other than HEAD, one at a time. Reading fails for answers that the protocol or the bounds do not allow, and at the end of
// an answer without a length whose connection did not end cleanly.
func Dial(dial DialFunc, b Bounds) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &Conn{
			Conn:   conn,
			bounds: b,
		}, nil
	}
}

// NewTransport returns a transport whose connections scan the answers that they carry, for requests as those of Dial. Over TLS it
// speaks HTTP/1.1.
func NewTransport(b Bounds) *http.Transport {
	dialer := &net.Dialer{}
	overTLS := &tls.Dialer{
		NetDialer: dialer,
		Config: &tls.Config{
			NextProtos: []string{"http/1.1"},
		},
	}
	return &http.Transport{
		DialContext:    Dial(dialer.DialContext, b),
		DialTLSContext: Dial(overTLS.DialContext, b),
	}
}

// Conn is a connection that scans the answers that it carries.
type Conn struct {
	net.Conn
	bounds Bounds
	writes Writes
	mu     sync.Mutex
	scan   Scan
	// requested is set once a part of a request was written.
	requested bool
	// failed is the error after which nothing may be read or written, or nil. The reader of net/http drops an error in the
	// middle of a line, and reads on.
	failed error
	// cut is set if reading ended within an answer.
	cut bool
}

// Write writes a part of a request. The first one after an answer begins a new exchange; it fails if more than
// that answer was read.
func (c *Conn) Write(p []byte) (int, error) {
	if err := c.begin(); err != nil {
		return 0, err
	}
	return c.writes.Write(c.Conn, p)
}

func (c *Conn) begin() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.failed != nil {
		return c.failed
	}
	if c.scan.Surplus() {
		c.failed = ErrSurplus
		return c.failed
	}
	if c.scan.Whole() {
		c.scan = Scan{}
	}
	c.requested = true
	return nil
}

// Read reads from the other end.
func (c *Conn) Read(p []byte) (int, error) {
	if err := c.failure(); err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.failed == nil {
		c.failed = c.check(p[:n])
	}
	if c.failed != nil {
		return 0, c.failed
	}
	if errors.Is(err, io.EOF) {
		switch {
		case c.scan.UntilClose() && !c.writes.CleanEnd(c.Conn):
			err = ErrReset
		case c.scan.Begun() && !c.scan.Whole() && !c.scan.UntilClose():
			c.cut = true
		}
	}
	return n, err
}

// NoAnswer reports whether the other end has sent what is no answer: a malformed one, one beyond the bounds, or a part of one before it
// ended the connection.
func (c *Conn) NoAnswer() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.failed != nil || c.cut
}

func (c *Conn) failure() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.failed
}

// check scans what was read. c.mu is held.
func (c *Conn) check(p []byte) error {
	if len(p) == 0 {
		return nil
	}
	if !c.requested || c.scan.Whole() {
		return ErrSurplus
	}
	if err := c.scan.Add(p); err != nil {
		return err
	}
	if c.bounds.Memory > 0 && c.scan.Cost() > c.bounds.Memory || c.scan.Interims() > c.bounds.Interims {
		return ErrTooLarge
	}
	return nil
}
