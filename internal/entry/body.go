// SPDX-License-Identifier: Apache-2.0

package entry

import (
	"bytes"
	"errors"
	"io"
	"net/http"

	"ploverjunction.example/ploverjunction/internal/attempt"
)

// body is the body of a caller's request. A small one is held, so that another
// attempt can send it again; a larger one can be sent while nobody has read it.
type body struct {
	held    []byte
	stream  io.Reader
	length  int64
	touched bool
	failed  error
}

// readBody takes the body of a request, up to hold bytes of it at once.
func readBody(w http.ResponseWriter, r *http.Request, maxBody, hold int64) (*body, *Error) {
	if r.Body == nil || r.ContentLength == 0 {
		return &body{}, nil
	}
	limited := http.MaxBytesReader(w, r.Body, maxBody)
	if r.ContentLength > hold {
		return &body{
			stream: limited,
			length: r.ContentLength,
		}, nil
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
		length: r.ContentLength,
	}, nil
}

func bodyError(err error) *Error {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return refuse(CodeBodySize, http.StatusRequestEntityTooLarge)
	}
	e := refuse(CodeBody, http.StatusBadRequest)
	e.cause = err
	return e
}

// next returns the body for another attempt, and false if it was spent.
func (b *body) next() (io.Reader, bool) {
	switch {
	case b.stream == nil:
		return bytes.NewReader(b.held), true
	case b.touched:
		return nil, false
	default:
		return b, true
	}
}

// Read reads a body that is not held.
func (b *body) Read(p []byte) (int, error) {
	b.touched = true
	n, err := b.stream.Read(p)
	if err != nil && !errors.Is(err, io.EOF) {
		b.failed = err
	}
	return n, err
}

// fault returns the error of a caller's body that broke while it was sent, or
// nil. outcome is what the attempts proved.
func (b *body) fault(outcome attempt.Outcome) *Error {
	if b.failed == nil {
		return nil
	}
	e := bodyError(b.failed)
	e.outcome = outcome
	return e
}
