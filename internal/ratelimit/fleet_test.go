// SPDX-License-Identifier: Apache-2.0

package ratelimit_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"ploverjunction.example/ploverjunction/internal/admission"
	"ploverjunction.example/ploverjunction/internal/ratelimit"
)

// This file simulates a fleet of nodes that receive the requests of one workspace, without a
// network: messages take some milliseconds and get lost, nodes are cut off, killed and
// restarted, and the role of the allocator moves together with its state.

var start = time.Unix(1_000_000, 0)

// tolerance is the tolerance that users specified.
var tolerance = ratelimit.Tolerance{
	Window: 5 * time.Second,
	Excess: 0.25,
	Slack:  20,
}

// method is how the nodes enforce a limit.
type method int

const (
	// equal gives each node the same share of the limit.
	equal method = iota
	// asking asks the allocator about each request.
	asking
	// reserving holds tokens in reserve.
	reserving
)

// Times of messages in the model.
const (
	oneWay          = time.Millisecond
	resendInterval  = 25 * time.Millisecond
	callTimeout     = 60 * time.Millisecond
	unreachableTime = 500 * time.Millisecond
	tick            = 200 * time.Millisecond
	// detection is after how long a node is declared dead, propagation how long it takes until
	// all nodes have received that.
	detection   = 1200 * time.Millisecond
	propagation = 300 * time.Millisecond
	// joinTime is how long a node reaches no other after its start.
	joinTime = 600 * time.Millisecond
	// maxWait is how long a request waits for an allocator on a node that joins, and joinRetry
	// the time between its attempts.
	maxWait   = 500 * time.Millisecond
	joinRetry = 50 * time.Millisecond
)

