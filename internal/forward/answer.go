// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"time"

	"ploverjunction.example/ploverjunction/internal/attempt"
	"ploverjunction.example/ploverjunction/internal/contract"
)

// Answer is the answer of a target. A small body is held whole in memory; a larger one is
// streamed. It is not safe for concurrent use.
type Answer struct {
	target   string
	response *http.Response
	held     []byte
	whole    bool
	draining bool
	watch    *watchdog
	stall    time.Duration
	// limit bounds the time of a body that is streamed; it is nil for others.
	limit *watchdog
	// cancel ends the attempt and releases what it holds. unread returns why the answer was not read to its end, or "".
	cancel   func()
	unread   func() Kind
	contract *contract.Contract
	evidence Evidence
	// upload is the body that is sent to the target, or nil. released ends with the use of the answer.
	upload   *upload
	released <-chan struct{}
	// peerBody is the whole body of a peer's answer that is read only up to its length, or nil: its end comes
	// after that of the upload.
	peerBody io.Reader
}

// Status returns the status code.
func (a *Answer) Status() int { return a.response.StatusCode }

// Header returns the header, including hop-by-hop fields. It must not be changed.
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

// Whole reports whether the body was read to its verified end.
func (a *Answer) Whole() bool { return a.whole }

// Draining reports whether the target signalled that it is draining.
func (a *Answer) Draining() bool { return a.draining }

// Close releases the answer. If the body was not read to its end, the connection is closed and
// never reused.
func (a *Answer) Close() {
	a.watch.stop()
	if a.limit != nil {
		a.limit.stop()
	}
	a.cancel()
	_ = a.response.Body.Close()
}

// Accepted reports whether the target accepted the request, so that it is due the rest of a body of which it
// has not read all.
func (a *Answer) Accepted() bool { return accepted(a.Status()) }

func accepted(status int) bool { return status < http.StatusMultipleChoices }

// acceptedEarly reports whether an answer may come before the end of the request's body and is known to be
// complete by its length.
func acceptedEarly(r *Request, res *http.Response) bool {
	return r.Length != 0 && res.ContentLength >= 0 && accepted(res.StatusCode)
}

// limitedBody returns the body of an answer up to its length.
func limitedBody(res *http.Response) io.ReadCloser {
	return struct {
		io.Reader
		io.Closer
	}{
		Reader: io.LimitReader(res.Body, res.ContentLength),
		Closer: res.Body,
	}
}

// Uploading reports whether the target may still be due a part of the request's body.
func (a *Answer) Uploading() bool {
	return a.peerBody != nil || a.upload != nil && a.upload.inProgress()
}

// AwaitUpload waits until the rest of the request's body was sent, sending has failed, or the deadline passes.
// The body of the answer must have been read.
func (a *Answer) AwaitUpload(deadline time.Time) {
	a.watch.reset(time.Until(deadline))
	defer a.watch.stop()
	if a.peerBody != nil {
		// An error means that the peer sends no more of it either.
		_, _ = io.Copy(io.Discard, a.peerBody)
		return
	}
	select {
	case <-a.upload.ended:
	case <-a.released:
	}
}

func (a *Answer) newError(kind Kind, cause error) *Error {
	return &Error{
		kind:     kind,
		target:   a.target,
		outcome:  attempt.OutcomeUnknown,
		draining: a.draining,
		evidence: &a.evidence,
		cause:    cause,
	}
}

// check checks the header of the answer. A body without length, which ends with its connection, is
// complete if the connection ends without an error (RFC 9112, section 8).
//
// A refusal proves that a request did not run only if it carries the ID of that request: an answer
// without one may be a surplus one to another request. Where targets need not echo IDs, a refusal
// without one still says that the target sheds load.
//
// Callers take the status of a refusal for a promise that their request has not run, so that one without
// a proof is no answer to a request that must not be repeated.
func (a *Answer) check(r *Request) error {
	h := a.response.Header
	a.evidence.status = a.Status()
	a.evidence.echo = echoOf(h.Values(a.contract.RequestID), r.ID)
	if a.evidence.echo == EchoOther || a.contract.CallersID && a.evidence.echo != EchoOwn {
		return a.newError(KindForeign, nil)
	}
	// A request without an ID has nothing by which an answer could name it.
	own := a.evidence.echo == EchoOwn && r.ID != ""
	var e *Error
	switch a.contract.Refused(a.Status(), h) {
	case contract.RefusalShed:
		e = a.newError(KindShed, nil)
	case contract.RefusalOtherTarget:
		e = a.newError(KindOtherTarget, nil)
	default:
		if !r.Repeatable && a.contract.Promises != nil && a.contract.Promises(a.Status()) {
			return a.newError(KindUnproven, nil)
		}
		return nil
	}
	if own {
		e.outcome = attempt.OutcomeNotRun
		e.proof = ProofRefusal
	}
	return e
}

// readHeld reads up to hold bytes of the body into memory. An answer that fits is complete then. Of a
// larger one the first bytes are read: until these are there, the attempt has failed if the body breaks,
// and the caller has not been sent a part of an answer.
func (a *Answer) readHeld(hold int64) error {
	if a.response.ContentLength > hold {
		return a.readFirst()
	}
	var b bytes.Buffer
	if n := a.response.ContentLength; n > 0 {
		b.Grow(int(n) + bytes.MinRead)
	}
	n, err := b.ReadFrom(io.LimitReader(a.response.Body, hold+1))
	if err != nil {
		return a.bodyError(err)
	}
	a.held = b.Bytes()
	a.whole = n <= hold
	return nil
}

// firstBytes is how much of a body that is streamed is read at first.
const firstBytes = 4 << 10

func (a *Answer) readFirst() error {
	first := make([]byte, min(a.response.ContentLength, firstBytes))
	n, err := a.response.Body.Read(first)
	// The answer to a HEAD request has a length and no body.
	if err != nil && !errors.Is(err, io.EOF) {
		return a.bodyError(err)
	}
	a.held = first[:n]
	return nil
}

func (a *Answer) bodyError(err error) *Error {
	kind := KindReset
	switch {
	case a.unread() != "":
		kind = a.unread()
	case a.limit != nil && a.limit.fired():
		kind = KindEndless
	case a.watch.fired():
		kind = KindStall
	}
	return a.newError(kind, err)
}

// Read reads the body. It returns io.EOF only after the verified end, and an *Error for a broken,
// short or stalled body.
func (a *Answer) Read(p []byte) (int, error) {
	if len(a.held) > 0 {
		n := copy(p, a.held)
		a.held = a.held[n:]
		if len(a.held) == 0 {
			// Frees the array, which is up to twice as large as the part that was held, while the rest is streamed.
			a.held = nil
		}
		return n, nil
	}
	if a.whole {
		return 0, io.EOF
	}
	a.watch.reset(a.stall)
	n, err := a.response.Body.Read(p)
	a.watch.stop()
	if err != nil && !errors.Is(err, io.EOF) {
		return n, a.bodyError(err)
	}
	return n, err
}
