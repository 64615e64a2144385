// SPDX-License-Identifier: Apache-2.0

package entry

import (
	"context"
	"errors"
	"net"
	"time"

	"ploverjunction.example/ploverjunction/internal/forward"
	"ploverjunction.example/ploverjunction/internal/quarantine"
	"ploverjunction.example/ploverjunction/internal/task"
)

// maxLooks bounds how many targets a node asks at a time whether they have ended. Where a
// link breaks, many attempts break with it.
const maxLooks = 16

// look finds out whether the target of an attempt that broke has ended, and writes a line
// about the request under which it did. Nobody waits for that.
func (x *relay) look(t *try, err error) {
	var fe *forward.Error
	if !errors.As(err, &fe) || !fe.Broke() {
		return
	}
	if fe.Refused() {
		x.ended(t)
		return
	}
	if x.server.looks.Add(1) > maxLooks {
		x.server.looks.Add(-1)
		return
	}
	ctx := context.WithoutCancel(x.req.Context())
	x.server.own(task.Go(ctx, "look", func(ctx context.Context) error {
		defer x.server.looks.Add(-1)
		if x.server.client.Ended(ctx, t.choice.Address) {
			x.ended(t)
		}
		return nil
	}))
}

// ended notes that the target of an attempt has ended under the request.
func (x *relay) ended(t *try) {
	x.server.log.WithField("request", x.id).
		WithField("fingerprint", x.print().String()).
		WithField("caller", x.caller()).
		WithField("target", t.choice.Key).
		WithField("ran_ms", time.Since(t.chosen).Milliseconds()).
		Warn("target ended under a request")
}

// print returns what the request asks for, whoever asks. The host is the route's: callers
// of a route for any host may reach each node by another one.
func (x *relay) print() quarantine.Print {
	return quarantine.NewPrint(quarantine.Request{
		Method: x.req.Method,
		Host:   x.in.route.Host(),
		URI:    x.req.URL.RequestURI(),
		Body:   x.body.held,
		Length: x.body.length,
	})
}

// caller names who asks: the workspace, or the address where there is none.
func (x *relay) caller() string {
	if x.in.workspace != "" {
		return x.in.workspace
	}
	ip, _, err := net.SplitHostPort(x.req.RemoteAddr)
	if err != nil {
		return x.req.RemoteAddr
	}
	return ip
}
