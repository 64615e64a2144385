// SPDX-License-Identifier: Apache-2.0

package dispatch_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"ploverjunction.example/ploverjunction/internal/dispatch"
)

// Retries stay within the share and the reserve however many requests fail.
func TestRetriesStayWithinBudget(t *testing.T) {
	d := newScheduler(pool(20)...)
	now := start
	firsts, retries := 0, 0
	for n := range uint64(400) {
		now = now.Add(20 * time.Millisecond)
		a := newRequest(now, 2*n)
		a.Repeatable = true
		g := d.RequestGrant(now, a)
		firsts++
		d.Done(now, g.ID, g.Target, dispatch.ResultBad, 0)
		b := newRequest(now, 2*n+1)
		b.Repeatable, b.Retry = true, true
		if g := d.RequestGrant(now, b); g.Decision == dispatch.Granted {
			retries++
			d.Done(now, g.ID, g.Target, dispatch.ResultBad, 0)
		}
	}
	if most := 0.2*float64(firsts) + 50; float64(retries) > most || retries < 60 {
		t.Fatalf("%d retries of %d requests, want 60 to %v", retries, firsts, most)
	}
}

// Hedges of slow requests leave retries for requests that failed.
func TestHedgesLeaveBudgetForFailedRequests(t *testing.T) {
	d := newScheduler(pool(20)...)
	now := start
	// The reserve grows with the time since the node became the dispatcher.
	for n := range uint64(25) {
		g := d.RequestGrant(now, newRequest(now, 2000+n))
		d.Done(now, g.ID, g.Target, dispatch.ResultGood, 200*time.Millisecond)
		now = now.Add(500 * time.Millisecond)
	}
	hedges := 0
	for n := range uint64(100) {
		a := newRequest(now, n)
		a.Repeatable, a.Retry, a.Hedge, a.Age = true, true, true, 900*time.Millisecond
		if g := d.RequestGrant(now, a); g.Decision == dispatch.Granted {
			hedges++
			d.Done(now, g.ID, g.Target, dispatch.ResultIgnored, 0)
		}
	}
	a := newRequest(now, 1000)
	a.Repeatable, a.Retry = true, true
	if g := d.RequestGrant(now, a); hedges == 0 || g.Decision != dispatch.Granted {
		t.Fatalf("after %d hedges the retry of a failed request is %v", hedges, g.Decision)
	}
}

// The reserve of the retry budget is not granted anew each time the dispatcher role moves.
func TestNewDispatcherGetsNoNewReserve(t *testing.T) {
	retries := 0
	number := uint64(0)
	for move := range 6 {
		now := start.Add(time.Duration(move) * 1500 * time.Millisecond)
		d := dispatch.NewScheduler(now, dispatch.Budget{
			Share:   0.2,
			Reserve: 50,
			Window:  10 * time.Second,
		}, rand.New(rand.NewPCG(1, 2)).Float64)
		d.Configure(now, pool(20))
		for range 60 {
			number++
			a := newRequest(now, number)
			a.Repeatable, a.Retry = true, true
			if g := d.RequestGrant(now, a); g.Decision == dispatch.Granted {
				retries++
				d.Done(now, g.ID, g.Target, dispatch.ResultBad, 0)
			}
			now = now.Add(20 * time.Millisecond)
		}
	}
	if retries > 50 {
		t.Fatalf("%d retries in 10 s, the reserve is 50", retries)
	}
}

// The role moves after quiet seconds, while targets refuse most requests. All dispatchers together
// stay within the budget in each window, although the first may have spent what the quiet seconds
// saved.
func TestBudgetHoldsAcrossDispatchers(t *testing.T) {
	const (
		nodes = 10
		moves = 5
	)
	budget := dispatch.Budget{
		Share:   0.2,
		Reserve: 50,
		Window:  10 * time.Second,
	}
	ledgers := make([]*dispatch.Ledger, nodes)
	for i := range ledgers {
		ledgers[i] = dispatch.NewLedger(start, budget)
	}
	var firsts, retries []time.Time
	now, number := start, uint64(0)
	for move := range moves {
		name := fmt.Sprintf("dispatcher-%d", move)
		d := dispatch.NewScheduler(now, budget, rand.New(rand.NewPCG(1, 2)).Float64)
		d.Configure(now, pool(20))
		requests := 250
		if move == 0 {
			requests = 1200
		}
		for n := range requests {
			now = now.Add(10 * time.Millisecond)
			result := dispatch.ResultShed
			if move == 0 && n < 1000 {
				result = dispatch.ResultGood
			}
			ledger := ledgers[number%nodes]
			for attempt := range 3 {
				number++
				a := newRequest(now, number)
				a.ID.Node = fmt.Sprintf("node-%d", number%nodes)
				a.Retry = attempt > 0
				a.RemoteGrants = ledger.RemoteGrants(now, name)
				g := d.RequestGrant(now, a)
				if g.Decision != dispatch.Granted {
					break
				}
				ledger.Record(now, dispatch.Dispatcher{
					Address: name,
				}, a.Retry)
				d.Done(now, g.ID, g.Target, result, 0)
				if a.Retry {
					retries = append(retries, now)
				} else {
					firsts = append(firsts, now)
				}
				if result == dispatch.ResultGood {
					break
				}
			}
		}
	}
	within := func(list []time.Time, end time.Time) int {
		n := 0
		for _, at := range list {
			if !at.After(end) && end.Sub(at) < budget.Window {
				n++
			}
		}
		return n
	}
	for _, end := range retries {
		most := budget.Share*float64(within(firsts, end)) + budget.Reserve
		if n := within(retries, end); float64(n) > most {
			t.Fatalf("%d retries in the window before %v, want at most %.0f", n, end.Sub(start), most)
		}
	}
}

