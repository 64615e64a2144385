// SPDX-License-Identifier: Apache-2.0

package link

import (
	"context"
	"errors"
	"io"
	"sync"
	"time"

	"storj.io/drpc/drpcconn"

	"ploverjunction.example/ploverjunction/internal/traffic"
	"ploverjunction.example/ploverjunction/internal/wire"
)

const (
	// acceptTimeout is how long a peer may take to accept a request. It is several round trips
	// between regions, and callers wait meanwhile.
	acceptTimeout = 300 * time.Millisecond
	// bodyPart is the greatest number of bytes of a body in one message.
	bodyPart = 32 << 10
	// maxIdleForward bounds the unused connections for forwarded requests.
	maxIdleForward = 16
)

// KindUnable means that a peer cannot accept a request now. It has not seen its body.
const KindUnable Kind = "peer accepts no request"

// idleForward holds the connections for forwarded requests that are not in use, the last one used at
// the end. Each carries one request at a time.
type idleForward struct {
	mu   sync.Mutex
	list []idleConn
}

type idleConn struct {
	peer  string
	conn  *drpcconn.Conn
	since time.Time
}

// take returns an unused connection to a peer, or nil.
func (f *idleForward) take(peer string) *drpcconn.Conn {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i := len(f.list) - 1; i >= 0; i-- {
		c := f.list[i]
		if c.peer != peer {
			continue
		}
		f.list = append(f.list[:i], f.list[i+1:]...)
		select {
		case <-c.conn.Closed():
		default:
			return c.conn
		}
	}
	return nil
}

// put keeps a connection for later.
func (f *idleForward) put(peer string, conn *drpcconn.Conn) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.list = append(f.list, idleConn{
		peer:  peer,
		conn:  conn,
		since: time.Now(),
	})
	if len(f.list) > maxIdleForward {
		_ = f.list[0].conn.Close()
		f.list = f.list[1:]
	}
}

// closeBefore closes the connections that have been unused since before a time.
func (f *idleForward) closeBefore(t time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for len(f.list) > 0 && f.list[0].since.Before(t) {
		_ = f.list[0].conn.Close()
		f.list = f.list[1:]
	}
}

// Forwarded is a request that a peer has accepted. It is not safe for concurrent use, but SendBody
// may be called beside Receive.
type Forwarded struct {
	dialer *Dialer
	peer   string
	conn   *drpcconn.Conn
	// answer is the connection below conn.
	answer *answerConn
	stream wire.DRPCPeer_ForwardClient
	cancel context.CancelFunc
	// aborted returns an error once the exchange was aborted: its stream learns of that later.
	aborted func() error
	ended   bool
}

// Forward has a peer make the attempts for a request. It returns once the peer has accepted the head;
// the peer does nothing before it has received the body. The error's kind is KindDial or KindUnable,
// or KindCall if the peer refused the request, with the refusal as its cause. The context bounds the
// whole exchange.
func (d *Dialer) Forward(ctx context.Context, peer string, head *wire.RequestHead) (*Forwarded, error) {
	ctx, cancel := context.WithCancel(ctx)
	limit := time.AfterFunc(acceptTimeout, cancel)
	d.traffic.calls.Add(1)
	f := &Forwarded{
		dialer:  d,
		peer:    peer,
		cancel:  cancel,
		aborted: ctx.Err,
	}
	if err := f.open(ctx, head); err != nil {
		limit.Stop()
		f.Close()
		return nil, err
	}
	if !limit.Stop() {
		f.Close()
		return nil, f.fault(KindUnable, context.DeadlineExceeded)
	}
	return f, nil
}

// open connects to the peer and waits until it has accepted the head.
func (f *Forwarded) open(ctx context.Context, head *wire.RequestHead) error {
	f.conn = f.dialer.forward.take(f.peer)
	if f.conn == nil {
		conn, err := f.dialer.dial(ctx, f.peer, traffic.ForwardedRequests)
		if err != nil {
			return err
		}
		f.conn = conn
	}
	f.answer, _ = f.conn.Transport().(*answerConn)
	stream, err := wire.NewDRPCPeerClient(f.conn).Forward(ctx)
	if err != nil {
		return f.fault(KindUnable, err)
	}
	f.stream = stream
	if err := stream.Send(&wire.ForwardRequest{
		Head: head,
	}); err != nil {
		return f.fault(KindUnable, err)
	}
	in, err := stream.Recv()
	switch {
	case err != nil:
		return f.fault(KindUnable, err)
	case in.GetRefusal().GetUnable():
		return f.fault(KindUnable, nil)
	case in.GetRefusal() != nil:
		return f.fault(KindCall, &RefusedError{
			refusal: in.GetRefusal(),
		})
	case !in.GetAccepted():
		return f.fault(KindUnable, nil)
	}
	return nil
}

func (f *Forwarded) fault(kind Kind, cause error) *Error {
	return &Error{
		kind:  kind,
		peer:  f.peer,
		cause: cause,
	}
}

// SendBody sends the body and its end. It returns the error with which reading failed; the peer then gets
// no end.
func (f *Forwarded) SendBody(body io.Reader) error {
	buf := make([]byte, bodyPart)
	for {
		n, err := readPart(body, buf)
		end := err == io.EOF
		if err != nil && !end {
			return err
		}
		if err := f.stream.Send(&wire.ForwardRequest{
			Body: buf[:n],
			End:  end,
		}); err != nil {
			return f.fault(KindCall, err)
		}
		if end {
			return nil
		}
	}
}

// readPart reads until the part is full or reading ends, with io.EOF only at the end of the body.
// io.ReadFull does not tell a short last part from a body that breaks off: its error for the one is that
// of net/http for the other.
func readPart(body io.Reader, part []byte) (int, error) {
	n := 0
	for n < len(part) {
		m, err := body.Read(part[n:])
		n += m
		if err != nil {
			return n, err
		}
	}
	return n, nil
}

// Receive returns the next part of the answer, and io.EOF after the last one. The end of the stream before
// that is an *Error.
func (f *Forwarded) Receive() (*wire.ForwardResponse, error) {
	if f.ended {
		return nil, io.EOF
	}
	// The caller has taken over the last message.
	f.answer.release()
	in, err := f.stream.Recv()
	if err == nil {
		err = f.aborted()
	}
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	if err != nil {
		return nil, f.fault(KindCall, err)
	}
	f.ended = in.GetEnd()
	return in, nil
}

// Abort makes Receive and SendBody fail. It may be called concurrently with them.
func (f *Forwarded) Abort() { f.cancel() }

// Close ends the exchange. The peer drops a request whose answer is not complete.
func (f *Forwarded) Close() {
	defer f.cancel()
	if f.conn == nil {
		return
	}
	conn := f.conn
	f.conn = nil
	if f.answer != nil {
		f.answer.release()
	}
	if f.ended && f.stream.Close() == nil {
		f.dialer.forward.put(f.peer, conn)
		return
	}
	_ = conn.Close()
}

// RefusedError is the final answer of a peer to a request that no target answered.
type RefusedError struct {
	refusal *wire.Refusal
}

// Error names the code.
func (e *RefusedError) Error() string { return "link: refused by a peer: " + e.refusal.GetCode() }

// Refusal returns the answer.
func (e *RefusedError) Refusal() *wire.Refusal { return e.refusal }
