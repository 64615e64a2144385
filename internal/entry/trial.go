// SPDX-License-Identifier: Apache-2.0

package entry

import (
	"context"
	"fmt"
	"io"
	"time"

	"ploverjunction.example/ploverjunction/internal/forward"
	"ploverjunction.example/ploverjunction/internal/outlier"
	"ploverjunction.example/ploverjunction/internal/task"
)

// maxTrials bounds the trial requests in flight on a node.
const maxTrials = 8

// sendTrial sends a copy of a repeatable request to a target on trial, if there is one. No caller
// waits for its answer, so an ejected target can show recovery at no caller's cost.
func (x *relay) sendTrial() {
	if !x.admission.repeatable || x.body.stream != nil || x.suspect.Load() || x.server.trials.Load() >= maxTrials {
		return
	}
	choice, ok := x.server.cfg.Trial(x.service)
	if !ok {
		return
	}
	x.server.trials.Add(1)
	x.tracker.RecordCopy()
	reader, _ := x.body.open()
	r := x.request(choice, reader)
	r.ID = newRequestID()
	r.Unattended = true
	// The copy continues after the caller has its answer; its own deadline ends it.
	ctx := context.WithoutCancel(x.req.Context())
	x.server.track(task.Go(ctx, "trial", func(ctx context.Context) error {
		defer x.server.trials.Add(-1)
		return x.runTrial(ctx, choice, r)
	}))
}

// runTrial sends a trial request and reads its answer to the end. The head of an answer that is streamed proves nothing: its
// attempt counts once the body has ended.
func (x *relay) runTrial(ctx context.Context, choice Choice, r *forward.Request) error {
	flight := x.startAttempt(choice.Key)
	started := time.Now()
	a, err := x.server.client.Do(ctx, r)
	answered := time.Now()
	end := resultOf(a, err)
	defer func() { choice.Done(end, time.Since(started)) }()
	if err != nil {
		flight.End(answered, end)
		x.startCrashCheck(&try{
			choice: choice,
			chosen: started,
		}, err)
		return err
	}
	defer a.Close()
	if a.Whole() {
		flight.End(answered, end)
		return nil
	}
	flight.End(answered, outlier.Result{
		Ignored:  true,
		Draining: end.Draining,
	})
	_, err = io.Copy(io.Discard, a)
	end = withBody(end, err)
	x.beginAttempt(started, choice.Key).End(answered, end)
	if err != nil {
		return fmt.Errorf("entry: trial: %w", err)
	}
	return nil
}

// recordBrokenBody records an answer whose body broke.
func (x *relay) recordBrokenBody(target string) {
	x.startAttempt(target).End(time.Now(), outlier.Result{
		Failed: true,
	})
}
