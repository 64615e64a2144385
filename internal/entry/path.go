// SPDX-License-Identifier: Apache-2.0

package entry

import (
	"context"
	"errors"
	"time"

	"ploverjunction.example/ploverjunction/internal/forward"
	"ploverjunction.example/ploverjunction/internal/outlier"
	"ploverjunction.example/ploverjunction/internal/reach"
	"ploverjunction.example/ploverjunction/internal/task"
)

// This file tells faults of targets from faults of this node's paths to them.

const (
	// minSilence is the least time without an answer after which the paths to targets are checked:
	// several round trips between regions.
	minSilence = 150 * time.Millisecond
	// longSilence is the time after which connections are not enough, in unusually long answers: a
	// proxy before the targets may accept them.
	longSilence = 2
)

func (s *Server) newTracker() *reach.Tracker {
	targets := s.cfg.PathTargets
	if targets == nil {
		targets = func(string) []string { return nil }
	}
	return reach.New(reach.Config{
		Targets:  targets,
		Try:      s.tryTarget,
		OnChange: s.cfg.OnPathsChanged,
		Log:      s.cfg.Log,
	})
}

// tryTarget checks the path to one target.
func (s *Server) tryTarget(ctx context.Context, m reach.Method, service, address string) error {
	if m == reach.MethodConnect {
		return s.client.Connect(ctx, address)
	}
	path := ""
	if cfg := s.cfg.Config(); cfg != nil && cfg.Service(service) != nil {
		path = cfg.Service(service).HealthPath()
	}
	err := s.client.Exchange(ctx, address, path)
	var fe *forward.Error
	if errors.As(err, &fe) && fe.Kind() == forward.KindMalformed {
		return &reach.InconclusiveError{
			Cause: err,
		}
	}
	return err
}

// PathLost reports whether this node reaches no target of a service.
func (s *Server) PathLost(service string) bool { return s.reach.Lost(service) }

// checkPath checks the paths to the service's targets after an attempt failed without an answer, and
// reports whether none is reached. The failure is then no evidence about the target.
func (t *try) checkPath(ctx context.Context, err error) bool {
	x := t.relay
	service := x.service.Name()
	var fe *forward.Error
	if !errors.As(err, &fe) {
		x.server.reach.RecordAnswer(time.Now(), service)
		return false
	}
	switch fe.Kind() {
	case forward.KindConnect, forward.KindReset:
		return x.server.reach.Check(ctx, service, reach.MethodConnect)
	case forward.KindTimeout:
		return x.server.reach.Lost(service)
	case forward.KindShed, forward.KindOtherTarget, forward.KindForeign, forward.KindUnproven, forward.KindStall:
		x.server.reach.RecordAnswer(time.Now(), service)
	}
	return false
}

// watchSilence checks the paths once an attempt has been without an answer for unusually long while
// no other target of the service answers. stop ends the watch.
func (t *try) watchSilence(ctx context.Context) (stop func()) {
	x := t.relay
	usual := x.server.cfg.Collector.SlowAfter(x.service.Name(), x.admission.route.Class())
	watch := func(after time.Duration, m reach.Method) *time.Timer {
		return time.AfterFunc(after, func() {
			x.server.track(task.Go(ctx, "path check", func(ctx context.Context) error {
				t.checkSilence(ctx, m)
				return nil
			}))
		})
	}
	short := watch(max(usual, minSilence), reach.MethodConnect)
	long := watch(max(longSilence*usual, minSilence), reach.MethodExchange)
	return func() {
		short.Stop()
		long.Stop()
	}
}

func (t *try) checkSilence(ctx context.Context, m reach.Method) {
	x := t.relay
	if x.server.reach.AnsweredSince(x.service.Name(), t.chosen) || !x.server.reach.Check(ctx, x.service.Name(), m) {
		return
	}
	// The answer may still come; the target's slot does not wait for it.
	t.releaseAs(outlier.Result{
		Ignored:  true,
		PathLost: true,
	})
	select {
	case x.pathLost <- struct{}{}:
	default:
	}
}
