// SPDX-License-Identifier: Apache-2.0

package dispatch_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"ploverjunction.example/ploverjunction/internal/dispatch"
)

// sparseService models a service with so many targets that its requests reach few of them within the
// time of the floor. Some targets are gray at any time: they fail a share of their requests.
type sparseService struct {
	targets int
	// rate is in requests per second.
	rate float64
	// gray is the share of targets that are gray at any time. Which ones are is drawn anew every
	// period. fails is the share of requests that they fail.
	gray   float64
	period time.Duration
	fails  float64
	// joins is the number of targets added at sparseJoins.
	joins int
}

// Times of the model.
const (
	sparseWarm  = 5 * time.Second
	sparseEnd   = 25 * time.Second
	sparseWork  = 230 * time.Millisecond
	sparseJoins = 12 * time.Second
)

// sparseResult is the result of a simulation.
type sparseResult struct {
	served, all int
	// earlyServed and earlyAll are the same for the first seconds.
	earlyServed, earlyAll int
	// waited is the mean wait for a target, in seconds.
	waited float64
	// unused counts the new targets without a request within six seconds.
	unused int
}

func (p *sparseResult) count(warm, good bool) {
	all, served := &p.earlyAll, &p.earlyServed
	if warm {
		all, served = &p.all, &p.served
	}
	*all++
	if good {
		*served++
	}
}

// pool returns n targets with keys numbered from first.
func (s *sparseService) pool(first, n int) []dispatch.Target {
	var out []dispatch.Target
	for i := range n {
		out = append(out, dispatch.Target{
			Key:   fmt.Sprintf("t%d", first+i),
			Slots: 3,
		})
	}
	return out
}

// grayAt reports whether a target is gray at a time.
func (s *sparseService) grayAt(key string, seed uint64, at time.Duration) bool {
	phase := uint64(at / s.period)
	rng := rand.New(rand.NewPCG(seed+phase, uint64(len(key))*1_000_003+hashKey(key)))
	return rng.Float64() < s.gray
}

func hashKey(key string) uint64 {
	h := uint64(14695981039346656037)
	for _, c := range []byte(key) {
		h = (h ^ uint64(c)) * 1099511628211
	}
	return h
}

func (s *sparseService) simulate(seed uint64) sparseResult {
	rng := rand.New(rand.NewPCG(seed, 586))
	d := dispatch.NewScheduler(start, dispatch.Budget{
		Share:   0.2,
		Reserve: 100,
		Window:  10 * time.Second,
	}, rng.Float64)
	d.Configure(start, s.pool(0, s.targets))
	d.SetFloor(floorShare)
	var out sparseResult
	var events eventQueue
	firstGrant := map[string]time.Duration{}
	arrived := map[dispatch.ID]time.Duration{}
	totalWait := 0.0
	number := uint64(0)
	var granted func(at time.Duration, g dispatch.Grant)
	all := func(at time.Duration, grants []dispatch.Grant) {
		for _, g := range grants {
			granted(at, g)
		}
	}
	// granted simulates the attempt of a granted request.
	granted = func(at time.Duration, g dispatch.Grant) {
		warm := arrived[g.ID] > sparseWarm
		switch g.Decision {
		case dispatch.Queued:
			return
		case dispatch.Granted:
		default:
			out.count(warm, false)
			return
		}
		totalWait += (at - arrived[g.ID]).Seconds()
		if _, known := firstGrant[g.Target]; !known {
			firstGrant[g.Target] = at
		}
		good := !s.grayAt(g.Target, seed, at) || rng.Float64() >= s.fails
		out.count(warm, good)
		took := time.Duration((0.6 + 0.8*rng.Float64()) * float64(sparseWork))
		heap.Push(&events, event{
			at: at + took,
			do: func() {
				r := dispatch.ResultBad
				if good {
					r = dispatch.ResultGood
				}
				all(at+took, d.Done(start.Add(at+took), g.ID, g.Target, r, took))
			},
		})
	}
	var arrive func(at time.Duration)
	arrive = func(at time.Duration) {
		number++
		id := dispatch.ID{
			Node:   "n",
			Number: number,
		}
		arrived[id] = at
		granted(at, d.RequestGrant(start.Add(at), &dispatch.Request{
			ID:           id,
			SoftDeadline: start.Add(at + 1200*time.Millisecond),
			Deadline:     start.Add(at + 8*time.Second),
		}))
		next := at + time.Duration(rng.ExpFloat64()/s.rate*float64(time.Second))
		if next < sparseEnd {
			heap.Push(&events, event{
				at: next,
				do: func() { arrive(next) },
			})
		}
	}
	var advance func(at time.Duration)
	advance = func(at time.Duration) {
		all(at, d.Advance(start.Add(at)))
		if next := at + 50*time.Millisecond; next < sparseEnd+8*time.Second {
			heap.Push(&events, event{
				at: next,
				do: func() { advance(next) },
			})
		}
	}
	advance(0)
	heap.Push(&events, event{
		at: 0,
		do: func() { arrive(0) },
	})
	heap.Push(&events, event{
		at: sparseJoins,
		do: func() { d.Update(start.Add(sparseJoins), s.pool(s.targets, s.joins), nil) },
	})
	for len(events) > 0 {
		e := heap.Pop(&events).(event)
		e.do()
	}
	out.waited = totalWait / float64(number)
	for _, t := range s.pool(s.targets, s.joins) {
		if at, used := firstGrant[t.Key]; !used || at > sparseJoins+6*time.Second {
			out.unused++
		}
	}
	return out
}

