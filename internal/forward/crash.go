// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"context"
	"errors"
	"syscall"

	"ploverjunction.example/ploverjunction/internal/attempt"
)

// ConnectionBroken reports whether an attempt broke as it does when its target crashes: the connection ended
// after bytes of the request were sent. The target may still be running.
func (e *Error) ConnectionBroken() bool {
	return e.kind == KindReset || e.kind == KindConnect && e.outcome == attempt.OutcomeUnknown
}

// ConnectionRefused reports whether a failure shows that nothing listens at the target's address: the
// request was sent on a connection that broke, and the next connection was refused.
func (e *Error) ConnectionRefused() bool { return connectionRefused(e.cause) }

func connectionRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

// Crashed reports whether a target's process has crashed: nothing listens at its address. It opens a
// connection for that and takes up to connectTimeout. An unreachable target is not known to have
// crashed.
func (c *Client) Crashed(ctx context.Context, target string) bool {
	conn, err := c.dial(ctx, "tcp", target)
	if err != nil {
		return connectionRefused(err)
	}
	c.connections.count(CauseCheck)
	_ = conn.Close()
	return false
}
