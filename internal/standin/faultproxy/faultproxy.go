// SPDX-License-Identifier: Apache-2.0

// Package faultproxy is a TCP proxy that injects network faults, each direction
// alone: cuts that neither side notices, delays and resets.
package faultproxy

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Fault is what happens to the bytes of one direction.
type Fault struct {
	// Cut holds all bytes back; they arrive when the cut ends.
	Cut bool
	// Delay holds each piece back for a time.
	Delay time.Duration
}

// Proxy forwards connections to one address. It may be used concurrently.
type Proxy struct {
	port     *port
	upstream atomic.Pointer[string]
	forward  direction
	backward direction
	// bySource are the faults of the connections that come from one IP number.
	bySource sync.Map
	refuse   atomic.Bool
	mu       sync.Mutex
	conns    map[net.Conn]struct{}
	// listener is nil while the proxy is down.
	listener net.Listener
	closed   bool
	done     sync.WaitGroup
}

// direction is the way from the callers to the upstream, or back.
type direction struct {
	mu      sync.Mutex
	fault   Fault
	changed chan struct{}
	bytes   atomic.Int64
}

func (d *direction) set(f Fault) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.fault = f
	if d.changed != nil {
		close(d.changed)
	}
	d.changed = make(chan struct{})
}

func (d *direction) get() (Fault, <-chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.changed == nil {
		d.changed = make(chan struct{})
	}
	return d.fault, d.changed
}

// New returns a proxy that listens on loopback and forwards to upstream.
func New(upstream string) (*Proxy, error) {
	reserved, err := reservePort()
	if err != nil {
		return nil, err
	}
	p := &Proxy{
		port:  reserved,
		conns: map[net.Conn]struct{}{},
	}
	p.SetUpstream(upstream)
	if err := p.Up(); err != nil {
		reserved.release()
		return nil, err
	}
	return p, nil
}

// Addr returns the address on which the proxy listens.
func (p *Proxy) Addr() string { return p.port.address.String() }

// Down ends all connections with a TCP reset and has new ones refused, as the machine of a
// process that has ended does. More than one call does no harm.
func (p *Proxy) Down() {
	p.mu.Lock()
	if p.listener != nil {
		_ = p.listener.Close()
		p.listener = nil
	}
	p.mu.Unlock()
	p.Reset()
}

// Up takes connections, again at the same address.
func (p *Proxy) Up() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || p.listener != nil {
		return nil
	}
	lis, err := p.port.listen()
	if err != nil {
		return err
	}
	p.listener = lis
	p.done.Go(func() { p.accept(lis) })
	return nil
}

// sourceFaults are the two directions of connections from one IP number.
type sourceFaults struct {
	forward  direction
	backward direction
}

func (p *Proxy) sourceFaultsOf(ip string) *sourceFaults {
	l, _ := p.bySource.LoadOrStore(ip, &sourceFaults{})
	return l.(*sourceFaults)
}

// From sets the faults of the connections that come from one IP number, besides
// those of all connections.
func (p *Proxy) From(ip string, forward, backward Fault) {
	l := p.sourceFaultsOf(ip)
	l.forward.set(forward)
	l.backward.set(backward)
}

// SetUpstream changes where new connections go.
func (p *Proxy) SetUpstream(address string) { p.upstream.Store(&address) }

// Forward sets the fault of the way to the upstream, Backward of the way back.
func (p *Proxy) Forward(f Fault) { p.forward.set(f) }

// Backward sets the fault of the way from the upstream.
func (p *Proxy) Backward(f Fault) { p.backward.set(f) }

// Refuse makes the proxy close new connections at once.
func (p *Proxy) Refuse(on bool) { p.refuse.Store(on) }

// Sent returns the bytes that came through towards the upstream.
func (p *Proxy) Sent() int64 { return p.forward.bytes.Load() }

// Conns returns how many connections go through the proxy.
func (p *Proxy) Conns() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.conns) / 2
}

// Reset breaks all connections with a TCP reset.
func (p *Proxy) Reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		_ = c.Close()
	}
}

// Close ends the proxy and all its connections.
func (p *Proxy) Close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.Down()
	p.Forward(Fault{})
	p.Backward(Fault{})
	p.bySource.Range(func(ip, _ any) bool {
		p.From(ip.(string), Fault{}, Fault{})
		return true
	})
	p.Reset()
	p.done.Wait()
	p.port.release()
}

func (p *Proxy) accept(lis net.Listener) {
	for {
		conn, err := lis.Accept()
		if err != nil {
			return
		}
		if p.refuse.Load() {
			_ = conn.Close()
			continue
		}
		p.done.Go(func() { p.serve(conn) })
	}
}

func (p *Proxy) serve(caller net.Conn) {
	upstream, err := net.Dial("tcp", *p.upstream.Load())
	if err != nil {
		_ = caller.Close()
		return
	}
	defer p.untrack(caller, upstream)
	if !p.track(caller, upstream) {
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var both sync.WaitGroup
	ip, _, _ := net.SplitHostPort(caller.RemoteAddr().String())
	l := p.sourceFaultsOf(ip)
	both.Go(func() { pump(ctx, cancel, caller, upstream, &p.forward, &l.forward) })
	both.Go(func() { pump(ctx, cancel, upstream, caller, &p.backward, &l.backward) })
	both.Wait()
}

// track notes connections, and returns false if the proxy has gone down since they were
// accepted.
func (p *Proxy) track(conns ...net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range conns {
		p.conns[c] = struct{}{}
	}
	return p.listener != nil
}

func (p *Proxy) untrack(conns ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range conns {
		_ = c.Close()
		delete(p.conns, c)
	}
}

// pump moves bytes from one side to the other. The end of one side ends both.
func pump(ctx context.Context, cancel context.CancelFunc, from, to net.Conn, all, one *direction) {
	defer cancel()
	defer func() {
		_ = from.Close()
		_ = to.Close()
	}()
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if n > 0 {
			if !all.pass(ctx) || !one.pass(ctx) {
				return
			}
			if _, werr := to.Write(buf[:n]); werr != nil {
				return
			}
			all.bytes.Add(int64(n))
		}
		if err != nil {
			// A cut hides the end of a connection, too.
			if all.pass(ctx) {
				one.pass(ctx)
			}
			return
		}
	}
}

// pass waits until the direction lets bytes through.
func (d *direction) pass(ctx context.Context) bool {
	for {
		f, changed := d.get()
		if !f.Cut {
			return d.delay(ctx, f.Delay)
		}
		select {
		case <-ctx.Done():
			return false
		case <-changed:
		}
	}
}

func (d *direction) delay(ctx context.Context, wait time.Duration) bool {
	if wait <= 0 {
		return true
	}
	t := time.NewTimer(wait)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
