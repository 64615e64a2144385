// SPDX-License-Identifier: Apache-2.0

package entry_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"ploverjunction.example/ploverjunction/internal/entry"
	"ploverjunction.example/ploverjunction/internal/fleetconfig"
	"ploverjunction.example/ploverjunction/internal/outlier"
	"ploverjunction.example/ploverjunction/internal/signal"
)

// brokenSize is the size in bytes of the part of a broken answer that arrives: more than the site holds before it passes on
// an answer.
const (
	brokenSize = 100 << 10
	// brokenRest is the same for the rest of a download, whose other part has brokenSize bytes.
	brokenRest = 90 << 10
)

// brokenAnswers are answers that break in their heads or after brokenSize bytes, after a status line.
var brokenAnswers = []struct {
	name string
	// fields follow the status line and the ID, body the head.
	fields string
	body   string
	reset  bool
}{
	{
		name:   "name with a blank",
		fields: "X Odd: 1\r\n",
	},
	{
		name:  "reset in the head",
		reset: true,
	},
	{
		name:   "malformed chunk",
		fields: "Transfer-Encoding: chunked\r\n",
		body:   fmt.Sprintf("\r\n%x\r\n%s\r\nx\r\n", brokenSize, strings.Repeat("d", brokenSize)),
	},
	{
		name:   "malformed trailer",
		fields: "Transfer-Encoding: chunked\r\n",
		body:   fmt.Sprintf("\r\n%x\r\n%s\r\n0\r\nX Odd: 1\r\n\r\n", brokenSize, strings.Repeat("d", brokenSize)),
	},
	{
		name:  "reset without a length",
		body:  "\r\n" + strings.Repeat("d", brokenSize),
		reset: true,
	},
	{
		name:   "reset before the length",
		fields: fmt.Sprintf("Content-Length: %d\r\n", 2*brokenSize),
		body:   "\r\n" + strings.Repeat("d", brokenSize),
		reset:  true,
	},
}

// newBrokenTarget returns a target that sends a status, fields and an answer that breaks. Its ends are sent to done.
func newBrokenTarget(t *testing.T, key, status, text string, reset bool, done chan outlier.Result) *signalTarget {
	out := newSignalTarget(t, key, func(w http.ResponseWriter, r *http.Request) {
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			t.Error(err)
			return
		}
		defer func() { _ = conn.Close() }()
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 %s\r\nPlover-Request-Id: %s\r\n%s", status, r.Header.Get("Plover-Request-Id"), text)
		if reset {
			// What was sent before is lost with an earlier reset.
			time.Sleep(20 * time.Millisecond)
			_ = conn.(*net.TCPConn).SetLinger(0)
		}
	})
	out.choice.Done = func(end outlier.Result, _ time.Duration) { done <- end }
	return out
}

// Guards against a trial that counts as a success though its answer is malformed or reset, in its head or in a body that
// is streamed.
func TestBrokenTrialIsNoSuccess(t *testing.T) {
	for _, tt := range brokenAnswers {
		t.Run(tt.name, func(t *testing.T) {
			done := make(chan outlier.Result, 1)
			trial := newBrokenTarget(t, "trial", "200 OK", tt.fields+tt.body, tt.reset, done)
			collector := outlier.NewCollector(time.Second)
			s := newSite(t, func(cfg *entry.Config) {
				cfg.Collector = collector
				cfg.Trial = func(*fleetconfig.Service) (entry.Choice, bool) { return trial.choice, trial.arrived.Load() == 0 }
			})
			res, err := http.DefaultClient.Do(request(t, s.url+"/quotes/1"))
			if err != nil {
				t.Fatal(err)
			}
			_ = res.Body.Close()
			if end := <-done; !end.Failed || end.Ignored {
				t.Errorf("the trial ended with %+v", end)
			}
			good, bad := 0.0, 0.0
			for _, e := range collector.Drain(time.Now()) {
				if e.Counts.Target == "trial" {
					good, bad = good+e.Counts.Good, bad+e.Counts.Bad
				}
			}
			if good != 0 || bad == 0 {
				t.Errorf("%v good and %v bad attempts at the target", good, bad)
			}
		})
	}
}

