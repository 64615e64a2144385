// SPDX-License-Identifier: Apache-2.0

// Package forward sends one attempt of a request to one target and checks that
// the answer is complete and belongs to the request.
package forward

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"sync/atomic"
	"time"

	"ploverjunction.example/ploverjunction/internal/attempt"
	"ploverjunction.example/ploverjunction/internal/contract"
	"ploverjunction.example/ploverjunction/internal/memory"
	"ploverjunction.example/ploverjunction/internal/signal"
	"ploverjunction.example/ploverjunction/internal/traffic"
)

// Bounds of connections to targets.
const (
	// connectTimeout is some ten round trips between regions. An unreachable target does not
	// answer; another one can be tried while the caller still waits.
	connectTimeout = 300 * time.Millisecond
	// idleTimeout is how long a connection to a target may be idle. Targets close
	// theirs after 10 s or more, some without notice.
	idleTimeout = 6 * time.Second
	// idleTimeoutNonRepeatable is the same for requests that must not be repeated: what is sent on
	// a connection that the target closed unnoticed may have run.
	idleTimeoutNonRepeatable = 1500 * time.Millisecond
	idlePerTarget            = 32
	bufferSize               = 16 << 10
)

// Bounds of answers, which a faulty target may send without end.
const (
	// MaxAnswerHeader is the greatest size of a target's header in bytes, interim responses included.
	MaxAnswerHeader = 256 << 10
	// maxInterims is the greatest number of interim responses of an answer: some 10,000 fit into MaxAnswerHeader, and
	// net/http allocates a response for each. Targets in order send a few.
	maxInterims = 64
	// freeHead is the estimated memory in bytes up to which the heads of an answer are not counted: some 90 lines,
	// more than ordinary answers have, so that these pass whatever others take.
	freeHead = 64 << 10
	// maxBodyTime is the longest time that a body without a length may take, maxSizedBodyTime that of one
	// with a length.
	maxBodyTime      = 10 * time.Minute
	maxSizedBodyTime = time.Hour
	// maxUnattendedBodyTime is the longest time of a body with a length for which no caller waits.
	maxUnattendedBodyTime = 30 * time.Second
)

// Client sends attempts to targets. It may be used concurrently.
type Client struct {
	contract  *contract.Contract
	transport *http.Transport
	// nonRepeatable carries requests that must not be repeated.
	nonRepeatable *http.Transport
	dial          func(ctx context.Context, network, address string) (net.Conn, error)
	hold          int64
	stall         time.Duration
	connections   *Connections
	// bytes counts those of the connections; nil counts none.
	bytes *traffic.Bytes
	// heads bounds the memory of the heads of answers.
	heads *memory.Budget
}

// NewClient returns a client that reads answers of at most hold bytes whole before it returns
// them; 0 streams all answers. A body without progress for stall counts as broken. Connections use
// the local IP address outgoing, or any if it is the zero value.
func NewClient(c *contract.Contract, hold int64, stall time.Duration, outgoing netip.Addr) *Client {
	dialer := &net.Dialer{
		Timeout: connectTimeout,
	}
	if outgoing.IsValid() {
		dialer.LocalAddr = &net.TCPAddr{
			IP: outgoing.AsSlice(),
		}
	}
	cl := &Client{
		contract: c,
		dial:     dialer.DialContext,
		hold:     hold,
		stall:    stall,

		connections: newConnections(),
		heads:       memory.NewBudget(0),
	}
	cl.transport = cl.newTransport(idleTimeout, true)
	cl.nonRepeatable = cl.newTransport(idleTimeoutNonRepeatable, false)
	return cl
}

// CountBytes adds the bytes of all connections to b. It must be called before the first attempt.
func (c *Client) CountBytes(b *traffic.Bytes) { c.bytes = b }

// BoundHeads bounds the memory of the heads of answers under way by b. It must be called before the first attempt.
func (c *Client) BoundHeads(b *memory.Budget) { c.heads = b }

// Connections returns the counts of the connections that were opened.
func (c *Client) Connections() *Connections { return c.connections }

func (c *Client) count(p traffic.Purpose, s traffic.Scope, n int) {
	if c.bytes != nil {
		c.bytes.Add(p, s, n)
	}
}

