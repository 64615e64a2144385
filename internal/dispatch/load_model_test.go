// SPDX-License-Identifier: Apache-2.0

package dispatch_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"ploverjunction.example/ploverjunction/internal/dispatch"
	"ploverjunction.example/ploverjunction/internal/signal"
)

// loadScenario describes callers of targets that report their load.
type loadScenario struct {
	targets int
	// slots are published; realSlots are those of the targets, 0 for the same.
	slots     int
	realSlots int
	queue     int
	// work is the mean response time of a target, speed its factor for each target.
	work  time.Duration
	speed func(target int) float64
	// perSecond is the rate of the requests that each dispatcher grants, independent that of requests
	// from nodes that choose a target at random.
	perSecond   []float64
	independent float64
	// abandoned is the share of attempts whose end is reported while the target still runs them.
	abandoned float64
	// delay returns the transit time of a message.
	delay func(rng *rand.Rand) time.Duration
	// uncounted is set where a target leaves the request that it answers out of its load.
	uncounted bool
	// load replaces the load that a target reports.
	load func(reported signal.Load) signal.Load
	// probeInterval is the time between two probes of each target, 0 for none.
	probeInterval time.Duration
	deadline      time.Duration
	end           time.Duration
	// moveInterval is the time after which the role of each dispatcher moves to a new one, 0 for never.
	moveInterval time.Duration
	// ignored is set where the dispatchers do not get the reports.
	ignored bool
}

// loadJob is a request at a target or on its way.
type loadJob struct {
	// by is the dispatcher that granted the target, -1 for a node that chose by itself.
	by      int
	grant   dispatch.Grant
	arrived time.Duration
	granted time.Duration
	chosen  time.Duration
	// abandoned is set once the end was reported before the target answered.
	abandoned bool
}

// loadTarget is a target with slots and a queue of its own.
type loadTarget struct {
	index   int
	slots   int
	running []*loadJob
	queue   []*loadJob
	// foreign are the changes of the work that each dispatcher has not in flight.
	foreign [][]foreignWork
	grants  int
}

// foreignWork is the work of others at a target from a time on.
type foreignWork struct {
	at   time.Duration
	work int
}

// waitingRequest is a request that waits for a grant of a dispatcher.
type waitingRequest struct {
	by      int
	request *dispatch.Request
}

// loadModel simulates dispatchers, nodes that choose by themselves and targets.
type loadModel struct {
	s   *loadScenario
	rng *rand.Rand
	// arrivals draws the times between requests, so that they are the same with and without reports.
	arrivals    *rand.Rand
	steps       eventQueue
	now         time.Duration
	next        uint64
	targets     []*loadTarget
	dispatchers []*dispatch.Scheduler
	list        []dispatch.Target
	requests    map[dispatch.ID]*loadJob
	// waiting are the requests without a grant or a refusal, in the order of their numbers.
	waiting []waitingRequest
	// granted lists all grants in order, check is called after each report.
	granted []string
	check   func(by int)
	// all, served and shed count requests, took holds the times to the answer.
	all, served, shed, refused int
	took                       []time.Duration
	// independentShed and independentServed count the requests of nodes that choose by themselves.
	independentServed, independentShed int
	// longest is the longest time from a grant to the report of the attempt's end.
	longest time.Duration
}

func newLoadModel(s *loadScenario, seed uint64) *loadModel {
	m := &loadModel{
		s:        s,
		rng:      rand.New(rand.NewPCG(seed, 5)),
		arrivals: rand.New(rand.NewPCG(seed, 6)),
		requests: map[dispatch.ID]*loadJob{},
		check:    func(int) {},
	}
	for i := range s.targets {
		t := &loadTarget{
			index:   i,
			slots:   s.slots,
			foreign: make([][]foreignWork, len(s.perSecond)),
		}
		if s.realSlots > 0 {
			t.slots = s.realSlots
		}
		m.targets = append(m.targets, t)
		m.list = append(m.list, dispatch.Target{
			Key:      fmt.Sprint(i),
			DataHall: "a",
			Slots:    s.slots,
		})
	}
	for i := range s.perSecond {
		m.dispatchers = append(m.dispatchers, m.newDispatcher(seed, i))
	}
	return m
}

// newDispatcher returns a scheduler without any state.
func (m *loadModel) newDispatcher(seed uint64, i int) *dispatch.Scheduler {
	d := dispatch.NewScheduler(m.clock(), dispatch.Budget{
		Share:   0.2,
		Reserve: 50,
		Window:  10 * time.Second,
	}, rand.New(rand.NewPCG(seed, uint64(i))).Float64)
	d.Configure(m.clock(), m.list)
	return d
}

