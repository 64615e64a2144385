// SPDX-License-Identifier: Apache-2.0

package reach

import (
	"context"
	"errors"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"ploverjunction.example/ploverjunction/internal/task"
)

// Parameters of checks.
const (
	// stageTimeout is the time after which more targets are tried.
	stageTimeout = 50 * time.Millisecond
	// checkTimeout is the time after which a target that does not answer counts as not reached. It is
	// several round trips between regions.
	checkTimeout = 300 * time.Millisecond
	// reuseTime is how long the result of a check is used for further ones.
	reuseTime = 100 * time.Millisecond
	// recheckInterval is the time between two checks of a service of which no target was reached.
	recheckInterval = 250 * time.Millisecond
)

// stages are the numbers of targets that a check tries, one after another until any is reached: one is
// enough where the paths are good, and several targets of a service may be down. An exchange takes
// the time of a target that may be busy, so that few are made.
var stages = map[Method][]int{
	MethodConnect:  {1, 3, 12},
	MethodExchange: {3},
}

// Method is how a target is checked.
type Method uint8

// Methods of checks.
const (
	// MethodConnect opens a connection.
	MethodConnect Method = iota
	// MethodExchange also waits for any response.
	MethodExchange
)

// String returns the method as logged.
func (m Method) String() string { return [...]string{"connect", "exchange"}[m] }

// Config holds the dependencies of a Tracker. All functions may be called concurrently.
type Config struct {
	// Targets returns the addresses of a service's targets that are not draining.
	Targets func(service string) []string
	// Try checks one target. A nil error means that it was reached, an *InconclusiveError that this is not known.
	Try func(ctx context.Context, m Method, service, address string) error
	// OnChange is called with the number of services of which no target is reached; nil disables it.
	OnChange func(services int)
	Log      *logrus.Entry
}

// InconclusiveError means that a target, or something on the path to it, sent what is no answer: its bytes came, so that the path is not
// known to be lost, and prove nothing, so that the target is not known to be reached.
type InconclusiveError struct {
	// Cause is the failure of the check.
	Cause error
}

