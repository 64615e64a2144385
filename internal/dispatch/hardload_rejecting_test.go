// SPDX-License-Identifier: Apache-2.0

package dispatch_test

import (
	"fmt"
	"testing"
)

// Slots are short when all targets begin to reject. For half a second they were taken for failing ones, because
// the share of rejections is measured over more than a second: at 1.2, 1.5 and 2 times the capacity up to 118
// requests were refused while such a slot was free, and 37 of those that had waited where 30 in 100 are rejected.
func TestHardLoadBeginsToReject(t *testing.T) {
	t.Parallel()
	for _, tt := range []struct{ load, rejected float64 }{
		{1.2, 0.3},
		{1.2, 0.55},
		{1.2, 0.8},
		{1.5, 0.55},
		{2, 0.55},
	} {
		name := fmt.Sprintf("load %.1f, %.2f rejected", tt.load, tt.rejected)
		for seed := range uint64(2) {
			h := (&hardLoad{
				load:     tt.load,
				classes:  nominations,
				rejected: tt.rejected,
				seed:     1 + seed,
			}).run()
			h.log(t, name)
			h.checkRefusals(t, name)
		}
	}
}

// All targets reject 55 in 100 requests above the capacity. The expected wait counts their slots: they were counted as
// failing, and 0.425 of all requests were refused at twice the capacity and 0.341 served.
func TestHardLoadRejectedOverCapacity(t *testing.T) {
	t.Parallel()
	for _, tt := range []struct{ load, served float64 }{
		{1.2, 0.53},
		{2, 0.42},
	} {
		name := fmt.Sprintf("load %.1f", tt.load)
		h := (&hardLoad{
			load:     tt.load,
			classes:  portalClasses,
			rejected: 0.55,
			seed:     1,
		}).run()
		h.log(t, name)
		h.checkRefusals(t, name)
		if got := h.total(); float64(got.served) < tt.served*float64(got.all) {
			t.Errorf("%s: %d of %d served", name, got.served, got.all)
		}
	}
}

// While slots are short and all targets reject some requests, those that reject all requests draw no more of
// them than trials need. They always have free slots: one of 30 drew 1,053 of 8,290 grants, and retries were
// refused for the budget.
func TestHardLoadRejectingTargets(t *testing.T) {
	t.Parallel()
	for _, tt := range []struct {
		rejecting int
		rejected  float64
	}{
		{1, 0.1},
		{1, 0.15},
		{3, 0.1},
	} {
		name := fmt.Sprintf("%d targets reject all, the others %.2f", tt.rejecting, tt.rejected)
		sum := &hardResult{}
		grants, rejecting := 0, 0
		for seed := range uint64(2) {
			h := (&hardLoad{
				load:      1.2,
				classes:   nominations,
				rejected:  tt.rejected,
				rejecting: tt.rejecting,
				seed:      1 + seed,
			}).run()
			sum.add(h.total())
			grants += h.grants
			rejecting += h.failingGrants
		}
		t.Logf("%s: %v; %d grants, %d at targets that reject all", name, sum, grants, rejecting)
		if float64(rejecting) > 0.04*float64(grants) || float64(sum.overBudget) > 0.02*float64(sum.all) {
			t.Errorf("%s: %d of %d grants at targets that reject all, %d of %d requests over budget", name, rejecting, grants, sum.overBudget, sum.all)
		}
	}
}