// Guards against an attempt that is reported as a success though the body of its answer broke while it was passed on.
func TestBrokenAnswerIsNoSuccess(t *testing.T) {
	for _, tt := range brokenAnswers {
		t.Run(tt.name, func(t *testing.T) {
			done := make(chan outlier.Result, 16)
			broken := newBrokenTarget(t, "broken", "200 OK", tt.fields+tt.body, tt.reset, done)
			s := signalSite(t, &signal.Ledger{}, &choices{
				list:   []*signalTarget{broken},
				before: func(int) {},
			})
			res, err := http.DefaultClient.Do(request(t, s.url+"/open/1"))
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = res.Body.Close() }()
			if body, err := io.ReadAll(res.Body); err == nil && res.StatusCode == http.StatusOK {
				t.Errorf("a whole answer of %d bytes", len(body))
			}
			if end := <-done; !end.Failed || end.Ignored {
				t.Errorf("the attempt ended with %+v", end)
			}
		})
	}
}

// Guards against a download that looks whole though the answer with the rest of it is malformed or reset.
func TestBrokenRestOfADownloadIsNoSuccess(t *testing.T) {
	const size = 2 * brokenSize
	for _, tt := range brokenAnswers {
		t.Run(tt.name, func(t *testing.T) {
			done := make(chan outlier.Result, 16)
			const first = "Etag: \"v1\"\r\nAccept-Ranges: bytes\r\n"
			cut := newBrokenTarget(t, "cut", "200 OK", first+"Content-Length: "+strconv.Itoa(size)+"\r\n\r\n"+strings.Repeat("d", brokenSize), true, done)
			rest := fmt.Sprintf("Etag: \"v1\"\r\nContent-Range: bytes %d-%d/%d\r\n", brokenSize, size-1, size)
			// The bytes that arrive are fewer than the rest.
			body := strings.ReplaceAll(tt.body, strings.Repeat("d", brokenSize), strings.Repeat("d", brokenRest))
			body = strings.Replace(body, fmt.Sprintf("%x\r\n", brokenSize), fmt.Sprintf("%x\r\n", brokenRest), 1)
			broken := newBrokenTarget(t, "broken", "206 Partial Content", rest+tt.fields+body, tt.reset, done)
			s := signalSite(t, &signal.Ledger{}, &choices{
				list:   []*signalTarget{cut, broken},
				before: func(int) {},
			})
			r, err := http.NewRequest(http.MethodGet, s.url+"/quotes/1", nil)
			if err != nil {
				t.Fatal(err)
			}
			r.Header = brokers.Clone()
			res, err := http.DefaultClient.Do(r)
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = res.Body.Close() }()
			if body, err := io.ReadAll(res.Body); err == nil {
				t.Errorf("status %d, a whole answer of %d bytes", res.StatusCode, len(body))
			}
			for _, key := range []string{"cut", "broken"} {
				if end := <-done; !end.Failed || end.Ignored {
					t.Errorf("the attempt at %s ended with %+v", key, end)
				}
			}
			if broken.arrived.Load() == 0 {
				t.Error("the rest was not requested")
			}
		})
	}
}

// Guards against a field that the target did not send: net/http guesses a Content-Type by the first bytes.
func TestAnswerGetsNoContentType(t *testing.T) {
	const page = "<html><script>"
	for _, want := range []string{"", "Content-Type: a/b\r\n"} {
		plain := newBrokenTarget(t, "plain", "200 OK", fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", want, len(page), page), false, make(chan outlier.Result, 1))
		s := signalSite(t, &signal.Ledger{}, &choices{
			list:   []*signalTarget{plain},
			before: func(int) {},
		})
		res, err := http.DefaultClient.Do(request(t, s.url+"/open/1"))
		if err != nil {
			t.Fatal(err)
		}
		_ = res.Body.Close()
		got := ""
		for _, v := range res.Header["Content-Type"] {
			got += "Content-Type: " + v + "\r\n"
		}
		if got != want {
			t.Errorf("%q, want %q", got, want)
		}
	}
}
