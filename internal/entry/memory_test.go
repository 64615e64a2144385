// SPDX-License-Identifier: Apache-2.0

package entry_test

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"ploverjunction.example/ploverjunction/internal/entry"
	"ploverjunction.example/ploverjunction/internal/signal"
)

// Guards against a node that runs out of memory because many large bodies arrive slowly.
func TestSlowUploadsStayWithinMemoryLimit(t *testing.T) {
	const uploads, size = 200, 16 << 10
	c := &choices{
		list:   []*signalTarget{newSignalTarget(t, "target", serveOK)},
		before: func(int) {},
	}
	s := newSite(t, func(cfg *entry.Config) {
		cfg.Signals = &signal.Ledger{}
		cfg.Choose = c.choose
		cfg.Memory = 40 * size
	})
	type end struct {
		status int
		err    error
	}
	ends := make(chan end, uploads)
	var writers []*io.PipeWriter
	for range uploads {
		r, w := io.Pipe()
		writers = append(writers, w)
		go func() {
			req, err := http.NewRequest(http.MethodPost, s.url+"/quotes/1", r)
			if err != nil {
				ends <- end{
					err: err,
				}
				return
			}
			req.ContentLength = size
			req.Header = brokers.Clone()
			res, err := http.DefaultClient.Do(req)
			if err != nil {
				ends <- end{
					err: err,
				}
				return
			}
			_ = res.Body.Close()
			ends <- end{
				status: res.StatusCode,
			}
		}()
	}
	refused := 0
	for refused < uploads-40 {
		e := <-ends
		if e.err != nil {
			t.Fatal(e.err)
		}
		if e.status != http.StatusServiceUnavailable {
			t.Fatalf("status %d before the body was sent", e.status)
		}
		refused++
	}
	if held, _ := s.server.Held(); held != 40*size {
		t.Errorf("%d bytes held, want the limit", held)
	}
	if status := s.get(t, http.DefaultClient, "/quotes/1", brokers); status != http.StatusOK {
		t.Errorf("status %d for a request without a body", status)
	}
	for _, w := range writers {
		// The client has closed the bodies of refused requests.
		_, _ = io.Copy(w, strings.NewReader(strings.Repeat("x", size)))
		_ = w.Close()
	}
	for range uploads - refused {
		if e := <-ends; e.err != nil || e.status != http.StatusOK {
			t.Errorf("status %d, error %v for a body that was sent late", e.status, e.err)
		}
	}
	if held, _ := s.server.Held(); held != 0 {
		t.Errorf("%d bytes held after all requests ended", held)
	}
}
