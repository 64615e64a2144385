// SPDX-License-Identifier: Apache-2.0

package entry

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"ploverjunction.example/ploverjunction/internal/inbound"
	"ploverjunction.example/ploverjunction/internal/task"
)

// callerConn is a caller's connection.
type callerConn struct {
	*inbound.HTTPConn
	// answered is set while all requests read so far have their whole answers, ended once the caller has ended its
	// direction.
	answered atomic.Bool
	ended    atomic.Bool
	// track receives the task that closes the connection.
	track func(t *task.Task)
}

// CloseWrite ends what is sent to the caller.
func (c *callerConn) CloseWrite() error {
	if tcp := c.TCP(); tcp != nil {
		return tcp.CloseWrite()
	}
	return nil
}

// Close closes the connection. After a whole answer it first reads for up to restTimeout what the caller still sends, and
// for longer while it goes on sending and has not received the answer: the kernel discards an answer that is on its way to the caller
// when a connection is closed with unread bytes.
func (c *callerConn) Close() error {
	tcp := c.TCP()
	answered := c.answered.Swap(false) || c.Refused()
	if tcp == nil || !answered || c.ended.Swap(true) {
		return c.HTTPConn.Close()
	}
	c.Linger()
	// An error means that the connection has ended already.
	_ = tcp.CloseWrite()
	c.track(task.Go(context.Background(), "close of a caller's connection", func(context.Context) error {
		discardRest(tcp)
		return c.HTTPConn.Close()
	}))
	return nil
}

// maxLinger bounds the time for which a caller may take to receive an answer after the end of its connection.
const maxLinger = 3 * time.Second

// discardRest reads what a caller still sends after its answer.
func discardRest(tcp *net.TCPConn) {
	for end := time.Now().Add(maxLinger); ; {
		_ = tcp.SetReadDeadline(time.Now().Add(restTimeout))
		n, err := io.Copy(io.Discard, tcp)
		if n == 0 || !errors.Is(err, os.ErrDeadlineExceeded) || time.Now().After(end) || !unreceived(tcp) {
			return
		}
	}
}

// Read reads from the caller.
func (c *callerConn) Read(p []byte) (int, error) {
	n, err := c.HTTPConn.Read(p)
	if errors.Is(err, io.EOF) {
		c.ended.Store(true)
	}
	return n, err
}

// callerListener is a listener for callers' connections.
type callerListener struct {
	*inbound.HTTPListener
	track func(t *task.Task)
	// stopped is set once no connection is accepted any more, closed is closed by Close.
	stopped atomic.Bool
	closed  chan struct{}
	// stop closes the port, end closes closed. Both may be called more than once.
	stop func() error
	end  func()
}

func newCallerListener(lis *inbound.HTTPListener, track func(t *task.Task)) *callerListener {
	l := &callerListener{
		HTTPListener: lis,
		track:        track,
		closed:       make(chan struct{}),
		stop:         sync.OnceValue(lis.Close),
	}
	l.end = sync.OnceFunc(func() { close(l.closed) })
	return l
}

// StopAccepting closes the port. Accept waits for Close from then on, so that net/http still serves the connections that
// are open.
func (l *callerListener) StopAccepting() error {
	l.stopped.Store(true)
	return l.stop()
}

// Close closes the port and ends Accept.
func (l *callerListener) Close() error {
	l.end()
	return l.stop()
}

// Accept waits for the next connection.
func (l *callerListener) Accept() (net.Conn, error) {
	conn, err := l.HTTPListener.Accept()
	if err != nil {
		if l.stopped.Load() {
			<-l.closed
		}
		return nil, err
	}
	c := &callerConn{
		HTTPConn: conn.(*inbound.HTTPConn),
		track:    l.track,
	}
	if tcp := c.TCP(); tcp != nil {
		// The error of a connection that has ended already is found at its first read.
		_ = limitBuffers(tcp)
	}
	return c, nil
}

// limitBuffers bounds what the kernel holds of bodies in each direction of a caller's connection.
// It would grow the send buffer to megabytes for each caller that reads slowly.
func limitBuffers(c *net.TCPConn) error {
	return errors.Join(c.SetReadBuffer(callerBuffer), c.SetWriteBuffer(callerBuffer))
}

type connKey struct{}

// withConn puts the connection into the context of its requests.
func withConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// connOf returns the caller's connection, or nil for a request of a peer.
func connOf(r *http.Request) *callerConn {
	c, _ := r.Context().Value(connKey{}).(*callerConn)
	return c
}

// setAnswered sets whether the last request on the caller's connection has its whole answer.
func setAnswered(r *http.Request, answered bool) {
	if c := connOf(r); c != nil {
		c.answered.Store(answered)
	}
}

// setDiscard sets whether the close of the caller's connection discards what the caller has not read.
// The kernel would otherwise hold it until the caller reads it.
func setDiscard(r *http.Request, discard bool) {
	c := connOf(r)
	if c == nil || c.TCP() == nil {
		return
	}
	seconds := -1
	if discard {
		seconds = 0
	}
	// It fails only for a connection that is closed.
	_ = c.TCP().SetLinger(seconds)
}

// trackConnState follows the state of a connection.
func trackConnState(conn net.Conn, state http.ConnState) {
	if c, ok := conn.(*callerConn); ok {
		c.ConnState(state)
	}
}

// hasLengthAndChunks reports whether a request has both a Content-Length and chunked encoding: net/http drops the
// Content-Length before a handler sees it (RFC 9112, section 6.3, allows that). Such requests are used for request
// smuggling. A chunked request whose header was not scanned, because it was pipelined, counts as one that has both.
func hasLengthAndChunks(r *http.Request) bool {
	c := connOf(r)
	if c == nil {
		return false
	}
	h := c.Header()
	if len(r.TransferEncoding) == 0 {
		return false
	}
	return h.Size() == 0 || h.HasLength()
}
