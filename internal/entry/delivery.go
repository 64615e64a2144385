// SPDX-License-Identifier: Apache-2.0

package entry

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"time"

	"ploverjunction.example/ploverjunction/internal/attempt"
	"ploverjunction.example/ploverjunction/internal/forward"
)

// deliver sends an answer to the caller. If the answer breaks and cannot be resumed, the caller's
// connection is closed, so that a truncated answer is not mistaken for a complete one.
func (x *relay) deliver(w http.ResponseWriter, a *forward.Answer, release func()) {
	h := w.Header()
	c := x.server.cfg.Contract
	for name, values := range endToEnd(c, a.Header()) {
		h[name] = values
	}
	if _, ok := h["Content-Type"]; !ok {
		// Otherwise net/http guesses one, which the target has not sent.
		h["Content-Type"] = nil
	}
	if c.Forwarded {
		h.Add("Via", via)
	}
	x.server.setOutcome(h, x.id, attempt.OutcomeDone)
	if n := a.Length(); n >= 0 && hasBody(x.req.Method, a.Status()) {
		h.Set("Content-Length", strconv.FormatInt(n, 10))
	}
	x.body.closeUnread(w)
	x.server.limitWrite(w)
	w.WriteHeader(a.Status())
	if !hasBody(x.req.Method, a.Status()) {
		x.endBody(w, a)
		a.Close()
		release()
		return
	}
	defer x.chargeAnswer(a)()
	// net/http closes the connection itself when a write fails.
	setDiscard(x.req, true)
	if err := x.copy(w, a, release); err != nil {
		x.server.log.WithField("request", x.id).WithError(err).Warn("answer broken off")
		panic(http.ErrAbortHandler)
	}
	setDiscard(x.req, false)
}

func hasBody(method string, status int) bool {
	return method != http.MethodHead && status != http.StatusNoContent && status != http.StatusNotModified
}

// copy streams the body and resumes it where that is possible.
func (x *relay) copy(w http.ResponseWriter, a *forward.Answer, release func()) error {
	total := a.Length()
	etag := a.Header().Get("Etag")
	resumable := x.resumable(a)
	offset := int64(0)
	for resumes := 0; ; resumes++ {
		n, err := x.stream(w, a)
		offset += n
		if err == nil {
			x.endBody(w, a)
		} else {
			x.body.stop()
		}
		a.Close()
		if x.req.Context().Err() == nil {
			// Otherwise the caller is gone, for which reading may fail.
			x.winner.end = withBody(x.winner.end, err)
		}
		release()
		if err == nil {
			return nil
		}
		var fe *forward.Error
		if !errors.As(err, &fe) {
			return err
		}
		if x.winner.peer == "" {
			x.recordBrokenBody(x.key(a.Target()))
			x.checkCrash(x.winner, err)
		}
		x.tracker.Record(attempt.OutcomeUnknown)
		if !resumable || resumes == maxResumes {
			return err
		}
		if a, release = x.resume(etag, offset, total); a == nil {
			return err
		}
		x.server.log.WithField("request", x.id).WithField("offset", offset).Info("answer resumed")
	}
}

// endBody sends the rest of the request's body to a target that has accepted the request before it read all of
// it: the caller is told of a success. The rest for one that has not is broken off.
func (x *relay) endBody(w http.ResponseWriter, a *forward.Answer) {
	defer x.body.stop()
	// The end of an answer without a length, for which a peer waits, is sent after this.
	unknownEnd := x.peerHead != nil && a.Length() < 0
	if !a.Accepted() || !a.Uploading() || unknownEnd {
		return
	}
	control := http.NewResponseController(w)
	// The caller's connection is gone if this fails, and reading the body fails.
	_ = control.Flush()
	a.AwaitUpload(x.tracker.Deadline())
	_ = control.SetWriteDeadline(time.Now().Add(x.server.cfg.Stall))
}

// limitWrite limits how long the caller may take to read an answer that is written at once: a connection that waits for
// its caller would be in use for good.
func (s *Server) limitWrite(w http.ResponseWriter) {
	// A peer's request has no connection of its own; the peer limits the time.
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(s.cfg.Stall))
}

const (
	// minReadRate is the rate, in bytes per second, at which the slowest callers read. An answer that is
	// read at this rate is not broken off.
	minReadRate = 1000
	// writePiece is the size in bytes of the pieces for which the time is limited: within the time for a
	// larger one, a caller that has stopped reading would hold memory for long.
	writePiece = 4 << 10
)

// write writes a part of an answer to the caller. It fails if the caller reads nothing for Stall, or less
// than minReadRate.
func (x *relay) write(w http.ResponseWriter, control *http.ResponseController, b []byte) error {
	for piece := range slices.Chunk(b, writePiece) {
		// A peer's request has no connection of its own; the peer limits the time.
		_ = control.SetWriteDeadline(time.Now().Add(x.server.cfg.Stall + time.Duration(len(piece))*time.Second/minReadRate))
		if _, err := w.Write(piece); err != nil {
			return fmt.Errorf("entry: write to the caller: %w", err)
		}
	}
	return nil
}

// stream copies one target's answer to its end. It fails if the caller reads nothing for Stall, or less
// than minReadRate: the answer's target and memory are free again then.
func (x *relay) stream(w http.ResponseWriter, a *forward.Answer) (int64, error) {
	buf := x.server.buffers.Get().(*[]byte)
	defer x.server.buffers.Put(buf)
	control := http.NewResponseController(w)
	var sent int64
	for {
		n, err := a.Read(*buf)
		if n > 0 {
			if err := x.write(w, control, (*buf)[:n]); err != nil {
				return sent, err
			}
			sent += int64(n)
		}
		if errors.Is(err, io.EOF) {
			return sent, nil
		}
		if err != nil {
			return sent, err
		}
		if !a.Whole() {
			if err := control.Flush(); err != nil {
				return sent, fmt.Errorf("entry: flush to the caller: %w", err)
			}
		}
	}
}
