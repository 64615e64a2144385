// SPDX-License-Identifier: Apache-2.0

package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"time"

	"ploverjunction.example/ploverjunction/internal/history"
)

const (
	// rejectedShare is the share of the requests that all targets reject, as in docs/HARD-LOAD.md.
	rejectedShare = 0.55
	// minRejectTime and maxRejectTime bound the duration of such a step. Dispatchers count rejections
	// over 1 to 2 s.
	minRejectTime = 3 * time.Second
	maxRejectTime = 5 * time.Second
	// retryShare, retryReserve and retryWindow are the defaults of [targets].
	retryShare   = 0.1
	retryReserve = 10
	retryWindow  = 10 * time.Second
	// rejectStream is the random stream of these steps. With it the regression seeds have none, and seeds
	// 1 and 2, which CI adds, have one.
	rejectStream = 0x16b
)

// addRejections lets all targets reject requests for a time in half of the plans. It uses a separate
// random source, so that the other steps of a seed do not change.
func (p *Plan) addRejections() {
	rng := rand.New(rand.NewPCG(p.Seed, rejectStream))
	if rng.IntN(2) == 0 {
		return
	}
	p.Steps = append(p.Steps, Step{
		At:   time.Duration(rng.Int64N(int64(faultTime / 2))),
		For:  minRejectTime + time.Duration(rng.Int64N(int64(maxRejectTime-minRejectTime))),
		Kind: KindServiceRejects,
	})
}

// rejectRequests makes all targets reject requests for the duration of a step.
func (f *fleet) rejectRequests(s Step) {
	set := func(change int64) {
		for _, b := range f.targets {
			b.rejects.Add(change)
			b.SetMode(b.mode())
		}
	}
	set(1)
	time.Sleep(s.For)
	set(-1)
}

// checkRetryTime reports a refusal without the time after which its caller may return.
func (f *fleet) checkRetryTime(r *record) {
	if r.err != nil || r.Outcome != history.OutcomeNotRun || r.Status != http.StatusServiceUnavailable && r.Status != http.StatusTooManyRequests {
		return
	}
	if seconds, err := strconv.Atoi(r.retryAfter); err != nil || seconds < 1 {
		f.violation("node %d: %s, sent at %.2fs, was refused with status %d and Retry-After %q: %s", r.node, r.Key, r.started.Seconds(), r.Status, r.retryAfter, r.refusal)
	}
}

// checkBudget checks that the arrivals at targets beyond the first of each request are within the
// retry budget. In the independent mode each process has a reserve of its own.
func (f *fleet) checkBudget() {
	var firsts, retries []time.Duration
	arrivals := map[string][]time.Duration{}
	for _, b := range f.targets {
		for _, a := range b.Arrivals() {
			arrivals[a.ID] = append(arrivals[a.ID], a.At.Sub(f.started))
		}
	}
	for _, list := range arrivals {
		slices.Sort(list)
		firsts = append(firsts, list[0])
		retries = append(retries, list[1:]...)
	}
	reserve := float64(retryReserve)
	if !f.plan.Joint {
		reserve *= float64(f.processes.Load())
	}
	if text := beyondBudget(firsts, retries, reserve); text != "" {
		f.violation("%s", text)
	}
}

// beyondBudget describes a window with more retries than the budget allows, "" if there is none. The
// requests that pay for them are those of the window, of the preceding one or of the one half a window
// before, whichever holds most.
func beyondBudget(firsts, retries []time.Duration, reserve float64) string {
	slices.Sort(firsts)
	slices.Sort(retries)
	for _, from := range retries {
		requests := 0
		for _, back := range []time.Duration{0, retryWindow / 2, retryWindow} {
			requests = max(requests, within(firsts, from-back))
		}
		if n, allowed := within(retries, from), retryShare*float64(requests)+reserve; float64(n) > allowed {
			return fmt.Sprintf("%d retries reached targets in the %v from %.2fs, %.0f are allowed", n, retryWindow, from.Seconds(), allowed)
		}
	}
	return ""
}

// within counts the times of a sorted list in the retry window that begins at from.
func within(list []time.Duration, from time.Duration) int {
	first, _ := slices.BinarySearch(list, from)
	end, _ := slices.BinarySearch(list, from+retryWindow)
	return end - first
}
