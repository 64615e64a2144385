// SPDX-License-Identifier: Apache-2.0

package balance_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"ploverjunction.example/ploverjunction/internal/balance"
)

func members(n int) []balance.Member {
	out := make([]balance.Member, n)
	for i := range out {
		out[i] = balance.Member{
			Key:         fmt.Sprintf("192.0.2.%d:80", i),
			Slots:       3,
			Connections: 200,
			Gauge:       &balance.Gauge{},
		}
	}
	return out
}

func ExamplePool_Pick() {
	list := members(3)
	list[0].Sick = true
	list[1].Draining = true
	pool := balance.NewPool(list, 1, "node", 1)
	pick, ok := pool.Pick(rand.Uint64, nil, nil)
	fmt.Println(pick.Key(), ok)
	pick.Release()
	// Output: 192.0.2.2:80 true
}

// membersInStates returns members in the states given by codes: 0 healthy, 1 sick,
// 2 draining, 3 sick and draining, 4 on trial, 5 cold.
func membersInStates(codes []int) []balance.Member {
	list := members(len(codes))
	for i, c := range codes {
		list[i].Sick = c == 1 || c == 3 || c == 4
		list[i].Draining = c == 2 || c == 3
		list[i].Trial = c == 4
		list[i].Score = float64(i % 3)
		if c == 5 {
			list[i].Warmth = 0.1
		}
	}
	return list
}

// The floor is met whichever targets are sick, as far as those that aren't draining
// have the capacity, and no sick target is used without need.
func TestFloorProperty(t *testing.T) {
	p := gopter.NewProperties(nil)
	p.Property("serving capacity is never below the floor", prop.ForAll(
		func(codes []int, share float64) bool {
			list := membersInStates(codes)
			capacity := balance.NewPool(list, 0, "n", 1).Capacity()
			floor := share * capacity
			pool := balance.NewPool(list, floor, "n", 1)
			return pool.Serving() >= min(floor, capacity)-1e-9
		},
		gen.SliceOfN(9, gen.IntRange(0, 5)),
		gen.Float64Range(0, 1),
	))
	p.Property("draining targets are never used", prop.ForAll(
		func(codes []int) bool {
			list := membersInStates(codes)
			pool := balance.NewPool(list, 1e9, "n", 1)
			for _, m := range list {
				if m.Draining && slices.Contains(pool.Keys(), m.Key) {
					return false
				}
			}
			return true
		},
		gen.SliceOfN(9, gen.IntRange(0, 5)),
	))
	p.Property("without a floor no sick target is used", prop.ForAll(
		func(codes []int) bool {
			list := membersInStates(codes)
			pool := balance.NewPool(list, 0, "n", 1)
			for _, m := range list {
				if m.Sick && slices.Contains(pool.Keys(), m.Key) {
					return false
				}
			}
			return pool.KeptByFloor() == 0
		},
		gen.SliceOfN(9, gen.IntRange(0, 5)),
	))
	p.TestingRun(t)
}

func TestLeastSickReturnsFirst(t *testing.T) {
	list := members(4)
	for i := range list {
		list[i].Sick = true
		list[i].Score = float64(10 - i)
	}
	pool := balance.NewPool(list, 6, "n", 1)
	got := pool.Keys()
	slices.Sort(got)
	want := []string{list[2].Key, list[3].Key}
	if !slices.Equal(got, want) {
		t.Fatalf("targets in use %v, want %v", got, want)
	}
}

func TestPickPrefersUntried(t *testing.T) {
	pool := balance.NewPool(members(2), 0, "n", 1)
	for range 100 {
		p, ok := pool.Pick(rand.Uint64, []string{"192.0.2.0:80"}, nil)
		if !ok || p.Key() != "192.0.2.1:80" {
			t.Fatalf("picked %q", p.Key())
		}
		p.Release()
	}
}

func TestPickRespectsConnectionLimit(t *testing.T) {
	list := members(3)
	for i := range list {
		list[i].Connections = 10
	}
	pool := balance.NewPool(list, 0, "n", 1)
	taken := 0
	for {
		if _, ok := pool.Pick(rand.Uint64, nil, nil); !ok {
			break
		}
		taken++
	}
	if taken != 30 {
		t.Fatalf("%d picks, want 30", taken)
	}
	for _, m := range list {
		if m.Gauge.InFlight() != 10 {
			t.Fatalf("%d in flight, want 10", m.Gauge.InFlight())
		}
	}
}