// move moves the role of a dispatcher to a new one, to which the nodes repeat the requests that wait.
func (m *loadModel) move(by int) {
	m.dispatchers[by] = m.newDispatcher(uint64(m.now), by)
	for _, w := range slices.Clone(m.waiting) {
		if w.by == by {
			m.start(by, []dispatch.Grant{m.dispatchers[by].RequestGrant(m.clock(), w.request)})
		}
	}
	m.after(m.s.moveInterval, func() { m.move(by) })
}

func (m *loadModel) clock() time.Time { return start.Add(m.now) }

func (m *loadModel) after(d time.Duration, do func()) {
	heap.Push(&m.steps, event{
		at: m.now + d,
		do: do,
	})
}

func (m *loadModel) run() *loadModel {
	for i, rate := range m.s.perSecond {
		m.arrive(i, rate)
		m.advance(i)
		if m.s.moveInterval > 0 {
			m.after(m.s.moveInterval, func() { m.move(i) })
		}
	}
	m.arrive(-1, m.s.independent)
	if m.s.probeInterval > 0 {
		m.probe()
	}
	for len(m.steps) > 0 && m.steps[0].at < m.s.end {
		next := heap.Pop(&m.steps).(event)
		m.now = next.at
		next.do()
	}
	return m
}

func (m *loadModel) advance(by int) {
	m.start(by, m.dispatchers[by].Advance(m.clock()))
	for _, t := range m.targets {
		m.recordForeign(t)
	}
	m.after(50*time.Millisecond, func() { m.advance(by) })
}

func (m *loadModel) arrive(by int, rate float64) {
	if rate == 0 {
		return
	}
	m.after(time.Duration(m.arrivals.ExpFloat64()/rate*float64(time.Second)), func() {
		m.request(by)
		m.arrive(by, rate)
	})
}

// request sends a request of a caller of a dispatcher, or of a node that chooses by itself.
func (m *loadModel) request(by int) {
	m.next++
	j := &loadJob{
		by:      by,
		arrived: m.now,
	}
	if by < 0 {
		t := m.targets[m.rng.IntN(len(m.targets))]
		m.after(m.s.delay(m.rng), func() { m.receive(t, j) })
		return
	}
	m.all++
	a := &dispatch.Request{
		ID: dispatch.ID{
			Node:   "n",
			Number: m.next,
		},
		DataHall:     "a",
		Kilobytes:    1,
		SoftDeadline: m.clock().Add(m.s.deadline / 3),
		Deadline:     m.clock().Add(m.s.deadline),
	}
	m.requests[a.ID] = j
	m.waiting = append(m.waiting, waitingRequest{
		by:      by,
		request: a,
	})
	m.start(by, []dispatch.Grant{m.dispatchers[by].RequestGrant(m.clock(), a)})
}

// start sends the requests that were granted to their targets.
func (m *loadModel) start(by int, grants []dispatch.Grant) {
	for _, g := range grants {
		if g.Decision != dispatch.Queued {
			m.waiting = slices.DeleteFunc(m.waiting, func(w waitingRequest) bool { return w.request.ID == g.ID })
		}
		switch g.Decision {
		case dispatch.Granted:
			m.granted = append(m.granted, fmt.Sprint(by, g.ID.Number, g.Target))
			j := m.requests[g.ID]
			j.grant = g
			t := m.targets[slices.IndexFunc(m.targets, func(t *loadTarget) bool { return fmt.Sprint(t.index) == g.Target })]
			t.grants++
			toNode, toTarget := m.s.delay(m.rng), m.s.delay(m.rng)
			j.granted, j.chosen = m.now, m.now+toNode
			m.after(toNode+toTarget, func() { m.receive(t, j) })
			if m.rng.Float64() < m.s.abandoned {
				m.after(toNode+toTarget+time.Duration(m.rng.Int64N(int64(m.s.work))), func() { m.abandon(t, j) })
			}
		case dispatch.Refused, dispatch.OverBudget:
			m.refused++
		}
	}
}

// receive is the arrival of a request at its target.
func (m *loadModel) receive(t *loadTarget, j *loadJob) {
	switch {
	case j.abandoned:
	case len(t.running) < t.slots:
		m.process(t, j)
	case len(t.queue) < m.s.queue:
		t.queue = append(t.queue, j)
	default:
		m.answer(t, j, dispatch.ResultShed)
	}
	m.recordForeign(t)
}

