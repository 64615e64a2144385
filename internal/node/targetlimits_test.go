// SPDX-License-Identifier: Apache-2.0

package node_test

import (
	"flag"
	"fmt"
	"math"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"ploverjunction.example/ploverjunction/internal/node"
)

var (
	limitSchedules = flag.Int("limit-schedules", 24, "random schedules of targets' limits")
	limitFirst     = flag.Uint64("limit-first", 1, "seed of the first one")
)

// limitSeeds are schedules in which a target once got more than it may: nodes that lost their
// dispatcher together spent what each had saved up, and dispatchers that were not alone, or that
// no other node answered, granted the whole limit.
var limitSeeds = []uint64{
	5, 34, 50, 222, 223, 237, 258, 260, 287, 346, 350, 417, 425, 434,
	465, 514, 918, 942, 965, 966, 970, 1001, 1003, 1066, 1111, 1170, 1203, 1267,
	1314, 1356, 1358, 1374, 1403, 1520, 1626, 1691, 1722, 1723, 1775, 1798, 1852, 1871,
	1979, 1993,
}

// Whatever happens to nodes and their network, a target with a limit gets from the nodes that it
// told no more than one and a half times what the limit allows in four seconds, and five.
func TestLimitUnderRandomSchedules(t *testing.T) {
	var mu sync.Mutex
	var parts []float64
	t.Run("schedules", func(t *testing.T) {
		seeds := slices.Clone(limitSeeds)
		for i := range *limitSchedules {
			if seed := *limitFirst + uint64(i); !slices.Contains(seeds, seed) {
				seeds = append(seeds, seed)
			}
		}
		if raceDetector {
			// Schedules take fifty times as long then.
			seeds = seeds[:8]
		}
		for _, seed := range seeds {
			t.Run(fmt.Sprint(seed), func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) {
					s := newLimitSchedule(seed, false)
					f := runSchedule(t, s)
					part, at, got := f.worst(limitExcess, limitSlack, fromInformed)
					if part > 1 {
						t.Errorf("%d requests in the 4 s before %v, %.2f of what is allowed: limits %v, faults %+v", got, at, part, s.limits, s.faults)
						for _, a := range f.arrivals {
							if a.informed && a.at > at-limitWindow && a.at <= at {
								t.Logf("%v at node %d by %s", a.at, a.node, a.by)
							}
						}
					}
					mu.Lock()
					defer mu.Unlock()
					parts = append(parts, part)
				})
			})
		}
	})
	slices.Sort(parts)
	sum := 0.0
	for _, p := range parts {
		sum += p
	}
	t.Logf("%d schedules: greatest part of what is allowed %.2f in the mean, %.2f in 99 of 100, at most %.2f",
		len(parts), sum/float64(len(parts)), parts[len(parts)*99/100], parts[len(parts)-1])
}

// While nothing goes wrong all nodes together, told or not, keep to the limit and use it; what
// can't be served is refused soon.
func TestLimitWithoutFaults(t *testing.T) {
	for seed := range uint64(max(*limitSchedules/4, 4)) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				s := newLimitSchedule(seed, true)
				f := runSchedule(t, s)
				rate := s.limits[0].rate
				if part, at, got := f.worst(faultlessExcess, faultlessSlack, fromAny); part > 1 {
					t.Errorf("%d requests in the 4 s before %v, %.2f of what is aimed at, limit %v", got, at, part, rate)
				}
				from, n := s.limits[0].at+limitSettled, 0
				for _, a := range f.arrivals {
					if a.at >= from && a.at < scheduleLength {
						n++
					}
				}
				possible := rate * (scheduleLength - from).Seconds()
				if float64(n) < 0.9*possible-1 {
					t.Errorf("%d requests of %.0f that the limit allows", n, possible)
				}
				t.Logf("limit %v: %d of %.0f, served %d of %d, %d refused after %v in the mean", rate, n, possible,
					f.served, f.requests, f.refused, f.refusalTime/time.Duration(max(f.refused, 1)))
			})
		})
	}
}

