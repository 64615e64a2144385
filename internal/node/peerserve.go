// SPDX-License-Identifier: Apache-2.0

package node

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"runtime/debug"
	"strconv"
	"time"

	"github.com/sirupsen/logrus"

	"ploverjunction.example/ploverjunction/internal/attempt"
	"ploverjunction.example/ploverjunction/internal/entry"
	"ploverjunction.example/ploverjunction/internal/logging"
	"ploverjunction.example/ploverjunction/internal/wire"
)

// This file serves requests that peers forward.

// Forward makes the attempts for a request of a peer.
func (n *Node) Forward(stream wire.DRPCPeer_ForwardStream) (err error) {
	in, err := stream.Recv()
	if err != nil {
		return err
	}
	defer n.entry.BeginPeer()()
	n.metrics.Count("requests_of_peers", 1)
	now := time.Now()
	h := in.GetHead()
	log := logging.Part(n.log, "link").WithField("request", h.GetId())
	w := &peerWriter{
		stream:  stream,
		header:  http.Header{},
		service: h.GetService(),
		log:     log,
	}
	r, err := requestOfWire(h, w)
	if err != nil {
		return err
	}
	defer func() {
		// A panic ends the answer, as in net/http.
		v := recover()
		switch {
		case v == nil:
		case v == http.ErrAbortHandler:
			err = errAnswerBrokenOff
		default:
			err = fmt.Errorf("node: request of a peer panicked: %v", v)
			log.WithError(err).WithField("stack", string(debug.Stack())).Error("request of a peer panicked")
		}
	}()
	if err := n.entry.ServePeer(w, r.WithContext(stream.Context()), &entry.PeerHead{
		ID:       h.GetId(),
		Service:  h.GetService(),
		Caller:   h.GetCaller(),
		Started:  now.Add(-time.Duration(h.GetElapsedMs()) * time.Millisecond),
		Deadline: now.Add(time.Duration(h.GetDeadlineMs()) * time.Millisecond),
		Runs:     int(h.GetRuns()),
		Counted:  h.GetCounted(),
		Avoid:    h.GetAvoid(),

		NonRepeatable: h.GetNonRepeatable(),
	}); err != nil {
		return err
	}
	return w.end()
}

// requestOfWire returns the request of a head, whose body is read from the peer.
func requestOfWire(h *wire.RequestHead, body io.Reader) (*http.Request, error) {
	u, err := url.ParseRequestURI(h.GetUri())
	if err != nil {
		return nil, fmt.Errorf("node: request of a peer: %w", err)
	}
	r := &http.Request{
		Method:        h.GetMethod(),
		URL:           u,
		Proto:         "HTTP/1.1",
		ProtoMajor:    1,
		ProtoMinor:    1,
		Header:        headerOfWire(h.GetFields()),
		Host:          h.GetHost(),
		RequestURI:    h.GetUri(),
		RemoteAddr:    h.GetCaller(),
		ContentLength: h.GetLength(),
		Body:          http.NoBody,
	}
	if h.GetLength() != 0 {
		r.Body = io.NopCloser(body)
	}
	return r, nil
}

// peerWriter receives the body of a peer's request and sends the answer.
type peerWriter struct {
	stream wire.DRPCPeer_ForwardStream
	header http.Header
	// service is the one that the request's node chose.
	service string
	log     logrus.FieldLogger
	// rest is the part of the body that was received and not read, ended is set with its last part.
	rest    []byte
	ended   bool
	headSet bool
	// sendErr is the first error with which sending failed.
	sendErr error
}

// Accept accepts the head and waits for the first part of the body.
func (w *peerWriter) Accept() error {
	w.send(&wire.ForwardResponse{
		Accepted: true,
	})
	if w.sendErr != nil {
		return w.sendErr
	}
	return w.receive()
}

func (w *peerWriter) receive() error {
	in, err := w.stream.Recv()
	if errors.Is(err, io.EOF) {
		// The peer has ended the exchange, not the body.
		err = io.ErrUnexpectedEOF
	}
	if err != nil {
		w.log.WithError(err).Warn("body of a peer's request broke off")
		return err
	}
	w.rest, w.ended = in.GetBody(), in.GetEnd()
	return nil
}

// Read reads the body of the request.
func (w *peerWriter) Read(p []byte) (int, error) {
	for len(w.rest) == 0 {
		if w.ended {
			return 0, io.EOF
		}
		if err := w.receive(); err != nil {
			return 0, err
		}
	}
	n := copy(p, w.rest)
	w.rest = w.rest[n:]
	return n, nil
}

// Refuse sends the final answer to a request that no target answered.
func (w *peerWriter) Refuse(e *entry.PeerRefusal, unable bool) {
	w.send(&wire.ForwardResponse{
		Refusal: &wire.Refusal{
			Code:         string(e.Code),
			Status:       uint32(e.Status),
			MayHaveRun:   e.Outcome != attempt.OutcomeNotRun,
			RetryAfterMs: uint32(e.RetryAfter.Milliseconds()),
			Unable:       unable,
		},
		End: true,
	})
	w.headSet = true
}

// Service returns the service that the request's node chose.
func (w *peerWriter) Service() string { return w.service }

// Header returns the header of the response.
func (w *peerWriter) Header() http.Header { return w.header }

// WriteHeader sends the head of the response.
func (w *peerWriter) WriteHeader(status int) {
	if w.headSet {
		return
	}
	w.headSet = true
	length := int64(-1)
	if n, err := strconv.ParseInt(w.header.Get("Content-Length"), 10, 64); err == nil {
		length = n
	}
	w.send(&wire.ForwardResponse{
		Head: &wire.ResponseHead{
			Status: uint32(status),
			Fields: wireFields(w.header),
			Length: length,
		},
	})
}

// Write sends a part of the body of the response.
func (w *peerWriter) Write(p []byte) (int, error) {
	w.WriteHeader(http.StatusOK)
	w.send(&wire.ForwardResponse{
		Body: p,
	})
	if w.sendErr != nil {
		return 0, w.sendErr
	}
	return len(p), nil
}

// FlushError returns the error with which sending failed: nothing is buffered.
func (w *peerWriter) FlushError() error { return w.sendErr }

func (w *peerWriter) send(out *wire.ForwardResponse) {
	if w.sendErr == nil {
		w.sendErr = w.stream.Send(out)
	}
}

// Failures of requests of peers.
var (
	errNoAnswer        = errors.New("node: request of a peer has no answer")
	errAnswerBrokenOff = errors.New("node: answer to a peer broken off")
)

// end ends the answer.
func (w *peerWriter) end() error {
	if !w.headSet {
		return errNoAnswer
	}
	w.send(&wire.ForwardResponse{
		End: true,
	})
	return w.sendErr
}
