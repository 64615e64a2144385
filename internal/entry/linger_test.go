// SPDX-License-Identifier: Apache-2.0

package entry_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"ploverjunction.example/ploverjunction/internal/entry"
	"ploverjunction.example/ploverjunction/internal/signal"
	"ploverjunction.example/ploverjunction/internal/task"
)

// Guards against a planned stop that closes a connection while its answer is on its way to a caller that has sent more: the
// kernel resets it, and drops what the caller has not received.
func TestPlannedStopLeavesAnswersOnTheirWay(t *testing.T) {
	const size, behind, callers = 256 << 10, 20 << 10, 20
	list := &choices{
		list: []*signalTarget{newSignalTarget(t, "target", func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			_, _ = w.Write(make([]byte, size))
		})},
		before: func(int) {},
	}
	s := newSite(t, func(cfg *entry.Config) {
		cfg.Signals = &signal.Ledger{}
		cfg.Choose = list.choose
		cfg.Deadline = 5 * time.Second
	})
	dialer := net.Dialer{
		Control: func(_, _ string, c syscall.RawConn) error {
			return c.Control(func(fd uintptr) {
				_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4<<10)
			})
		},
	}
	var conns []net.Conn
	for range callers {
		conn, err := dialer.Dial("tcp", s.server.Addr())
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = conn.Close() }()
		_ = conn.SetDeadline(time.Now().Add(30 * time.Second))
		conns = append(conns, conn)
	}
	// A connection that was not accepted ends with the port.
	for s.server.OpenConnections() < callers {
		<-time.After(time.Millisecond)
	}
	drained := task.Go(t.Context(), "drain", func(ctx context.Context) error { return s.server.Drain(ctx) })
	var all sync.WaitGroup
	for _, conn := range conns {
		all.Go(func() {
			// A request in chunks ends its connection.
			_, err := fmt.Fprintf(conn, "POST /quotes/1 HTTP/1.1\r\nHost: test\r\nAuthorization: Bearer %s\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n%s",
				keyBrokers, strings.Repeat("y", behind))
			if err != nil {
				t.Error(err)
				return
			}
			res, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil {
				t.Error(err)
				return
			}
			if n, err := io.Copy(io.Discard, res.Body); n != size || err != nil {
				t.Errorf("%d of %d bytes of the answer, error %v", n, size, err)
			}
			_ = conn.Close()
		})
	}
	all.Wait()
	if err := <-drained.Done(); err != nil {
		t.Error(err)
	}
}
