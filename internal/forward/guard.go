// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"ploverjunction.example/ploverjunction/internal/header"
	"ploverjunction.example/ploverjunction/internal/memory"
	"ploverjunction.example/ploverjunction/internal/response"
	"ploverjunction.example/ploverjunction/internal/traffic"
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
	// answer scans the answer, held is the memory in bytes that is reserved for its heads. released is set once the
	// attempt holds none. broken is why the answer must not be read to its end, or "".
	answer   response.Scan
	held     int64
	released bool
	broken   Kind
}

func newClaim(life context.Context, u *upload, method string, deadline time.Time, unavailable func(now time.Time) bool) *claim {
	return &claim{
		answer:      response.ForMethod(method),
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

// scan scans what was read of the answer and reserves memory for its heads. It returns an error if the answer must not be
// read further.
func (c *claim) scan(b *memory.Budget, p []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	counted := !c.answer.Final() && !c.released
	if err := c.answer.Add(p); err != nil {
		c.broken = KindMalformed
		return err
	}
	// Targets in order send a few interim responses.
	if counted && c.answer.Interims() > maxInterims {
		c.broken = KindEndless
	}
	if counted && c.broken == "" {
		c.hold(b, c.answer.Cost())
	}
	if c.broken != "" {
		return &Error{
			kind: c.broken,
		}
	}
	return nil
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

// untilClose reports whether the body of the answer ends with its connection.
func (c *claim) untilClose() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.answer.UntilClose()
}

// whole reports whether the end of the answer was read.
func (c *claim) whole() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.answer.Whole()
}

// surplus reports whether bytes followed the end of the answer.
func (c *claim) surplus() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.answer.Surplus()
}

// unread returns why the answer was not read to its end, or "".
func (c *claim) unread() Kind {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.broken
}

// guard is a connection to a target that writes only for a valid claim, and counts its bytes and
// the cause of its end.
type guard struct {
	net.Conn
	claim atomic.Pointer[claim]
	// client counts the connection among those of key.
	client *Client
	key    poolKey
	// scope is that of the bytes of the current claim.
	scope  atomic.Uint32
	state  connState
	writes response.Writes
	// requests is the number of requests that the connection has carried.
	requests atomic.Int64
	// lastID is the hash of the ID of the last one. Only the attempt that gets the connection uses it.
	lastID uint64
	// refusals are those of the target on the connection.
	refusals refusals
	// carried is set if the connection has carried the current request before, and its attempt was refused or
	// the last one.
	carried atomic.Bool
	// untrusted is set if a surplus answer could be taken for that to the current request: one before had the
	// same ID, got an answer that was not its own, or one with bytes behind it.
	untrusted atomic.Bool
}

// connState is the use of a connection.
type connState struct {
	// idleAfter is the claim after which the connection became idle; a new one is idle without any.
	idleAfter atomic.Pointer[claim]
	// closed is set once this node closed the connection.
	closed atomic.Bool
	// end is allocated apart: it is kept after the connection.
	end *connEnd
}

// connEnd is what decides why a connection ended.
type connEnd struct {
	// idle is set if the connection was idle when this node closed it, broken once the target closed
	// it while idle, saidClose once the target announced the end of the connection.
	idle      atomic.Bool
	broken    atomic.Bool
	saidClose atomic.Bool
}

// cause returns why the connection ended.
func (e *connEnd) cause() Cause {
	switch {
	case e.broken.Load():
		return CauseClosedByTarget
	case e.idle.Load():
		return CauseClosedForAge
	case e.saidClose.Load():
		return CauseTargetSaidClose
	default:
		return CauseAfterError
	}
}

// idle reports whether no attempt uses the connection.
func (g *guard) idle() bool { return g.state.idleAfter.Load() == g.claim.Load() }

// Read reads from the connection. Bytes that no request asked for are an error.
func (g *guard) Read(b []byte) (int, error) {
	n, err := g.Conn.Read(b)
	g.client.count(traffic.TargetResponses, traffic.Scope(g.scope.Load()), n)
	c := g.claim.Load()
	if n > 0 && (c == nil || c.whole()) {
		// net/http could take it for the answer to the next request.
		g.distrust()
		return 0, response.ErrSurplus
	}
	if c != nil {
		if serr := c.scan(g.client.heads, b[:n]); serr != nil {
			return 0, serr
		}
		if c.surplus() {
			g.distrust()
		}
		if errors.Is(err, io.EOF) && c.untilClose() && !g.writes.CleanEnd(g.Conn) {
			err = response.ErrReset
		}
	}
	if err != nil && !g.state.closed.Load() && g.idle() {
		g.state.end.broken.Store(true)
	}
	return n, err
}

// Write writes b to the connection if the current claim allows it.
func (g *guard) Write(b []byte) (int, error) {
	c := g.claim.Load()
	if c == nil {
		return 0, &Error{
			kind: KindEnded,
		}
	}
	if g.untrusted.Load() {
		if err := c.distrust(); err != nil {
			return 0, err
		}
	}
	if err := c.allowWrite(time.Now()); err != nil {
		return 0, err
	}
	n, err := g.writes.Write(g.Conn, b)
	g.client.count(traffic.TargetRequests, traffic.Scope(g.scope.Load()), n)
	if u := c.upload; u != nil {
		u.wrote(b[:n])
		if err != nil {
			u.fail()
		}
	}
	return n, err
}

// Close closes the connection and records its end. While a body is sent to a target that has answered, the
// connection is closed only when the attempt's use of the answer ends.
func (g *guard) Close() error {
	c := g.claim.Load()
	if c == nil || c.upload == nil || !c.upload.inProgress() || c.life.Err() != nil {
		return g.closeNow()
	}
	context.AfterFunc(c.life, func() { _ = g.closeNow() })
	if !c.upload.answered.Load() {
		time.AfterFunc(answerGrace, func() {
			if !c.upload.answered.Load() {
				_ = g.closeNow()
			}
		})
	}
	return nil
}

func (g *guard) closeNow() error {
	if !g.state.closed.Swap(true) {
		g.state.end.idle.Store(g.idle())
		g.client.connections.closed(time.Now(), g.key, g.state.end)
	}
	return g.Conn.Close()
}

// attach gives the connection to the attempt of a request.
func (g *guard) attach(c *claim, scope traffic.Scope, id string) {
	hash := xxhash.Sum64String(id)
	carried := id != "" && (g.lastID == hash || g.refusals.has(hash))
	g.carried.Store(carried)
	if carried {
		g.distrust()
	}
	g.requests.Add(1)
	g.lastID = hash
	c.bind()
	g.scope.Store(uint32(scope))
	g.claim.Store(c)
}

// recordFailure records an answer that was no answer to the request of an attempt, or refused it.
func (g *guard) recordFailure(a *Answer, r *Request) {
	if a.evidence.echo != EchoOwn || !g.refusals.add(time.Now(), xxhash.Sum64String(r.ID), r.Deadline) {
		g.distrust()
	}
}

// distrust ends the use of the connection for requests. net/http may have returned it to its pool already,
// and closes it when a write fails.
func (g *guard) distrust() { g.untrusted.Store(true) }