func TestPickSpreadsByLoadAndWarmth(t *testing.T) {
	list := members(3)
	list[0].Warmth = 0.1
	pool := balance.NewPool(list, 0, "n", 1)
	count := map[string]int{}
	var held []balance.Pick
	rng := rand.New(rand.NewPCG(1, 1))
	for range 300 {
		p, ok := pool.Pick(rng.Uint64, nil, nil)
		if !ok {
			t.Fatal("no pick")
		}
		count[p.Key()]++
		if held = append(held, p); len(held) > 20 {
			held[0].Release()
			held = held[1:]
		}
	}
	cold, warm := count["192.0.2.0:80"], count["192.0.2.1:80"]
	if cold == 0 || cold*3 > warm {
		t.Fatalf("cold target %d picks, warm ones %d and %d", cold, warm, count["192.0.2.2:80"])
	}
}

func TestTrialTakesOneAtATime(t *testing.T) {
	list := members(2)
	list[0].Sick, list[0].Trial = true, true
	pool := balance.NewPool(list, 0, "n", 1)
	p, ok := pool.PickTrial(rand.Uint64)
	if !ok || p.Key() != list[0].Key {
		t.Fatal("no trial target picked")
	}
	if _, ok := pool.PickTrial(rand.Uint64); ok {
		t.Fatal("second request picked for a target on trial")
	}
	p.Release()
	if _, ok := pool.PickTrial(rand.Uint64); !ok {
		t.Fatal("no trial target picked after the first request ended")
	}
}

// The subset shrinks as the fleet grows, so that the connections of all nodes stay
// within those that a target accepts.
func TestSubset(t *testing.T) {
	cases := []struct {
		nodes, targets int
		size           int
	}{
		{
			nodes:   1,
			targets: 6,
			size:    6,
		},
		{
			nodes:   40,
			targets: 6,
			size:    6,
		},
		{
			nodes:   40,
			targets: 20,
			size:    20,
		},
		{
			nodes:   1000,
			targets: 6,
			size:    4,
		},
		{
			nodes:   1000,
			targets: 30,
			size:    4,
		},
		{
			nodes:   250,
			targets: 30,
			size:    9,
		},
	}
	for _, c := range cases {
		t.Run(fmt.Sprintf("%d nodes %d targets", c.nodes, c.targets), func(t *testing.T) {
			uses := map[string]int{}
			for n := range c.nodes {
				pool := balance.NewPool(members(c.targets), 0, fmt.Sprint("node", n), c.nodes)
				if pool.Len() != c.size {
					t.Fatalf("subset of %d, want %d", pool.Len(), c.size)
				}
				for _, a := range pool.Keys() {
					uses[a] += pool.Limit(a)
				}
			}
			most := 0
			for _, n := range uses {
				most = max(most, n)
			}
			// In a small pool the least subset of each of 1,000 nodes exceeds the
			// connections.
			if most > 200 && c.targets >= 20 {
				t.Fatalf("%d connections to a target that accepts 200", most)
			}
			if len(uses) != c.targets {
				t.Fatalf("only %d of %d targets are used", len(uses), c.targets)
			}
		})
	}
}

func TestSubsetChangesLittleWhenATargetDrains(t *testing.T) {
	list := members(30)
	before := balance.NewPool(list, 0, "node", 1000).Keys()
	list[7].Draining = true
	after := balance.NewPool(list, 0, "node", 1000).Keys()
	changed := 0
	for _, a := range after {
		if !slices.Contains(before, a) {
			changed++
		}
	}
	if changed > 1 {
		t.Fatalf("%d of %d targets changed when one drains", changed, len(after))
	}
}

// pickTime returns the time of a pick among n targets in nanoseconds.
func pickTime(n int) float64 {
	pool := balance.NewPool(members(n), 0, "n", 1)
	rng := rand.New(rand.NewPCG(1, 1))
	r := testing.Benchmark(func(b *testing.B) {
		for range b.N {
			p, _ := pool.Pick(rng.Uint64, nil, nil)
			p.Release()
		}
	})
	return float64(r.T.Nanoseconds()) / float64(r.N)
}

func TestPickGuard(t *testing.T) {
	pool := balance.NewPool(members(300), 0, "n", 1)
	rng := rand.New(rand.NewPCG(1, 1))
	allocs := testing.AllocsPerRun(1000, func() {
		p, _ := pool.Pick(rng.Uint64, nil, nil)
		p.Release()
	})
	if allocs != 0 {
		t.Fatalf("%v allocations per pick", allocs)
	}
	small, large := pickTime(6), pickTime(300)
	t.Logf("6 targets %.0f ns, 300 targets %.0f ns", small, large)
	if large > 4*small {
		t.Fatalf("a pick among 300 targets takes %.1f times as long as one among 6", large/small)
	}
}