func (m *loadModel) process(t *loadTarget, j *loadJob) {
	t.running = append(t.running, j)
	factor := 1.0
	if m.s.speed != nil {
		factor = m.s.speed(t.index)
	}
	m.after(time.Duration(float64(m.s.work)*factor*(0.5+m.rng.ExpFloat64()/2)), func() { m.finish(t, j) })
}

// finish is the end of a request at its target.
func (m *loadModel) finish(t *loadTarget, j *loadJob) {
	remove := func() { t.running = slices.DeleteFunc(t.running, func(o *loadJob) bool { return o == j }) }
	if m.s.uncounted {
		remove()
	}
	m.answer(t, j, dispatch.ResultGood)
	remove()
	if len(t.queue) > 0 {
		first := t.queue[0]
		t.queue = t.queue[1:]
		m.process(t, first)
	}
	m.recordForeign(t)
}

func (m *loadModel) reportOf(t *loadTarget) signal.Load {
	l := signal.Load{
		Running: len(t.running),
		Waiting: len(t.queue),
		Slots:   t.slots,
	}
	if m.s.load != nil {
		l = m.s.load(l)
	}
	return l
}

// answer sends the answer of a target with its load to the node, and the end of the attempt from there
// to the dispatcher, twice at times.
func (m *loadModel) answer(t *loadTarget, j *loadJob, r dispatch.Result) {
	if j.by < 0 {
		if r == dispatch.ResultShed {
			m.independentShed++
		} else {
			m.independentServed++
		}
		return
	}
	if j.abandoned {
		return
	}
	load := m.reportOf(t)
	m.after(m.s.delay(m.rng), func() {
		if j.abandoned {
			return
		}
		j.abandoned = true
		if r == dispatch.ResultShed {
			m.shed++
		} else if m.now-j.arrived <= m.s.deadline {
			m.served++
			m.took = append(m.took, m.now-j.arrived)
		}
		m.done(t, j, r, load)
		if m.rng.IntN(10) == 0 {
			m.done(t, j, r, load)
		}
	})
}

func (m *loadModel) done(t *loadTarget, j *loadJob, r dispatch.Result, load signal.Load) {
	took := m.now - j.chosen
	m.after(m.s.delay(m.rng), func() {
		d := m.dispatchers[j.by]
		m.longest = max(m.longest, m.now-j.granted)
		if !m.s.ignored {
			d.ReportLoad(m.clock(), j.grant.Target, j.grant.ID, load, took)
			m.check(j.by)
		}
		m.start(j.by, d.Done(m.clock(), j.grant.ID, j.grant.Target, r, took))
		m.recordForeign(t)
	})
}

// abandon is the end of an attempt whose caller left.
func (m *loadModel) abandon(t *loadTarget, j *loadJob) {
	if j.abandoned {
		return
	}
	j.abandoned = true
	m.done(t, j, dispatch.ResultIgnored, signal.Load{})
}

// probe probes all targets on behalf of the first dispatcher.
func (m *loadModel) probe() {
	for _, t := range m.targets {
		sent := m.clock()
		m.after(m.s.delay(m.rng), func() {
			load := m.reportOf(t)
			load.Running++
			m.after(m.s.delay(m.rng), func() {
				if m.s.ignored {
					return
				}
				m.dispatchers[0].ObserveLoad(dispatch.LoadReport{
					Target: fmt.Sprint(t.index),
					Load:   load,
					Since:  sent,
					At:     m.clock(),
					Probe:  true,
				})
				m.check(0)
			})
		})
	}
	m.after(m.s.probeInterval, m.probe)
}

// recordForeign records the work at a target that each dispatcher has not in flight.
func (m *loadModel) recordForeign(t *loadTarget) {
	for by, d := range m.dispatchers {
		n := 0
		for _, j := range slices.Concat(t.running, t.queue) {
			if j.by != by || !d.InFlight(j.grant.ID) {
				n++
			}
		}
		list := t.foreign[by]
		if len(list) == 0 || list[len(list)-1].work != n {
			t.foreign[by] = append(list, foreignWork{
				at:   m.now,
				work: n,
			})
		}
	}
}

// maxForeign returns the most foreign work at a target since a time.
func (t *loadTarget) maxForeign(by int, since time.Duration) int {
	most := 0
	list := t.foreign[by]
	for i := len(list) - 1; i >= 0; i-- {
		most = max(most, list[i].work)
		if list[i].at < since {
			break
		}
	}
	return most
}

// quantile returns a quantile of the times to the answer.
func (m *loadModel) quantile(q float64) time.Duration {
	if len(m.took) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(m.took))
	return sorted[int(q*float64(len(sorted)-1))]
}
