// SPDX-License-Identifier: Apache-2.0

package kit

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// Headers of the pages.
const (
	HeaderAttempt   = "Ploverjunction-Attempt-Id"
	HeaderDeadline  = "Ploverjunction-Deadline-Ms"
	HeaderExpect    = "Ploverjunction-Expect-Instance"
	HeaderInstance  = "Ploverjunction-Instance-Id"
	HeaderSignature = "Ploverjunction-Response-Signature"
	HeaderNotRun    = "Ploverjunction-Not-Executed"
	HeaderLoad      = "Ploverjunction-Server-Load"
	HealthPath      = "/healthz"
)

// heartbeat is the interval at which a backend writes to the store.
const heartbeat = 1500 * time.Millisecond

// Run is a request that a backend began to work on.
type Run struct {
	At      time.Time
	Backend string
	ID      string
	From    string
	Method  string
	URI     string
	// Length is the number of bytes of the body, Hash their SHA-256. Chunked is set for a body without a
	// length.
	Length  int
	Hash    string
	Chunked bool
}

// Answer is how a backend answers a request.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
}

// Backend is a stand-in for a backend. It may be used concurrently.
type Backend struct {
	ID      string
	Service string
	Zone    string
	Slots   int
	// Work returns how long a request takes, Respond its answer; nil means 200 with a short body.
	Work    func(r *http.Request) time.Duration
	Respond func(r *http.Request, body []byte) Answer
	OnRun   func(Run)
	// OnEnd is called with the same run once it is over.
	OnEnd func(Run)

	store  *Store
	addr   string
	server *http.Server
	slots  chan struct{}
	born   time.Time
	stop   context.CancelFunc

	running, waiting atomic.Int64

	mu    sync.Mutex
	seq   int
	state string
	cuts  map[string]chan struct{}
}

// Start listens on a free port of an address, and announces the backend in the store.
func (b *Backend) Start(ip string, s *Store) error {
	lis, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return err
	}
	b.addr = lis.Addr().String()
	b.slots = make(chan struct{}, b.Slots)
	b.born = time.Now()
	b.state = "ready"
	b.store = s
	b.cuts = map[string]chan struct{}{}
	b.server = &http.Server{
		Handler:           b,
		ReadHeaderTimeout: time.Minute,
	}
	go func() {
		_ = b.server.Serve(&cutListener{
			Listener: lis,
			backend:  b,
		})
	}()
	ctx, cancel := context.WithCancel(context.Background())
	b.stop = cancel
	b.announce()
	go b.beat(ctx)
	return nil
}

// Addr returns the address of the backend.
func (b *Backend) Addr() string { return b.addr }

// Close ends the backend at once. Its entry stays in the store.
func (b *Backend) Close() {
	b.stop()
	_ = b.server.Close()
}

// Drain announces that the backend drains.
func (b *Backend) Drain() {
	b.mu.Lock()
	b.state = "draining"
	b.mu.Unlock()
	b.announce()
}

func (b *Backend) beat(ctx context.Context) {
	tick := time.NewTicker(heartbeat)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			b.announce()
		}
	}
}

// announce writes the entry of the backend.
func (b *Backend) announce() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.seq++
	b.store.PutJSON("servers/"+b.ID, map[string]any{
		"service":     b.Service,
		"address":     b.addr,
		"zone":        b.Zone,
		"version":     "v1",
		"capacity":    b.Slots,
		"state":       b.state,
		"warmup_left": "0ms",
		"seq":         b.seq,
		"born":        b.born.UnixMilli(),
	})
}

// Cut silences the connections from an address: nothing passes in either direction. Heal ends that.
func (b *Backend) Cut(ip string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.cuts[ip] == nil {
		b.cuts[ip] = make(chan struct{})
	}
}

// Heal ends the cut of an address.
func (b *Backend) Heal(ip string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if c := b.cuts[ip]; c != nil {
		close(c)
		delete(b.cuts, ip)
	}
}

// cut returns a channel that is closed once the cut of an address ends, or nil if there is none.
func (b *Backend) cut(ip string) chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.cuts[ip]
}

// cutListener is a listener whose connections can be cut by the address of their other end.
type cutListener struct {
	net.Listener
	backend *Backend
}