// Work is not spread over more targets than the requests suffice to estimate.
func TestSparseServiceUsesAnsweringTargets(t *testing.T) {
	tests := []struct {
		name string
		sparseService
		// early and least are the least shares of requests served in the first seconds and later.
		early, least float64
	}{
		{
			name: "three in ten permanently gray",
			sparseService: sparseService{
				targets: 720,
				rate:    212,
				gray:    0.3,
				period:  time.Hour,
				fails:   0.5,
				joins:   200,
			},
			early: 0.95,
			least: 0.97,
		},
		{
			name: "changing gray targets",
			sparseService: sparseService{
				targets: 720,
				rate:    212,
				gray:    0.3,
				period:  6 * time.Second,
				fails:   0.5,
			},
			early: 0.95,
			least: 0.95,
		},
		{
			name: "twice the targets",
			sparseService: sparseService{
				targets: 1440,
				rate:    212,
				gray:    0.3,
				period:  time.Hour,
				fails:   0.5,
				joins:   200,
			},
			early: 0.95,
			least: 0.97,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			sum := sparseResult{}
			for seed := range uint64(3) {
				p := tt.simulate(seed)
				sum.served += p.served
				sum.all += p.all
				sum.unused += p.unused
				sum.waited += p.waited
				sum.earlyAll += p.earlyAll
				sum.earlyServed += p.earlyServed
			}
			share := float64(sum.served) / float64(sum.all)
			early := float64(sum.earlyServed) / float64(sum.earlyAll)
			t.Logf("%.3f served, %.3f in the first seconds, waits of %.3f s, %d of %d new targets unused", share, early, sum.waited/3, sum.unused, 3*tt.joins)
			if early < tt.early {
				t.Errorf("%.3f served in the first seconds, want %.2f", early, tt.early)
			}
			if share < tt.least {
				t.Errorf("%.3f served, want %.2f", share, tt.least)
			}
			if sum.unused > 0 {
				t.Errorf("%d of %d new targets got no request", sum.unused, 3*tt.joins)
			}
		})
	}
}

// A new dispatcher that has counted few requests so far does not take its service for a sparse one
// and leave targets out.
func TestNewDispatcherOfABusyServiceSpreadsWork(t *testing.T) {
	const targets = 88
	d := newScheduler(pool(targets)...)
	d.SetFloor(floorShare)
	for i := range targets {
		d.RecordRemote(start, fmt.Sprintf("t%d", i), "", dispatch.ResultGood, 300*time.Millisecond)
	}
	last := map[string]time.Time{}
	from := start.Add(20 * time.Second)
	for n := range uint64(900) {
		now := from.Add(time.Duration(n) * 3 * time.Millisecond)
		g := d.RequestGrant(now, newRequest(now, n))
		last[g.Target] = now
		r := dispatch.ResultGood
		if n%3 == 0 {
			r = dispatch.ResultBad
		}
		d.Done(now, g.ID, g.Target, r, 3*time.Millisecond)
		if now.Sub(from) < 1200*time.Millisecond {
			continue
		}
		if len(last) < 80 {
			t.Fatalf("%v after the dispatcher took up its role %d of %d targets have got work", now.Sub(from), len(last), targets)
		}
	}
}
