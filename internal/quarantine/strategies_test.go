// SPDX-License-Identifier: Apache-2.0

package quarantine_test

import (
	"flag"
	"testing"
	"time"
)

var strategies = []strategy{
	{
		name: "no records",
	},
	{
		name:         "each node for itself, from 2 crashes",
		keepsRecords: true,
		threshold:    2,
		keepsAnswers: true,
		checksTarget: true,
	},
	{
		name:          "all nodes, from 3 crashes, answers not kept",
		keepsRecords:  true,
		sharesRecords: true,
		threshold:     3,
		checksTarget:  true,
	},
	{
		name:          "all nodes, from 2 crashes, answers not kept",
		keepsRecords:  true,
		sharesRecords: true,
		threshold:     2,
		checksTarget:  true,
	},
	{
		name:          "all nodes, from 2 crashes, counting any broken connection",
		keepsRecords:  true,
		sharesRecords: true,
		threshold:     2,
		keepsAnswers:  true,
	},
	{
		name:          "all nodes, from 2 crashes",
		keepsRecords:  true,
		sharesRecords: true,
		threshold:     2,
		keepsAnswers:  true,
		checksTarget:  true,
	},
	{
		name:          "all nodes, from 3 crashes",
		keepsRecords:  true,
		sharesRecords: true,
		threshold:     3,
		keepsAnswers:  true,
		checksTarget:  true,
		implemented:   true,
	},
}

func small(l load) load {
	l.nodes, l.targets, l.slots, l.rate = 40, 9, 4, 30
	return l
}

var loads = []load{
	small(load{
		name:         "a harmful request, 3 a second for 15 s",
		harmful:      3,
		harmDuration: 15 * time.Second,
	}),
	small(load{
		name:         "a harmful request, 20 a second for 15 s",
		harmful:      20,
		harmDuration: 15 * time.Second,
	}),
	small(load{
		name:         "a harmful request, one in five seconds throughout",
		harmful:      0.2,
		harmDuration: time.Minute,
	}),
	small(load{
		name:    "targets crash, one a second",
		crashes: 1,
	}),
	small(load{
		name:    "targets crash, two a second",
		crashes: 2,
	}),
	small(load{
		name:        "half of the targets crash at once, four times",
		massCrashes: []time.Duration{10 * time.Second, 15 * time.Second, 20 * time.Second, 25 * time.Second},
		crashShare:  0.5,
	}),
	small(load{
		name:        "three in ten connections break without a crash",
		brokenShare: 0.3,
	}),
	small(load{
		name:         "a harmful request while targets crash, one a second",
		harmful:      3,
		harmDuration: 15 * time.Second,
		crashes:      1,
	}),
	small(load{
		name:         "a harmful request, all nodes restart after 10 s",
		harmful:      3,
		harmDuration: 30 * time.Second,
		restarts:     []time.Duration{15 * time.Second},
	}),
	small(load{
		name:         "the same, one in two seconds",
		harmful:      0.5,
		harmDuration: 30 * time.Second,
		restarts:     []time.Duration{15 * time.Second},
	}),
	{
		name:         "large: 200 targets, 5 crashes a second, a harmful request",
		harmful:      3,
		harmDuration: 15 * time.Second,
		crashes:      5,
		nodes:        100,
		targets:      200,
		slots:        3,
		rate:         400,
	},
}

// allStrategies is the number of seeds for a comparison of all strategies, 0 for none.
var allStrategies = flag.Int("ways", 0, "number of seeds with which TestStrategies runs all strategies")

// Compared with no records, with each node for itself and with other thresholds, the implemented
// strategy lets few targets crash, refuses the harmful request in the end, and refuses hardly any
// harmless ones, whatever other reasons the targets crash for.
func TestStrategies(t *testing.T) {
	seeds, selected := 4, strategies[len(strategies)-1:]
	if *allStrategies > 0 {
		seeds, selected = *allStrategies, strategies
	}
	for _, l := range loads {
		t.Log(l.name)
		for _, w := range selected {
			var sum result
			worst := 0
			for seed := range seeds {
				o := simulate(w, l, uint64(seed))
				sum.add(o)
				worst = max(worst, o.late)
			}
			t.Logf("  %-58s crashes %.1f, late %.1f, at most %d; refused %d of %d, lost %.4f", w.name,
				float64(sum.crashes)/float64(seeds), float64(sum.late)/float64(seeds), worst,
				sum.refused, sum.harmless, float64(sum.lost)/float64(sum.harmless))
			if w.implemented {
				sum.check(t, l, worst, seeds)
			}
		}
	}
}

// check checks the bounds of the implemented strategy.
func (o *result) check(t *testing.T, l load, worst, seeds int) {
	t.Helper()
	const (
		// maxLate is how often a harmful request may be forwarded once its record is shared.
		maxLate = 3
		// minPerRefused is how many harmless requests there must be for each refused one.
		minPerRefused = 1000
		// maxCrashes is how many targets may crash in a series of harmful requests.
		maxCrashes = 8
	)
	if worst > maxLate {
		t.Errorf("%s: a harmful request was forwarded %d times after its record was shared", l.name, worst)
	}
	if o.refused*minPerRefused > o.harmless {
		t.Errorf("%s: %d of %d harmless requests were refused", l.name, o.refused, o.harmless)
	}
	if series := 1 + len(l.restarts); o.crashes > maxCrashes*series*seeds {
		t.Errorf("%s: %d targets crashed in %d runs", l.name, o.crashes, seeds)
	}
}
