// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"cmp"
	"context"
	"net/http"
	"sync"
	"time"

	"ploverjunction.example/ploverjunction/internal/header"
	"ploverjunction.example/ploverjunction/internal/memory"
)

// claim is the right of one attempt to write to a target. It records whether any byte was passed
// to the kernel, on which the outcome "not run" is based.
type claim struct {
	// life is the context of the attempt, which ends with the use of its answer.
	life context.Context
	// upload is the body that the attempt sends, or nil.
	upload   *upload
	mu       sync.Mutex
	deadline time.Time
	// unavailable reports whether the target is unavailable now; nil means never.
	unavailable func(now time.Time) bool
	connections int
	written     bool
	sealed      bool
	// refused is why a write was refused before the first byte; "" if none was.
	refused Kind
	// held is the memory in bytes that is reserved for the heads of the answer. released is set once the attempt
	// holds none. broken is why the answer must not be read to its end, or "".
	held     int64
	released bool
	broken   Kind
}

func newClaim(life context.Context, u *upload, deadline time.Time, unavailable func(now time.Time) bool) *claim {
	return &claim{
		life:        life,
		upload:      u,
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
		return c.refuse(KindExpired)
	}
	if !c.written && c.unavailable != nil && c.unavailable(now) {
		c.sealed = true
		return c.refuse(KindUnavailable)
	}
	c.written = true
	return nil
}

// refuse records why a write is refused, and returns the error. net/http may report another one, of the
// connection that it closes for it. c.mu is held.
func (c *claim) refuse(k Kind) error {
	c.refused = k
	return &Error{
		kind: k,
	}
}

// distrust refuses the first write on a connection that is not to be used; another connection may be. A request that
// was begun goes on: a part of it has been sent, so that it may run, and its answer must carry its ID.
func (c *claim) distrust() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.written {
		return nil
	}
	return c.refuse(KindUntrusted)
}

// seal ends the claim and reports whether any byte was written. No byte can be written after it,
// so the report stays true.
func (c *claim) seal() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = true
	return c.written
}

// unwritten returns why the attempt was not written, or "" if it was or that is not known. It is called after seal.
func (c *claim) unwritten() Kind {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.written {
		return ""
	}
	return c.refused
}

// fail records why the answer must not be read to its end. Only the exchange that has begun calls it, of which there is one: a
// claim that has written anything is valid for one connection.
func (c *claim) fail(k Kind) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.broken = cmp.Or(c.broken, k)
}

// holdHeads reserves memory for the heads of the answer. It returns false if there is none.
func (c *claim) holdHeads(b *memory.Budget, cost int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.released || c.hold(b, cost)
}

// hold raises the memory that is reserved to cost. It returns false if there is none. c.mu is held.
func (c *claim) hold(b *memory.Budget, cost int64) bool {
	switch {
	case cost <= max(c.held, freeHead):
	case b.Reserve(cost - c.held):
		c.held = cost
	default:
		c.broken = KindMemory
	}
	return c.broken == ""
}

// holdHeader reserves memory for the header of an answer of a peer. It returns false if there is none.
func (c *claim) holdHeader(b *memory.Budget, h http.Header) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.hold(b, header.Cost(h))
}

// release returns the memory of the answer's heads. No more is reserved after it.
func (c *claim) release(b *memory.Budget) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.released = true
	b.Release(c.held)
	c.held = 0
}

// unread returns why the answer was not read to its end, or "".
func (c *claim) unread() Kind {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.broken
}
