// SPDX-License-Identifier: Apache-2.0

package target

import (
	"bytes"
	"io"
	"net/http"
	"strconv"
	"time"
)

// Upload is the body of a request that a target answered before it had read all of it.
type Upload struct {
	Key  string
	Body []byte
	// Err is the error with which reading ended, or nil at the end of the body.
	Err error
}

// Uploads returns the bodies that were read to their end, or until they broke off, after early answers.
func (t *Target) Uploads() []Upload {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]Upload(nil), t.uploads...)
}

// answerEarly answers a request once it has read AnswerAfter bytes of its body, and reads on.
func (t *Target) answerEarly(w http.ResponseWriter, r *http.Request, m *Mode) {
	control := http.NewResponseController(w)
	if err := control.EnableFullDuplex(); err != nil {
		panic(err)
	}
	var body bytes.Buffer
	_, err := io.CopyN(&body, r.Body, m.AnswerAfter)
	if err == nil {
		t.recordRun(r, time.Now())
		w.Header().Set(headerRequestID, r.Header.Get(headerRequestID))
		size, _ := strconv.ParseInt(r.URL.Query().Get("size"), 10, 64)
		if !r.URL.Query().Has("chunked") {
			w.Header().Set("Content-Length", strconv.FormatInt(size, 10))
		}
		w.WriteHeader(max(m.AnswerStatus, http.StatusOK))
		// The end of the body shows whether the connection failed.
		_, _ = w.Write(Document(r.URL.Path, size))
		_ = control.Flush()
		sleep(r, m.ReadPause)
		_, err = io.Copy(&body, r.Body)
	}
	t.mu.Lock()
	t.uploads = append(t.uploads, Upload{
		Key:  r.Header.Get(HeaderKey),
		Body: body.Bytes(),
		Err:  err,
	})
	t.mu.Unlock()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
}
