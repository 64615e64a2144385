// SPDX-License-Identifier: Apache-2.0

package inbound

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"ploverjunction.example/ploverjunction/internal/header"
)

// refusalTimeout is how long a refused client may take to receive its refusal.
const refusalTimeout = 500 * time.Millisecond

// errRead is the failure of reading from a connection that is closed for a limit. net/http answers nothing to a
// *net.OpError.
var errRead = &net.OpError{
	Op:  "read",
	Net: "tcp",
	Err: ErrClosed,
}

// HTTP holds the bounds of the requests of an HTTPListener.
type HTTP struct {
	// MaxHeader returns the greatest size of a header in bytes.
	MaxHeader func() int64
	// Refusal returns the answer to a request whose header is not read to its end: 431 if it is too large, 503 if
	// there is no memory for it.
	Refusal func(status int) string
}

// HTTPListener is a Listener for net/http. Its connections are *HTTPConn; ConnState must be the hook of the
// http.Server, whose own timeouts are not needed.
type HTTPListener struct {
	*Listener
	http HTTP
}

// NewHTTPListener returns a listener that accepts the connections of lis.
func NewHTTPListener(lis net.Listener, cfg Config, bounds HTTP) *HTTPListener {
	return &HTTPListener{
		Listener: NewListener(lis, cfg),
		http:     bounds,
	}
}

// Accept waits for the next connection that is within the bounds.
func (l *HTTPListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &HTTPConn{
		Conn: conn.(*Conn),
		http: &l.http,
	}, nil
}

// HTTPConn is a connection that scans the header of the request being read, and reserves memory for it. A request
// whose header exceeds the bounds is refused before net/http parses it.
type HTTPConn struct {
	*Conn
	http     *HTTP
	mu       sync.Mutex
	header   header.Scan
	scanning bool
	refused  atomic.Bool
}

// TCP returns the TCP connection, or nil for another one.
func (c *HTTPConn) TCP() *net.TCPConn {
	tcp, _ := c.Conn.Conn.(*net.TCPConn)
	return tcp
}

// Refused reports whether a request was refused, so that the last answer on the connection is whole.
func (c *HTTPConn) Refused() bool { return c.refused.Load() }

type connKey struct{}

// WithConn is the ConnContext hook of an http.Server that serves an HTTPListener and has no use of its own for it.
func WithConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// TrackConnState is the ConnState hook of such a server.
func TrackConnState(conn net.Conn, s http.ConnState) {
	if c, ok := conn.(*HTTPConn); ok {
		c.ConnState(s)
	}
}

// ConnOf returns the connection of a request of such a server, or nil.
func ConnOf(r *http.Request) *HTTPConn {
	c, _ := r.Context().Value(connKey{}).(*HTTPConn)
	return c
}

// ConnState follows the state of the connection in net/http.
func (c *HTTPConn) ConnState(s http.ConnState) {
	switch s {
	case http.StateNew:
		c.start()
	case http.StateIdle:
		// An error means that the connection has ended already.
		_ = c.SetWriteDeadline(time.Time{})
		c.Wait()
		c.start()
	}
}

// Header returns the header of the request that was read last, and ends its scan. It is empty for a pipelined request.
func (c *HTTPConn) Header() header.Scan {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.scanning = false
	return c.header
}

// HoldRequest reserves memory for the header of a request that net/http has parsed: what a client sends before the answer
// to its last request may not have been scanned. It returns false if there is none.
func (c *HTTPConn) HoldRequest(r *http.Request) bool {
	cost := header.Cost(r.Header)
	if cost == 0 || c.Hold(cost) {
		return true
	}
	c.report(ReasonMemory)
	return false
}

// start begins scanning: the next byte belongs to a new request.
func (c *HTTPConn) start() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.header = header.Scan{}
	c.scanning = true
}

// Read reads from the client and scans what may be a header.
func (c *HTTPConn) Read(p []byte) (int, error) {
	if c.refused.Load() {
		return 0, errRead
	}
	n, err := c.Conn.Read(p)
	if n == 0 {
		return n, err
	}
	h, ok := c.scan(p[:n])
	if !ok {
		return n, err
	}
	if !c.Begin() {
		return 0, errRead
	}
	if h.Size() > c.http.MaxHeader() {
		return 0, c.refuse(http.StatusRequestHeaderFieldsTooLarge, ReasonSize)
	}
	if cost := h.Cost(); cost > 0 && !c.Hold(cost) {
		return 0, c.refuse(http.StatusServiceUnavailable, ReasonMemory)
	}
	return n, err
}

// scan scans what was read and returns the header so far, and false if none is being read.
func (c *HTTPConn) scan(p []byte) (header.Scan, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.scanning {
		return header.Scan{}, false
	}
	c.header.Add(p)
	c.scanning = !c.header.Whole()
	return c.header, true
}

// refuse answers a request whose header is not read to its end, and returns the error with which reading fails.
func (c *HTTPConn) refuse(status int, r Reason) error {
	c.report(r)
	// The answers to all earlier requests were written, so that the kernel has room for this one. An error means that
	// the client is gone.
	_ = c.SetWriteDeadline(time.Now().Add(refusalTimeout))
	_, _ = io.WriteString(c.Conn, c.http.Refusal(status))
	c.refused.Store(true)
	return errRead
}
