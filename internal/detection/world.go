// SPDX-License-Identifier: Apache-2.0

package main

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"time"
)

// pool describes a service of the users. Its sizes are the users' figures; rates and
// latencies are assumptions, which the page states.
type pool struct {
	name    string
	targets int
	slots   int
	nodes   int
	halls   int
	rate    float64
	median  time.Duration
}

// Noise of healthy targets, and the deadline.
const (
	// sigma shapes the lognormal latency: 99 in 100 within 4 times the median.
	sigma = 0.6
	// errorShare is the share of requests that fail on a healthy target.
	errorShare = 0.002
	// pauseEvery is the mean time between two pauses of a target, pauseFor the length
	// of a pause.
	pauseEvery = 10 * time.Minute
	pauseFor   = 400 * time.Millisecond
	// deadline is the time limit of each request.
	deadline = 5 * time.Second
)

// kind selects the handler of an event.
type kind uint8

const (
	kindArrive kind = iota
	kindFinish
	kindExpire
	kindInterval
	kindFault
)

// event is a scheduled event of the simulation.
type event struct {
	at   time.Duration
	kind kind
	req  *request
	do   func()
}

// eventQueue is a heap of events, ordered by time.
type eventQueue []event

func (q eventQueue) Len() int           { return len(q) }
func (q eventQueue) Less(i, j int) bool { return q[i].at < q[j].at }
func (q eventQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *eventQueue) Push(x any) { *q = append(*q, x.(event)) }

// Pop implements heap.Interface.
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// request is one simulated request.
type request struct {
	node    *fakeNode
	target  *fakeTarget
	started time.Duration
	ended   bool
	failed  bool
	shed    bool
	// stuck is set if the request occupies a slot of a stalled target.
	stuck bool
	end   func(now time.Time, ok, shed bool)
}

// fakeTarget is a target with slots and a queue.
type fakeTarget struct {
	index   int
	name    string
	busy    int
	waiting []*request
	paused  time.Duration
	// stall, slow, errors and shed are the faults in force.
	stall  bool
	slow   float64
	errors float64
	shed   float64
	// cut is the set of nodes that can't reach the target.
	cut map[int]bool
}

// fakeNode is a node that sends requests to the targets that its strategy picks.
type fakeNode struct {
	index    int
	hall     int
	strategy strategy
	// ejections counts the ejections of targets by this node.
	ejections map[int]int
}

// strategy is how a node picks and ejects targets: the fleet's own way or that of a
// baseline.
type strategy struct {
	// pick returns the index of a target and the function that reports the result.
	pick func(now time.Time) (int, func(now time.Time, ok, shed bool), bool)
	// tick is called every 250 ms of simulated time.
	tick func(now time.Time)
	// ejected reports whether the node sends a target no regular requests.
	ejected func(target int) bool
}

// world is the state of a simulation; now is the simulated time since epoch.
type world struct {
	pool    pool
	rng     *rand.Rand
	now     time.Duration
	events  eventQueue
	nodes   []*fakeNode
	targets []*fakeTarget
	served  int
	failed  int
}

var epoch = time.Unix(1_700_000_000, 0)

func (w *world) clock() time.Time { return epoch.Add(w.now) }

func newWorld(p pool, seed uint64, build func(w *world)) *world {
	w := &world{
		pool: p,
		rng:  rand.New(rand.NewPCG(seed, 7)),
	}
	for i := range p.targets {
		w.targets = append(w.targets, &fakeTarget{
			index: i,
			name:  targetName(i),
			slow:  1,
			cut:   map[int]bool{},
		})
	}
	for i := range p.nodes {
		w.nodes = append(w.nodes, &fakeNode{
			index:     i,
			hall:      i % p.halls,
			ejections: map[int]int{},
		})
	}
	build(w)
	w.at(0, kindArrive, nil, nil)
	for _, n := range w.nodes {
		w.every(tick, n.strategy.tick)
	}
	return w
}

// tick is the interval of the periodic work of nodes and observers.
const tick = 250 * time.Millisecond

// every calls fn once per d, beginning at a random time within the first d.
func (w *world) every(d time.Duration, fn func(now time.Time)) {
	var repeat func()
	repeat = func() {
		fn(w.clock())
		w.at(w.now+d, kindInterval, nil, repeat)
	}
	w.at(w.now+time.Duration(w.rng.Int64N(int64(d))), kindInterval, nil, repeat)
}

