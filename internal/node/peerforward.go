// SPDX-License-Identifier: Apache-2.0

package node

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"ploverjunction.example/ploverjunction/internal/attempt"
	"ploverjunction.example/ploverjunction/internal/entry"
	"ploverjunction.example/ploverjunction/internal/forward"
	"ploverjunction.example/ploverjunction/internal/link"
	"ploverjunction.example/ploverjunction/internal/membership"
	"ploverjunction.example/ploverjunction/internal/response"
	"ploverjunction.example/ploverjunction/internal/task"
	"ploverjunction.example/ploverjunction/internal/wire"
)

// This file has peers make attempts for requests whose targets this node does not reach.

// unableTime is how long a peer that could make no attempts for a service is not asked again.
const unableTime = 3 * time.Second

// peerForwarder chooses peers and sends requests to them. It may be used concurrently.
type peerForwarder struct {
	board  *Board
	dialer *link.Dialer
	mu     sync.Mutex
	// unableUntil is until when a peer is not asked for a service.
	unableUntil map[servicePeer]time.Time
}

type servicePeer struct{ service, peer string }

func newPeerForwarder(board *Board, dialer *link.Dialer) *peerForwarder {
	return &peerForwarder{
		board:       board,
		dialer:      dialer,
		unableUntil: map[servicePeer]time.Time{},
	}
}

// peers returns up to n peers to ask for a service, alternately of the own data hall and of others: a
// whole data hall may have lost its paths.
func (f *peerForwarder) peers(service string, n int) []entry.Peer {
	near, far := f.board.view.Load().Halls()
	next, other := f.able(service, near), f.able(service, far)
	var out []entry.Peer
	for len(out) < n && len(next)+len(other) > 0 {
		if len(next) > 0 {
			out = append(out, f.peer(next[0].Address()))
			next = next[1:]
		}
		next, other = other, next
	}
	return out
}

func (f *peerForwarder) peer(address string) entry.Peer {
	return entry.Peer{
		Address: address,
		Forward: func(r *http.Request, h *entry.PeerHead) (*http.Response, error) {
			return f.forward(address, r, h)
		},
	}
}

// able returns the nodes that were not unable recently, in random order.
func (f *peerForwarder) able(service string, nodes []membership.Node) []membership.Node {
	now := time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	out := slices.DeleteFunc(slices.Clone(nodes), func(n membership.Node) bool {
		return now.Before(f.unableUntil[servicePeer{
			service: service,
			peer:    n.Address(),
		}])
	})
	rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out
}

// markUnable records that a peer could make no attempts for a service.
func (f *peerForwarder) markUnable(service, peer string) {
	now := time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	for key, until := range f.unableUntil {
		if now.After(until) {
			delete(f.unableUntil, key)
		}
	}
	f.unableUntil[servicePeer{
		service: service,
		peer:    peer,
	}] = now.Add(unableTime)
}

// forward sends a request to a peer and returns the response to it.
func (f *peerForwarder) forward(peer string, r *http.Request, h *entry.PeerHead) (*http.Response, error) {
	x, err := f.dialer.Forward(r.Context(), peer, wireHead(time.Now(), r, h))
	if err != nil {
		return nil, peerError(err)
	}
	body := &peerBody{
		forwarded: x,
		request:   r.Body,
		sent: task.Go(r.Context(), "body for a peer", func(context.Context) error {
			return sendBody(x, r.Body)
		}),
	}
	in, err := x.Receive()
	if refused := in.GetRefusal(); err == nil && refused != nil {
		err = peerRefusal(refused)
		if !errors.Is(err, errNoRefusal) && refused.GetUnable() && !refused.GetMayHaveRun() {
			return nil, &forward.ViaError{
				Cause: errors.Join(err, body.Close()),
			}
		}
	}
	if err == nil && in.GetHead() == nil {
		err = errNoHead
	}
	if err == nil {
		err = body.begin(r.Method, in)
	}
	if err != nil {
		return nil, &forward.ViaError{
			Accepted: true,
			Cause:    errors.Join(err, body.Close()),
		}
	}
	return &http.Response{
		StatusCode:    int(in.GetHead().GetStatus()),
		Header:        headerOfWire(in.GetHead().GetFields()),
		ContentLength: in.GetHead().GetLength(),
		Body:          body,
		Request:       r,
	}, nil
}

// sendBody sends a body, and aborts the exchange if it cannot be read.
func sendBody(x *link.Forwarded, body io.Reader) error {
	if body == nil {
		body = http.NoBody
	}
	err := x.SendBody(body)
	if err != nil {
		x.Abort()
	}
	return err
}

// Failures of peers whose messages are no answers.
var (
	// errNoHead is that of an answer that does not begin with a head, errNoBody that of one with another message in its
	// body.
	errNoHead = errors.New("node: the answer of a peer has no head")
	errNoBody = errors.New("node: the body of a peer's answer has another message")
	// errNoRefusal is that of a refusal whose status is none of a failure.
	errNoRefusal = errors.New("node: the refusal of a peer has the status of no failure")
)

