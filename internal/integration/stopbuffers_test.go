// SPDX-License-Identifier: Apache-2.0

package integration_test

import (
	"bufio"
	"bytes"
	"fmt"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"ploverjunction.example/ploverjunction/internal/standin/target"
)

// Guards against answers that are lost with the end of the process while they are in buffers: their callers read them late, on a
// connection with a small receive buffer, and some go on sending until then, for which the process must wait.
func TestEndOfTheProcessLosesNoAnswer(t *testing.T) {
	const (
		size   = 40 << 10
		buffer = 8 << 10
		path   = "/quotes/1?work=300ms&size=40960"
	)
	for _, sends := range []bool{false, true} {
		t.Run(fmt.Sprintf("goes on sending %v", sends), func(t *testing.T) {
			s := stopSite(t, path, "grace = 4s\ndrain_wait = 300ms", target.Mode{})
			n := s.nodes[0]
			dialer := net.Dialer{
				Control: func(_, _ string, c syscall.RawConn) error {
					return c.Control(func(fd uintptr) {
						_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, buffer)
					})
				},
			}
			conn, err := dialer.Dial("tcp", n.entry)
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = conn.Close() }()
			if _, err := fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: quotes\r\n%s: buffered\r\nPlover-Timeout: %v\r\nConnection: close\r\nContent-Length: 1\r\n\r\nx",
				path, target.HeaderKey, 1500*time.Millisecond); err != nil {
				t.Fatal(err)
			}
			eventually(t, "the request runs", func() bool { return s.runsOf("buffered") == 1 })
			signalled := n.killAtGrace()
			for until := signalled.Add(1500 * time.Millisecond); time.Now().Before(until); {
				<-time.After(20 * time.Millisecond)
				if sends {
					// A part of the next request, which the node does not answer any more.
					_, _ = fmt.Fprint(conn, "P")
				}
			}
			select {
			case <-n.proc.Load().Exited():
			default:
				if !sends {
					t.Error("the process has not ended before the answer is read: the test shows nothing")
				}
			}
			r := reply{}
			_ = conn.SetReadDeadline(time.Now().Add(maxWait))
			r.read(bufio.NewReader(conn))
			if r.err != nil || r.status != http.StatusOK || !bytes.Equal(r.body, target.Document("/quotes/1", size)) {
				t.Errorf("status %d, %d of %d bytes, %v", r.status, len(r.body), size, r.err)
			}
			n.awaitExit()
		})
	}
}
