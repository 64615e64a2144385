// SPDX-License-Identifier: Apache-2.0

package task

import (
	"context"
	"errors"
	"slices"
)

// Group owns several tasks and collects their results. The zero value is empty and ready to use. It
// is not safe for concurrent use.
type Group struct {
	tasks []*Task
}

// Go starts fn as a task of the group.
func (g *Group) Go(ctx context.Context, name string, fn func(ctx context.Context) error) {
	g.tasks = append(g.tasks, Go(ctx, name, fn))
}

// Reap removes the tasks that have ended and returns their errors, joined.
func (g *Group) Reap() error {
	var err error
	g.tasks = slices.DeleteFunc(g.tasks, func(t *Task) bool {
		select {
		case end := <-t.Done():
			err = errors.Join(err, end)
			return true
		default:
			return false
		}
	})
	return err
}

// Len returns the number of tasks whose result was not collected yet.
func (g *Group) Len() int { return len(g.tasks) }

// Wait waits for all tasks and returns their errors, joined.
func (g *Group) Wait() error {
	var err error
	for _, t := range g.tasks {
		err = errors.Join(err, <-t.Done())
	}
	g.tasks = nil
	return err
}