// Accept waits for the next connection.
func (l *cutListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	ip, _, err := net.SplitHostPort(conn.RemoteAddr().String())
	if err != nil {
		return nil, err
	}
	return &cutConn{
		Conn:    conn,
		backend: l.backend,
		ip:      ip,
		closed:  make(chan struct{}),
	}, nil
}

type cutConn struct {
	net.Conn
	backend *Backend
	ip      string
	once    sync.Once
	closed  chan struct{}
}

// wait waits while the connection is cut.
func (c *cutConn) wait() error {
	for {
		healed := c.backend.cut(c.ip)
		if healed == nil {
			return nil
		}
		select {
		case <-healed:
		case <-c.closed:
			return net.ErrClosed
		}
	}
}

// Read reads from the connection once it is not cut.
func (c *cutConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if werr := c.wait(); werr != nil {
		return 0, werr
	}
	return n, err
}

// Write writes to the connection once it is not cut.
func (c *cutConn) Write(p []byte) (int, error) {
	if err := c.wait(); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}

// Close closes the connection.
func (c *cutConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// ServeHTTP serves a request as the pages say.
func (b *Backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(HeaderAttempt)
	if id != "" {
		w.Header().Set(HeaderAttempt, id)
	}
	w.Header().Set(HeaderLoad, fmt.Sprintf("%d,%d,%d", b.running.Load(), b.waiting.Load(), b.Slots))
	if r.URL.Path == HealthPath {
		w.Header().Set(HeaderInstance, b.ID)
		w.WriteHeader(http.StatusOK)
		return
	}
	if expect := r.Header.Get(HeaderExpect); expect != "" && expect != b.ID {
		w.Header().Set(HeaderInstance, b.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if id == "" {
		w.Header().Set(HeaderNotRun, "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	// A request whose body does not arrive whole is not run.
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	ctx, cancel := r.Context(), context.CancelFunc(func() {})
	if ms, err := strconv.Atoi(r.Header.Get(HeaderDeadline)); err == nil {
		ctx, cancel = context.WithTimeout(ctx, time.Duration(ms)*time.Millisecond)
	}
	defer cancel()
	if !b.takeSlot(ctx) {
		w.Header().Set(HeaderNotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() {
		b.running.Add(-1)
		<-b.slots
	}()
	b.run(ctx, w, r, body)
}

// takeSlot waits for a slot.
func (b *Backend) takeSlot(ctx context.Context) bool {
	b.waiting.Add(1)
	defer b.waiting.Add(-1)
	select {
	case b.slots <- struct{}{}:
		b.running.Add(1)
		return true
	case <-ctx.Done():
		return false
	}
}

func (b *Backend) run(ctx context.Context, w http.ResponseWriter, r *http.Request, body []byte) {
	from, _, _ := net.SplitHostPort(r.RemoteAddr)
	run := Run{
		At:      time.Now(),
		Backend: b.ID,
		ID:      r.Header.Get(HeaderAttempt),
		From:    from,
		Method:  r.Method,
		URI:     r.URL.RequestURI(),
		Length:  len(body),
		Hash:    Hash(body),
		Chunked: r.ContentLength < 0,
	}
	if b.OnRun != nil {
		b.OnRun(run)
	}
	if b.OnEnd != nil {
		defer b.OnEnd(run)
	}
	if b.Work != nil {
		timer := time.NewTimer(b.Work(r))
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-ctx.Done():
			if errors.Is(ctx.Err(), context.DeadlineExceeded) {
				w.WriteHeader(http.StatusGatewayTimeout)
			}
			return
		}
	}
	a := Answer{
		Status: http.StatusOK,
		Body:   []byte("done " + r.Header.Get(HeaderAttempt) + "\n"),
	}
	if b.Respond != nil {
		a = b.Respond(r, body)
	}
	for name, values := range a.Header {
		w.Header()[name] = values
	}
	w.Header().Set(HeaderSignature, Hash(a.Body)[:16])
	w.Header().Set("Content-Length", strconv.Itoa(len(a.Body)))
	w.WriteHeader(a.Status)
	_, _ = w.Write(a.Body)
}

// Hash returns the SHA-256 of b in hexadecimal digits.
func Hash(b []byte) string {
	sum := sha256.Sum256(b)
	return hex.EncodeToString(sum[:])
}
