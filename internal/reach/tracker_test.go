// SPDX-License-Identifier: Apache-2.0

package reach_test

import (
	"context"
	"errors"
	"io"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"ploverjunction.example/ploverjunction/internal/logging"
	"ploverjunction.example/ploverjunction/internal/reach"
	"ploverjunction.example/ploverjunction/internal/task"
)

var errDown = errors.New("no route to host")

// paths simulates the targets of one service; those in down are not reached.
type paths struct {
	targets []string
	down    atomic.Pointer[map[string]bool]
	silent  bool
	tries   atomic.Int32
}

func (p *paths) setDown(targets ...string) {
	down := map[string]bool{}
	for _, t := range targets {
		down[t] = true
	}
	p.down.Store(&down)
}

func (p *paths) try(ctx context.Context, _ reach.Method, _, address string) error {
	p.tries.Add(1)
	if !(*p.down.Load())[address] {
		return nil
	}
	if p.silent {
		<-ctx.Done()
	}
	return errDown
}

func newTracker(p *paths) *reach.Tracker {
	p.setDown()
	return reach.New(reach.Config{
		Targets:  func(string) []string { return p.targets },
		Try:      p.try,
		OnChange: func(int) {},
		Log:      logging.Part(logging.New(io.Discard, "error", "text"), "paths"),
	})
}

func TestServiceIsLostIfNoTargetIsReached(t *testing.T) {
	tests := []struct {
		name    string
		targets []string
		down    []string
		silent  bool
		want    bool
		most    time.Duration
	}{
		{
			name:    "all reached",
			targets: []string{"a", "b", "c"},
		},
		{
			name:    "one reached",
			targets: []string{"a", "b", "c"},
			down:    []string{"a", "c"},
		},
		{
			name:    "one reached, the others silent",
			targets: []string{"a", "b", "c"},
			down:    []string{"a", "c"},
			silent:  true,
			most:    50 * time.Millisecond,
		},
		{
			name:    "none reached",
			targets: []string{"a", "b", "c"},
			down:    []string{"a", "b", "c"},
			want:    true,
		},
		{
			name:    "all silent",
			targets: []string{"a", "b", "c", "d"},
			down:    []string{"a", "b", "c", "d"},
			silent:  true,
			want:    true,
			most:    300 * time.Millisecond,
		},
		{
			name:    "one of many reached",
			targets: []string{"a", "b", "c", "d", "e", "f", "g", "h"},
			down:    []string{"a", "b", "c", "d", "e", "f", "g"},
			silent:  true,
			most:    100 * time.Millisecond,
		},
		{
			name: "no targets",
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := &paths{
					targets: tt.targets,
					silent:  tt.silent,
				}
				r := newTracker(p)
				p.setDown(tt.down...)
				started := time.Now()
				if got := r.Check(t.Context(), "quotes", reach.MethodConnect); got != tt.want || r.Lost("quotes") != tt.want {
					t.Errorf("lost %v, want %v", got, tt.want)
				}
				if took := time.Since(started); took > tt.most {
					t.Errorf("the check took %v", took)
				}
				if r.Lost("drafts") {
					t.Error("another service is lost")
				}
			})
		})
	}
}

// Callers must not wait for one check after another, and targets must not get one for each caller.
func TestConcurrentChecksAreOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &paths{
			targets: []string{"a", "b", "c"},
			silent:  true,
		}
		r := newTracker(p)
		p.setDown("a", "b", "c")
		started := time.Now()
		var callers task.Group
		for range 50 {
			callers.Go(t.Context(), "caller", func(ctx context.Context) error {
				if !r.Check(ctx, "quotes", reach.MethodExchange) {
					return errors.New("not lost")
				}
				return nil
			})
		}
		if err := callers.Wait(); err != nil {
			t.Error(err)
		}
		if n, took := p.tries.Load(), time.Since(started); n != 3 || took > 300*time.Millisecond {
			t.Errorf("%d targets tried in %v", n, took)
		}
	})
}

// A node whose paths are back must use them within half a second.
func TestReachedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &paths{
			targets: []string{"a", "b"},
		}
		r := newTracker(p)
		ctx, cancel := context.WithCancel(t.Context())
		running := task.Go(ctx, "paths", r.Run)
		p.setDown("a", "b")
		r.Check(ctx, "quotes", reach.MethodConnect)
		time.Sleep(5 * time.Second)
		if !r.Lost("quotes") {
			t.Error("reached while no target is")
		}
		p.setDown("a")
		time.Sleep(500 * time.Millisecond)
		if r.Lost("quotes") {
			t.Error("still lost")
		}
		cancel()
		if err := <-running.Done(); err != nil {
			t.Error(err)
		}
	})
}

// Guards against targets that send what is no answer and whose service counts as lost, so that their failures are no evidence
// against them, or as reached again.
func TestInconclusiveChecksChangeNothing(t *testing.T) {
	for _, before := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			var result error
			if before {
				result = errDown
			}
			r := reach.New(reach.Config{
				Targets: func(string) []string { return []string{"a"} },
				Try:     func(context.Context, reach.Method, string, string) error { return result },
				Log:     logging.Part(logging.New(io.Discard, "error", "text"), "paths"),
			})
			r.Check(t.Context(), "quotes", reach.MethodExchange)
			time.Sleep(time.Second)
			result = &reach.InconclusiveError{
				Cause: errDown,
			}
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			_ = r.Run(ctx)
			if got := r.Check(t.Context(), "quotes", reach.MethodExchange); got != before {
				t.Errorf("lost %v after inconclusive checks, want %v", got, before)
			}
		})
	}
}
