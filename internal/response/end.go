// SPDX-License-Identifier: Apache-2.0

package response

import (
	"errors"
	"net"
	"sync/atomic"
)

// ErrReset is the error of an answer without a length whose connection did not end cleanly.
var ErrReset = errors.New("response: the connection was reset at the end of an answer without a length")

// Writes records the writes on one connection. A reset is reported once by the kernel: where a write gets it, reading ends as if
// the other end had closed the connection. The zero value is ready for use; it may be used concurrently.
type Writes struct {
	underWay atomic.Int32
	failed   atomic.Bool
}

// Write writes p to conn.
func (w *Writes) Write(conn net.Conn, p []byte) (int, error) {
	w.underWay.Add(1)
	defer w.underWay.Add(-1)
	n, err := conn.Write(p)
	if err != nil {
		w.failed.Store(true)
	}
	return n, err
}

// CleanEnd reports whether reading from conn, which has returned io.EOF, has ended because the other end closed the
// connection, and not because it was reset. It is false where that is not known.
func (w *Writes) CleanEnd(conn net.Conn) bool {
	if reset, known := wasReset(conn); known {
		return !reset
	}
	// A write that ends meanwhile is known to have failed before it is not under way any more.
	return w.underWay.Load() == 0 && !w.failed.Load()
}
