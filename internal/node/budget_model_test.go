// SPDX-License-Identifier: Apache-2.0

package node_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"ploverjunction.example/ploverjunction/internal/entry"
	"ploverjunction.example/ploverjunction/internal/node"
	"ploverjunction.example/ploverjunction/internal/outlier"
	"ploverjunction.example/ploverjunction/internal/signal"
)

var (
	budgetSchedules = flag.Int("budget-schedules", 24, "random schedules of the retry budget")
	budgetFirst     = flag.Uint64("budget-first", 1, "seed of the first one")
)

// Bounds of the retry budget and of the disruptions of a schedule.
const (
	budgetTargets = 6
	budgetWindow  = 10 * time.Second
	budgetShare   = 0.2
	budgetReserve = 10
	budgetTries   = 3
	// backoffAsked is the backoff that a target signals while it sheds.
	backoffAsked = time.Second
)

// targetFault is a fault of some targets for a time.
type targetFault struct {
	kind    string
	targets []string
	share   float64
	at      time.Duration
	lasts   time.Duration
}

var targetFaultKinds = []string{"errors", "unreachable", "backoff", "silent"}

// budgetSchedule is a schedule whose targets have faults too.
type budgetSchedule struct {
	*limitSchedule
	targetFaults []targetFault
}

func newBudgetSchedule(seed uint64) *budgetSchedule {
	s := &budgetSchedule{
		limitSchedule: newLimitSchedule(seed, false),
	}
	s.limits = nil
	rng := rand.New(rand.NewPCG(seed, 0x44))
	for range rng.IntN(4) {
		// Most nodes are killed at the same moment.
		s.faults = append(s.faults, fleetFault{
			kind:  "kill",
			nodes: rng.Perm(scheduleNodes)[:scheduleNodes/2+rng.IntN(scheduleNodes/2+1)],
			at:    faultsFrom + time.Duration(rng.Int64N(int64(faultsTo-faultsFrom))),
			lasts: 200*time.Millisecond + time.Duration(rng.Int64N(int64(time.Second))),
		})
	}
	for range 2 + rng.IntN(4) {
		x := targetFault{
			kind:  targetFaultKinds[rng.IntN(len(targetFaultKinds))],
			share: 0.3 + 0.7*rng.Float64(),
			at:    faultsFrom + time.Duration(rng.Int64N(int64(faultsTo-faultsFrom))),
			lasts: time.Second + time.Duration(rng.Int64N(int64(8*time.Second))),
		}
		for _, i := range rng.Perm(budgetTargets)[:1+rng.IntN(budgetTargets)] {
			x.targets = append(x.targets, fmt.Sprintf("id-a%d", i))
		}
		s.targetFaults = append(s.targetFaults, x)
	}
	return s
}

// budgetFleet counts the requests of callers and the arrivals beyond the first of each.
type budgetFleet struct {
	*limitFleet
	schedule *budgetSchedule
	// asked and extra are the times of requests and of arrivals beyond the first of a request.
	asked []time.Duration
	extra []time.Duration
}

// fault returns the fault that an attempt at a target meets now, or "".
func (f *budgetFleet) fault(key string) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Since(f.started)
	for _, x := range f.schedule.targetFaults {
		if now >= x.at && now < x.at+x.lasts && slices.Contains(x.targets, key) && f.rng.Float64() < x.share {
			return x.kind
		}
	}
	return ""
}