// Dispatchers that serve at the same time, as where datagrams are lost, must not each spend what the
// first attempts at all of them pay for.
func TestConcurrentDispatchersShareTheBudget(t *testing.T) {
	const (
		nodes       = 200
		dispatchers = 4
		quiet       = 1000
		failing     = 200
	)
	budget := dispatch.Budget{
		Share:   0.2,
		Reserve: 50,
		Window:  10 * time.Second,
	}
	rng := rand.New(rand.NewPCG(1, 2))
	schedulers := make([]*dispatch.Scheduler, dispatchers)
	for i := range schedulers {
		schedulers[i] = dispatch.NewScheduler(start, budget, rng.Float64)
		schedulers[i].Configure(start, pool(20))
	}
	ledgers := make([]*dispatch.Ledger, nodes)
	for i := range ledgers {
		ledgers[i] = dispatch.NewLedger(start, budget)
	}
	now, number, retries := start, uint64(0), 0
	pause := 10 * time.Millisecond
	for n := range quiet + failing {
		now = now.Add(pause)
		if n == quiet {
			// Each node reports to a dispatcher what the others granted it with its next request.
			pause = time.Millisecond
		}
		node := n % nodes
		for attempt := range 3 {
			number++
			i := rng.IntN(dispatchers)
			name := fmt.Sprintf("dispatcher-%d", i)
			a := newRequest(now, number)
			a.ID.Node = fmt.Sprintf("node-%d", node)
			a.Retry = attempt > 0
			a.RemoteGrants = ledgers[node].RemoteGrants(now, name)
			g := schedulers[i].RequestGrant(now, a)
			if g.Decision != dispatch.Granted {
				break
			}
			ledgers[node].Record(now, dispatch.Dispatcher{
				Address: name,
			}, a.Retry)
			if a.Retry {
				retries++
			}
			if n < quiet {
				schedulers[i].Done(now, g.ID, g.Target, dispatch.ResultGood, 0)
				break
			}
			schedulers[i].Done(now, g.ID, g.Target, dispatch.ResultShed, 0)
		}
	}
	if most := budget.Share*quiet + budget.Reserve; float64(retries) > most {
		t.Errorf("%d retries in the window, %v are allowed", retries, most)
	}
}

// A dispatcher that was restarted at its address must not spend again what the process before it
// had spent.
func TestRestartedDispatcherGetsNoNewBudget(t *testing.T) {
	const requests = 100
	budget := dispatch.Budget{
		Share:   0.2,
		Reserve: 50,
		Window:  10 * time.Second,
	}
	ledger := dispatch.NewLedger(start, budget)
	const address = "192.0.2.1:1"
	for range requests {
		for _, retry := range []bool{false, true} {
			ledger.Record(start, dispatch.Dispatcher{
				Address:     address,
				Incarnation: 1,
			}, retry)
		}
	}
	if got := ledger.RemoteGrants(start, address); got != (dispatch.AttemptCounts{}) {
		t.Errorf("reported to the dispatcher itself: %+v", got)
	}
	ledger.Record(start, dispatch.Dispatcher{
		Address:     address,
		Incarnation: 2,
	}, false)
	want := dispatch.AttemptCounts{
		Firsts:  requests,
		Retries: requests,
	}
	if got := ledger.RemoteGrants(start, address); got != want {
		t.Errorf("reported to the next process at the address: %+v, want %+v", got, want)
	}
}

// A fleet that is killed together must not spend again, in the same window, what nobody remembers.
func TestKilledFleetGetsNoNewBudget(t *testing.T) {
	const (
		before = 10 * time.Second
		after  = 9 * time.Second
		pause  = 10 * time.Millisecond
	)
	budget := dispatch.Budget{
		Share:   0.2,
		Reserve: 50,
		Window:  10 * time.Second,
	}
	number, retries := uint64(0), 0
	for restart, length := range []time.Duration{before, after} {
		begun := start.Add(time.Duration(restart) * before)
		d := dispatch.NewScheduler(begun, budget, rand.New(rand.NewPCG(1, 2)).Float64)
		d.Configure(begun, pool(20))
		for at := time.Duration(0); at < length; at += pause {
			now := begun.Add(at)
			// The requests of the last second before the kill fail, and all those after it.
			failing := restart > 0 || at >= before-time.Second
			for attempt := range 3 {
				number++
				a := newRequest(now, number)
				a.Retry = attempt > 0
				a.Unrecorded = restart > 0
				g := d.RequestGrant(now, a)
				if g.Decision != dispatch.Granted {
					break
				}
				if a.Retry {
					retries++
				}
				if !failing {
					d.Done(now, g.ID, g.Target, dispatch.ResultGood, 0)
					break
				}
				d.Done(now, g.ID, g.Target, dispatch.ResultShed, 0)
			}
		}
	}
	if most := budget.Share*float64(budget.Window/pause) + budget.Reserve; float64(retries) > most {
		t.Errorf("%d retries in the %v around the kill, %v are allowed", retries, budget.Window, most)
	}
}

// While the nodes of a fleet restart one after another, their requests must still pay for retries.
func TestRestartedNodesPayForRetries(t *testing.T) {
	const requests = 300
	d := newScheduler(pool(20)...)
	now := start
	for n := range uint64(2 * requests) {
		now = now.Add(50 * time.Millisecond)
		a := newRequest(now, n)
		a.Unrecorded = n >= requests
		g := d.RequestGrant(now, a)
		d.Done(now, g.ID, g.Target, dispatch.ResultGood, 0)
	}
	if left := d.Status(now).RetriesLeft; left < 0.9*0.2*200 {
		t.Errorf("%.0f retries left after 200 requests in the window", left)
	}
}
