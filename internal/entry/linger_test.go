// SPDX-License-Identifier: Apache-2.0

package entry_test

import (
	"context"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"ploverjunction.example/ploverjunction/internal/task"
)

// Guards against a planned stop that closes a connection while its answer is on its way to a caller that goes on
// sending: the kernel resets it, and drops what the caller has not received.
func TestPlannedStopLeavesAnswersOnTheirWay(t *testing.T) {
	// The node can write an answer of size bytes at once, and the caller's end can't take it.
	const callers, size = 20, 40 << 10
	s := largeAnswerSite(t, size)
	var conns []net.Conn
	for range callers {
		conn := dialSmall(t, s)
		defer func() { _ = conn.Close() }()
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
			sendBehind(t, conn)
			for range 40 {
				<-time.After(5 * time.Millisecond)
				// It fails once the connection was reset.
				_, _ = io.WriteString(conn, "y")
			}
			readLarge(t, conn, size)
			_ = conn.Close()
		})
	}
	all.Wait()
	if err := <-drained.Done(); err != nil {
		t.Error(err)
	}
}
