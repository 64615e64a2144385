// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"context"
	"errors"
	"io"
	"net"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"ploverjunction.example/ploverjunction/internal/response"
	"ploverjunction.example/ploverjunction/internal/traffic"
)

// guard is a connection to a target that writes only for a valid claim, and counts its bytes and
// the cause of its end.
type guard struct {
	net.Conn
	claim atomic.Pointer[claim]
	// exchange is that of the claim on this connection, nil before the first one.
	exchange atomic.Pointer[exchange]
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
	x := g.exchange.Load()
	if x == nil {
		if n > 0 {
			g.distrust()
			return 0, response.ErrSurplus
		}
		return n, err
	}
	rerr := x.read(g.client.heads, b[:n])
	if x.surplus() {
		g.distrust()
	}
	if rerr != nil {
		return 0, rerr
	}
	if errors.Is(err, io.EOF) && x.untilClose() && !g.writes.CleanEnd(g.Conn) {
		err = response.ErrReset
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
	g.exchange.Load().begin()
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
func (g *guard) attach(c *claim, scope traffic.Scope, method, id string) {
	hash := xxhash.Sum64String(id)
	carried := id != "" && (g.lastID == hash || g.refusals.has(hash))
	g.carried.Store(carried)
	if carried {
		g.distrust()
	}
	g.requests.Add(1)
	g.lastID = hash
	x := newExchange(c, method)
	c.bind()
	g.scope.Store(uint32(scope))
	g.exchange.Store(x)
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
