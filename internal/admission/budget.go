// SPDX-License-Identifier: Apache-2.0

// Package admission decides which requests may enter and how many may be tried
// again. It is pure: the time is an argument.
package admission

import "sync"

// Bounds of a retry budget.
const (
	// RetryShare is the number of retries that each first attempt pays for.
	RetryShare = 0.1
	// retryReserve is the greatest number of retries saved up.
	retryReserve = 10
)

// Budget bounds the retries of one service to a share of its first attempts. It
// may be used concurrently.
type Budget struct {
	mu     sync.Mutex
	tokens float64
}

// NewBudget returns a budget with its reserve full.
func NewBudget() *Budget {
	return &Budget{
		tokens: retryReserve,
	}
}

// First pays in for a first attempt.
func (b *Budget) First() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+RetryShare, retryReserve)
}

// Retry takes out one retry and reports whether there was one.
func (b *Budget) Retry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
