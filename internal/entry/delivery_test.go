// SPDX-License-Identifier: Apache-2.0

package entry_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"ploverjunction.example/ploverjunction/internal/attempt"
	"ploverjunction.example/ploverjunction/internal/entry"
	"ploverjunction.example/ploverjunction/internal/signal"
)

// Guards against callers that stop reading: each would hold memory, a slot of a target and megabytes in the
// kernel for as long as its connection lasts.
func TestCallerThatStopsReadingHoldsNothing(t *testing.T) {
	const size = 8 << 20
	const limit = 1 << 20
	list := &choices{
		list: []*signalTarget{newSignalTarget(t, "target", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", fmt.Sprint(size))
			_, _ = w.Write(make([]byte, size))
		})},
		before: func(int) {},
	}
	s := newSite(t, func(cfg *entry.Config) {
		cfg.Signals = &signal.Ledger{}
		cfg.Choose = list.choose
		cfg.Memory = limit
		cfg.Stall = 300 * time.Millisecond
	})
	conn, err := net.Dial("tcp", s.server.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	_ = conn.(*net.TCPConn).SetReadBuffer(4 << 10)
	_, _ = fmt.Fprintf(conn, "GET /quotes/1 HTTP/1.1\r\nHost: test\r\nAuthorization: Bearer %s\r\n\r\n", keyBrokers)
	res, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	if _, held := s.server.Held(); held < 64<<10 {
		t.Errorf("%d bytes counted for an answer of unexpected size", held)
	}
	tick := time.NewTicker(10 * time.Millisecond)
	defer tick.Stop()
	for end := time.Now().Add(30 * time.Second); s.server.InFlight() > 0; <-tick.C {
		if time.Now().After(end) {
			t.Fatal("the answer is not broken off")
		}
	}
	if _, held := s.server.Held(); held != 0 {
		t.Errorf("%d bytes held after the answer was broken off", held)
	}
	n, err := io.Copy(io.Discard, res.Body)
	if !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("error %v, want a reset connection, so that the kernel discards what is unread", err)
	}
	if n > limit {
		t.Errorf("the caller got %d bytes that it had not read before the end", n)
	}
}

// Guards against a caller's connection that is reset before the first byte of an answer, which looks like one that was
// closed with the request unread: such a request is sent again.
func TestAnswerThatBreaksAtOnceIsAnswered(t *testing.T) {
	broken := newSignalTarget(t, "broken", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "100000")
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	})
	c := &choices{
		list:   []*signalTarget{broken},
		before: func(int) {},
	}
	s := signalSite(t, &signal.Ledger{}, c)
	res, err := http.DefaultClient.Do(request(t, s.url+"/open/1"))
	if err != nil {
		t.Fatalf("the caller got no answer: %v", err)
	}
	_ = res.Body.Close()
	if got := res.Header.Get("Plover-Outcome"); res.StatusCode != http.StatusBadGateway || got != "unknown" {
		t.Errorf("status %d, outcome %q", res.StatusCode, got)
	}
	if n := broken.arrived.Load(); n != 1 {
		t.Errorf("%d runs", n)
	}
}

// Guards against a planned stop that closes connections without an answer: callers can't tell whether the request ran.
func TestPlannedStopAnswersWhatIsUnanswered(t *testing.T) {
	tests := []struct {
		name    string
		sent    bool
		status  int
		outcome string
	}{
		{
			name:    "at a target",
			sent:    true,
			status:  http.StatusBadGateway,
			outcome: "unknown",
		},
		{
			name:    "waiting for a target",
			status:  http.StatusServiceUnavailable,
			outcome: "not-run",
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			waiting := make(chan struct{}, 1)
			silent := newSignalTarget(t, "silent", func(_ http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				waiting <- struct{}{}
				<-r.Context().Done()
			})
			s := newSite(t, func(cfg *entry.Config) {
				cfg.Choose = func(ctx context.Context, _ *entry.Query) (entry.Choice, error) {
					if tt.sent {
						return silent.choice, nil
					}
					waiting <- struct{}{}
					select {
					case <-ctx.Done():
					case <-time.After(maxTrialTime):
						t.Error("the request still waits")
					}
					return entry.Choice{}, entry.NewNoTargetError(attempt.ReasonCaller, 0)
				}
			})
			go func() {
				<-waiting
				s.server.CloseConnections()
				s.server.EndUnanswered()
			}()
			res, err := http.DefaultClient.Do(request(t, s.url+"/open/1"))
			if err != nil {
				t.Fatal(err)
			}
			_ = res.Body.Close()
			if got := res.Header.Get("Plover-Outcome"); res.StatusCode != tt.status || got != tt.outcome || !res.Close {
				t.Errorf("status %d, outcome %q, close %v", res.StatusCode, got, res.Close)
			}
			if retry := res.Header.Get("Retry-After"); !tt.sent && retry == "" {
				t.Error("refused without Retry-After")
			}
		})
	}
}
