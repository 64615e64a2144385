// SPDX-License-Identifier: Apache-2.0

package node_test

import (
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
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

// limitSeeds are schedules in which a target once got more than allowed: nodes that lost their
// dispatcher together spent the tokens that each had accumulated, or dispatchers that were not the
// only one, or that no other node answered, granted the whole limit.
var limitSeeds = []uint64{
	5, 34, 50, 222, 223, 237, 258, 260, 287, 346, 350, 417, 425, 434,
	465, 514, 918, 942, 965, 966, 970, 1001, 1003, 1066, 1111, 1170, 1203, 1267,
	1314, 1356, 1358, 1374, 1403, 1520, 1626, 1691, 1722, 1723, 1775, 1798, 1852, 1871,
	1979, 1993,
}

// Whatever happens to nodes and their network, the nodes that received a target's limit must not
// send it more than 1.5 times what the limit allows in 4 s, plus 5 requests.
func TestLimitUnderRandomSchedules(t *testing.T) {
	var mu sync.Mutex
	var ratios []float64
	t.Run("schedules", func(t *testing.T) {
		seeds := slices.Clone(limitSeeds)
		for i := range *limitSchedules {
			if seed := *limitFirst + uint64(i); !slices.Contains(seeds, seed) {
				seeds = append(seeds, seed)
			}
		}
		if raceDetector {
			// Schedules take 50 times as long with the race detector.
			seeds = seeds[:8]
		}
		for _, seed := range seeds {
			t.Run(fmt.Sprint(seed), func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) {
					s := newLimitSchedule(seed, false)
					f := runSchedule(t, s)
					ratio, at, got := f.worst(limitExcess, limitSlack, fromInformed)
					if ratio > 1 {
						t.Errorf("%d requests in the 4 s before %v, %.2f of the allowed number: limits %v, faults %+v", got, at, ratio, s.limits, s.faults)
						for _, a := range f.arrivals {
							if a.informed && a.at > at-limitWindow && a.at <= at {
								t.Logf("%v at node %d by %s", a.at, a.node, a.by)
							}
						}
					}
					mu.Lock()
					defer mu.Unlock()
					ratios = append(ratios, ratio)
				})
			})
		}
	})
	slices.Sort(ratios)
	sum := 0.0
	for _, p := range ratios {
		sum += p
	}
	t.Logf("%d schedules: greatest ratio to the allowed number: mean %.2f, 99th percentile %.2f, maximum %.2f",
		len(ratios), sum/float64(len(ratios)), ratios[len(ratios)*99/100], ratios[len(ratios)-1])
}

// Without faults all nodes together, informed or not, must stay within the limit and use it;
// requests beyond it must be refused soon.
func TestLimitWithoutFaults(t *testing.T) {
	for seed := range uint64(max(*limitSchedules/4, 4)) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				s := newLimitSchedule(seed, true)
				f := runSchedule(t, s)
				rate := s.limits[0].rate
				if ratio, at, got := f.worst(faultlessExcess, faultlessSlack, fromAny); ratio > 1 {
					t.Errorf("%d requests in the 4 s before %v, %.2f of the allowed number, limit %v", got, at, ratio, rate)
				}
				from, n := s.limits[0].at+limitSettled, 0
				for _, a := range f.arrivals {
					if a.at >= from && a.at < scheduleLength {
						n++
					}
				}
				possible := rate * (scheduleLength - from).Seconds()
				if float64(n) < 0.9*possible-1 {
					t.Errorf("%d requests, %.0f allowed by the limit", n, possible)
				}
				t.Logf("limit %v: %d of %.0f, served %d of %d, %d refused after a mean of %v", rate, n, possible,
					f.served, f.requests, f.refused, f.refusalTime/time.Duration(max(f.refused, 1)))
			})
		})
	}
}

// Dispatchers that may grant at the same time must stay within 1.5 times the limit together, and a
// node without faults must grant all of it.
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
			name:  "second in rank",
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
			name:  "no known nodes",
			nodes: 1,
			live:  1,
			alone: true,
			want:  0.05,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if got := node.GrantShare(tt.nodes, tt.live, tt.rank, tt.alone, tt.among); got != tt.want {
				t.Errorf("share %v, want %v", got, tt.want)
			}
		})
	}
	for side := 1; side < 40; side++ {
		if sum := node.GrantShare(40, side, 0, false, long) + node.GrantShare(40, 40-side, 0, false, long); sum > 1.5 {
			t.Errorf("sides of %d and %d nodes grant %v", side, 40-side, sum)
		}
	}
}

// Nodes that send each other a limit must not make it newer than it is: it would come back after it
// was lifted.
func TestRelayedLimitsDoNotGetNewer(t *testing.T) {
	const transit = 2 * time.Millisecond
	started := time.Now()
	now, at := started, started
	for range 100 {
		at = node.RelayedLimitTime(now, now.Add(transit), at)
		now = now.Add(transit)
	}
	if at.After(started) {
		t.Errorf("the limit is %v newer than at its origin", at.Sub(started))
	}
}

// Nodes that lose their dispatcher at the same moment must not have accumulated tokens.
func TestSharesOfManyNodesAreNoBurst(t *testing.T) {
	const nodes, rate = 40, 1.6
	all := make([]node.Shares, nodes)
	now := time.Now()
	for i := range all {
		all[i].SetIndex(i)
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

// Nodes that learn of a limit at different times keep their turns apart, also with clocks that differ
// by some milliseconds.
func TestTurnsOfNodesAreApart(t *testing.T) {
	const nodes, rate = 40, 1.6
	rng := rand.New(rand.NewPCG(1, 2))
	for range 500 {
		all := make([]node.Shares, nodes)
		skew := make([]time.Duration, nodes)
		start := time.Now()
		for i := range all {
			all[i].SetIndex(i)
			skew[i] = time.Duration(rng.Int64N(int64(20 * time.Millisecond)))
			all[i].Take(start.Add(skew[i]+time.Duration(rng.Int64N(int64(time.Minute)))), rate, nodes)
		}
		now := start.Add(10 * time.Minute)
		got := 0
		for end := now.Add(limitWindow); now.Before(end); now = now.Add(20 * time.Millisecond) {
			for i := range all {
				if all[i].Take(now.Add(skew[i]), rate, nodes) {
					got++
				}
			}
		}
		if most := int(limitExcess*limitWindow.Seconds()*rate + limitSlack); got > most {
			t.Fatalf("%d requests in %v, allowed %d", got, limitWindow, most)
		}
	}
}

// A caller refused by this node may reach another one, whose turn comes before.
func TestTurnIsSharedByAllNodes(t *testing.T) {
	var s node.Shares
	if got := s.Turn(2); got < 500*time.Millisecond || got > 600*time.Millisecond {
		t.Errorf("turns %v apart with a limit of 2 a second", got)
	}
}

// An invalid limit in a message must change nothing.
func TestInvalidLimitsAreIgnored(t *testing.T) {
	for _, rate := range []float64{math.NaN(), math.Inf(1), -1} {
		if at := node.ReceivedLimitTime(time.Now(), rate); !at.IsZero() {
			t.Errorf("invalid rate %v accepted", rate)
		}
	}
	if node.ReceivedLimitTime(time.Now(), 2).IsZero() {
		t.Error("rate of 2 not accepted")
	}
}
