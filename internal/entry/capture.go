// SPDX-License-Identifier: Apache-2.0

package entry

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"sync"
)

// recordedConn is a caller's connection that keeps the raw header of the request
// that is being read. net/http drops a Content-Length that comes together with
// chunks before anyone sees it (RFC 9112, section 6.3, allows that), but such a
// request is how others smuggle, so it is refused here.
type recordedConn struct {
	net.Conn
	mu        sync.Mutex
	header    []byte
	recording bool
	maxHeader int
}

// Read reads from the caller and keeps what may be a header.
func (c *recordedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.recording && len(c.header) < c.maxHeader {
		c.header = append(c.header, p[:n]...)
	}
	return n, err
}

// start begins to keep bytes: the next one belongs to a new request.
func (c *recordedConn) start() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.header = c.header[:0]
	c.recording = true
}

// stop returns the kept header and keeps no more. It is empty for a request that
// came right behind another one.
func (c *recordedConn) stop() []byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.recording = false
	header, _, _ := bytes.Cut(c.header, []byte("\r\n\r\n"))
	return header
}

// recordingListener is a listener whose connections keep their headers.
type recordingListener struct {
	net.Listener
	maxHeader int
}

// Accept waits for the next caller.
func (l *recordingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &recordedConn{
		Conn:      conn,
		maxHeader: l.maxHeader,
	}, nil
}

type connKey struct{}

// withConn puts the connection into the context of its requests.
func withConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// trackConnState starts to keep a header whenever a connection waits for one.
func trackConnState(conn net.Conn, state http.ConnState) {
	if c, ok := conn.(*recordedConn); ok && (state == http.StateNew || state == http.StateIdle) {
		c.start()
	}
}

// hasLengthAndChunks reports whether a request stated a length and chunks. A chunked
// request whose header isn't known, for it came right behind another one, is
// taken for one that did.
func hasLengthAndChunks(r *http.Request) bool {
	c, ok := r.Context().Value(connKey{}).(*recordedConn)
	if !ok {
		return false
	}
	header := c.stop()
	if len(r.TransferEncoding) == 0 {
		return false
	}
	return len(header) == 0 || bytes.Contains(bytes.ToLower(header), []byte("\ncontent-length"))
}