// What may be granted at the same time is one and a half times the limit at the most, and what a
// node grants that nothing is wrong with is all of it.
func TestSharesOfLimit(t *testing.T) {
	const long = time.Minute
	tests := []struct {
		name        string
		nodes, live int
		rank        int
		alone       bool
		among       time.Duration
		want        float64
	}{
		{
			name:  "all live",
			nodes: 40,
			live:  40,
			among: long,
			want:  1,
		},
		{
			name:  "a few lost",
			nodes: 40,
			live:  30,
			among: long,
			want:  1,
		},
		{
			name:  "most lost",
			nodes: 40,
			live:  10,
			among: long,
			want:  0.25,
		},
		{
			name:  "another one ranks before",
			nodes: 40,
			live:  40,
			rank:  1,
			among: long,
			want:  0.25,
		},
		{
			name:  "just joined",
			nodes: 40,
			live:  40,
			among: time.Second,
			want:  0.4,
		},
		{
			name:  "no other answers",
			nodes: 40,
			live:  40,
			alone: true,
			want:  0.025,
		},
		{
			name:  "knows nobody",
			nodes: 1,
			live:  1,
			alone: true,
			want:  0.05,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if got := node.Part(tt.nodes, tt.live, tt.rank, tt.alone, tt.among); got != tt.want {
				t.Errorf("part %v, want %v", got, tt.want)
			}
		})
	}
	for side := 1; side < 40; side++ {
		if sum := node.Part(40, side, 0, false, long) + node.Part(40, 40-side, 0, false, long); sum > 1.5 {
			t.Errorf("sides of %d and %d nodes grant %v", side, 40-side, sum)
		}
	}
}

// Nodes that tell each other of a limit don't make it newer than it is: once it is lifted it would
// come back.
func TestRelayedLimitsDoNotGetNewer(t *testing.T) {
	const way = 2 * time.Millisecond
	begun := time.Now()
	now, at := begun, begun
	for range 100 {
		at = node.Relayed(now, now.Add(way), at)
		now = now.Add(way)
	}
	if at.After(begun) {
		t.Errorf("the answer is taken for %v newer than it is", at.Sub(begun))
	}
}

// Nodes that lose their dispatcher at the same moment have saved nothing up.
func TestSharesOfManyNodesAreNoBurst(t *testing.T) {
	const nodes, rate = 40, 1.6
	all := make([]node.Shares, nodes)
	now := time.Now()
	for i := range all {
		all[i].Take(now, rate, nodes)
	}
	now = now.Add(10 * time.Minute)
	got := 0
	for end := now.Add(limitWindow); now.Before(end); now = now.Add(20 * time.Millisecond) {
		for i := range all {
			if all[i].Take(now, rate, nodes) {
				got++
			}
		}
	}
	if most := int(limitExcess*limitWindow.Seconds()*rate + limitSlack); got > most {
		t.Errorf("%d requests in %v, allowed %d", got, limitWindow, most)
	}
}

// A caller that this node has no turn for may reach another one, whose turn comes before.
func TestTurnIsSharedByAllNodes(t *testing.T) {
	var s node.Shares
	if got := s.Turn(2); got < 500*time.Millisecond || got > 600*time.Millisecond {
		t.Errorf("a turn each %v of a limit of 2 a second", got)
	}
}

// A message about a limit that makes no sense changes nothing.
func TestInvalidLimitsAreIgnored(t *testing.T) {
	for _, rate := range []float64{math.NaN(), math.Inf(1), -1} {
		if at := node.Told(time.Now(), rate); !at.IsZero() {
			t.Errorf("rate %v counts", rate)
		}
	}
	if node.Told(time.Now(), 2).IsZero() {
		t.Error("a rate of 2 doesn't count")
	}
}
