// SPDX-License-Identifier: Apache-2.0

package entry

import (
	"context"
	"errors"
	"time"

	"ploverjunction.example/ploverjunction/internal/forward"
	"ploverjunction.example/ploverjunction/internal/task"
)

// maxCrashChecks bounds how many targets a node asks at a time whether they have ended. Where a
// link breaks, many attempts break with it.
const maxCrashChecks = 16

// closedChannel is a channel that has nothing to wait for.
var closedChannel = func() <-chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}()

// checkCrash finds out whether the target of an attempt that broke has ended. Where one has ended
// under the request before, it waits until that is known: another attempt could end a third.
func (x *relay) checkCrash(t *try, err error) {
	known := x.startCrashCheck(t, err)
	if x.suspect.Load() || t.retry {
		<-known
	}
}

// startCrashCheck finds out whether the target of an attempt that broke has ended: a connection can
// break for many reasons, and three in ten of a service's may, while its targets live. It
// returns a channel that is closed when that is known.
func (x *relay) startCrashCheck(t *try, err error) <-chan struct{} {
	var fe *forward.Error
	if !errors.As(err, &fe) || !fe.Broke() {
		return closedChannel
	}
	if fe.Refused() {
		x.recordCrash(t)
		return closedChannel
	}
	if x.server.crashChecks.Add(1) > maxCrashChecks {
		x.server.crashChecks.Add(-1)
		x.server.log.WithField("request", x.id).WithField("target", t.choice.Key).Debug("too many targets to ask whether they have ended")
		return closedChannel
	}
	known := make(chan struct{})
	ctx := context.WithoutCancel(x.req.Context())
	x.server.track(task.Go(ctx, "look", func(ctx context.Context) error {
		defer close(known)
		defer x.server.crashChecks.Add(-1)
		if x.server.client.Ended(ctx, t.choice.Address) {
			x.recordCrash(t)
		}
		return nil
	}))
	return known
}

// recordCrash notes that the target of an attempt has ended under the request.
func (x *relay) recordCrash(t *try) {
	s := x.server.cfg.Ended(x.fingerprints, t.choice.Key)
	x.suspect.Store(s.Suspect())
	if s.Held() {
		x.quarantineWait.Store(int64(s.Wait))
	}
	x.server.log.WithField("request", x.id).
		WithField("fingerprint", x.fingerprints.Content().String()).
		WithField("fingerprint_of_caller", x.fingerprints.Caller().String()).
		WithField("caller", callerOf(x.req, x.in)).
		WithField("target", t.choice.Key).
		WithField("ran_ms", time.Since(t.chosen).Milliseconds()).
		WithField("ends", s.Crashes).
		Warn("target ended under a request")
}
