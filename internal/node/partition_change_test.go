// SPDX-License-Identifier: Apache-2.0

package node_test

import (
	"bytes"
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"ploverjunction.example/ploverjunction/internal/node"
	"ploverjunction.example/ploverjunction/internal/outlier"
	"ploverjunction.example/ploverjunction/internal/task"
)

// The setting for slots must divide a service, at the same number of slots on every node, and only
// with enough targets.
func TestServiceIsDividedBySlots(t *testing.T) {
	tests := []struct {
		targets int
		setting int
		home    string
	}{
		{targets: 13, setting: 0, home: ""},
		{targets: 13, setting: 13 * slots, home: "a"},
		{targets: 13, setting: 13*slots + 1, home: ""},
		{targets: 11, setting: 1, home: ""},
	}
	for _, tt := range tests {
		c := node.NewChooser("quotes", twoHalls(tt.targets))
		c.SetPartitionSlots(tt.setting)
		if got := c.Home(); got != tt.home {
			t.Errorf("%d targets, setting %d: home %q, want %q", tt.targets, tt.setting, got, tt.home)
		}
	}
}

// Guards against a dispatcher that grants more than its part of the reserve because it has not
// received the configuration in which the service is partitioned.
func TestReserveOfPartitionBeforeItsConfiguration(t *testing.T) {
	entries := twoHalls(4)
	entries[0].Value = bytes.Replace(entries[0].Value, []byte(`"dataHall":"b"`), []byte(`"dataHall":"c"`), 2)
	c := node.NewChooser("quotes", entries)
	_, reserve, _ := c.Budget()
	if c.Home() != "" {
		t.Fatal("the service is partitioned")
	}
	if got := c.ReserveOf("a"); got != reserve/3 {
		t.Errorf("the partition of one of three data halls has a reserve of %.1f of %.1f", got, reserve)
	}
}

// attemptTimes are when requests arrived and when retries were granted.
type attemptTimes struct {
	mu       sync.Mutex
	requests []time.Time
	retries  []time.Time
	refused  int
	// running are the attempts at each target, most the greatest number of them.
	running map[string]int
	most    int
}

// run runs an attempt at a target.
func (a *attemptTimes) run(target string, work time.Duration) {
	a.mu.Lock()
	a.running[target]++
	a.most = max(a.most, a.running[target])
	a.mu.Unlock()
	time.Sleep(work)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.running[target]--
}

func (a *attemptTimes) record(now time.Time, retry bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if retry {
		a.retries = append(a.retries, now)
		return
	}
	a.requests = append(a.requests, now)
}

// within counts the times from from until before until.
func within(times []time.Time, from, until time.Time) (n int) {
	for _, at := range times {
		if !at.Before(from) && at.Before(until) {
			n++
		}
	}
	return n
}

// Guards against requests that are granted twice or never answered, slots that stay occupied, and
// retries beyond the budget, when a service crosses the threshold for partitions in both directions
// while requests wait and run.
func TestPartitionChangeUnderLoad(t *testing.T) {
	const (
		few, many = 12, 13
		threshold = many * slots
		work      = 300 * time.Millisecond
		wait      = 800 * time.Millisecond
		// gap keeps about a quarter more work coming than few targets have slots for.
		gap    = 3300 * time.Microsecond
		length = 24 * time.Second
		period = 1700 * time.Millisecond
	)
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		c := node.NewChooser("quotes", twoHalls(few))
		c.SetPartitionSlots(threshold)
		var serving task.Group
		serving.Go(ctx, "dispatching", c.Run)
		var requests sync.WaitGroup
		times := attemptTimes{
			running: map[string]int{},
		}
		started := time.Now()
		changes, nextChange, divided := 0, started.Add(period), 0
		for i := 0; time.Since(started) < length; i++ {
			if !time.Now().Before(nextChange) {
				waiting, running, _ := c.Open()
				if waiting == 0 || running == 0 {
					t.Errorf("change %d: %d requests wait, %d run: the change is not under load", changes, waiting, running)
				}
				changes++
				entries := twoHalls(few)
				if changes%2 == 1 {
					entries = twoHalls(many)
				}
				entries[0].Revision = uint64(changes + 1)
				c.Offer(entries...)
				nextChange = nextChange.Add(period)
				if c.Home() != "" {
					divided++
				}
			}
			requests.Go(func() {
				// Each third request fails at its target until its retries are over.
				times.record(time.Now(), false)
				for try := range 3 {
					choice, err := c.ChooseFor(ctx, wait, try > 0)
					if err != nil {
						times.mu.Lock()
						times.refused++
						times.mu.Unlock()
						return
					}
					if try > 0 {
						times.record(time.Now(), true)
					}
					times.run(choice.Key, work)
					failed := i%3 == 0
					choice.Done(outlier.Result{
						Failed: failed,
					}, work)
					if !failed {
						return
					}
				}
			})
			time.Sleep(gap)
		}
		requests.Wait()
		time.Sleep(time.Second)
		waiting, running, schedulers := c.Open()
		if waiting > 0 || running > 0 {
			t.Errorf("%d requests wait and %d run after the end of all, at %d schedulers", waiting, running, schedulers)
		}
		if changes < 12 || divided < 6 || schedulers < 2 {
			t.Errorf("%d changes, %d to partitions, %d schedulers", changes, divided, schedulers)
		}
		share, reserve, window := c.Budget()
		worst := 0.0
		for _, at := range times.retries {
			from, until := at.Add(-window), at.Add(1)
			requests, retries := within(times.requests, from, until), within(times.retries, from, until)
			worst = max(worst, float64(retries)/(share*float64(requests)+reserve))
		}
		t.Logf("%d requests, %d retries, %d refused, at most %.2f of the budget, at most %d attempts at a target", len(times.requests), len(times.retries), times.refused, worst, times.most)
		// The schedulers before and after a change don't know of each other's attempts.
		if times.most > 2*slots {
			t.Errorf("%d attempts at a target of %d slots", times.most, slots)
		}
		if worst > 1 {
			t.Errorf("retries reach %.2f of the budget", worst)
		}
		if len(times.retries) == 0 || times.refused == 0 {
			t.Error("no retries or no refusals: the budget and the slots were not tried")
		}
		cancel()
		if err := serving.Wait(); err != nil {
			t.Error(err)
		}
	})
}
