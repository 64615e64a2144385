// SPDX-License-Identifier: Apache-2.0

// Package blackboard holds the state that the controllers of a process share. Each section has one
// writer and any number of readers; a read is one atomic load of an immutable snapshot
// (read-copy-update), so serving a request takes no lock.
package blackboard

import (
	"sync"
	"sync/atomic"
)

// Section is one section of the blackboard. The zero value holds nil and is ready to use. Load and
// Watch may be called concurrently; Store only by the section's writer.
type Section[T any] struct {
	value   atomic.Pointer[T]
	mu      sync.Mutex
	changed chan struct{}
}

// Load returns the newest snapshot, or nil before the first Store. The snapshot must not be
// modified.
func (s *Section[T]) Load() *T {
	return s.value.Load()
}

// Store publishes a snapshot and wakes all watchers. The writer must not modify v afterwards.
func (s *Section[T]) Store(v *T) {
	s.value.Store(v)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.changed != nil {
		close(s.changed)
		s.changed = nil
	}
}

// Watch returns a channel that is closed at the next Store. To miss no change, call Watch before
// Load.
func (s *Section[T]) Watch() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.changed == nil {
		s.changed = make(chan struct{})
	}
	return s.changed
}
