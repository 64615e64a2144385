// SPDX-License-Identifier: Apache-2.0

package dispatch_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"ploverjunction.example/ploverjunction/internal/dispatch"
)

// Times of the model and of the floor.
const (
	// modelWarm is the start of the first window, modelEnd the end of a simulation.
	modelWarm = 8 * time.Second
	modelEnd  = 40 * time.Second
	// modelInterval is the time between the starts of two windows, floorWindow their length.
	modelInterval = 250 * time.Millisecond
	floorWindow   = 2 * time.Second
	// floorShare is the users' floor. A target counts if it has worked in the window and for
	// floorSettled before it.
	floorShare   = 0.7
	floorSettled = 2 * time.Second
	// failureTime is the response time of a failing target.
	failureTime = 3 * time.Millisecond
)

// modelTarget is one target: its sequence of states and the times at which requests reached it.
type modelTarget struct {
	key     string
	states  []bool
	offset  time.Duration
	slow    bool
	reached []time.Duration
}

// failingAt reports whether the target is failing at a time since the start.
func (m *modelTarget) failingAt(s *serviceModel, at time.Duration) bool {
	return m.states[int((at+m.offset)/s.period)]
}

// counts reports whether the target counts in the window that starts at from.
func (m *modelTarget) counts(s *serviceModel, from time.Duration) bool {
	if m.slow && from+floorWindow > slowFrom {
		return false
	}
	for at := from - floorSettled; at <= from+floorWindow; at += modelInterval {
		if m.failingAt(s, at) {
			return false
		}
	}
	return true
}

// reachedIn reports whether a request reached the target in the window.
func (m *modelTarget) reachedIn(from time.Duration) bool {
	for _, at := range m.reached {
		if at >= from && at < from+floorWindow {
			return true
		}
	}
	return false
}

// event is an action at a time.
type event struct {
	at time.Duration
	do func()
}

type eventQueue []event

func (h eventQueue) Len() int           { return len(h) }
func (h eventQueue) Less(i, j int) bool { return h[i].at < h[j].at }
func (h eventQueue) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *eventQueue) Push(x any)        { *h = append(*h, x.(event)) }
func (h *eventQueue) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// simulation simulates one service with its scheduler: targets that start and stop failing by
// themselves, and callers in several data halls. It counts the windows at whose end a loss of all
// nodes would have violated the users' floor.
type simulation struct {
	s         *serviceModel
	scheduler *dispatch.Scheduler
	rng       *rand.Rand
	targets   []*modelTarget
	list      []dispatch.Target
	byKey     map[string]*modelTarget
	hallOf    map[string]string
	steps     eventQueue
	now       time.Duration
	next      uint64
	requests  map[uint64]*dispatch.Request
	// all and lost count requests, crossed the answers from other data halls.
	all, lost, crossed int
	// moves counts the dispatchers so far, ledger holds what each granted.
	moves  int
	ledger *dispatch.Ledger
}

func newSimulation(s *serviceModel, seed uint64) *simulation {
	p := &simulation{
		s:        s,
		rng:      rand.New(rand.NewPCG(seed, 77)),
		byKey:    map[string]*modelTarget{},
		hallOf:   map[string]string{},
		requests: map[uint64]*dispatch.Request{},
	}
	var list []dispatch.Target
	for hall, n := range s.halls {
		for range n {
			m := &modelTarget{
				key:    fmt.Sprintf("t%d", len(list)),
				offset: time.Duration(p.rng.Int64N(int64(s.period))),
				slow:   p.rng.Float64() < s.slow,
			}
			for range modelEnd/s.period + 3 {
				m.states = append(m.states, p.rng.Float64() < failingShare)
			}
			p.targets = append(p.targets, m)
			p.byKey[m.key] = m
			p.hallOf[m.key] = hallName(hall)
			list = append(list, dispatch.Target{
				Key:      m.key,
				DataHall: hallName(hall),
				Slots:    s.slots,
			})
		}
	}
	p.list = list
	p.ledger = dispatch.NewLedger(start, dispatch.Budget{
		Window: 10 * time.Second,
	})
	p.newDispatcher()
	return p
}