func (c *Client) newTransport(idle time.Duration, repeatable bool) *http.Transport {
	return &http.Transport{
		Proxy: nil,
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			return c.dialGuarded(ctx, network, address, repeatable)
		},
		DisableCompression:     true,
		MaxIdleConns:           0,
		MaxIdleConnsPerHost:    idlePerTarget,
		IdleConnTimeout:        idle,
		MaxResponseHeaderBytes: MaxAnswerHeader,
		ReadBufferSize:         bufferSize,
		WriteBufferSize:        bufferSize,
	}
}

// Close closes all idle connections.
func (c *Client) Close() {
	c.transport.CloseIdleConnections()
	c.nonRepeatable.CloseIdleConnections()
}

func (c *Client) dialGuarded(ctx context.Context, network, address string, repeatable bool) (net.Conn, error) {
	conn, err := c.dial(ctx, network, address)
	if err != nil {
		return nil, err
	}
	g := &guard{
		Conn:   conn,
		client: c,
		key: poolKey{
			address:    address,
			repeatable: repeatable,
		},
		state: connState{
			end: &connEnd{},
		},
	}
	c.connections.opened(time.Now(), g.key)
	return g, nil
}

// Request is what an attempt sends. The header must have no hop-by-hop fields; it belongs to the
// attempt, which adds to it.
type Request struct {
	ID     string
	Target string
	// Scope is that of the bytes of the attempt.
	Scope traffic.Scope
	// Expect is the ID of the target that may run the request, or "".
	Expect string
	// Repeatable reports whether the request may run more than once.
	Repeatable bool
	Method     string
	Host       string
	URI        string
	Header     http.Header
	Body       io.Reader
	Length     int64
	Deadline   time.Time
	// Unattended is set if no caller waits for the answer: its body ends by Deadline, or within
	// maxUnattendedBodyTime if it has a length.
	Unattended bool
	// Observe is called with the target's signal in its answer, however the attempt ends, and the
	// error of a signal that cannot be read. It may be nil.
	Observe func(n signal.Signal, err error)
	// Via sends the request in place of a connection to the target; nil means a connection. Its error
	// is a *ViaError. Reading the body of its response fails if that is not whole.
	Via func(r *http.Request) (*http.Response, error)
	// Unavailable reports whether the target is unavailable. The last call is made
	// immediately before the first byte is sent. nil means never.
	Unavailable func(now time.Time) bool
}

// upload returns the progress of sending the body to a target, or nil if there is no body or a peer sends it.
func (r *Request) upload() *upload {
	if r.Body == nil || r.Via != nil {
		return nil
	}
	return newUpload(r.Length)
}

// Do makes one attempt. It returns the answer, whose Close must be called, or an *Error. ctx is
// the caller's: its end cancels the attempt and the answer.
func (c *Client) Do(ctx context.Context, r *Request) (*Answer, error) {
	if r.Unavailable != nil && r.Unavailable(time.Now()) {
		// The claim would close the connection, which is of use once the target's backoff is over.
		return nil, &Error{
			kind:    KindUnavailable,
			target:  r.Target,
			outcome: attempt.OutcomeNotRun,
			proof:   ProofUnwritten,
		}
	}
	ctx, cancel := context.WithCancel(ctx)
	watch := newWatchdog(time.Until(r.Deadline), cancel)
	cl := newClaim(ctx, r.upload(), r.Deadline, r.Unavailable)
	end := func() {
		cancel()
		cl.release(c.heads)
	}
	res, conn, err := c.send(ctx, cl, r)
	if err != nil {
		e := roundTripError(ctx, r.Target, cl, watch, err)
		watch.stop()
		end()
		return nil, e
	}
	a := &Answer{
		target:   r.Target,
		response: res,
		watch:    watch,
		stall:    c.stall,
		cancel:   end,
		unread:   cl.unread,
		draining: c.contract.Draining(res.Header),
		contract: c.contract,
		evidence: conn.evidence(),
		upload:   cl.upload,
		released: ctx.Done(),
	}
	if r.Via != nil && acceptedEarly(r, res) {
		a.peerBody = res.Body
		res.Body = limitedBody(res)
	}
	c.observe(r, res)
	if err := a.check(r); err != nil {
		if conn != nil {
			conn.recordFailure(a, r)
		}
		a.Close()
		return nil, err
	}
	if err := a.readHeld(c.hold); err != nil {
		a.Close()
		return nil, err
	}
	if !a.whole {
		a.limit = newWatchdog(bodyTime(r, res), cancel)
	}
	return a, nil
}