// Error returns the message of the cause.
func (e *InconclusiveError) Error() string { return "reach: inconclusive: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *InconclusiveError) Unwrap() error { return e.Cause }

// result is that of a check, of one target or of a service.
type result uint8

const (
	resultFailed result = iota
	resultInconclusive
	resultReached
)

func resultOf(err error) result {
	var inconclusive *InconclusiveError
	switch {
	case err == nil:
		return resultReached
	case errors.As(err, &inconclusive):
		return resultInconclusive
	default:
		return resultFailed
	}
}

// Tracker knows the services of which this node reaches no target. It may be used concurrently.
type Tracker struct {
	cfg Config
	// lost holds these services and the method that showed it. It is replaced as a whole.
	lost atomic.Pointer[map[string]Method]
	// answers maps a service to when one of its targets last answered, as an *atomic.Int64 in Unix
	// nanoseconds.
	answers sync.Map
	mu      sync.Mutex
	checks  map[checkKey]*check
}

type checkKey struct {
	service string
	method  Method
}

// check is a check in progress, or the last one.
type check struct {
	done chan struct{}
	// ended is written before done is closed.
	ended time.Time
}

// New returns a tracker for which all services are reached.
func New(cfg Config) *Tracker {
	t := &Tracker{
		cfg:    cfg,
		checks: map[checkKey]*check{},
	}
	t.lost.Store(&map[string]Method{})
	return t
}

// Lost reports whether no target of a service was reached in the last check.
func (t *Tracker) Lost(service string) bool {
	_, lost := (*t.lost.Load())[service]
	return lost
}

// RecordAnswer records that a target of a service answered.
func (t *Tracker) RecordAnswer(now time.Time, service string) {
	at, ok := t.answers.Load(service)
	if !ok {
		at, _ = t.answers.LoadOrStore(service, &atomic.Int64{})
	}
	at.(*atomic.Int64).Store(now.UnixNano())
}

// AnsweredSince reports whether any target of a service has answered since a time.
func (t *Tracker) AnsweredSince(service string, since time.Time) bool {
	at, ok := t.answers.Load(service)
	return ok && at.(*atomic.Int64).Load() >= since.UnixNano()
}

// Check checks some targets of a service, or waits for a check in progress, and reports whether none
// was reached. It takes up to checkTimeout, and less if any target is reached.
func (t *Tracker) Check(ctx context.Context, service string, m Method) bool {
	if t.Lost(service) {
		return true
	}
	c, started := t.join(checkKey{
		service: service,
		method:  m,
	})
	if started {
		t.run(context.WithoutCancel(ctx), service, m)
		c.ended = time.Now()
		close(c.done)
	}
	select {
	case <-c.done:
	case <-ctx.Done():
	}
	return t.Lost(service)
}

// join returns the check in progress, or one that has just ended. If there is none it returns a new
// one that the caller must run.
func (t *Tracker) join(key checkKey) (c *check, started bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if c := t.checks[key]; c != nil {
		select {
		case <-c.done:
			if time.Since(c.ended) < reuseTime {
				return c, false
			}
		default:
			return c, false
		}
	}
	c = &check{
		done: make(chan struct{}),
	}
	t.checks[key] = c
	return c, true
}

// run checks a service and records the result.
func (t *Tracker) run(ctx context.Context, service string, m Method) {
	started := time.Now()
	targets := slices.Clone(t.cfg.Targets(service))
	rand.Shuffle(len(targets), func(i, j int) { targets[i], targets[j] = targets[j], targets[i] })
	best := t.best(ctx, service, m, targets)
	if reached := best == resultReached; best != resultInconclusive && reached == t.Lost(service) {
		t.set(service, m, !reached, time.Since(started))
	}
}

// best returns the best result of the targets that are tried. A service without targets counts as
// reached.
func (t *Tracker) best(ctx context.Context, service string, m Method, targets []string) result {
	if len(targets) == 0 {
		return resultReached
	}
	ctx, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	var tries task.Group
	results := make(chan result, len(targets))
	pending := 0
	best := resultFailed
	start := func(list []string) {
		for _, address := range list {
			pending++
			tries.Go(ctx, "path check", func(ctx context.Context) error {
				err := t.cfg.Try(ctx, m, service, address)
				results <- resultOf(err)
				return err
			})
		}
	}
	// wait waits until a target is reached, all tries have failed or a time has passed.
	wait := func(most time.Duration) bool {
		limit := time.NewTimer(most)
		defer limit.Stop()
		for pending > 0 {
			select {
			case r := <-results:
				pending--
				if best = max(best, r); best == resultReached {
					return true
				}
			case <-limit.C:
				return false
			}
		}
		return false
	}
	for i, n := range stages[m] {
		n = min(n, len(targets))
		start(targets[:n])
		targets = targets[n:]
		limit := stageTimeout
		if i == len(stages[m])-1 || len(targets) == 0 {
			limit = checkTimeout
		}
		if wait(limit) {
			break
		}
	}
	cancel()
	if err := tries.Wait(); err != nil && best != resultReached {
		t.cfg.Log.WithField("service", service).WithError(err).Debug("no target of the sample reached")
	}
	return best
}

// set records whether a service is lost.
func (t *Tracker) set(service string, m Method, lost bool, took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	next := maps.Clone(*t.lost.Load())
	if lost {
		next[service] = m
	} else {
		delete(next, service)
	}
	t.lost.Store(&next)
	if t.cfg.OnChange != nil {
		t.cfg.OnChange(len(next))
	}
	l := t.cfg.Log.WithField("service", service).WithField("method", m.String()).WithField("took_ms", took.Milliseconds())
	if lost {
		l.Warn("no target of the service reached from this node")
		return
	}
	l.Info("targets of the service reached again from this node")
}

// Run checks the lost services again until the context ends.
func (t *Tracker) Run(ctx context.Context) error {
	tick := time.NewTicker(recheckInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
		var checks task.Group
		for service, m := range *t.lost.Load() {
			checks.Go(ctx, "path check", func(ctx context.Context) error {
				t.run(ctx, service, m)
				return nil
			})
		}
		if err := checks.Wait(); err != nil {
			return err
		}
	}
}
