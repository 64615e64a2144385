// SPDX-License-Identifier: Apache-2.0

// Package task runs goroutines that report their result to an owner.
package task

import (
	"context"
	"fmt"
	"runtime/debug"
)

// PanicError is the error of a task that panicked.
type PanicError struct {
	name  string
	value any
	stack []byte
}

// Error describes the panic, with its stack.
func (e *PanicError) Error() string {
	return fmt.Sprintf("task: %s panicked: %v\n%s", e.name, e.value, e.stack)
}

// Task is a running goroutine. Its methods may be called concurrently.
type Task struct {
	name   string
	cancel context.CancelFunc
	done   chan error
}

// Go runs fn in a new goroutine. The task ends when fn returns; fn must return soon after its
// context ends. A panic in fn ends the task with a *PanicError.
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

// Done returns the channel that receives the error of the task once and is then closed. Only the
// task's owner reads it.
func (t *Task) Done() <-chan error {
	return t.done
}

// Stop cancels the context of the task, waits for its end and returns its error. Only the task's
// owner may call it, since the error is sent once.
func (t *Task) Stop() error {
	t.cancel()
	return <-t.done
}
