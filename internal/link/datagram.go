// SPDX-License-Identifier: Apache-2.0

package link

import (
	"context"
	"crypto/hmac"
	"crypto/sha256"
	"errors"
	"net"
	"net/netip"

	"google.golang.org/protobuf/proto"

	"ploverjunction.example/ploverjunction/internal/wire"
)

// Sizes of datagrams.
const (
	// maxDatagram is the largest datagram in bytes; with the headers below it, it fits into one
	// Ethernet frame.
	maxDatagram = 1400
	// tagSize is the number of bytes of the HMAC that are sent.
	tagSize = 16
)

// Kinds of failures of datagrams.
const (
	KindDatagram Kind = "datagram not understood"
	KindForged   Kind = "datagram without the fleet's key"
	KindLarge    Kind = "datagram too large"
)

// Socket sends and receives datagrams on the address of the listener for peers. Send may be called
// concurrently.
type Socket struct {
	conn    *net.UDPConn
	secret  []byte
	traffic *Traffic
	refused func(error)
}

// OpenSocket opens the socket. Unless secret is empty, datagrams carry an HMAC with this key, and
// those without a valid one are refused. refused is called with the error of each refused
// datagram.
func OpenSocket(address netip.AddrPort, secret string, traffic *Traffic, refused func(error)) (*Socket, error) {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, &Error{
			kind:  KindListen,
			peer:  address.String(),
			cause: err,
		}
	}
	return &Socket{
		conn:    conn,
		secret:  []byte(secret),
		traffic: traffic,
		refused: refused,
	}, nil
}

func (s *Socket) tag(b []byte) []byte {
	h := hmac.New(sha256.New, s.secret)
	_, _ = h.Write(b)
	return h.Sum(nil)[:tagSize]
}

// Send sends one datagram. Delivery is not guaranteed.
func (s *Socket) Send(peer string, d *wire.Datagram) error {
	fault := func(kind Kind, cause error) error {
		return &Error{
			kind:  kind,
			peer:  peer,
			cause: cause,
		}
	}
	to, err := netip.ParseAddrPort(peer)
	if err != nil {
		return fault(KindDial, err)
	}
	b, err := proto.Marshal(d)
	if err != nil {
		return fault(KindDatagram, err)
	}
	if len(b) > maxDatagram {
		return fault(KindLarge, nil)
	}
	if len(s.secret) > 0 {
		b = append(b, s.tag(b)...)
	}
	n, err := s.conn.WriteToUDPAddrPort(b, to)
	s.traffic.countDatagram(peer, d, n)
	if err != nil {
		return fault(KindCall, err)
	}
	return nil
}

// Serve passes each datagram to handle, one after another, until the context ends.
func (s *Socket) Serve(ctx context.Context, handle func(*wire.Datagram)) error {
	stop := context.AfterFunc(ctx, func() { _ = s.conn.Close() })
	defer stop()
	buf := make([]byte, maxDatagram+tagSize+1)
	for {
		n, from, err := s.conn.ReadFromUDPAddrPort(buf)
		if ctx.Err() != nil {
			return nil
		}
		if errors.Is(err, net.ErrClosed) {
			return &Error{
				kind:  KindListen,
				peer:  "datagrams",
				cause: err,
			}
		}
		if err != nil {
			// A peer's closed port shows as an error of the next read.
			continue
		}
		s.traffic.received.Add(int64(n))
		d, err := s.open(buf[:n], from)
		if err != nil {
			s.refused(err)
			continue
		}
		handle(d)
	}
}

func (s *Socket) open(b []byte, from netip.AddrPort) (*wire.Datagram, error) {
	fault := func(kind Kind, cause error) error {
		return &Error{
			kind:  kind,
			peer:  from.String(),
			cause: cause,
		}
	}
	if len(s.secret) > 0 {
		at := len(b) - tagSize
		if at < 0 || !hmac.Equal(s.tag(b[:at]), b[at:]) {
			return nil, fault(KindForged, nil)
		}
		b = b[:at]
	}
	d := &wire.Datagram{}
	if err := proto.Unmarshal(b, d); err != nil {
		return nil, fault(KindDatagram, err)
	}
	return d, nil
}

// Close closes the socket; Serve then returns an error unless its context has ended.
func (s *Socket) Close() error { return s.conn.Close() }
