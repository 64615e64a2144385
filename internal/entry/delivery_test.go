// SPDX-License-Identifier: Apache-2.0

package entry_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

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
