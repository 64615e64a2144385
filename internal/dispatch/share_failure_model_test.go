// SPDX-License-Identifier: Apache-2.0

package dispatch_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"ploverjunction.example/ploverjunction/internal/dispatch"
	"ploverjunction.example/ploverjunction/internal/signal"
)

// targetQueue is the length of the queue of a target, aloneNodes the number of nodes that choose alone
// in the tests in which some do, and aloneShare their share of the requests.
const (
	targetQueue = 24
	aloneNodes  = 8
	aloneShare  = 0.1
)

// shareDispatcher is a dispatcher of the simulated service, or a node that chooses alone.
type shareDispatcher struct {
	*dispatch.Scheduler
	alone bool
	// lost is set once it neither answers nor receives messages.
	lost bool
	// inFlight counts the attempts that it granted at each target, running those of each workspace
	// and waiting its queued requests.
	inFlight, running, waiting map[string]int
}

// shareTarget is a target, which holds requests beyond its slots in a queue.
type shareTarget struct {
	running int
	queue   []func()
}

// newDispatcher adds a dispatcher without any state.
func (s *shareSimulation) newDispatcher(stream uint64) *shareDispatcher {
	random := rand.New(rand.NewPCG(s.seed, stream)).Float64
	if s.constantRandom {
		random = func() float64 { return 0.5 }
	}
	d := &shareDispatcher{
		Scheduler: dispatch.NewScheduler(s.clock(), dispatch.Budget{
			Share:   0.2,
			Reserve: 190,
			Window:  10 * time.Second,
		}, random),
		inFlight: map[string]int{},
		running:  map[string]int{},
		waiting:  map[string]int{},
	}
	d.SetWeights(func(workspace string) float64 { return s.weights[workspace] })
	var list []dispatch.Target
	for i := range s.targets {
		list = append(list, dispatch.Target{
			Key:      fmt.Sprint("t", i),
			DataHall: hallName(i % s.halls),
			Slots:    s.slots,
		})
	}
	d.Configure(s.clock(), list)
	s.dispatchers = append(s.dispatchers, d)
	return d
}

func (s *shareSimulation) setQueued(r *shareRequest, queued bool) {
	if r.queued == queued {
		return
	}
	n := 1
	if !queued {
		n = -1
	}
	r.queued = queued
	s.queued += n
	r.by.waiting[r.client.workspace] += n
}

// serve runs a request at a target for a time, once it has a slot, and calls end. It returns false if
// the queue of the target is full.
func (s *shareSimulation) serve(key string, took time.Duration, end func()) bool {
	t := s.at[key]
	run := func() {
		t.running++
		s.after(took, func() {
			t.running--
			if len(t.queue) > 0 {
				next := t.queue[0]
				t.queue = t.queue[1:]
				next()
			}
			end()
		})
	}
	switch {
	case t.running < s.slots:
		run()
	case len(t.queue) < targetQueue:
		t.queue = append(t.queue, run)
	default:
		return false
	}
	return true
}

// load returns the load that a target reports.
func (s *shareSimulation) load(key string) signal.Load {
	t := s.at[key]
	return signal.Load{
		Running: t.running,
		Waiting: len(t.queue),
		Slots:   s.slots,
	}
}

// Times after which nodes consider a dispatcher lost, as in package node.
const (
	// answerTimeout holds for a request that has had no answer, with the time to the next send of it.
	answerTimeout = 75 * time.Millisecond
	// queuedTimeoutFrom and queuedTimeoutTo bound that of a queued request, which is repeated every 100 ms.
	queuedTimeoutFrom = 300 * time.Millisecond
	queuedTimeoutTo   = 400 * time.Millisecond
	queuedInterval    = 100 * time.Millisecond
	// suspectedTime is the time for which the nodes try the lost dispatcher first: each has to see for
	// itself that it does not answer, unless the membership says so earlier.
	suspectedTime = time.Second
)

// lose replaces a dispatcher by one without any state. Nodes repeat their waiting requests to that one
// with all fields. Attempts under way go on.
func (s *shareSimulation) lose(old, next *shareDispatcher) {
	old.lost = true
	lostAt := s.now
	s.dispatcherOf = func(*shareRequest) *shareDispatcher { return next }
	s.delay = func() time.Duration {
		if s.now < lostAt+suspectedTime {
			return answerTimeout
		}
		return 0
	}
	s.repeat(old, next, queuedTimeoutFrom, queuedTimeoutTo)
}

// repeat sends the requests that wait at a dispatcher to another one, each after a time within bounds.
func (s *shareSimulation) repeat(from, to *shareDispatcher, least, most time.Duration) {
	for _, n := range slices.Sorted(maps.Keys(s.requests)) {
		r := s.requests[n]
		if r.by != from || !r.queued {
			continue
		}
		s.after(least+time.Duration(s.rng.Int64N(int64(most-least))), func() {
			if !r.queued {
				return
			}
			s.setQueued(r, false)
			if !from.lost {
				s.start(from, from.Cancel(s.clock(), r.request.ID))
			}
			s.requestFrom(r, to)
		})
	}
}

// split sends the requests of part of the nodes to others than the first dispatcher for a time. Nodes
// then repeat what waits at a dispatcher that is not the first of the rank any more.
func (s *shareSimulation) split(part float64, others []*shareDispatcher, d time.Duration) {
	usual := s.dispatcherOf
	s.dispatcherOf = func(r *shareRequest) *shareDispatcher {
		if s.rng.Float64() < part {
			return others[s.rng.IntN(len(others))]
		}
		return usual(r)
	}
	s.after(d, func() {
		s.dispatcherOf = usual
		for _, from := range others {
			s.repeat(from, usual(nil), 0, queuedInterval)
		}
	})
}

// shareFailure is a failure of a fleet that shares slots.
type shareFailure struct {
	name string
	// lasts is the time for which it lasts.
	lasts time.Duration
	begin func(s *shareSimulation)
}

// shareFailures are the failures that shares must survive.
var shareFailures = []shareFailure{
	{
		name:  "dispatcher lost",
		lasts: queuedTimeoutTo,
		begin: func(s *shareSimulation) { s.lose(s.dispatcherOf(nil), s.newDispatcher(21)) },
	},
	{
		name:  "two dispatchers",
		lasts: 3 * time.Second,
		begin: func(s *shareSimulation) { s.split(0.5, []*shareDispatcher{s.newDispatcher(22)}, 3*time.Second) },
	},
	{
		name:  "nodes choose alone",
		lasts: 3 * time.Second,
		begin: func(s *shareSimulation) {
			var alone []*shareDispatcher
			for i := range aloneNodes {
				d := s.newDispatcher(30 + uint64(i))
				d.alone = true
				alone = append(alone, d)
			}
			s.split(aloneShare, alone, 3*time.Second)
		},
	},
}
