// SPDX-License-Identifier: Apache-2.0

package entry

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"ploverjunction.example/ploverjunction/internal/task"
)

// recordedConn is a caller's connection that records the raw header of the request being read.
// net/http drops a Content-Length that comes with chunked encoding before a handler sees it (RFC
// 9112, section 6.3, allows that). Such requests are used for request smuggling and are refused
// here.
type recordedConn struct {
	net.Conn
	mu        sync.Mutex
	header    []byte
	recording bool
	maxHeader int
	// answered is set while all requests read so far have their whole answers, ended once the caller has ended its
	// direction.
	answered atomic.Bool
	ended    atomic.Bool
	// track receives the task that closes the connection.
	track func(t *task.Task)
}

// CloseWrite ends what is sent to the caller.
func (c *recordedConn) CloseWrite() error {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		return tcp.CloseWrite()
	}
	return nil
}

// Close closes the connection. After a whole answer it first reads for up to restTimeout what the caller still sends:
// the kernel discards an answer that is on its way to the caller when a connection is closed with unread bytes.
func (c *recordedConn) Close() error {
	tcp, ok := c.Conn.(*net.TCPConn)
	if !ok || !c.answered.Swap(false) || c.ended.Load() {
		return c.Conn.Close()
	}
	// An error means that the connection has ended already.
	_ = tcp.CloseWrite()
	c.track(task.Go(context.Background(), "close of a caller's connection", func(context.Context) error {
		_ = tcp.SetReadDeadline(time.Now().Add(restTimeout))
		_, _ = io.Copy(io.Discard, tcp)
		return tcp.Close()
	}))
	return nil
}

// Read reads from the caller and records what may be a header.
func (c *recordedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if errors.Is(err, io.EOF) {
		c.ended.Store(true)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.recording && len(c.header) < c.maxHeader {
		c.header = append(c.header, p[:n]...)
	}
	return n, err
}

// start begins recording: the next byte belongs to a new request.
func (c *recordedConn) start() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.header = c.header[:0]
	c.recording = true
}

// stop ends recording and returns the header. It is empty for a pipelined request.
func (c *recordedConn) stop() []byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.recording = false
	header, _, _ := bytes.Cut(c.header, []byte("\r\n\r\n"))
	return header
}

// recordingListener is a listener whose connections record request headers.
type recordingListener struct {
	net.Listener
	maxHeader int
	track     func(t *task.Task)
}

// Accept waits for the next connection.
func (l *recordingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	// The error of a connection that has ended already is found at its first read.
	_ = limitBuffers(conn)
	return &recordedConn{
		Conn:      conn,
		maxHeader: l.maxHeader,
		track:     l.track,
	}, nil
}

// limitBuffers bounds what the kernel holds of bodies in each direction of a caller's connection.
// It would grow the send buffer to megabytes for each caller that reads slowly.
func limitBuffers(conn net.Conn) error {
	c, ok := conn.(*net.TCPConn)
	if !ok {
		return nil
	}
	return errors.Join(c.SetReadBuffer(callerBuffer), c.SetWriteBuffer(callerBuffer))
}

type connKey struct{}

// withConn puts the connection into the context of its requests.
func withConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// setAnswered sets whether the last request on the caller's connection has its whole answer.
func setAnswered(r *http.Request, answered bool) {
	if c, ok := r.Context().Value(connKey{}).(*recordedConn); ok {
		c.answered.Store(answered)
	}
}

// setDiscard sets whether the close of the caller's connection discards what the caller has not read.
// The kernel would otherwise hold it until the caller reads it.
func setDiscard(r *http.Request, discard bool) {
	c, ok := r.Context().Value(connKey{}).(*recordedConn)
	if !ok {
		return
	}
	tcp, ok := c.Conn.(*net.TCPConn)
	if !ok {
		return
	}
	seconds := -1
	if discard {
		seconds = 0
	}
	// It fails only for a connection that is closed.
	_ = tcp.SetLinger(seconds)
}

// trackConnState starts recording when a connection waits for a request.
func trackConnState(conn net.Conn, state http.ConnState) {
	if c, ok := conn.(*recordedConn); ok && (state == http.StateNew || state == http.StateIdle) {
		c.start()
	}
}

// hasLengthAndChunks reports whether a request has both a Content-Length and chunked encoding. A
// chunked request whose header was not recorded, because it was pipelined, counts as one that has.
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