// newDispatcher moves the role to a new scheduler, without any state unless there is a handover.
func (p *simulation) newDispatcher() {
	before := p.scheduler
	p.moves++
	p.scheduler = dispatch.NewScheduler(p.clock(), dispatch.Budget{
		Share:   0.2,
		Reserve: 50,
		Window:  10 * time.Second,
	}, p.rng.Float64)
	p.scheduler.Configure(p.clock(), p.list)
	if before != nil && p.s.handover {
		p.scheduler.Import(p.clock(), before.Export(p.clock()))
	}
	if p.s.dispatcherMoves > 0 {
		p.after(p.s.dispatcherMoves, p.newDispatcher)
	}
}

func hallName(i int) string { return string(rune('a' + i)) }

func (p *simulation) after(d time.Duration, do func()) {
	heap.Push(&p.steps, event{
		at: p.now + d,
		do: do,
	})
}

func (p *simulation) clock() time.Time { return start.Add(p.now) }

// run runs the whole simulation.
func (p *simulation) run() {
	p.arrive()
	p.advance()
	for len(p.steps) > 0 && p.steps[0].at < modelEnd {
		next := heap.Pop(&p.steps).(event)
		p.now = next.at
		next.do()
	}
}

func (p *simulation) advance() {
	p.start(p.scheduler.Advance(p.clock()))
	p.after(50*time.Millisecond, p.advance)
}

// arrive sends a request and schedules the next one.
func (p *simulation) arrive() {
	p.all++
	p.next++
	a := &dispatch.Request{
		ID: dispatch.ID{
			Node:   "n",
			Number: p.next,
		},
		DataHall:     hallName(p.rng.IntN(len(p.s.halls))),
		Repeatable:   p.s.repeatable,
		Kilobytes:    p.s.kilobytes,
		SoftDeadline: p.clock().Add(time.Second),
		Deadline:     p.clock().Add(5 * time.Second),
	}
	p.request(a)
	p.after(time.Duration(p.rng.ExpFloat64()/p.s.perSecond*float64(time.Second)), p.arrive)
}

func (p *simulation) request(a *dispatch.Request) {
	p.requests[a.ID.Number] = a
	if p.s.reported {
		by := dispatch.Dispatcher{
			Address: fmt.Sprint(p.moves),
		}
		a.RemoteGrants = p.ledger.RemoteGrants(p.clock(), by.Address)
		p.ledger.Record(p.clock(), by, a.Retry)
	}
	p.start([]dispatch.Grant{p.scheduler.RequestGrant(p.clock(), a)})
}

// start starts the attempts that were granted.
func (p *simulation) start(grants []dispatch.Grant) {
	for _, g := range grants {
		switch g.Decision {
		case dispatch.Granted:
			p.attempt(g, p.requests[g.ID.Number])
		case dispatch.Refused, dispatch.OverBudget:
			p.lost++
		}
	}
}

func (p *simulation) attempt(g dispatch.Grant, a *dispatch.Request) {
	m := p.byKey[g.Target]
	m.reached = append(m.reached, p.now)
	if p.hallOf[g.Target] != a.DataHall {
		p.crossed++
	}
	took := time.Duration(float64(p.s.work) * (0.5 + p.rng.ExpFloat64()/2))
	if m.slow && p.now >= slowFrom {
		took *= slowFactor
	}
	result := dispatch.ResultGood
	switch {
	case m.failingAt(p.s, p.now) && p.rng.Float64() < p.s.lost:
		result, took = dispatch.ResultBad, failureTime
	case p.rng.Float64() < errorShare:
		result = dispatch.ResultBad
	}
	by := p.scheduler
	p.after(took, func() { p.end(by, g, a, result, took) })
}

func (p *simulation) end(by *dispatch.Scheduler, g dispatch.Grant, a *dispatch.Request, r dispatch.Result, took time.Duration) {
	p.start(by.Done(p.clock(), g.ID, g.Target, r, took))
	if r == dispatch.ResultGood {
		return
	}
	if !a.Repeatable || a.Retry {
		p.lost++
		return
	}
	p.next++
	retry := *a
	retry.ID.Number = p.next
	retry.Retry = true
	retry.Tried = []string{g.Target}
	p.request(&retry)
}

// windows returns the number of windows and of those in which too few of the targets that count were
// reached.
func (p *simulation) windows() (all, low int) {
	for from := modelWarm; from+floorWindow <= modelEnd; from += modelInterval {
		working, reached := 0, 0
		for _, m := range p.targets {
			if !m.counts(p.s, from) {
				continue
			}
			working++
			if m.reachedIn(from) {
				reached++
			}
		}
		all++
		if reached > 0 && float64(reached) < floorShare*float64(working) {
			low++
		}
	}
	return all, low
}
