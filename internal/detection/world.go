// SPDX-License-Identifier: Apache-2.0

package main

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"time"
)

// pool is one service of a user, as the brief states it. Rates and latencies are
// assumptions; the page names them.
type pool struct {
	name    string
	targets int
	slots   int
	nodes   int
	halls   int
	rate    float64
	median  time.Duration
}

// Noise of healthy targets.
const (
	// sigma shapes the lognormal latency: 99 in 100 within 4 times the median.
	sigma = 0.6
	// errorShare is the share of requests that fail without a cause.
	errorShare = 0.002
	// pauseEvery and pauseFor are the mean time between two pauses of a target
	// and the length of a pause.
	pauseEvery = 10 * time.Minute
	pauseFor   = 400 * time.Millisecond
	// deadline bounds each request.
	deadline = 5 * time.Second
)

// kind is what an event does.
type kind uint8

const (
	kindArrive kind = iota
	kindFinish
	kindExpire
	kindInterval
	kindFault
)

// event is something that happens at a time.
type event struct {
	at   time.Duration
	kind kind
	req  *request
	do   func()
}

// eventQueue orders events by time.
type eventQueue []event

func (q eventQueue) Len() int           { return len(q) }
func (q eventQueue) Less(i, j int) bool { return q[i].at < q[j].at }
func (q eventQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }

// Push is part of heap.Interface.
func (q *eventQueue) Push(x any) { *q = append(*q, x.(event)) }

// Pop is part of heap.Interface.
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// request is one request on its way.
type request struct {
	node    *fakeNode
	target  *fakeTarget
	started time.Duration
	ended   bool
	failed  bool
	shed    bool
	// stuck is set while a stalled target holds the request in a slot.
	stuck bool
	end   func(now time.Time, ok, shed bool)
}

// fakeTarget is a target with slots and a line before them.
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
	// cut holds the nodes that can't reach the target.
	cut map[int]bool
}

// fakeNode sends requests as its strategy says.
type fakeNode struct {
	index    int
	hall     int
	strategy strategy
	// ejections counts the ejections of targets by this node.
	ejections map[int]int
}

// strategy is how a node chooses and judges targets. The functions are seams:
// the fleet's own decisions fill them, or those of a baseline.
type strategy struct {
	// pick returns the index of a target and the function that ends its use.
	pick func(now time.Time) (int, func(now time.Time, ok, shed bool), bool)
	// tick lets time pass, every 250 ms.
	tick func(now time.Time)
	// ejected reports whether the node gives a target no regular work.
	ejected func(target int) bool
}

// world is the fakes and their time.
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

const tick = 250 * time.Millisecond

// every calls fn at each tick, from a random moment on.
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

// runUntil lets time pass.
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

// send brings a request to its target.
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

// start puts a request into a slot.
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
	// A pause holds up all that is in a slot when it comes.
	if w.rng.Float64() < float64(d)/float64(pauseEvery) {
		t.paused = w.now + pauseFor
	}
	if t.paused > w.now {
		d += t.paused - w.now
	}
	return d
}

// finish ends a request on its target, and for its node unless that gave up.
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
		// The target accepts the cancellation.
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

// ejectedShare returns the share of nodes that give a target no regular work.
func (w *world) ejectedShare(target int) float64 {
	out := 0
	for _, n := range w.nodes {
		if n.strategy.ejected(target) {
			out++
		}
	}
	return float64(out) / float64(len(w.nodes))
}

// ejections returns the ejections of all targets but those in sick, over the
// number of nodes: 1 is one target taken out of service everywhere once.
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
