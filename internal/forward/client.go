// SPDX-License-Identifier: Apache-2.0

// Package forward sends one attempt of a request to one target and checks that
// the answer is whole and belongs to the request.
package forward

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"strconv"
	"time"

	"ploverjunction.example/ploverjunction/internal/attempt"
)

// Headers of the contract with callers and targets.
const (
	// HeaderRequestID names the request; a target may echo it.
	HeaderRequestID = "Plover-Request-Id"
	// HeaderOutcome carries "done", "not-run" or "unknown". A target that
	// refuses a request before running it says "not-run" in it.
	HeaderOutcome = "Plover-Outcome"
	// HeaderDeadline carries the absolute time limit in milliseconds since 1970.
	HeaderDeadline = "Plover-Deadline"
	// HeaderState carries "leaving" in the answers of a target that drains.
	HeaderState = "Plover-State"
	// stateLeaving is the value of HeaderState.
	stateLeaving = "leaving"
)

// Bounds of connections to targets.
const (
	connectTimeout  = time.Second
	idleTimeout     = time.Minute
	idlePerTarget   = 32
	bufferSize      = 16 << 10
	maxAnswerHeader = 256 << 10
)

// Client sends attempts to targets. It may be used concurrently.
type Client struct {
	transport *http.Transport
	dial      func(ctx context.Context, network, address string) (net.Conn, error)
	hold      int64
	stall     time.Duration
}

// NewClient returns a client that holds answers up to hold bytes whole before
// it gives them out; 0 streams all answers. The body of an answer that stops for
// stall counts as broken. Connections come from the IP number outgoing, or from
// any if it is the zero value.
func NewClient(hold int64, stall time.Duration, outgoing netip.Addr) *Client {
	dialer := &net.Dialer{
		Timeout: connectTimeout,
	}
	if outgoing.IsValid() {
		dialer.LocalAddr = &net.TCPAddr{
			IP: outgoing.AsSlice(),
		}
	}
	c := &Client{
		dial:  dialer.DialContext,
		hold:  hold,
		stall: stall,
	}
	c.transport = &http.Transport{
		Proxy:                  nil,
		DialContext:            c.dialGuarded,
		DisableCompression:     true,
		MaxIdleConns:           0,
		MaxIdleConnsPerHost:    idlePerTarget,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: maxAnswerHeader,
		ReadBufferSize:         bufferSize,
		WriteBufferSize:        bufferSize,
	}
	return c
}

// Close drops all idle connections.
func (c *Client) Close() {
	c.transport.CloseIdleConnections()
}

func (c *Client) dialGuarded(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := c.dial(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &guard{
		Conn: conn,
	}, nil
}

// Request is what an attempt sends. The header must hold no hop-by-hop fields; it
// belongs to the attempt, which adds to it.
type Request struct {
	ID       string
	Target   string
	Method   string
	Host     string
	URI      string
	Header   http.Header
	Body     io.Reader
	Length   int64
	Deadline time.Time
}

// Do makes one attempt. It returns the answer, whose Close must be called, or an
// *Error. ctx is the caller's: its end cancels the attempt and the answer.
func (c *Client) Do(ctx context.Context, r *Request) (*Answer, error) {
	ctx, cancel := context.WithCancel(ctx)
	watch := newWatchdog(time.Until(r.Deadline), cancel)
	cl := newClaim(r.Deadline)
	res, err := c.send(ctx, cl, r)
	if err != nil {
		e := failure(ctx, r.Target, cl, watch, err)
		watch.stop()
		cancel()
		return nil, e
	}
	a := &Answer{
		target:   r.Target,
		response: res,
		watch:    watch,
		stall:    c.stall,
		cancel:   cancel,
		leaving:  Leaving(res.Header),
	}
	if err := a.check(r.ID); err != nil {
		a.Close()
		return nil, err
	}
	if err := a.fill(c.hold); err != nil {
		a.Close()
		return nil, err
	}
	return a, nil
}

func (c *Client) send(ctx context.Context, cl *claim, r *Request) (*http.Response, error) {
	trace := &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			if g, ok := info.Conn.(*guard); ok {
				g.use(cl)
			}
		},
	}
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), r.Method, "http://"+r.Target+r.URI, r.Body)
	if err != nil {
		return nil, err
	}
	// A GetBody would allow net/http to send the request again by itself.
	req.GetBody = nil
	req.ContentLength = r.Length
	if r.Length == 0 {
		req.Body = nil
	}
	req.Host = r.Host
	req.Header = r.Header
	req.Header.Set(HeaderRequestID, r.ID)
	req.Header.Set(HeaderDeadline, strconv.FormatInt(r.Deadline.UnixMilli(), 10))
	if _, ok := req.Header["User-Agent"]; !ok {
		// An empty value keeps net/http from adding its own.
		req.Header.Set("User-Agent", "")
	}
	return c.transport.RoundTrip(req)
}

// failure says what a failed round trip proves. Sealing comes first: after it no
// byte of the request can be written any more.
func failure(ctx context.Context, target string, cl *claim, watch *watchdog, err error) *Error {
	e := &Error{
		target:  target,
		kind:    KindReset,
		outcome: attempt.OutcomeUnknown,
		cause:   err,
	}
	if !cl.seal() {
		e.outcome = attempt.OutcomeNotRun
	}
	var own *Error
	var op *net.OpError
	switch {
	case errors.As(err, &own):
		e.kind = own.kind
	case watch.fired():
		e.kind = KindTimeout
	case ctx.Err() != nil:
		e.kind = KindCaller
	case errors.As(err, &op) && op.Op == "dial":
		e.kind = KindConnect
	}
	return e
}
