// SPDX-License-Identifier: Apache-2.0

package link

import (
	"context"
	"net"
	"sync/atomic"

	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"
	"storj.io/drpc/drpcctx"

	"ploverjunction.example/ploverjunction/internal/traffic"
	"ploverjunction.example/ploverjunction/internal/wire"
)

// Traffic counts the bytes on all links of a process. Its zero value is ready for use; it may be
// used concurrently.
type Traffic struct {
	sent     atomic.Int64
	received atomic.Int64
	calls    atomic.Int64
	bytes    traffic.Bytes
	scopeOf  func(peer string) traffic.Scope
}

// SetScope sets the function that returns the scope of the bytes sent to a peer; without it, all
// are unknown. It must be called before any bytes are sent.
func (t *Traffic) SetScope(scopeOf func(peer string) traffic.Scope) { t.scopeOf = scopeOf }

// Sent returns the bytes sent.
func (t *Traffic) Sent() int64 { return t.sent.Load() }

// Received returns the bytes received.
func (t *Traffic) Received() int64 { return t.received.Load() }

// Calls returns the number of calls made to peers.
func (t *Traffic) Calls() int64 { return t.calls.Load() }

// Bytes returns the counts of the bytes sent, by purpose and scope.
func (t *Traffic) Bytes() *traffic.Bytes { return &t.bytes }

func (t *Traffic) scope(peer string) traffic.Scope {
	if t.scopeOf == nil {
		return traffic.Unknown
	}
	return t.scopeOf(peer)
}

// countDatagram counts the n bytes of a datagram that was sent.
func (t *Traffic) countDatagram(peer string, d *wire.Datagram, n int) {
	if n <= 0 {
		return
	}
	t.sent.Add(int64(n))
	s := t.scope(peer)
	state := min(stateSize(d), n)
	t.bytes.Add(traffic.State, s, state)
	t.bytes.Add(datagramPurpose(d), s, n-state)
}

// Numbers of the fields of a datagram with the state of its sender.
var (
	fieldSourceAge  = datagramField("source_age_ms")
	fieldDigest     = datagramField("digest")
	fieldNews       = datagramField("news")
	fieldQuarantine = datagramField("quarantine")
	fieldReadTo     = datagramField("read_to")
)

// datagramField returns the number of a field of Datagram, which must exist.
func datagramField(name protoreflect.Name) protowire.Number {
	return (&wire.Datagram{}).ProtoReflect().Descriptor().Fields().ByName(name).Number()
}

// stateSize returns the encoded size in bytes of the sender's state on a datagram, without its
// identity.
func stateSize(d *wire.Datagram) int {
	n := 0
	if v := d.GetSourceAgeMs(); v != 0 {
		n += protowire.SizeTag(fieldSourceAge) + protowire.SizeVarint(v)
	}
	if d.GetDigest() != 0 {
		n += protowire.SizeTag(fieldDigest) + protowire.SizeFixed64()
	}
	for _, news := range d.GetNews() {
		n += protowire.SizeTag(fieldNews) + protowire.SizeBytes(proto.Size(news))
	}
	if d.GetQuarantine() != 0 {
		n += protowire.SizeTag(fieldQuarantine) + protowire.SizeFixed64()
	}
	if p := d.GetReadTo(); p != nil {
		n += protowire.SizeTag(fieldReadTo) + protowire.SizeBytes(proto.Size(p))
	}
	return n
}

// datagramPurpose returns the purpose of the body of a datagram.
func datagramPurpose(d *wire.Datagram) traffic.Purpose {
	switch d.GetBody().(type) {
	case *wire.Datagram_Ask:
		return traffic.GrantRequests
	case *wire.Datagram_Grant:
		return traffic.Grants
	case *wire.Datagram_Done:
		return traffic.Dones
	case *wire.Datagram_Taken:
		return traffic.Confirmations
	case *wire.Datagram_Ping, *wire.Datagram_Pong, *wire.Datagram_PingVia:
		return traffic.Probes
	case *wire.Datagram_Announce:
		return traffic.Announcements
	case *wire.Datagram_Draw, *wire.Datagram_Allot:
		return traffic.Limits
	case *wire.Datagram_QuarantineNews:
		return traffic.Quarantine
	default:
		return traffic.Other
	}
}

