// SPDX-License-Identifier: Apache-2.0

package dispatch_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"ploverjunction.example/ploverjunction/internal/dispatch"
)

// targetsInHalls returns targets in data halls named a, b and so on.
func targetsInHalls(counts ...int) []dispatch.Target {
	var out []dispatch.Target
	for hall, n := range counts {
		for range n {
			out = append(out, dispatch.Target{
				Key:      fmt.Sprintf("t%d", len(out)),
				DataHall: hallName(hall),
				Slots:    3,
			})
		}
	}
	return out
}

// sizeByHall returns the numbers of targets and of their slots, 3 each, by data hall.
func sizeByHall(counts ...int) map[string]dispatch.HallSize {
	out := map[string]dispatch.HallSize{}
	for _, t := range targetsInHalls(counts...) {
		s := out[t.DataHall]
		s.Targets++
		s.Slots += t.Slots
		out[t.DataHall] = s
	}
	return out
}

func ExamplePartition() {
	fmt.Println(dispatch.Partition(sizeByHall(92, 94, 89, 72, 84), 0))
	fmt.Println(dispatch.Partition(sizeByHall(27, 28, 29), 0))
	fmt.Println(dispatch.Partition(sizeByHall(27, 28, 29), 80))
	// Output:
	// [a b c d e]
	// []
	// [a b c]
}

func TestPartition(t *testing.T) {
	tests := []struct {
		name     string
		counts   []int
		minSlots int
		want     []string
	}{
		{
			name: "no targets",
		},
		{
			name:   "one data hall",
			counts: []int{400},
		},
		{
			name:   "thirty targets in nine data halls",
			counts: []int{4, 4, 4, 3, 3, 3, 3, 3, 3},
		},
		{
			name:   "one data hall has few",
			counts: []int{90, 90, 12},
		},
		{
			name:   "enough in each",
			counts: []int{30, 31},
			want:   []string{"a", "b"},
		},
		{
			name:     "slots do not count without the setting",
			counts:   []int{29, 31},
			minSlots: 0,
		},
		{
			name:     "enough slots in each",
			counts:   []int{27, 28},
			minSlots: 80,
			want:     []string{"a", "b"},
		},
		{
			name:     "one slot too few in one data hall",
			counts:   []int{26, 90},
			minSlots: 79,
		},
		{
			name:     "enough targets where slots are too few",
			counts:   []int{30, 40},
			minSlots: 100,
			want:     []string{"a", "b"},
		},
		{
			name:     "targets in one data hall, slots in the other",
			counts:   []int{30, 28},
			minSlots: 80,
			want:     []string{"a", "b"},
		},
		{
			name:     "enough slots on too few targets",
			counts:   []int{11, 40},
			minSlots: 30,
		},
		{
			name:     "enough slots on just enough targets",
			counts:   []int{12, 40},
			minSlots: 30,
			want:     []string{"a", "b"},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if got := dispatch.Partition(sizeByHall(tt.counts...), tt.minSlots); !slices.Equal(got, tt.want) {
				t.Errorf("got %v, want %v", got, tt.want)
			}
		})
	}
}

// A non-queueing request without a free target changes neither the queue nor the retry budget nor
// the counts of refusals.
func TestNonQueueingRequestLeavesNoTrace(t *testing.T) {
	d := newScheduler(dispatch.Target{
		Key:      "only",
		DataHall: "a",
		Slots:    1,
	})
	// Waiting requests pay for retries.
	for n := range uint64(20) {
		d.RequestGrant(start, newRequest(start, 100+n))
	}
	before := d.Status(start)
	for n := range uint64(20) {
		a := newRequest(start, 200+n)
		a.NonQueueing = true
		a.Retry = n%2 == 1
		if g := d.RequestGrant(start, a); g.Decision != dispatch.NoneFree {
			t.Fatalf("request %d: %v", n, g.Decision)
		}
	}
	after := d.Status(start)
	if before.Requests != after.Requests || before.RetriesLeft != after.RetriesLeft || after.Waiting != before.Waiting {
		t.Errorf("before %+v, after %+v", before, after)
	}
}

// The partitions of a service together send no more retries than the service may, however load and
// failures are distributed over them.
func TestPartitionsShareRetryBudget(t *testing.T) {
	t.Parallel()
	const (
		parts   = 5
		reserve = 630
		share   = 0.2
		window  = 10 * time.Second
	)
	tests := []struct {
		name string
		// load is the number of requests of each partition per step.
		load [parts]int
	}{
		{
			name: "even",
			load: [parts]int{1, 1, 1, 1, 1},
		},
		{
			name: "one partition has nearly all",
			load: [parts]int{16, 1, 1, 1, 1},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			desks := make([]*dispatch.Scheduler, parts)
			for i := range desks {
				desks[i] = dispatch.NewScheduler(start, dispatch.Budget{
					Share:   share,
					Reserve: reserve / parts,
					Window:  window,
				}, func() float64 { return 0 })
				desks[i].Configure(start, targetsInHalls(30))
			}
			firsts, retries := 0, 0
			n := uint64(0)
			for now := start; now.Before(start.Add(window)); now = now.Add(10 * time.Millisecond) {
				for i, d := range desks {
					for range tt.load[i] {
						n++
						d.RequestGrant(now, newRequest(now, n))
						firsts++
						for range 3 {
							n++
							a := newRequest(now, n)
							a.Repeatable, a.Retry = true, true
							if g := d.RequestGrant(now, a); g.Decision != dispatch.OverBudget {
								retries++
							}
						}
					}
					d.Advance(now)
				}
			}
			if most := share*float64(firsts) + reserve; float64(retries) > most {
				t.Errorf("%d retries for %d first attempts, want at most %.0f", retries, firsts, most)
			}
			if retries == 0 {
				t.Error("no retries at all")
			}
		})
	}
}
