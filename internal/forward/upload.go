// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"errors"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// answerGrace is how long a connection on which a body is being sent outlives its use by net/http while the
// answer is not known yet.
const answerGrace = 100 * time.Millisecond

// endOfHeader ends the header of a request.
const endOfHeader = "\r\n\r\n"

// upload is the progress of sending the body of a request. A target may answer before it has read the whole
// body and go on reading; net/http closes the connection shortly after such an answer, which guard.Close
// postpones.
type upload struct {
	// answered is set once the target has answered.
	answered atomic.Bool

	mu sync.Mutex
	// matched is how many bytes of endOfHeader were sent last; all of them once the header was sent.
	matched int
	// rest is the number of bytes of the body that were not sent yet, or negative for a body in chunks.
	rest int64
	// lastChunk is set once only the last chunk of a body in chunks is left to be sent.
	lastChunk bool
	over      bool
	// ended is closed once the kernel has the whole body or sending has failed.
	ended chan struct{}
}

// newUpload returns the progress of a body of length bytes, negative for one in chunks, or nil if there is none.
func newUpload(length int64) *upload {
	if length == 0 {
		return nil
	}
	return &upload{
		rest:  length,
		ended: make(chan struct{}),
	}
}

// wrote records that p was passed to the kernel.
func (u *upload) wrote(p []byte) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for ; len(p) > 0 && u.matched < len(endOfHeader); p = p[1:] {
		switch p[0] {
		case endOfHeader[u.matched]:
			u.matched++
		case endOfHeader[0]:
			u.matched = 1
		default:
			u.matched = 0
		}
	}
	if u.rest < 0 {
		if u.lastChunk {
			u.end()
		}
		return
	}
	u.rest = max(u.rest-int64(len(p)), 0)
	if u.rest == 0 {
		u.end()
	}
}

// fail records that sending has failed.
func (u *upload) fail() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.end()
}

// end ends the upload. u.mu is held.
func (u *upload) end() {
	if !u.over {
		u.over = true
		close(u.ended)
	}
}

// inProgress reports whether a part of the body is still to be sent.
func (u *upload) inProgress() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return !u.over
}

// uploadBody reads a body that is not in memory, and records how reading ends.
type uploadBody struct {
	io.Reader
	upload *upload
	// whole is set once the end of the body was read.
	whole atomic.Bool
}

// Read reads the body.
func (b *uploadBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	switch {
	case errors.Is(err, io.EOF):
		b.whole.Store(true)
	case err != nil:
		b.upload.fail()
	}
	return n, err
}

// Close ends reading. net/http calls it before it sends the last chunk.
func (b *uploadBody) Close() error {
	if b.whole.Load() {
		b.upload.mu.Lock()
		b.upload.lastChunk = true
		b.upload.mu.Unlock()
	}
	if c, ok := b.Reader.(io.Closer); ok {
		return c.Close()
	}
	return nil
}
