// SPDX-License-Identifier: Apache-2.0

// Package faultproxy is a TCP proxy that injects network faults, separately in each
// direction: silent cuts, delays and resets.
package faultproxy

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Fault is the fault applied to the bytes of one direction.
type Fault struct {
	// Cut withholds all bytes until the cut ends.
	Cut bool
	// Delay is added to each chunk read.
	Delay time.Duration
}

// Proxy forwards connections to one address. It may be used concurrently.
type Proxy struct {
	port     *port
	upstream atomic.Pointer[string]
	forward  direction
	backward direction
	// bySource maps a source IP address to its *sourceFaults.
	bySource sync.Map
	refuse   atomic.Bool
	mu       sync.Mutex
	conns    map[net.Conn]struct{}
	// listener is nil while the proxy is down.
	listener net.Listener
	closed   bool
	wg       sync.WaitGroup
}

// direction holds the fault and the byte count of one direction.
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

// Down resets all connections and refuses new ones, as a host does whose process has
// ended. It is idempotent.
func (p *Proxy) Down() {
	p.mu.Lock()
	if p.listener != nil {
		_ = p.listener.Close()
		p.listener = nil
	}
	p.mu.Unlock()
	p.Reset()
}

// Up accepts connections, after Down at the same address.
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
	p.wg.Go(func() { p.accept(lis) })
	return nil
}

// sourceFaults are the faults of the connections from one IP address.
type sourceFaults struct {
	forward  direction
	backward direction
}

func (p *Proxy) sourceFaultsOf(ip string) *sourceFaults {
	l, _ := p.bySource.LoadOrStore(ip, &sourceFaults{})
	return l.(*sourceFaults)
}

// SetSource sets the faults of the connections from one IP address, in addition to
// those of all connections.
func (p *Proxy) SetSource(ip string, forward, backward Fault) {
	l := p.sourceFaultsOf(ip)
	l.forward.set(forward)
	l.backward.set(backward)
}

// SetUpstream sets the address to which new connections are forwarded.
func (p *Proxy) SetUpstream(address string) { p.upstream.Store(&address) }

// SetForward sets the fault of the direction to the upstream.
func (p *Proxy) SetForward(f Fault) { p.forward.set(f) }

// SetBackward sets the fault of the direction from the upstream.
func (p *Proxy) SetBackward(f Fault) { p.backward.set(f) }

// SetRefuse sets whether the proxy closes new connections immediately.
func (p *Proxy) SetRefuse(on bool) { p.refuse.Store(on) }

// BytesSent returns the number of bytes forwarded to the upstream.
func (p *Proxy) BytesSent() int64 { return p.forward.bytes.Load() }

// Conns returns the number of proxied connections.
func (p *Proxy) Conns() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.conns) / 2
}

// Reset closes all connections with a TCP reset.
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

// Close stops the proxy, closes its connections and releases its port.
func (p *Proxy) Close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.Down()
	p.SetForward(Fault{})
	p.SetBackward(Fault{})
	p.bySource.Range(func(ip, _ any) bool {
		p.SetSource(ip.(string), Fault{}, Fault{})
		return true
	})
	p.Reset()
	p.wg.Wait()
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
		p.wg.Go(func() { p.serve(conn) })
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

// track records connections and reports whether the proxy is still up: it may have gone
// down since they were accepted.
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

// pump copies bytes from one side to the other. When one side closes, both are closed.
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
			// A cut also withholds the close of a connection.
			if all.pass(ctx) {
				one.pass(ctx)
			}
			return
		}
	}
}

// pass waits until the direction lets bytes through and reports whether it does before ctx
// is done.
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