func (w *world) at(at time.Duration, k kind, r *request, do func()) {
	heap.Push(&w.events, event{
		at:   at,
		kind: k,
		req:  r,
		do:   do,
	})
}

// runUntil runs the events up to a time.
func (w *world) runUntil(end time.Duration) {
	for len(w.events) > 0 && w.events[0].at <= end {
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		switch e.kind {
		case kindArrive:
			w.arrive()
		case kindFinish:
			w.finish(e.req)
		case kindExpire:
			w.expire(e.req)
		default:
			e.do()
		}
	}
	w.now = end
}

func (w *world) arrive() {
	gap := w.rng.ExpFloat64() / w.pool.rate
	w.at(w.now+time.Duration(gap*float64(time.Second)), kindArrive, nil, nil)
	n := w.nodes[w.rng.IntN(len(w.nodes))]
	i, end, ok := n.strategy.pick(w.clock())
	if !ok {
		w.failed++
		return
	}
	r := &request{
		node:    n,
		target:  w.targets[i],
		started: w.now,
		end:     end,
	}
	w.send(r)
}

// send delivers a request to its target and schedules its deadline.
func (w *world) send(r *request) {
	w.at(w.now+deadline, kindExpire, r, nil)
	t := r.target
	switch {
	case t.cut[r.node.index]:
	case w.rng.Float64() < t.shed:
		r.shed = true
		w.at(w.now+time.Millisecond, kindFinish, r, nil)
	case t.busy < w.pool.slots:
		w.start(r)
	default:
		t.waiting = append(t.waiting, r)
	}
}

// start runs a request in a slot.
func (w *world) start(r *request) {
	t := r.target
	t.busy++
	if t.stall {
		r.stuck = true
		return
	}
	r.failed = w.rng.Float64() < max(t.errors, errorShare)
	w.at(w.now+w.latency(t), kindFinish, r, nil)
}

func (w *world) latency(t *fakeTarget) time.Duration {
	d := time.Duration(float64(w.pool.median) * math.Exp(sigma*w.rng.NormFloat64()) * t.slow)
	// A pause delays every request that starts before it is over.
	if w.rng.Float64() < float64(d)/float64(pauseEvery) {
		t.paused = w.now + pauseFor
	}
	if t.paused > w.now {
		d += t.paused - w.now
	}
	return d
}

// finish completes a request on its target, and at its node unless it has expired there.
func (w *world) finish(r *request) {
	if !r.shed {
		w.free(r.target)
	}
	w.complete(r, !r.failed && !r.shed)
}

func (w *world) free(t *fakeTarget) {
	t.busy--
	for len(t.waiting) > 0 && t.busy < w.pool.slots {
		next := t.waiting[0]
		t.waiting = t.waiting[1:]
		if !next.ended {
			w.start(next)
		}
	}
}

// expire ends a request at its deadline.
func (w *world) expire(r *request) {
	if r.ended {
		return
	}
	if r.stuck {
		// The target honors the cancellation.
		w.free(r.target)
	}
	w.complete(r, false)
}

func (w *world) complete(r *request, ok bool) {
	if r.ended {
		return
	}
	r.ended = true
	w.served++
	if !ok && !r.shed {
		w.failed++
	}
	r.end(w.clock(), ok, r.shed)
}

// ejectedShare returns the share of nodes that send a target no regular requests.
func (w *world) ejectedShare(target int) float64 {
	out := 0
	for _, n := range w.nodes {
		if n.strategy.ejected(target) {
			out++
		}
	}
	return float64(out) / float64(len(w.nodes))
}

// ejections returns the number of ejections of all targets but those in sick, divided by
// the number of nodes: 1 means that every node ejected one target once.
func (w *world) ejections(sick ...int) float64 {
	total := 0
	for _, n := range w.nodes {
		for target, count := range n.ejections {
			if !contains(sick, target) {
				total += count
			}
		}
	}
	return float64(total) / float64(len(w.nodes))
}

func contains(list []int, v int) bool {
	for _, x := range list {
		if x == v {
			return true
		}
	}
	return false
}
