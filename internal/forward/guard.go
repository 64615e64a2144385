// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// claim is the right of one attempt to write to a target. It records whether any byte was passed
// to the kernel, on which the outcome "not run" is based.
type claim struct {
	mu       sync.Mutex
	deadline time.Time
	// unavailable reports whether the target is unavailable now; nil means never.
	unavailable func(now time.Time) bool
	connections int
	written     bool
	sealed      bool
}

func newClaim(deadline time.Time, unavailable func(now time.Time) bool) *claim {
	return &claim{
		deadline:    deadline,
		unavailable: unavailable,
	}
}

// bind is called when the attempt gets a connection. net/http silently resends a request on
// another connection when it deems that safe (it does for any request with an Idempotency-Key
// header). Only this package may decide that, so a claim that has written anything is valid for
// its first connection only.
func (c *claim) bind() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.connections++
	if c.connections > 1 && c.written {
		c.sealed = true
	}
}

// allowWrite is called immediately before bytes are passed to the kernel. The deadline is checked
// there and not earlier, as the process may have been frozen since the target was chosen. So are
// the target's signals: one may have arrived since, which the node that chose the target may not
// have received.
func (c *claim) allowWrite(now time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sealed {
		return &Error{
			kind: KindEnded,
		}
	}
	if !c.written && !now.Before(c.deadline) {
		c.sealed = true
		return &Error{
			kind: KindExpired,
		}
	}
	if !c.written && c.unavailable != nil && c.unavailable(now) {
		c.sealed = true
		return &Error{
			kind: KindUnavailable,
		}
	}
	c.written = true
	return nil
}

// seal ends the claim and reports whether any byte was written. No byte can be written after it,
// so the report stays true.
func (c *claim) seal() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = true
	return c.written
}

// guard is a connection to a target that writes only for a valid claim.
type guard struct {
	net.Conn
	claim atomic.Pointer[claim]
}

// Write writes b to the connection if the current claim allows it.
func (g *guard) Write(b []byte) (int, error) {
	c := g.claim.Load()
	if c == nil {
		return 0, &Error{
			kind: KindEnded,
		}
	}
	if err := c.allowWrite(time.Now()); err != nil {
		return 0, err
	}
	return g.Conn.Write(b)
}

func (g *guard) attach(c *claim) {
	c.bind()
	g.claim.Store(c)
}
