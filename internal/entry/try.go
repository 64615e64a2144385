// SPDX-License-Identifier: Apache-2.0

package entry

import (
	"context"
	"io"
	"slices"
	"sync/atomic"
	"time"

	"ploverjunction.example/ploverjunction/internal/attempt"
	"ploverjunction.example/ploverjunction/internal/forward"
	"ploverjunction.example/ploverjunction/internal/outlier"
)

// try is one attempt in progress.
type try struct {
	relay  *relay
	reader io.Reader
	cancel context.CancelFunc
	retry  bool
	hedge  bool
	// replacement is set where the attempt takes the place of one that was not sent.
	replacement bool
	// runs is the number of earlier attempts that may have run.
	runs int
	// age is how long the attempt beside a hedge had waited when the hedge was launched.
	age    time.Duration
	choice Choice
	// peer is the address of the node that makes the attempt in place of this one, or "".
	peer string
	// started is when a target was requested, chosen when it was granted.
	started time.Time
	chosen  time.Time
	end     outlier.Result
	// released is set once the choice was released.
	released atomic.Bool
	// counted is set once the attempt was recorded by the tracker.
	counted bool
}

// run chooses a target, makes the attempt and sends its result to the relay.
func (t *try) run(ctx context.Context) {
	x := t.relay
	t.started = time.Now()
	if x.needsPeer() && t.runAtPeer(ctx) {
		return
	}
	choice, err := x.choose(ctx, t)
	if err != nil {
		x.results <- result{
			try: t,
			err: err,
		}
		return
	}
	t.choice = choice
	t.chosen = time.Now()
	x.grants <- grant{
		at:         t.chosen,
		hedgeAfter: choice.HedgeAfter,
	}
	flight := x.startAttempt(choice.Key)
	stopWatch := t.watchSilence(ctx)
	r := x.request(choice, t.reader)
	r.Unavailable = t.unavailable(r.Unavailable)
	a, err := x.server.client.Do(ctx, r)
	stopWatch()
	t.end = resultOf(a, err)
	t.end.PathLost = t.checkPath(ctx, err)
	t.end.Ignored = t.end.Ignored || t.end.PathLost || x.body.readError() != nil
	t.end.RequestFailed = err != nil && x.expired()
	flight.End(time.Now(), t.end)
	x.logTry(t, a, err)
	x.checkCrash(t, err)
	if err != nil || a.Whole() {
		t.release()
	}
	x.results <- result{
		try:    t,
		answer: a,
		err:    err,
	}
}

// release releases the choice. It may be called more than once.
func (t *try) release() { t.releaseAs(t.end) }

// releaseAs releases the choice with the given end of the attempt.
func (t *try) releaseAs(end outlier.Result) {
	if t.choice.Done != nil && t.released.CompareAndSwap(false, true) {
		t.choice.Done(end, time.Since(t.chosen))
	}
}

// choose chooses a target for an attempt and records it as tried.
func (x *relay) choose(ctx context.Context, t *try) (Choice, error) {
	r := x.admission.route
	q := &Query{
		Service:         x.service,
		Repeatable:      x.admission.repeatable,
		Kilobytes:       x.server.sizes.expected(r) + int(x.body.length>>10),
		Priority:        x.admission.rank,
		Workspace:       x.admission.workspaceID(),
		Route:           r.Name(),
		SoftDeadline:    x.softDeadline(),
		Deadline:        x.tracker.Deadline(),
		Retry:           t.retry,
		Replacement:     t.replacement,
		Hedge:           t.hedge,
		FirstAttemptAge: t.age,
		Regions:         x.admission.regions(),
	}
	x.mu.Lock()
	q.Tried = slices.Clone(x.tried)
	x.mu.Unlock()
	c, err := x.server.cfg.Choose(ctx, q)
	if err != nil {
		x.logNoTarget(err, t.hedge)
		return Choice{}, err
	}
	x.mu.Lock()
	x.tried = append(x.tried, c.Key)
	x.mu.Unlock()
	return c, nil
}

// softDeadline returns the soft deadline, after which an answer is worth less.
func (x *relay) softDeadline() time.Time {
	if d := x.admission.route.TargetLatency(); d > 0 {
		return x.started.Add(d)
	}
	return x.tracker.Deadline()
}

// recordSize records the size of an answer of the route.
func (x *relay) recordSize(a *forward.Answer) {
	if a.Length() >= 0 {
		x.server.sizes.add(x.admission.route, a.Length())
	}
}

// NoTargetError reports why no target could be chosen for an attempt.
type NoTargetError struct {
	reason     attempt.Reason
	retryAfter time.Duration
}

// NewNoTargetError returns the error for a reason; retryAfter is when the caller may retry, 0 if
// unknown.
func NewNoTargetError(reason attempt.Reason, retryAfter time.Duration) *NoTargetError {
	return &NoTargetError{
		reason:     reason,
		retryAfter: retryAfter,
	}
}

// Error names the reason.
func (e *NoTargetError) Error() string { return "entry: no target: " + e.reason.String() }

// Reason returns why there is no target.
func (e *NoTargetError) Reason() attempt.Reason { return e.reason }

// RetryAfter returns after how long the caller may retry, 0 if unknown.
func (e *NoTargetError) RetryAfter() time.Duration { return e.retryAfter }