// event is a function to be called at a time.
type event struct {
	at time.Time
	do func(now time.Time)
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// modelNode is one node of the model.
type modelNode struct {
	name        string
	incarnation uint64
	limiter     *ratelimit.Limiter
	equal       *admission.Limiter
	// allocator is used while this node has the role.
	allocator *ratelimit.Allocator
	down      bool
	started   time.Time
	// cut is set while the node reaches no other one, unreachableSince is when it was last cut
	// off or killed.
	cut              bool
	unreachableSince time.Time
	// isolatedUntil is until when it counts as isolated, after a failed request to the allocator.
	isolatedUntil time.Time
	// allocatorNode is the node that it uses as the allocator.
	allocatorNode int
}

// model simulates the fleet.
type model struct {
	method method
	limit  ratelimit.Limit
	random *rand.Rand
	now    time.Time
	queue  events
	nodes  []*modelNode
	loss   float64
	// role is the node that has the allocator's role.
	role int
	// messages counts the messages sent.
	messages int
	result   result
	ideal    idealBucket
}

// result counts the requests by their results.
type result struct {
	requests, admitted, refused int
	// refusedByBucket counts the requests that a single ideal bucket would have refused.
	refusedByBucket int
	// waited counts the requests that waited for the allocator.
	waited int
	// ran holds the times of the admitted requests.
	ran []time.Time
}

// idealBucket is a bucket that sees all requests at once.
type idealBucket struct {
	level float64
	at    time.Time
}

func (b *idealBucket) take(now time.Time, l ratelimit.Limit) bool {
	b.level = min(b.level+now.Sub(b.at).Seconds()*l.Rate, l.Burst)
	b.at = now
	if b.level < 1 {
		return false
	}
	b.level--
	return true
}

func newModel(w method, l ratelimit.Limit, nodes int, seed uint64) *model {
	m := &model{
		method: w,
		limit:  l,
		random: rand.New(rand.NewPCG(seed, 1)),
		now:    start,
		ideal: idealBucket{
			level: l.Burst,
			at:    start,
		},
	}
	for i := range nodes {
		m.nodes = append(m.nodes, &modelNode{
			name: fmt.Sprint("n", i),
		})
		m.startNode(m.nodes[i], start.Add(-time.Minute))
	}
	m.every(tick, func(now time.Time) {
		unreachable := m.unreachable(now)
		for _, n := range m.nodes {
			n.allocator.SetUnreachable(unreachable)
		}
		for i := range m.nodes {
			m.report(now, i)
		}
	})
	return m
}

// startNode starts a new incarnation of a node.
func (m *model) startNode(n *modelNode, at time.Time) {
	n.incarnation++
	n.down = false
	n.limiter = ratelimit.NewLimiter(at)
	n.started = at
	n.equal = admission.NewLimiter()
	n.allocator = ratelimit.NewAllocator(m.random.Uint64(), at, tolerance)
	n.isolatedUntil = time.Time{}
}

func (m *model) at(t time.Time, do func(time.Time)) {
	heap.Push(&m.queue, event{
		at: t,
		do: do,
	})
}

func (m *model) every(d time.Duration, do func(time.Time)) {
	var again func(now time.Time)
	again = func(now time.Time) {
		do(now)
		m.at(now.Add(d), again)
	}
	m.at(m.now.Add(d), again)
}

// run runs the simulation until a time after the start.
func (m *model) run(until time.Duration) {
	end := start.Add(until)
	for len(m.queue) > 0 && !m.queue[0].at.After(end) {
		e := heap.Pop(&m.queue).(event)
		m.now = e.at
		e.do(e.at)
	}
	m.now = end
}

// reach reports whether a message from one node arrives at another.
func (m *model) reach(from, to int) bool {
	a, b := m.nodes[from], m.nodes[to]
	if a.down || b.down || m.now.Sub(a.started) < joinTime || m.now.Sub(b.started) < joinTime {
		return false
	}
	if from == to {
		// An isolated node is not its own allocator.
		return !a.cut
	}
	return !a.cut && !b.cut && m.random.Float64() >= m.loss
}

// sendReport sends a report with some waiting requests to the allocator and calls done with the
// result; ok is false if no answer arrived.
func (m *model) sendReport(now time.Time, i, waiting int, done func(now time.Time, admitted int, ok bool)) {
	n := m.nodes[i]
	incarnation := n.incarnation
	r, l, known := n.limiter.Report(now, "w", waiting)
	if !known {
		return
	}
	if m.method == asking {
		r.Want = 0
	}
	to := n.allocatorNode
	now, ok := m.exchange(now, i, to)
	if !ok {
		m.at(now.Add(callTimeout), func(now time.Time) {
			if n.incarnation == incarnation {
				done(now, 0, false)
			}
		})
		return
	}
	m.at(now.Add(oneWay), func(now time.Time) {
		s := m.nodes[to].allocator.Report(now, "w", l, n.name, incarnation, r)
		m.at(now.Add(oneWay), func(now time.Time) {
			if n.incarnation == incarnation {
				done(now, n.limiter.Apply(now, "w", s, waiting), true)
			}
		})
	})
}

// exchange simulates a message and its answer, resent when one of them is lost, and returns
// when both arrive.
func (m *model) exchange(now time.Time, from, to int) (time.Time, bool) {
	for end := now.Add(callTimeout); now.Before(end); now = now.Add(resendInterval) {
		m.messages += 2
		if m.reach(from, to) && m.reach(to, from) {
			return now, true
		}
	}
	return now, false
}

// report sends the reports of a node that are due at a tick.
func (m *model) report(now time.Time, i int) {
	n := m.nodes[i]
	if n.down || m.method == equal {
		return
	}
	for range n.limiter.Due(now) {
		m.sendReport(now, i, 0, func(now time.Time, _ int, ok bool) {
			if !ok {
				n.isolatedUntil = now.Add(unreachableTime)
			}
		})
	}
}

// request simulates a request that arrives at a node.
func (m *model) request(now time.Time, i int) {
	n := m.nodes[i]
	m.result.requests++
	if !m.ideal.take(now, m.limit) {
		m.result.refusedByBucket++
	}
	if n.down {
		// The caller retries at another node.
		m.at(now.Add(10*time.Millisecond), func(now time.Time) { m.decide(now, m.random.IntN(len(m.nodes))) })
		return
	}
	m.decide(now, i)
}

func (m *model) decide(now time.Time, i int) {
	n := m.nodes[i]
	if n.down {
		return
	}
	if m.method == equal {
		m.finish(now, n.equal.Admit(now, "w", m.limit.Rate, m.limit.Burst, len(m.nodes)) == 0)
		return
	}
	v, _ := n.limiter.Take(now, "w", m.limit)
	switch {
	case v == ratelimit.Admitted, v == ratelimit.Refused:
		m.finish(now, v == ratelimit.Admitted)
	case now.Before(n.isolatedUntil):
		m.decideIsolated(now, n)
	default:
		m.result.waited++
		m.requestToken(now, i, now.Add(maxWait))
	}
}

// requestToken asks the allocator for a token, until a time at most while the node joins.
func (m *model) requestToken(now time.Time, i int, until time.Time) {
	n := m.nodes[i]
	m.sendReport(now, i, 1, func(now time.Time, admitted int, ok bool) {
		switch {
		case ok:
			m.finish(now, admitted > 0)
		case n.limiter.Joining(now, "w") && now.Before(until):
			m.at(now.Add(joinRetry), func(now time.Time) {
				if !n.down {
					m.requestToken(now, i, until)
				}
			})
		default:
			n.isolatedUntil = now.Add(unreachableTime)
			m.decideIsolated(now, n)
		}
	})
}

func (m *model) decideIsolated(now time.Time, n *modelNode) {
	v, _ := n.limiter.DecideIsolated(now, "w", m.limit, len(m.nodes))
	m.finish(now, v == ratelimit.Admitted)
}

func (m *model) finish(now time.Time, admitted bool) {
	if admitted {
		m.result.admitted++
		m.result.ran = append(m.result.ran, now)
		return
	}
	m.result.refused++
}

// callers adds a number of callers that together send rate requests a second, each by a
// Poisson process, from one time to another. Each uses one node, out of the first spread.
func (m *model) callers(number, spread int, rate float64, from, to time.Duration) {
	for range number {
		node := m.random.IntN(spread)
		mean := float64(number) / rate
		var next func(now time.Time)
		next = func(now time.Time) {
			if now.After(start.Add(to)) {
				return
			}
			m.request(now, node)
			m.at(now.Add(time.Duration(m.random.ExpFloat64()*mean*float64(time.Second))), next)
		}
		m.at(start.Add(from+time.Duration(m.random.ExpFloat64()*mean*float64(time.Second))), next)
	}
}

// fail kills a node, or cuts it off from the others, from one time to another.
func (m *model) fail(i int, kill bool, from, to time.Duration) {
	n := m.nodes[i]
	m.at(start.Add(from), func(now time.Time) {
		n.unreachableSince = now
		if kill {
			n.down = true
		} else {
			n.cut = true
		}
	})
	m.at(start.Add(from+detection), func(now time.Time) {
		if next := m.alive(); m.role == i && (n.down || n.cut) && next >= 0 {
			m.move(next, now.Sub(start)+1, propagation)
		}
	})
	m.at(start.Add(to), func(now time.Time) {
		if kill {
			m.startNode(n, now)
			m.at(now.Add(propagation), func(time.Time) { m.announceStart(n) })
		}
		n.cut = false
	})
}

// announceStart announces a new incarnation of a node to all nodes.
func (m *model) announceStart(n *modelNode) {
	for _, other := range m.nodes {
		if !other.down && !other.cut {
			other.allocator.NodeStarted(n.name, n.incarnation)
		}
	}
}

// unreachable returns the fraction of nodes that are detected as unreachable.
func (m *model) unreachable(now time.Time) float64 {
	n := 0
	for _, node := range m.nodes {
		if (node.down || node.cut) && now.Sub(node.unreachableSince) > detection {
			n++
		}
	}
	return float64(n) / float64(len(m.nodes))
}

// alive returns a random node that others reach, or -1.
func (m *model) alive() int {
	for range 10 * len(m.nodes) {
		if i := m.random.IntN(len(m.nodes)); !m.nodes[i].down && !m.nodes[i].cut {
			return i
		}
	}
	return -1
}

// move gives the allocator's role to another node. Each node uses the one that has the role
// at a random moment within the time disagree.
func (m *model) move(to int, from, disagree time.Duration) {
	m.at(start.Add(from-1), func(time.Time) { m.role = to })
	for _, n := range m.nodes {
		m.at(start.Add(from+time.Duration(m.random.Float64()*float64(disagree))), func(time.Time) { n.allocatorNode = m.role })
	}
}

// maxInWindow returns the greatest number of requests that ran in any window, and the allowed
// number.
func (m *model) maxInWindow() (ran int, allowed float64) {
	return maxIn(m.result.ran), bound(m.limit)
}

func maxIn(ran []time.Time) int {
	most, first := 0, 0
	for i, at := range ran {
		for at.Sub(ran[first]) >= tolerance.Window {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// bound is how many requests may run in a window.
func bound(l ratelimit.Limit) float64 {
	return math.Floor((l.Rate*tolerance.Window.Seconds()+l.Burst)*(1+tolerance.Excess) + tolerance.Slack)
}