// bodyTime returns the longest time that the rest of an answer's body may take.
func bodyTime(r *Request, res *http.Response) time.Duration {
	sized := res.ContentLength >= 0
	switch {
	case r.Unattended && sized:
		return max(time.Until(r.Deadline), maxUnattendedBodyTime)
	case r.Unattended:
		return time.Until(r.Deadline)
	case sized:
		return maxSizedBodyTime
	default:
		return maxBodyTime
	}
}

// send sends a request and returns the response with its connection, which is nil for a peer's.
func (c *Client) send(ctx context.Context, cl *claim, r *Request) (*http.Response, *guard, error) {
	var used atomic.Pointer[guard]
	trace := &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			if g, ok := info.Conn.(*guard); ok {
				g.attach(cl, r.Scope, r.Method, r.ID)
				used.Store(g)
			}
		},
		PutIdleConn: func(err error) {
			if g := used.Load(); g != nil && err == nil {
				g.state.idleAfter.Store(cl)
			}
		},
	}
	body := r.Body
	if _, held := body.(*bytes.Reader); cl.upload != nil && !held {
		body = &uploadBody{
			Reader: body,
			upload: cl.upload,
		}
	}
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), r.Method, "http://"+r.Target+r.URI, body)
	if err != nil {
		return nil, nil, err
	}
	// With GetBody net/http could send the request again by itself.
	req.GetBody = nil
	req.ContentLength = r.Length
	if r.Length == 0 {
		req.Body = nil
	}
	req.Host = r.Host
	req.Header = r.Header
	if r.ID != "" {
		req.Header.Set(c.contract.RequestID, r.ID)
	}
	if r.Expect != "" {
		req.Header.Set(c.contract.ExpectTarget, r.Expect)
	}
	c.contract.SetDeadline(req.Header, r.Deadline, time.Now())
	if _, ok := req.Header["User-Agent"]; !ok {
		// An empty value keeps net/http from adding its own.
		req.Header.Set("User-Agent", "")
	}
	if r.Via != nil {
		res, err := c.sendVia(cl, r, req)
		return res, nil, err
	}
	transport := c.transport
	if !r.Repeatable {
		transport = c.nonRepeatable
	}
	res, err := transport.RoundTrip(req)
	if err == nil && cl.upload != nil {
		cl.upload.answered.Store(true)
	}
	if g := used.Load(); g != nil && err == nil && res.Close {
		g.state.end.saidClose.Store(true)
	}
	return res, used.Load(), err
}

// roundTripError returns what a failed round trip proves. The claim is sealed first: after that no
// byte of the request can be written.
func roundTripError(ctx context.Context, target string, cl *claim, watch *watchdog, err error) *Error {
	e := &Error{
		target:  target,
		kind:    KindReset,
		outcome: attempt.OutcomeUnknown,
		cause:   err,
	}
	sent := cl.seal()
	proof := ProofUnwritten
	var via *ViaError
	if errors.As(err, &via) {
		sent = via.Accepted
		proof = ProofPeer
		e.kind = KindPeer
	}
	if !sent {
		e.outcome = attempt.OutcomeNotRun
		e.proof = proof
	}
	var inner *Error
	var op *net.OpError
	switch {
	case cl.unwritten() != "":
		e.kind = cl.unwritten()
	case cl.unread() != "":
		e.kind = cl.unread()
	case errors.As(err, &inner):
		e.kind = inner.kind
	case watch.fired():
		e.kind = KindTimeout
	case ctx.Err() != nil:
		e.kind = KindCaller
	case errors.As(err, &op) && op.Op == "dial":
		e.kind = KindConnect
	}
	return e
}
