// SPDX-License-Identifier: Apache-2.0

package quarantine_test

import (
	"flag"
	"testing"
	"time"
)

var strategies = []strategy{
	{
		name: "nothing is remembered",
	},
	{
		name:         "each node by itself, from 2 ends",
		keepsRecords: true,
		threshold:    2,
		keepsAnswers: true,
		checksTarget: true,
	},
	{
		name:          "all nodes, from 3 ends, answers not kept in mind",
		keepsRecords:  true,
		sharesRecords: true,
		threshold:     3,
		checksTarget:  true,
	},
	{
		name:          "all nodes, from 2 ends, answers not kept in mind",
		keepsRecords:  true,
		sharesRecords: true,
		threshold:     2,
		checksTarget:  true,
	},
	{
		name:          "all nodes, from 2 ends, by any connection that breaks",
		keepsRecords:  true,
		sharesRecords: true,
		threshold:     2,
		keepsAnswers:  true,
	},
	{
		name:          "all nodes, from 2 ends",
		keepsRecords:  true,
		sharesRecords: true,
		threshold:     2,
		keepsAnswers:  true,
		checksTarget:  true,
	},
	{
		name:          "all nodes, from 3 ends",
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
		name:         "one in five seconds, to the end",
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
		name:        "three in ten connections break, targets live",
		brokenShare: 0.3,
	}),
	small(load{
		name:         "harmful ones while targets crash, one a second",
		harmful:      3,
		harmDuration: 15 * time.Second,
		crashes:      1,
	}),
	small(load{
		name:         "a harmful request, all nodes forget all after 10 s",
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
		name:         "large: 200 targets, 5 a second crash, a harmful one",
		harmful:      3,
		harmDuration: 15 * time.Second,
		crashes:      5,
		nodes:        100,
		targets:      200,
		slots:        3,
		rate:         400,
	},
}

// allStrategies plays all ways, with as many seeds as are asked for, for comparison.
var allStrategies = flag.Int("ways", 0, "seeds with which TestStrategies plays all ways")

// Compared with nothing, with each node by itself and with other thresholds, the way that is
// built ends few targets, keeps away at last what ends them, and refuses hardly any harmless
// request, whatever else the targets crash of.
func TestStrategies(t *testing.T) {
	seeds, played := 4, strategies[len(strategies)-1:]
	if *allStrategies > 0 {
		seeds, played = *allStrategies, strategies
	}
	for _, l := range loads {
		t.Log(l.name)
		for _, w := range played {
			var sum result
			worst := 0
			for seed := range seeds {
				o := simulate(w, l, uint64(seed))
				sum.add(o)
				worst = max(worst, o.late)
			}
			t.Logf("  %-58s ends %.1f, late %.1f, at most %d; refused %d of %d, lost %.4f", w.name,
				float64(sum.crashes)/float64(seeds), float64(sum.late)/float64(seeds), worst,
				sum.refused, sum.harmless, float64(sum.lost)/float64(sum.harmless))
			if w.implemented {
				sum.check(t, l, worst, seeds)
			}
		}
	}
}

// check checks what is promised of the way that is built.
func (o *result) check(t *testing.T, l load, worst, seeds int) {
	t.Helper()
	const (
		// mostLate is how often a harmful request may be sent on once it is known.
		mostLate = 3
		// mostRefused is the part of harmless requests that may be refused for it.
		mostRefused = 1000
		// mostEnds is how many targets may end in a series of harmful requests.
		mostEnds = 8
	)
	if worst > mostLate {
		t.Errorf("%s: a harmful request was sent on %d times after it was known", l.name, worst)
	}
	if o.refused*mostRefused > o.harmless {
		t.Errorf("%s: %d of %d harmless requests were refused", l.name, o.refused, o.harmless)
	}
	if series := 1 + len(l.restarts); o.crashes > mostEnds*series*seeds {
		t.Errorf("%s: %d targets ended in %d plays", l.name, o.crashes, seeds)
	}
}
