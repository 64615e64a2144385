// SPDX-License-Identifier: Apache-2.0

package soak

import (
	"time"

	"ploverjunction.example/ploverjunction/internal/history"
)

// Observed is a call and its runs, as input for a test of the checks.
type Observed struct {
	Outcome string
	Err     error
	Status  int
	// RetryAfter is the header Retry-After of the response.
	RetryAfter string
	Post       bool
	Stopped    bool
	Disturbed  bool
	// Runs is the number of times targets ran the call.
	Runs int
}

// BeyondBudget describes a window with more retries than the budget of the joint mode allows.
func BeyondBudget(firsts, retries []time.Duration) string {
	return beyondBudget(firsts, retries, retryReserve)
}

// Judge returns the violations that the checks find in one call.
func Judge(o Observed) []string {
	f := &fleet{
		started: time.Now(),
	}
	l := &incarnation{}
	l.stopped.Store(o.Stopped)
	l.disturbed.Store(o.Disturbed)
	r := record{
		Call: history.Call{
			Key:        "k",
			Repeatable: !o.Post,
			Outcome:    o.Outcome,
			Status:     o.Status,
			Complete:   o.Err == nil,
			Correct:    true,
		},
		process:    l,
		err:        o.Err,
		retryAfter: o.RetryAfter,
	}
	h := history.History{
		Calls: []history.Call{
			r.Call,
		},
	}
	for range o.Runs {
		h.Runs = append(h.Runs, history.Run{
			Key: "k",
		})
	}
	f.checkCall(&r, h)
	return f.violations
}
