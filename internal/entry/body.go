// SPDX-License-Identifier: Apache-2.0

package entry

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"ploverjunction.example/ploverjunction/internal/attempt"
	"ploverjunction.example/ploverjunction/internal/quarantine"
)

// body is the body of a request. A small body is held in memory, so that a retry can send it
// again; a larger one is streamed and can be sent only while no attempt has read from it.
type body struct {
	held   []byte
	stream io.Reader
	// head is the beginning of a body that is streamed.
	head   []byte
	length int64
	// control is that of the caller's connection.
	control *http.ResponseController
	started atomic.Bool
	// complete is set once the end of a body that is streamed was read.
	complete atomic.Bool
	failed   atomic.Pointer[error]
	// mu is held while the stream is read. reader is the only one that may read it; it changes under mu.
	mu     sync.Mutex
	reader atomic.Pointer[streamReader]
}

// restTimeout is how long what a caller still sends is read after its answer, so that the close of the connection does
// not discard the answer on its way to the caller.
const restTimeout = 500 * time.Millisecond

// readError returns the error with which reading the caller's body failed, or nil.
func (b *body) readError() error {
	if err := b.failed.Load(); err != nil {
		return *err
	}
	return nil
}

// readBody reads the body of a request. Bodies of at most hold bytes are read whole; of larger
// ones only the beginning. Reading fails at the deadline, also that of the rest: what the node holds
// for the request is then free again, however slowly the caller sends. What is read here also ends with the context
// unanswered.
func readBody(unanswered context.Context, w http.ResponseWriter, r *http.Request, maxBody, hold int64, deadline time.Time) (*body, *Error) {
	if r.Body == nil || r.ContentLength == 0 {
		return &body{}, nil
	}
	// A peer's request has no connection of its own, and its body has the caller's deadline.
	// net/http lifts the deadline of the connection once the body is read.
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(deadline)
	stop := context.AfterFunc(unanswered, func() { _ = control.SetReadDeadline(time.Now()) })
	defer stop()
	limited := http.MaxBytesReader(w, r.Body, maxBody)
	if r.ContentLength > hold {
		return readHead(limited, r.ContentLength, control)
	}
	first, err := io.ReadAll(io.LimitReader(limited, hold+1))
	if err != nil {
		return nil, bodyError(err)
	}
	if int64(len(first)) <= hold {
		return &body{
			held:   first,
			length: int64(len(first)),
		}, nil
	}
	return &body{
		stream: io.MultiReader(bytes.NewReader(first), limited),
		head:   first,
		length: r.ContentLength,

		control: control,
	}, nil
}

// readHead reads the beginning of a large body, for its fingerprint; it is sent with the rest.
func readHead(from io.Reader, length int64, control *http.ResponseController) (*body, *Error) {
	head := make([]byte, min(length, quarantine.FingerprintBody))
	if _, err := io.ReadFull(from, head); err != nil {
		return nil, bodyError(err)
	}
	return &body{
		stream: io.MultiReader(bytes.NewReader(head), from),
		head:   head,
		length: length,

		control: control,
	}, nil
}

// prefix returns the body, or the beginning of one that is streamed.
func (b *body) prefix() []byte {
	if b.stream != nil {
		return b.head
	}
	return b.held
}

// closeUnread has the caller's connection closed after the answer if a part of the body is unread.
// net/http would otherwise read up to 256 KiB of it before it sends the answer, beside an attempt that still
// sends the body.
func (b *body) closeUnread(w http.ResponseWriter) {
	if b.stream == nil || b.complete.Load() {
		return
	}
	w.Header().Set("Connection", "close")
	// A peer's request has no connection of its own.
	_ = b.control.EnableFullDuplex()
}

// stop ends the reading of the body by attempts. net/http reads the rest after that.
func (b *body) stop() {
	if b.stream == nil || b.complete.Load() {
		return
	}
	if err := b.control.SetReadDeadline(time.Now()); err != nil {
		// Nobody else reads the body of a peer's request.
		return
	}
	b.mu.Lock()
	b.reader.Store(nil)
	b.mu.Unlock()
	_ = b.control.SetReadDeadline(time.Now().Add(restTimeout))
}

func bodyError(err error) *Error {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return refuse(CodeBodySize, http.StatusRequestEntityTooLarge)
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		e := refuse(CodeDeadline, http.StatusRequestTimeout)
		e.cause = err
		return e
	}
	e := refuse(CodeBody, http.StatusBadRequest)
	e.cause = err
	return e
}

// sendable reports whether another attempt can send the body.
func (b *body) sendable() bool { return b.stream == nil || !b.started.Load() }

// open returns the body for another attempt, and false if an attempt has read from it already. Attempts
// before it can no longer read a body that is streamed.
func (b *body) open() (io.Reader, bool) {
	if b.stream == nil {
		return bytes.NewReader(b.held), true
	}
	if !b.mu.TryLock() {
		return nil, false
	}
	defer b.mu.Unlock()
	if b.started.Load() {
		return nil, false
	}
	r := &streamReader{
		body: b,
	}
	b.reader.Store(r)
	return r, true
}

// streamReader reads a body that is streamed for one attempt.
type streamReader struct {
	body   *body
	closed atomic.Bool
}

// errBodyClosed is the failure of reading a body for an attempt that has ended.
var errBodyClosed = errors.New("entry: body is read by no attempt any more")

// Read reads the body. It fails once another attempt may read it.
func (r *streamReader) Read(p []byte) (int, error) {
	b := r.body
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.reader.Load() != r || r.closed.Load() {
		return 0, errBodyClosed
	}
	b.started.Store(true)
	n, err := b.stream.Read(p)
	switch {
	case errors.Is(err, io.EOF):
		b.complete.Store(true)
	case err != nil && r.closed.Load():
		err = errBodyClosed
	case err != nil:
		b.failed.Store(&err)
	}
	return n, err
}

// Close ends the reading, and a Read in progress.
func (r *streamReader) Close() error {
	r.closed.Store(true)
	if b := r.body; b.reader.Load() == r && b.started.Load() && !b.complete.Load() {
		// A peer's request has no connection of its own; its stream ends with the exchange.
		_ = b.control.SetReadDeadline(time.Now())
	}
	return nil
}

// failure returns the error of a request whose body broke while it was sent, or nil. outcome is
// what the attempts proved.
func (b *body) failure(outcome attempt.Outcome) *Error {
	err := b.readError()
	if err == nil {
		return nil
	}
	e := bodyError(err)
	e.outcome = outcome
	if e.code == CodeDeadline && outcome != attempt.OutcomeNotRun {
		// 408 invites callers to repeat the request.
		e.status = http.StatusGatewayTimeout
	}
	return e
}
