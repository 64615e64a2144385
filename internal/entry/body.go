// SPDX-License-Identifier: Apache-2.0

package entry

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"os"
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
	head    []byte
	length  int64
	started atomic.Bool
	failed  atomic.Pointer[error]
}

// readError returns the error with which reading the caller's body failed, or nil.
func (b *body) readError() error {
	if err := b.failed.Load(); err != nil {
		return *err
	}
	return nil
}

// readBody reads the body of a request. Bodies of at most hold bytes are read whole; of larger
// ones only the beginning. Reading fails at the deadline, also that of the rest: what the node holds
// for the request is then free again, however slowly the caller sends.
func readBody(w http.ResponseWriter, r *http.Request, maxBody, hold int64, deadline time.Time) (*body, *Error) {
	if r.Body == nil || r.ContentLength == 0 {
		return &body{}, nil
	}
	// A peer's request has no connection of its own, and its body has the caller's deadline.
	// net/http lifts the deadline of the connection once the body is read.
	_ = http.NewResponseController(w).SetReadDeadline(deadline)
	limited := http.MaxBytesReader(w, r.Body, maxBody)
	if r.ContentLength > hold {
		return readHead(limited, r.ContentLength)
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
	}, nil
}

// readHead reads the beginning of a large body, for its fingerprint; it is sent with the rest.
func readHead(from io.Reader, length int64) (*body, *Error) {
	head := make([]byte, min(length, quarantine.FingerprintBody))
	if _, err := io.ReadFull(from, head); err != nil {
		return nil, bodyError(err)
	}
	return &body{
		stream: io.MultiReader(bytes.NewReader(head), from),
		head:   head,
		length: length,
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
// net/http would otherwise read up to 256 KiB of it before it sends the answer.
func (b *body) closeUnread(w http.ResponseWriter) {
	if b.stream != nil {
		w.Header().Set("Connection", "close")
	}
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

// reader returns the body for another attempt, and false if an attempt has read from it already.
func (b *body) reader() (io.Reader, bool) {
	switch {
	case b.stream == nil:
		return bytes.NewReader(b.held), true
	case b.started.Load():
		return nil, false
	default:
		return b, true
	}
}

// Read reads a body that is streamed.
func (b *body) Read(p []byte) (int, error) {
	b.started.Store(true)
	n, err := b.stream.Read(p)
	if err != nil && !errors.Is(err, io.EOF) {
		b.failed.Store(&err)
	}
	return n, err
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
