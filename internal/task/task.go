// SPDX-License-Identifier: Apache-2.0

// Package task starts goroutines whose end is reported to their owner.
package task

import (
	"context"
	"fmt"
	"runtime/debug"
)

// PanicError is the end of a task that panicked.
type PanicError struct {
	name  string
	value any
	stack []byte
}

// Error describes the panic and where it happened.
func (e *PanicError) Error() string {
	return fmt.Sprintf("task: %s panicked: %v\n%s", e.name, e.value, e.stack)
}

// Task is one running goroutine. Its methods may be called concurrently.
type Task struct {
	name   string
	cancel context.CancelFunc
	done   chan error
}

// Go starts fn in a goroutine of its own. The task ends when fn returns; fn must
// return soon after its context ends. A panic in fn ends the task with a
// *PanicError.
func Go(ctx context.Context, name string, fn func(ctx context.Context) error) *Task {
	ctx, cancel := context.WithCancel(ctx)
	t := &Task{
		name:   name,
		cancel: cancel,
		done:   make(chan error, 1),
	}
	go t.run(ctx, fn)
	return t
}

func (t *Task) run(ctx context.Context, fn func(ctx context.Context) error) {
	var err error
	defer func() {
		if v := recover(); v != nil {
			err = &PanicError{
				name:  t.name,
				value: v,
				stack: debug.Stack(),
			}
		}
		t.done <- err
		close(t.done)
	}()
	err = fn(ctx)
}

// Name returns the name given to Go.
func (t *Task) Name() string {
	return t.name
}

// Done returns the channel that carries the end of the task once and is then
// closed. One owner reads it.
func (t *Task) Done() <-chan error {
	return t.done
}

// Stop ends the context of the task, waits for its end and returns it. It must
// not be called by a second owner: the end is reported once.
func (t *Task) Stop() error {
	t.cancel()
	return <-t.done
}