// peerError converts the error of a request that a peer has not accepted.
func peerError(err error) error {
	var refused *link.RefusedError
	if errors.As(err, &refused) {
		return &forward.ViaError{
			Accepted: true,
			Cause:    peerRefusal(refused.Refusal()),
		}
	}
	return &forward.ViaError{
		Cause: err,
	}
}

// peerRefusal returns the error of a refusal. One that a caller can't be answered with proves nothing: net/http panics at a
// status outside of 100 to 999, and one below 400 is no failure to the caller.
func peerRefusal(r *wire.Refusal) error {
	if r.GetStatus() < http.StatusBadRequest || r.GetStatus() > maxStatus {
		return errNoRefusal
	}
	outcome := attempt.OutcomeNotRun
	if r.GetMayHaveRun() {
		outcome = attempt.OutcomeUnknown
	}
	return &entry.PeerRefusal{
		Code:       entry.Code(r.GetCode()),
		Status:     int(r.GetStatus()),
		Outcome:    outcome,
		RetryAfter: time.Duration(r.GetRetryAfterMs()) * time.Millisecond,
	}
}

// maxStatus is the greatest status of an answer (RFC 9110, section 15).
const maxStatus = 599

// peerBody reads the body of a response from a peer.
type peerBody struct {
	forwarded *link.Forwarded
	// request is the body of the request, which sent sends to the peer; nil if there is none.
	request io.Closer
	sent    *task.Task
	rest    []byte
	// left is how many bytes the head's length leaves, or -1 if the head has none.
	left     int64
	once     sync.Once
	closeErr error
}

// begin sets the length of the body by the head of an answer, and adds what comes with the head.
func (b *peerBody) begin(method string, in *wire.ForwardResponse) error {
	h := in.GetHead()
	b.left = h.GetLength()
	if method == http.MethodHead || h.GetStatus() == http.StatusNoContent || h.GetStatus() == http.StatusNotModified {
		b.left = 0
	}
	return b.add(in.GetBody())
}

// add adds a part. A body that is longer than its head says is not passed on further.
func (b *peerBody) add(part []byte) error {
	if b.left >= 0 {
		if int64(len(part)) > b.left {
			return response.ErrSurplus
		}
		b.left -= int64(len(part))
	}
	b.rest = part
	return nil
}

// Read reads the next bytes of the response.
func (b *peerBody) Read(p []byte) (int, error) {
	for len(b.rest) == 0 {
		in, err := b.forwarded.Receive()
		if errors.Is(err, io.EOF) && b.left > 0 {
			return 0, io.ErrUnexpectedEOF
		}
		if errors.Is(err, io.EOF) {
			// The connection serves the next request. That the peer did not read the whole request
			// does not matter: its answer is complete.
			_ = b.Close()
			return 0, io.EOF
		}
		if err == nil && (in.GetHead() != nil || in.GetRefusal() != nil) {
			err = errNoBody
		}
		if err == nil {
			err = b.add(in.GetBody())
		}
		if err != nil {
			return 0, err
		}
	}
	n := copy(p, b.rest)
	b.rest = b.rest[n:]
	return n, nil
}

// Close ends the exchange and returns the error with which sending the request's body failed.
func (b *peerBody) Close() error {
	b.once.Do(func() {
		b.forwarded.Close()
		if b.request != nil {
			// The task may wait for more of it. An error of the body is also that of the task.
			_ = b.request.Close()
		}
		b.closeErr = b.sent.Stop()
	})
	return b.closeErr
}

// wireHead returns the message that begins a forwarded request.
func wireHead(now time.Time, r *http.Request, h *entry.PeerHead) *wire.RequestHead {
	return &wire.RequestHead{
		Id:         h.ID,
		Method:     r.Method,
		Host:       r.Host,
		Uri:        r.URL.RequestURI(),
		Fields:     wireFields(r.Header),
		Length:     r.ContentLength,
		Caller:     h.Caller,
		Service:    h.Service,
		ElapsedMs:  uint32(now.Sub(h.Started).Milliseconds()),
		DeadlineMs: uint32(max(h.Deadline.Sub(now).Milliseconds(), 0)),
		Runs:       uint32(h.Runs),
		Counted:    h.Counted,
		Avoid:      h.Avoid[:min(len(h.Avoid), maxTried)],

		NonRepeatable: h.NonRepeatable,
	}
}

func wireFields(h http.Header) []*wire.Field {
	var out []*wire.Field
	for name, values := range h {
		for _, v := range values {
			out = append(out, &wire.Field{
				Name:  name,
				Value: []byte(v),
			})
		}
	}
	return out
}

// headerOfWire returns a header with canonical names, so that no other spelling of a name passes by its checks.
func headerOfWire(fields []*wire.Field) http.Header {
	h := http.Header{}
	for _, f := range fields {
		h.Add(f.GetName(), string(f.GetValue()))
	}
	return h
}
