// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"context"
	"net"
	"net/http"
	"time"

	"ploverjunction.example/ploverjunction/internal/memory"
	"ploverjunction.example/ploverjunction/internal/traffic"
)

// MaxInterims is maxInterims.
const MaxInterims = maxInterims

// FreeHead is freeHead.
const FreeHead = freeHead

// MaxRefusals is maxRefusals.
const MaxRefusals = maxRefusals

// SetDial replaces the client's dial function.
func (c *Client) SetDial(dial func(ctx context.Context, network, address string) (net.Conn, error)) {
	c.dial = dial
}

// NewGuard returns a connection that writes for an attempt with a deadline to a target that may be
// unavailable, and a function that ends the attempt and reports whether anything was written.
func NewGuard(conn net.Conn, deadline time.Time, unavailable func(now time.Time) bool) (guarded net.Conn, seal func() bool) {
	g := &guard{
		Conn: conn,
		client: &Client{
			connections: newConnections(),
			heads:       memory.NewBudget(0),
		},
		state: connState{
			end: &connEnd{},
		},
	}
	c := newClaim(context.Background(), nil, deadline, unavailable)
	g.attach(c, traffic.Unknown, http.MethodGet, "")
	return g, c.seal
}

// Reattach gives a connection of NewGuard to another attempt.
func Reattach(conn net.Conn, deadline time.Time) {
	conn.(*guard).attach(newClaim(context.Background(), nil, deadline, nil), traffic.Unknown, http.MethodGet, "")
}
