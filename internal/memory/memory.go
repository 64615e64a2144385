// SPDX-License-Identifier: Apache-2.0

// Package memory bounds what a process holds for others.
package memory

import "sync/atomic"

// Budget bounds a number of bytes. The zero value has no bound. It may be used concurrently.
type Budget struct {
	// limit is in bytes; 0 means no bound.
	limit int64
	used  atomic.Int64
}

// NewBudget returns a budget of limit bytes; 0 means no bound.
func NewBudget(limit int64) *Budget {
	return &Budget{
		limit: limit,
	}
}

// Bounded reports whether the budget has a bound.
func (b *Budget) Bounded() bool { return b.limit > 0 }

// Used returns the number of bytes in use.
func (b *Budget) Used() int64 { return b.used.Load() }

// Reserve takes n bytes and reports whether they were available.
func (b *Budget) Reserve(n int64) bool {
	if b.used.Add(n) > b.limit && b.limit > 0 {
		b.used.Add(-n)
		return false
	}
	return true
}

// Charge takes n bytes that are in use already, whether or not they were available.
func (b *Budget) Charge(n int64) { b.used.Add(n) }

// Release returns n bytes that were taken.
func (b *Budget) Release(n int64) { b.used.Add(-n) }
