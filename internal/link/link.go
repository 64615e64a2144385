// SPDX-License-Identifier: Apache-2.0

// Package link carries messages between the processes of the fleet over drpc.
// Peers are believed only if they hold a certificate of the fleet's authority,
// where the settings give one.
package link

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"ploverjunction.example/ploverjunction/internal/wire"
)

// Times of calls.
const (
	// CallTimeout is how long a call to a peer may take.
	CallTimeout = 2 * time.Second
	dialTimeout = time.Second
	// idleClose is after how long an unused connection is closed.
	idleClose = 30 * time.Second
)

// Kind says what failed on a link.
type Kind string

// Kinds of failures.
const (
	KindKeys   Kind = "keys cannot be used"
	KindListen Kind = "cannot listen"
	KindDial   Kind = "no connection"
	KindCall   Kind = "call failed"
)

// Error is a failure on a link.
type Error struct {
	kind  Kind
	peer  string
	cause error
}

// Error names the peer and the failure.
func (e *Error) Error() string { return fmt.Sprintf("link: %s: %s: %v", e.peer, e.kind, e.cause) }

// Unwrap returns the error beneath.
func (e *Error) Unwrap() error { return e.cause }

// Kind returns what failed.
func (e *Error) Kind() Kind { return e.kind }

// Keys are the keys that the fleet's processes share trust by.
type Keys struct {
	config *tls.Config
}

// LoadKeys reads the certificate and key of this process and the authority that
// all processes of the fleet are signed by.
func LoadKeys(cert, key, authority string) (*Keys, error) {
	pair, err := tls.LoadX509KeyPair(cert, key)
	if err != nil {
		return nil, keysError(cert, err)
	}
	pem, err := os.ReadFile(authority)
	if err != nil {
		return nil, keysError(authority, err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, keysError(authority, x509.ErrUnsupportedAlgorithm)
	}
	return &Keys{
		config: &tls.Config{
			Certificates: []tls.Certificate{pair},
			RootCAs:      pool,
			ClientCAs:    pool,
			ClientAuth:   tls.RequireAndVerifyClientCert,
			MinVersion:   tls.VersionTLS13,
		},
	}, nil
}

func keysError(file string, err error) *Error {
	return &Error{
		kind:  KindKeys,
		peer:  file,
		cause: err,
	}
}

// Traffic counts the bytes on all links of a process. It may be used
// concurrently.
type Traffic struct {
	sent     atomic.Int64
	received atomic.Int64
	calls    atomic.Int64
}

// Sent returns the bytes sent.
func (t *Traffic) Sent() int64 { return t.sent.Load() }

// Received returns the bytes received.
func (t *Traffic) Received() int64 { return t.received.Load() }

// Calls returns the calls made to peers.
func (t *Traffic) Calls() int64 { return t.calls.Load() }

type countedConn struct {
	net.Conn
	traffic *Traffic
}

func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.traffic.received.Add(int64(n))
	return n, err
}

func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.traffic.sent.Add(int64(n))
	return n, err
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

// Server serves the calls of peers.
type Server struct {
	listener net.Listener
	server   *drpcserver.Server
}

// Listen opens the listener for peers. keys may be nil: then anyone who reaches
// the address is believed. refused is told of connections that ended in error.
func Listen(address string, keys *Keys, traffic *Traffic, handler wire.DRPCPeerServer, refused func(error)) (*Server, error) {
	lis, err := net.Listen("tcp", address)
	if err != nil {
		return nil, &Error{
			kind:  KindListen,
			peer:  address,
			cause: err,
		}
	}
	lis = &countedListener{
		Listener: lis,
		traffic:  traffic,
	}
	if keys != nil {
		lis = tls.NewListener(lis, keys.config)
	}
	mux := drpcmux.New()
	if err := wire.DRPCRegisterPeer(mux, handler); err != nil {
		panic("link: the generated service registers: " + err.Error())
	}
	return &Server{
		listener: lis,
		server: drpcserver.NewWithOptions(mux, drpcserver.Options{
			Log: refused,
		}),
	}, nil
}

