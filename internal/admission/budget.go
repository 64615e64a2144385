// SPDX-License-Identifier: Apache-2.0

// Package admission limits the rate of requests per workspace and the number of
// retries per service. The time is an argument.
package admission

import "sync"

// Parameters of a retry budget.
const (
	// RetryShare is the number of retries that each first attempt adds.
	RetryShare = 0.1
	// retryReserve is the maximum number of retries in a budget.
	retryReserve = 10
)

// Budget limits the retries of one service to a share of its first attempts. It is
// safe for concurrent use.
type Budget struct {
	mu     sync.Mutex
	tokens float64
}

// NewBudget returns a budget with a full reserve.
func NewBudget() *Budget {
	return &Budget{
		tokens: retryReserve,
	}
}

// Deposit adds RetryShare for a first attempt.
func (b *Budget) Deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+RetryShare, retryReserve)
}

// Withdraw takes one retry from the budget and reports whether there was one.
func (b *Budget) Withdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
