// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"context"
	"errors"
	"syscall"

	"ploverjunction.example/ploverjunction/internal/attempt"
)

// Broke reports whether an attempt broke in a way in which the end of its target shows: the
// connection ended after bytes of the request were sent. The target may live all the same.
func (e *Error) Broke() bool {
	return e.kind == KindReset || e.kind == KindConnect && e.outcome == attempt.OutcomeUnknown
}

// Refused reports whether a failure shows that nothing listens at the target's address. The
// attempt sent its request on a connection that broke, and the next one was refused.
func (e *Error) Refused() bool { return connectionRefused(e.cause) }

func connectionRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

// Ended reports whether the process of a target has ended: nothing listens at its address. It
// opens a connection for that, and takes up to connectTimeout. A target that can't be
// reached isn't known to have ended.
func (c *Client) Ended(ctx context.Context, target string) bool {
	conn, err := c.dial(ctx, "tcp", target)
	if err != nil {
		return connectionRefused(err)
	}
	_ = conn.Close()
	return false
}