// Addr returns the address on which the server listens.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Serve serves until the context ends.
func (s *Server) Serve(ctx context.Context) error {
	if err := s.server.Serve(ctx, s.listener); err != nil && ctx.Err() == nil {
		return fmt.Errorf("link: serve: %w", err)
	}
	return nil
}

// Dialer keeps one connection to each peer that is talked to. It may be used
// concurrently; calls to one peer follow one another.
type Dialer struct {
	keys    *Keys
	traffic *Traffic
	mu      sync.Mutex
	peers   map[string]*peerConn
}

type peerConn struct {
	mu   sync.Mutex
	conn *drpcconn.Conn
	used atomic.Int64
}

// NewDialer returns a dialer without connections.
func NewDialer(keys *Keys, traffic *Traffic) *Dialer {
	return &Dialer{
		keys:    keys,
		traffic: traffic,
		peers:   map[string]*peerConn{},
	}
}

// Sync calls Sync of a peer.
func (d *Dialer) Sync(ctx context.Context, peer string, in *wire.SyncRequest) (*wire.SyncReply, error) {
	return call(ctx, d, peer, in, wire.DRPCPeerClient.Sync)
}

// Observe calls Observe of a peer.
func (d *Dialer) Observe(ctx context.Context, peer string, in *wire.ReportBatch) error {
	_, err := call(ctx, d, peer, in, wire.DRPCPeerClient.Observe)
	return err
}

// Judge calls Judge of a peer.
func (d *Dialer) Judge(ctx context.Context, peer string, in *wire.VerdictBatch) error {
	_, err := call(ctx, d, peer, in, wire.DRPCPeerClient.Judge)
	return err
}

func call[In, Out any](ctx context.Context, d *Dialer, peer string, in In, fn func(wire.DRPCPeerClient, context.Context, In) (Out, error)) (Out, error) {
	ctx, cancel := context.WithTimeout(ctx, CallTimeout)
	defer cancel()
	d.traffic.calls.Add(1)
	var zero Out
	p := d.peer(peer)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.used.Store(time.Now().UnixNano())
	if err := d.connect(ctx, p, peer); err != nil {
		return zero, err
	}
	out, err := fn(wire.NewDRPCPeerClient(p.conn), ctx, in)
	if err != nil {
		_ = p.conn.Close()
		p.conn = nil
		return zero, &Error{
			kind:  KindCall,
			peer:  peer,
			cause: err,
		}
	}
	return out, nil
}

func (d *Dialer) peer(address string) *peerConn {
	d.mu.Lock()
	defer d.mu.Unlock()
	p := d.peers[address]
	if p == nil {
		p = &peerConn{}
		d.peers[address] = p
	}
	return p
}

func (d *Dialer) connect(ctx context.Context, p *peerConn, address string) error {
	if p.conn != nil {
		select {
		case <-p.conn.Closed():
			p.conn = nil
		default:
			return nil
		}
	}
	raw, err := (&net.Dialer{
		Timeout: dialTimeout,
	}).DialContext(ctx, "tcp", address)
	if err != nil {
		return &Error{
			kind:  KindDial,
			peer:  address,
			cause: err,
		}
	}
	var conn net.Conn = &countedConn{
		Conn:    raw,
		traffic: d.traffic,
	}
	if d.keys != nil {
		cfg := d.keys.config.Clone()
		cfg.ServerName, _, _ = net.SplitHostPort(address)
		conn = tls.Client(conn, cfg)
	}
	p.conn = drpcconn.New(conn)
	return nil
}

// CloseIdle closes the connections that weren't used for a while before now.
func (d *Dialer) CloseIdle(now time.Time) {
	d.closeWhere(func(p *peerConn) bool {
		return now.UnixNano()-p.used.Load() > int64(idleClose)
	})
}

// Close closes all connections.
func (d *Dialer) Close() {
	d.closeWhere(func(*peerConn) bool { return true })
}

func (d *Dialer) closeWhere(match func(*peerConn) bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for address, p := range d.peers {
		// A peer whose call is under way is in use.
		if !match(p) || !p.mu.TryLock() {
			continue
		}
		if p.conn != nil {
			_ = p.conn.Close()
		}
		p.mu.Unlock()
		delete(d.peers, address)
	}
}
