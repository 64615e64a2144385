// SPDX-License-Identifier: Apache-2.0

package link

import (
	"crypto/tls"
	"net"
	"time"

	"ploverjunction.example/ploverjunction/internal/inbound"
	"ploverjunction.example/ploverjunction/internal/memory"
	"ploverjunction.example/ploverjunction/internal/wire"
)

const (
	// messageTimeout is how long a message may take to arrive. Calls end after CallTimeout.
	messageTimeout = 5 * CallTimeout
	// acceptedIdle is how long a connection may be idle: the other end closes it after idleClose.
	acceptedIdle = 2 * idleClose
	// freeMessage is the size in bytes up to which a message is not counted apart from its connection.
	freeMessage = 16 << 10
	// messageCost estimates the memory in bytes that a byte of a message takes: the buffer of the connection, the
	// message that is put together from its frames, and the decoded one.
	messageCost = 3
	// messageStep is the size in bytes of the pieces in which memory is reserved while a message arrives.
	messageStep = 16 << 10
)

// Bounds are those of the connections that a Server accepts.
type Bounds struct {
	// Connections is the greatest number of connections, 0 means unlimited.
	Connections int
	// Memory bounds the memory of messages that arrive; nil means unlimited.
	Memory *memory.Budget
	// OnClosed is called for each connection that is closed for a limit; nil disables it.
	OnClosed func(c inbound.Closed)
}

func (b *Bounds) config() inbound.Config {
	return inbound.Config{
		Door:          "peers",
		Connections:   b.Connections,
		Memory:        b.Memory,
		KeepMemory:    true,
		HeaderTimeout: func() time.Duration { return messageTimeout },
		IdleTimeout:   func() time.Duration { return acceptedIdle },
		OnClosed:      b.OnClosed,
	}
}

// messageListener is a listener whose connections reserve memory for messages.
type messageListener struct {
	net.Listener
}

// Accept waits for the next connection.
func (l *messageListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &messageConn{
		Conn:    conn,
		inbound: inboundOf(conn),
	}, nil
}

// messageConn is a connection that scans the messages of a peer and reserves memory for them.
type messageConn struct {
	net.Conn
	inbound *inbound.Conn
	frames  frames
}

// Read reads from the peer. It fails if there is no memory for the message being read.
func (c *messageConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 {
		return n, err
	}
	c.frames.add(p[:n])
	if c.frames.size == 0 {
		c.inbound.Whole()
		return n, err
	}
	if !c.inbound.Begin() {
		return 0, inbound.ErrClosed
	}
	if c.frames.size <= freeMessage {
		return n, err
	}
	cost := (messageCost*c.frames.size + messageStep - 1) / messageStep * messageStep
	if !c.inbound.Hold(cost) {
		c.inbound.CloseFor(inbound.ReasonMemory)
		return 0, inbound.ErrClosed
	}
	return n, err
}

// inboundOf returns the bounded connection below a transport, or nil.
func inboundOf(transport any) *inbound.Conn {
	if c := countedOf(transport); c != nil {
		in, _ := c.Conn.(*inbound.Conn)
		return in
	}
	return nil
}

// countedOf returns the counted connection below a transport, or nil.
func countedOf(transport any) *countedConn {
	switch conn := transport.(type) {
	case *messageConn:
		transport = conn.Conn
	case *answerConn:
		transport = conn.Conn
	}
	if conn, ok := transport.(*tls.Conn); ok {
		transport = conn.NetConn()
	}
	c, _ := transport.(*countedConn)
	return c
}

// forwardStream is a forwarded request. Its connection is in use from its head on; the time that the peer may take for
// its parts is limited.
type forwardStream struct {
	wire.DRPCPeer_ForwardStream
	inbound *inbound.Conn
	// deadline is that of the request, the zero time before its head.
	deadline time.Time
}

// Recv receives the next part of the request.
func (s *forwardStream) Recv() (*wire.ForwardRequest, error) {
	wait := messageTimeout
	if !s.deadline.IsZero() {
		wait = time.Until(s.deadline) + CallTimeout
	}
	limit := time.AfterFunc(wait, func() { s.inbound.CloseFor(inbound.ReasonSlow) })
	defer limit.Stop()
	in, err := s.DRPCPeer_ForwardStream.Recv()
	if err != nil || !s.deadline.IsZero() {
		return in, err
	}
	s.deadline = time.Now().Add(time.Duration(in.GetHead().GetDeadlineMs()) * time.Millisecond)
	if !s.inbound.Serve() {
		return nil, inbound.ErrClosed
	}
	return in, nil
}