// syncPurpose returns the purpose of a call of Sync.
func syncPurpose(in *wire.SyncRequest) traffic.Purpose {
	switch {
	case in.GetPull():
		return traffic.ConfigPulls
	case len(in.GetEntries()) > 0:
		return traffic.ConfigPushes
	default:
		return traffic.ConfigComparisons
	}
}

// countedConn counts the bytes on a connection to a peer. The purpose and scope are those of the
// call in progress.
type countedConn struct {
	net.Conn
	traffic *Traffic
	purpose atomic.Uint32
	scope   atomic.Uint32
}

func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.traffic.received.Add(int64(n))
	return n, err
}

func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.traffic.sent.Add(int64(n))
	c.traffic.bytes.Add(traffic.Purpose(c.purpose.Load()), traffic.Scope(c.scope.Load()), n)
	return n, err
}

// label sets the purpose and the scope of the bytes written from now on.
func (c *countedConn) label(p traffic.Purpose, s traffic.Scope) {
	c.purpose.Store(uint32(p))
	c.scope.Store(uint32(s))
}

type countedListener struct {
	net.Listener
	traffic *Traffic
}

func (l *countedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countedConn{
		Conn:    conn,
		traffic: l.traffic,
	}, nil
}

// labellingServer labels the answers to calls with the purpose and the caller of each call.
type labellingServer struct {
	wire.DRPCPeerServer
	traffic *Traffic
}

func (s *labellingServer) label(ctx context.Context, p traffic.Purpose, from *wire.Node) {
	transport, ok := drpcctx.Transport(ctx)
	if !ok {
		return
	}
	if c := countedOf(transport); c != nil {
		c.label(p, s.traffic.scope(from.GetAddress()))
	}
}

// serve labels the answer to a call and keeps its connection until end is called.
func (s *labellingServer) serve(ctx context.Context, p traffic.Purpose, from *wire.Node) (end func()) {
	s.label(ctx, p, from)
	transport, _ := drpcctx.Transport(ctx)
	in := inboundOf(transport)
	if in == nil {
		return func() {}
	}
	// A connection that was closed fails at the answer.
	_ = in.Serve()
	return in.Wait
}

// Sync labels the answer to a call of Sync.
func (s *labellingServer) Sync(ctx context.Context, in *wire.SyncRequest) (*wire.SyncReply, error) {
	defer s.serve(ctx, syncPurpose(in), in.GetFrom())()
	return s.DRPCPeerServer.Sync(ctx, in)
}

// Observe labels the answer to a call of Observe.
func (s *labellingServer) Observe(ctx context.Context, in *wire.ReportBatch) (*wire.Receipt, error) {
	defer s.serve(ctx, traffic.Evidence, in.GetFrom())()
	return s.DRPCPeerServer.Observe(ctx, in)
}

// Judge labels the answer to a call of Judge.
func (s *labellingServer) Judge(ctx context.Context, in *wire.VerdictBatch) (*wire.Receipt, error) {
	defer s.serve(ctx, traffic.Evidence, in.GetFrom())()
	return s.DRPCPeerServer.Judge(ctx, in)
}

// Handover labels the answer to a call of Handover.
func (s *labellingServer) Handover(ctx context.Context, in *wire.HandoverRequest) (*wire.Receipt, error) {
	defer s.serve(ctx, traffic.Handovers, in.GetFrom())()
	return s.DRPCPeerServer.Handover(ctx, in)
}

// Forward labels the answers to a forwarded request. Its sender is not named in it.
func (s *labellingServer) Forward(stream wire.DRPCPeer_ForwardStream) error {
	s.label(stream.Context(), traffic.ForwardedRequests, nil)
	transport, _ := drpcctx.Transport(stream.Context())
	in := inboundOf(transport)
	if in == nil {
		return s.DRPCPeerServer.Forward(stream)
	}
	defer in.Wait()
	return s.DRPCPeerServer.Forward(&forwardStream{
		DRPCPeer_ForwardStream: stream,
		inbound:                in,
	})
}