// call simulates a request, which its caller sends once more to another node if it fails.
func (f *budgetFleet) call(i int, work time.Duration) {
	for try := range 2 {
		if f.attempts((i+try)%scheduleNodes, work) {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// attempts simulates the attempts of a request on a node.
func (f *budgetFleet) attempts(i int, work time.Duration) bool {
	f.mu.Lock()
	n, incarnation := f.nodes[i], f.incarnations[i]
	f.asked = append(f.asked, time.Since(f.started))
	f.mu.Unlock()
	if n == nil {
		return false
	}
	x := budgetRequest{
		fleet:       f,
		node:        n,
		at:          i,
		incarnation: incarnation,
	}
	deadline := time.Now().Add(3 * time.Second)
	for x.unsent < 8 && len(x.tried) < budgetTries && time.Until(deadline) > 0 {
		c, err := n.ChooseReplacement(f.ctx, len(x.tried) > 0, x.replaces, x.tried, time.Until(deadline))
		if err != nil || !x.alive() {
			return false
		}
		if x.send(c, work) {
			return true
		}
		if !x.alive() {
			return false
		}
	}
	return false
}

// budgetRequest is one request on a node.
type budgetRequest struct {
	fleet       *budgetFleet
	node        *node.FleetNode
	at          int
	incarnation uint64
	tried       []string
	unsent      int
	replaces    bool
	arrivals    int
}

func (x *budgetRequest) alive() bool {
	f := x.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.incarnations[x.at] == x.incarnation && f.nodes[x.at] == x.node
}

// send makes an attempt and reports whether it was answered well.
func (x *budgetRequest) send(c entry.Choice, work time.Duration) bool {
	f := x.fleet
	f.pause()
	if !x.node.Permits(c) {
		x.unsent++
		x.replaces = true
		c.Done(outlier.Result{
			Ignored: true,
		}, 0)
		return false
	}
	x.replaces = false
	x.tried = append(x.tried, c.Key)
	kind := f.fault(c.Key)
	if kind == "unreachable" {
		c.Done(outlier.Result{
			Failed:    true,
			Unreached: true,
		}, time.Millisecond)
		return false
	}
	x.arrive()
	var sig signal.Signal
	end := outlier.Result{}
	switch kind {
	case "errors":
		work = time.Millisecond
		end.Failed = true
	case "silent":
		work = time.Second
		end.Failed = true
	case "backoff":
		work = time.Millisecond
		end.Shed, end.Failed = true, true
		sig.Backoff = backoffAsked
	}
	time.Sleep(work)
	if !x.alive() {
		return true
	}
	x.node.Observe(c, sig)
	c.Done(end, work)
	return !end.Failed
}

func (x *budgetRequest) arrive() {
	f := x.fleet
	x.arrivals++
	if x.arrivals == 1 {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.extra = append(f.extra, time.Since(f.started))
}

// worst returns the greatest ratio of arrivals beyond the first of a request to the allowed number
// in any window. The requests are those of the window, of the preceding one or of the one half a
// window before, whichever holds most.
func (f *budgetFleet) worst() (ratio float64, at time.Duration, got int, allowed float64) {
	within := func(list []time.Duration, from, to time.Duration) int {
		n := 0
		for _, t := range list {
			if t >= from && t < to {
				n++
			}
		}
		return n
	}
	for _, from := range f.extra {
		requests := 0
		for _, back := range []time.Duration{0, budgetWindow / 2, budgetWindow} {
			requests = max(requests, within(f.asked, from-back, from-back+budgetWindow))
		}
		n := within(f.extra, from, from+budgetWindow)
		bound := budgetShare*float64(requests) + budgetReserve
		if r := float64(n) / bound; r > ratio {
			ratio, at, got, allowed = r, from, n, bound
		}
	}
	return ratio, at, got, allowed
}

// Whatever happens to nodes, their network and targets, arrivals at a service beyond the first of
// each request must stay within the retry budget.
func TestRetryBudgetUnderRandomSchedules(t *testing.T) {
	var mu sync.Mutex
	var ratios []float64
	t.Run("schedules", func(t *testing.T) {
		n := *budgetSchedules
		if raceDetector {
			// Schedules take 50 times as long with the race detector.
			n = min(n, 4)
		}
		for i := range n {
			seed := *budgetFirst + uint64(i)
			t.Run(fmt.Sprint(seed), func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) {
					s := newBudgetSchedule(seed)
					f := &budgetFleet{
						limitFleet: newLimitFleet(t, s.limitSchedule, budgetTargets),
						schedule:   s,
					}
					f.play(t, f.call)
					ratio, at, got, allowed := f.worst()
					if ratio > 1 {
						t.Errorf("%d arrivals beyond the first in the %v from %v, %.0f allowed: faults %+v, of targets %+v", got, budgetWindow, at, allowed, s.faults, s.targetFaults)
					}
					mu.Lock()
					defer mu.Unlock()
					ratios = append(ratios, ratio)
				})
			})
		}
	})
	slices.Sort(ratios)
	t.Logf("%d schedules: greatest ratio to the allowed number: median %.2f, maximum %.2f", len(ratios), ratios[len(ratios)/2], ratios[len(ratios)-1])
}
