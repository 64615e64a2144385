// SPDX-License-Identifier: Apache-2.0

package entry

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"ploverjunction.example/ploverjunction/internal/attempt"
	"ploverjunction.example/ploverjunction/internal/forward"
)

// resumable reports whether the rest of an answer can be requested from another target: the route
// is repeatable and the target offers ranges and a strong validator (RFC 9110, sections 8.8.1 and
// 14.2).
func (x *relay) resumable(a *forward.Answer) bool {
	h := a.Header()
	etag := h.Get("Etag")
	return x.admission.repeatable &&
		x.req.Method == http.MethodGet &&
		x.req.Header.Get("Range") == "" &&
		a.Status() == http.StatusOK &&
		a.Length() > 0 &&
		h.Get("Accept-Ranges") == "bytes" &&
		strings.HasPrefix(etag, `"`)
}

// resume requests the bytes of the answer from offset on. It returns nil if no target continues
// the same representation.
func (x *relay) resume(etag string, offset, total int64) (*forward.Answer, func()) {
	x.tracker.SetDeadline(time.Now().Add(x.admission.timeout))
	x.header.Set("Range", fmt.Sprintf("bytes=%d-", offset))
	x.header.Set("If-Range", etag)
	r := x.attemptOnce()
	if r == nil {
		return nil, nil
	}
	x.cancelOthers(r)
	x.winner = r.try
	a, release := r.answer, r.try.release
	want := fmt.Sprintf("bytes %d-%d/%d", offset, total-1, total)
	same := a.Status() == http.StatusPartialContent &&
		a.Header().Get("Content-Range") == want &&
		a.Header().Get("Etag") == etag
	if !same {
		a.Close()
		release()
		return nil, nil
	}
	return a, release
}

// attemptOnce makes attempts until one is sent. It returns nil if none may be made or the sent one
// failed.
func (x *relay) attemptOnce() *result {
	for unsent := -1; unsent < x.unsent; {
		unsent = x.unsent
		if x.launch() != attempt.ReasonNone {
			return nil
		}
		if r := x.await(); r != nil {
			return r
		}
	}
	return nil
}

// key returns the key of the target at an address, if it is the winner's; else the address.
func (x *relay) key(address string) string {
	if x.winner != nil && x.winner.choice.Address == address {
		return x.winner.choice.Key
	}
	return address
}
