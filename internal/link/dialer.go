// SPDX-License-Identifier: Apache-2.0

package link

import (
	"context"
	"crypto/tls"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"storj.io/drpc/drpcconn"

	"ploverjunction.example/ploverjunction/internal/memory"
	"ploverjunction.example/ploverjunction/internal/traffic"
	"ploverjunction.example/ploverjunction/internal/wire"
)

// maxIdle bounds the connections without a call that a Dialer keeps. Each holds buffers as large
// as its largest message, at both ends.
const maxIdle = 16

// Dialer keeps connections to the most recently called peers. It may be used concurrently; calls
// to one peer run one at a time.
type Dialer struct {
	keys    *Keys
	traffic *Traffic
	mu      sync.Mutex
	peers   map[string]*peerConn
	forward idleForward
	// answers bounds the memory of heads of forwarded requests' answers that arrive.
	answers *memory.Budget
}

type peerConn struct {
	// busy holds a value while a call uses the connection.
	busy     chan struct{}
	conn     *drpcconn.Conn
	lastUsed atomic.Int64
	// dropped is set once the dialer has removed the connection.
	dropped bool
}

// NewDialer returns a dialer without connections.
func NewDialer(keys *Keys, traffic *Traffic) *Dialer {
	return &Dialer{
		keys:    keys,
		traffic: traffic,
		peers:   map[string]*peerConn{},
		answers: memory.NewBudget(0),
	}
}

// BoundAnswers bounds the memory of heads of forwarded requests' answers that arrive by b. It must be called before the
// first Forward.
func (d *Dialer) BoundAnswers(b *memory.Budget) { d.answers = b }

// Sync calls Sync of a peer.
func (d *Dialer) Sync(ctx context.Context, peer string, in *wire.SyncRequest) (*wire.SyncReply, error) {
	return call(ctx, d, peer, syncPurpose(in), in, wire.DRPCPeerClient.Sync)
}

// Observe calls Observe of a peer.
func (d *Dialer) Observe(ctx context.Context, peer string, in *wire.ReportBatch) error {
	_, err := call(ctx, d, peer, traffic.Evidence, in, wire.DRPCPeerClient.Observe)
	return err
}

// Judge calls Judge of a peer.
func (d *Dialer) Judge(ctx context.Context, peer string, in *wire.VerdictBatch) error {
	_, err := call(ctx, d, peer, traffic.Evidence, in, wire.DRPCPeerClient.Judge)
	return err
}

// Handover calls Handover of a peer.
func (d *Dialer) Handover(ctx context.Context, peer string, in *wire.HandoverRequest) error {
	_, err := call(ctx, d, peer, traffic.Handovers, in, wire.DRPCPeerClient.Handover)
	return err
}

func call[In, Out any](ctx context.Context, d *Dialer, peer string, purpose traffic.Purpose, in In, fn func(wire.DRPCPeerClient, context.Context, In) (Out, error)) (Out, error) {
	ctx, cancel := context.WithTimeout(ctx, CallTimeout)
	defer cancel()
	d.traffic.calls.Add(1)
	var zero Out
	p, err := d.lock(ctx, peer)
	if err != nil {
		return zero, err
	}
	defer d.trim()
	defer p.unlock()
	p.lastUsed.Store(time.Now().UnixNano())
	if err := d.connect(ctx, p, peer, purpose); err != nil {
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

// lock returns the connection to a peer for one call, in use until unlock. It waits for other calls until the context ends.
func (d *Dialer) lock(ctx context.Context, address string) (*peerConn, error) {
	for {
		d.mu.Lock()
		p := d.peers[address]
		if p == nil {
			p = &peerConn{
				busy: make(chan struct{}, 1),
			}
			d.peers[address] = p
		}
		d.mu.Unlock()
		select {
		case p.busy <- struct{}{}:
		case <-ctx.Done():
			return nil, &Error{
				kind:  KindCall,
				peer:  address,
				cause: ctx.Err(),
			}
		}
		if !p.dropped {
			return p, nil
		}
		p.unlock()
	}
}

// tryLock reports whether no call used the connection; it is in use then.
func (p *peerConn) tryLock() bool {
	select {
	case p.busy <- struct{}{}:
		return true
	default:
		return false
	}
}

func (p *peerConn) unlock() { <-p.busy }

// trim closes the least recently used connections beyond maxIdle.
func (d *Dialer) trim() {
	d.mu.Lock()
	over := len(d.peers) - maxIdle
	if over <= 0 {
		d.mu.Unlock()
		return
	}
	used := make([]int64, 0, len(d.peers))
	for _, p := range d.peers {
		used = append(used, p.lastUsed.Load())
	}
	d.mu.Unlock()
	slices.Sort(used)
	d.closeMatching(func(p *peerConn) bool { return p.lastUsed.Load() <= used[over-1] })
}

// connect opens the connection to a peer if there is none, and labels it with the purpose of a call.
func (d *Dialer) connect(ctx context.Context, p *peerConn, address string, purpose traffic.Purpose) error {
	if p.conn != nil {
		select {
		case <-p.conn.Closed():
			p.conn = nil
		default:
			d.label(p.conn, address, purpose)
			return nil
		}
	}
	conn, err := d.dial(ctx, address, purpose)
	if err != nil {
		return err
	}
	p.conn = conn
	return nil
}

// label labels a connection to a peer with the purpose of the next call.
func (d *Dialer) label(conn *drpcconn.Conn, address string, purpose traffic.Purpose) {
	if c := countedOf(conn.Transport()); c != nil {
		c.label(purpose, d.traffic.scope(address))
	}
}

// dial opens a connection to a peer for a call with a purpose.
func (d *Dialer) dial(ctx context.Context, address string, purpose traffic.Purpose) (*drpcconn.Conn, error) {
	raw, err := (&net.Dialer{
		Timeout: dialTimeout,
	}).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, &Error{
			kind:  KindDial,
			peer:  address,
			cause: err,
		}
	}
	counted := &countedConn{
		Conn:    raw,
		traffic: d.traffic,
	}
	counted.label(purpose, d.traffic.scope(address))
	var conn net.Conn = counted
	if d.keys != nil {
		cfg := d.keys.config.Clone()
		cfg.ServerName, _, _ = net.SplitHostPort(address)
		conn = tls.Client(conn, cfg)
	}
	if purpose == traffic.ForwardedRequests {
		conn = &answerConn{
			Conn:   conn,
			budget: d.answers,
		}
	}
	return drpcconn.NewWithOptions(conn, drpcconn.Options{
		Manager: managerOptions(),
	}), nil
}

// CloseIdle closes the connections that have been idle for longer than idleClose at now.
func (d *Dialer) CloseIdle(now time.Time) {
	d.forward.closeBefore(now.Add(-idleClose))
	d.closeMatching(func(p *peerConn) bool {
		return now.UnixNano()-p.lastUsed.Load() > int64(idleClose)
	})
}

// Close closes all connections.
func (d *Dialer) Close() {
	d.forward.closeBefore(time.Now())
	d.closeMatching(func(*peerConn) bool { return true })
}

func (d *Dialer) closeMatching(match func(*peerConn) bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for address, p := range d.peers {
		// A peer with a call in progress is in use.
		if !match(p) || !p.tryLock() {
			continue
		}
		if p.conn != nil {
			_ = p.conn.Close()
		}
		p.dropped = true
		p.unlock()
		delete(d.peers, address)
	}
}
