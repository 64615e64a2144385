// SPDX-License-Identifier: Apache-2.0

package dispatch_test

import "testing"

// simulateSeeds runs a model with many seeds. It returns the shares of windows with too few targets,
// of lost requests and of answers from other data halls.
func simulateSeeds(s *serviceModel, first uint64) (low, lost, crossed float64) {
	windows, lows, all, losts, crosses := 0, 0, 0, 0, 0
	for seed := first; seed < first+s.seeds; seed++ {
		p := newSimulation(s, seed)
		p.run()
		w, l := p.windows()
		windows += w
		lows += l
		all += p.all
		losts += p.lost
		crosses += p.crossed
	}
	return float64(lows) / float64(windows), float64(losts) / float64(all), float64(crosses) / float64(all)
}

// At any moment all nodes may lose power, and with them a tenth of the requests. The floor then
// applies to the targets that worked in the 2 s before, so that requests must reach enough working
// targets in every window, whether or not requests fail.
func TestWorkingTargetsAreReached(t *testing.T) {
	// maxLow is the greatest share of windows with too few targets: one in 500 losses of power.
	const maxLow = 0.002
	for _, s := range services {
		t.Run(s.name, func(t *testing.T) {
			t.Parallel()
			low, lost, crossed := simulateSeeds(&s, 100)
			t.Logf("%.2f%% of the windows with too few targets, %.2f%% of the requests lost, %.1f%% crossed", 100*low, 100*lost, 100*crossed)
			if low > maxLow {
				t.Errorf("%.2f%% of the windows with too few targets, want at most %.2f%%", 100*low, 100*maxLow)
			}
			if lost > s.maxLost {
				t.Errorf("%.2f%% of the requests lost, want at most %.2f%%", 100*lost, 100*s.maxLost)
			}
		})
	}
}
