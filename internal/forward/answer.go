// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"ploverjunction.example/ploverjunction/internal/attempt"
)

// Answer is the answer of a target. Its headers are known; its body is held
// whole if it is small, else it is read as it comes. It isn't safe for
// concurrent use.
type Answer struct {
	target   string
	response *http.Response
	held     []byte
	whole    bool
	leaving  bool
	watch    *watchdog
	stall    time.Duration
	cancel   context.CancelFunc
}

// Status returns the status code.
func (a *Answer) Status() int { return a.response.StatusCode }

// Header returns the header, with its hop-by-hop fields. It must not be changed.
func (a *Answer) Header() http.Header { return a.response.Header }

// Length returns the length of the body in bytes, or -1 if it is not known yet.
func (a *Answer) Length() int64 {
	if a.whole {
		return int64(len(a.held))
	}
	return a.response.ContentLength
}

// Target returns the address of the target.
func (a *Answer) Target() string { return a.target }

// Whole tells whether the body was read to its verified end.
func (a *Answer) Whole() bool { return a.whole }

// Leaving tells whether the target said that it is leaving.
func (a *Answer) Leaving() bool { return a.leaving }

// Close ends the answer. If the body was not read to its end the connection is
// closed and never reused.
func (a *Answer) Close() {
	a.watch.stop()
	a.cancel()
	_ = a.response.Body.Close()
}

func (a *Answer) fail(kind Kind, cause error) *Error {
	return &Error{
		kind:    kind,
		target:  a.target,
		outcome: attempt.OutcomeUnknown,
		leaving: a.leaving,
		cause:   cause,
	}
}

// check looks at the headers of the answer.
func (a *Answer) check(id string) error {
	h := a.response.Header
	if echo := h.Get(HeaderRequestID); echo != "" && echo != id {
		return a.fail(KindForeign, nil)
	}
	refused := a.Status() == http.StatusServiceUnavailable || a.Status() == http.StatusTooManyRequests
	if refused && h.Get(HeaderOutcome) == attempt.OutcomeNotRun.String() {
		e := a.fail(KindShed, nil)
		e.outcome = attempt.OutcomeNotRun
		return e
	}
	if a.response.ContentLength < 0 && len(a.response.TransferEncoding) == 0 {
		// Only the end of the connection would end such a body, and a cut looks
		// the same (RFC 9112, section 8).
		return a.fail(KindUnframed, nil)
	}
	return nil
}

// fill reads the body up to hold bytes. An answer that fits is whole after it.
func (a *Answer) fill(hold int64) error {
	if a.response.ContentLength > hold {
		return nil
	}
	var b bytes.Buffer
	if n := a.response.ContentLength; n > 0 {
		b.Grow(int(n) + bytes.MinRead)
	}
	n, err := b.ReadFrom(io.LimitReader(a.response.Body, hold+1))
	if err != nil {
		return a.broken(err)
	}
	a.held = b.Bytes()
	a.whole = n <= hold
	return nil
}

func (a *Answer) broken(err error) *Error {
	kind := KindReset
	if a.watch.fired() {
		kind = KindStall
	}
	return a.fail(kind, err)
}

// Read reads the body. It returns io.EOF only after the verified end; a broken,
// short or stalled body gives an *Error.
func (a *Answer) Read(p []byte) (int, error) {
	if len(a.held) > 0 {
		n := copy(p, a.held)
		a.held = a.held[n:]
		return n, nil
	}
	if a.whole {
		return 0, io.EOF
	}
	a.watch.reset(a.stall)
	n, err := a.response.Body.Read(p)
	a.watch.stop()
	if err != nil && !errors.Is(err, io.EOF) {
		return n, a.broken(err)
	}
	return n, err
}

// Leaving tells whether the header of a target's answer says that the target is
// leaving.
func Leaving(h http.Header) bool {
	return h.Get(HeaderState) == stateLeaving
}
