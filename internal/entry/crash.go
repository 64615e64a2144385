// SPDX-License-Identifier: Apache-2.0

package entry

import (
	"context"
	"errors"
	"time"

	"ploverjunction.example/ploverjunction/internal/forward"
	"ploverjunction.example/ploverjunction/internal/task"
)

// maxCrashChecks bounds the targets that a node checks for a crash at a time. Where a network link
// breaks, many attempts break with it.
const maxCrashChecks = 16

// closedChannel is returned where there is no check to wait for.
var closedChannel = func() <-chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}()

// checkCrash checks whether the target of a broken attempt has crashed. If a target crashed under
// the request before, or the attempt is a retry, it waits for the result: another attempt could
// crash a third target.
func (x *relay) checkCrash(t *try, err error) {
	done := x.startCrashCheck(t, err)
	if x.suspect.Load() || t.retry {
		<-done
	}
}

// startCrashCheck starts checking whether the target of a broken attempt has crashed, and returns
// a channel that is closed when the result is recorded. Connections break for many reasons: three
// in ten of a service's may break while its targets keep running.
func (x *relay) startCrashCheck(t *try, err error) <-chan struct{} {
	var fe *forward.Error
	if !errors.As(err, &fe) || !fe.ConnectionBroken() {
		return closedChannel
	}
	if fe.ConnectionRefused() {
		x.recordCrash(t)
		return closedChannel
	}
	if x.server.crashChecks.Add(1) > maxCrashChecks {
		x.server.crashChecks.Add(-1)
		x.server.log.WithField("request", x.id).WithField("target", t.choice.Key).Debug("too many crash checks in progress; target not checked")
		return closedChannel
	}
	done := make(chan struct{})
	ctx := context.WithoutCancel(x.req.Context())
	x.server.track(task.Go(ctx, "look", func(ctx context.Context) error {
		defer close(done)
		defer x.server.crashChecks.Add(-1)
		if x.server.client.Crashed(ctx, t.choice.Address) {
			x.recordCrash(t)
		}
		return nil
	}))
	return done
}

// recordCrash records that the target of an attempt crashed under the request.
func (x *relay) recordCrash(t *try) {
	s := x.server.cfg.RecordCrash(x.fingerprints, t.choice.Key)
	x.suspect.Store(s.Suspect())
	if s.Held() {
		x.quarantineWait.Store(int64(s.Wait))
	}
	x.server.log.WithField("request", x.id).
		WithField("fingerprint", x.fingerprints.Content().String()).
		WithField("fingerprint_of_caller", x.fingerprints.Caller().String()).
		WithField("caller", callerOf(x.req, x.admission)).
		WithField("target", t.choice.Key).
		WithField("ran_ms", time.Since(t.chosen).Milliseconds()).
		WithField("ends", s.Crashes).
		Warn("target ended under a request")
}
