// SPDX-License-Identifier: Apache-2.0

package soak

import (
	"fmt"
	"net/http"
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

// JudgeShares returns the violations found if the workspace within its share and the one that surges
// have these numbers of requests served of 100.
func JudgeShares(within, surging int) []string {
	f := &fleet{
		plan: Plan{
			Weights: []int{1, 1},
			CalmSurge: Step{
				Index:  1,
				Factor: maxSurge,
			},
		},
	}
	var records []record
	for i := range 100 {
		for index, served := range []int{within, surging} {
			status := http.StatusServiceUnavailable
			if i < served {
				status = http.StatusOK
			}
			records = append(records, record{
				Call: history.Call{
					Key:    fmt.Sprintf("%s-%d", competitor(index), i),
					Status: status,
				},
			})
		}
	}
	f.checkShares(records)
	return f.violations
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
