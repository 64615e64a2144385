// SPDX-License-Identifier: Apache-2.0

package dispatch_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"ploverjunction.example/ploverjunction/internal/dispatch"
)

// shareClient is one stream of requests of a simulated service.
type shareClient struct {
	workspace string
	// perSecond is the rate of requests, burstFactor what it is multiplied by between shareBurstFrom
	// and shareBurstTo; 0 means 1.
	perSecond   float64
	burstFactor float64
	priority    int
	route       string
	work        time.Duration
	repeatable  bool
	// kilobytes is the greatest size of an answer.
	kilobytes          int
	softDeadline, full time.Duration
	// rng draws the arrivals, so that they are the same whatever becomes of other requests.
	rng *rand.Rand
}

// Times of the simulated service.
const (
	shareBurstFrom = 4 * time.Second
	shareBurstTo   = 11 * time.Second
	shareEnd       = 12 * time.Second
)

// shareModel describes a simulated service.
type shareModel struct {
	seed    uint64
	clients []shareClient
	halls   int
	targets int
	slots   int
	// gray is the share of the targets that fail at any time, 3 s each.
	gray float64
	// shed is the share of the requests that any target fails.
	shed    float64
	retries bool
	// unavailable is the share of the requests to which some targets are unavailable.
	unavailable float64
	// constantRandom is set where the scheduler breaks no ties at random.
	constantRandom bool
	weights        map[string]float64
	// countFrom and countTo are set where other requests are counted than those of the burst without
	// its first second.
	countFrom, countTo time.Duration
}

// shareResult counts the requests of one workspace that came in the burst.
type shareResult struct {
	// overBudget counts those refused because the retry budget was exhausted.
	all, served, onTime, refused, failed, overBudget int
	// refusedLate counts those refused after they were queued.
	refusedLate int
	// waited is the total time until the first grant or the refusal.
	waited time.Duration
	// work is the work granted, in slot-seconds.
	work float64
}

func (r *shareResult) add(o shareResult) {
	r.all += o.all
	r.served += o.served
	r.onTime += o.onTime
	r.refused += o.refused
	r.failed += o.failed
	r.overBudget += o.overBudget
	r.waited += o.waited
}

func (r *shareResult) share(n int) float64 { return float64(n) / float64(max(r.all, 1)) }

func (r *shareResult) meanWait() time.Duration { return r.waited / time.Duration(max(r.all, 1)) }

func (r shareResult) String() string {
	return fmt.Sprintf("%d: served %.4f, in time %.4f, refused %.4f, over budget %.4f, waited %v", r.all, r.share(r.served),
		r.share(r.onTime), r.share(r.refused), r.share(r.overBudget), r.meanWait().Round(time.Millisecond))
}

type shareRequest struct {
	request *dispatch.Request
	client  *shareClient
	came    time.Duration
	counted bool
	decided bool
	queued  bool
	// by is the dispatcher that was asked.
	by *shareDispatcher
}

// shareSimulation simulates a service with several workspaces.
type shareSimulation struct {
	shareModel
	scheduler *dispatch.Scheduler
	// dispatchers are all that answer requests, the first one with scheduler. dispatcherOf returns the
	// one that a request is sent to.
	dispatchers  []*shareDispatcher
	dispatcherOf func(r *shareRequest) *shareDispatcher
	// delay returns the time until the dispatcher of an arriving request receives it.
	delay    func() time.Duration
	rng      *rand.Rand
	steps    eventQueue
	now      time.Duration
	next     uint64
	requests map[uint64]*shareRequest
	got      map[string]*shareResult
	// observe is called with every answer of the scheduler.
	observe func(at time.Duration, g dispatch.Grant)
	// over counts the requests that a dispatcher granted beyond the slots of a target, twice those
	// answered again.
	at          map[string]*shareTarget
	over, twice int
	queued      int
	// shortSeen is set once slots were short.
	shortSeen bool
}

func newShareSimulation(m shareModel) *shareSimulation {
	s := &shareSimulation{
		shareModel: m,
		rng:        rand.New(rand.NewPCG(m.seed, 11)),
		requests:   map[uint64]*shareRequest{},
		got:        map[string]*shareResult{},
		at:         map[string]*shareTarget{},
		delay:      func() time.Duration { return 0 },
		observe:    func(time.Duration, dispatch.Grant) {},
	}
	if m.countTo == 0 {
		s.countFrom, s.countTo = shareBurstFrom+time.Second, shareBurstTo
	}
	for i := range m.targets {
		s.at[fmt.Sprint("t", i)] = &shareTarget{}
	}
	first := s.newDispatcher(12)
	s.scheduler = first.Scheduler
	s.dispatcherOf = func(*shareRequest) *shareDispatcher { return first }
	return s
}

func (s *shareSimulation) run() {
	for i := range s.clients {
		c := &s.clients[i]
		c.rng = rand.New(rand.NewPCG(s.seed, 100+uint64(i)))
		if s.got[c.workspace] == nil {
			s.got[c.workspace] = &shareResult{}
		}
		s.after(s.gap(c), func() { s.arrive(c) })
	}
	s.tick()
	for len(s.steps) > 0 && s.steps[0].at < shareEnd+30*time.Second {
		next := heap.Pop(&s.steps).(event)
		s.now = next.at
		next.do()
	}
}

func (s *shareSimulation) clock() time.Time { return start.Add(s.now) }

func (s *shareSimulation) after(d time.Duration, do func()) {
	heap.Push(&s.steps, event{
		at: s.now + d,
		do: do,
	})
}

func (s *shareSimulation) tick() {
	for _, d := range s.dispatchers {
		if !d.lost {
			s.start(d, d.Advance(s.clock()))
		}
	}
	s.shortSeen = s.shortSeen || s.queued > 0 && s.scheduler.SlotsShort(s.clock())
	if s.now < shareEnd+20*time.Second {
		s.after(50*time.Millisecond, s.tick)
	}
}

func (s *shareSimulation) inBurst() bool { return s.now >= shareBurstFrom && s.now < shareBurstTo }

func (s *shareSimulation) gap(c *shareClient) time.Duration {
	rate := c.perSecond
	if c.burstFactor > 0 && s.inBurst() {
		rate *= c.burstFactor
	}
	return time.Duration(c.rng.ExpFloat64() / rate * float64(time.Second))
}

func (s *shareSimulation) arrive(c *shareClient) {
	if s.now >= shareEnd {
		return
	}
	s.after(s.gap(c), func() { s.arrive(c) })
	s.next++
	a := &dispatch.Request{
		ID: dispatch.ID{
			Node:   "n",
			Number: s.next,
		},
		DataHall:     hallName(c.rng.IntN(s.halls)),
		Repeatable:   c.repeatable,
		Kilobytes:    1 + c.rng.IntN(max(c.kilobytes, 1)),
		Priority:     c.priority,
		Workspace:    c.workspace,
		Route:        c.route,
		SoftDeadline: s.clock().Add(c.softDeadline),
		Deadline:     s.clock().Add(c.full),
	}
	if s.unavailable > 0 && c.rng.Float64() < s.unavailable {
		// Lists of three differ between most requests.
		for _, i := range c.rng.Perm(s.targets)[:3] {
			a.Unavailable = append(a.Unavailable, fmt.Sprint("t", i))
		}
	}
	r := &shareRequest{
		request: a,
		client:  c,
		came:    s.now,
		counted: s.now >= s.countFrom && s.now < s.countTo,
	}
	if r.counted {
		s.got[c.workspace].all++
	}
	if d := s.delay(); d > 0 {
		s.after(d, func() { s.request(r) })
		return
	}
	s.request(r)
}

func (s *shareSimulation) request(r *shareRequest) {
	s.requestFrom(r, s.dispatcherOf(r))
}

func (s *shareSimulation) requestFrom(r *shareRequest, by *shareDispatcher) {
	s.requests[r.request.ID.Number] = r
	r.by = by
	if r.by.alone {
		s.start(r.by, []dispatch.Grant{r.by.GrantIsolated(s.clock(), r.request, 1/float64(aloneNodes))})
		return
	}
	s.start(r.by, []dispatch.Grant{r.by.RequestGrant(s.clock(), r.request)})
}

func (s *shareSimulation) start(by *shareDispatcher, grants []dispatch.Grant) {
	for _, g := range grants {
		s.observe(s.now, g)
		r := s.requests[g.ID.Number]
		if r == nil {
			s.twice++
			continue
		}
		if g.Decision == dispatch.Queued {
			s.setQueued(r, true)
			continue
		}
		late := r.queued
		s.setQueued(r, false)
		delete(s.requests, g.ID.Number)
		got := s.got[r.client.workspace]
		if r.counted && !r.decided {
			r.decided = true
			got.waited += s.now - r.came
		}
		if g.Decision != dispatch.Granted {
			switch {
			case !r.counted:
			case g.Decision == dispatch.OverBudget:
				got.overBudget++
			default:
				got.refused++
				if late {
					got.refusedLate++
				}
			}
			continue
		}
		by.inFlight[g.Target]++
		by.running[r.client.workspace]++
		if !by.alone && by.inFlight[g.Target] > s.slots {
			s.over++
		}
		s.work(r, g)
	}
}

// failing reports whether a target fails now.
func (s *shareSimulation) failing(key string) bool {
	var n int
	_, _ = fmt.Sscanf(key, "t%d", &n)
	turn := int(s.now / (3 * time.Second))
	return rand.New(rand.NewPCG(s.seed+uint64(n)<<8, uint64(turn))).Float64() < s.gray
}

func (s *shareSimulation) work(r *shareRequest, g dispatch.Grant) {
	took := time.Duration(float64(r.client.work) * math.Exp(0.5*s.rng.NormFloat64()-0.125))
	result := dispatch.ResultGood
	if s.failing(g.Target) && s.rng.Float64() < 0.9 || s.rng.Float64() < s.shed {
		took, result = 3*time.Millisecond, dispatch.ResultBad
	}
	if r.counted {
		s.got[r.client.workspace].work += took.Seconds()
	}
	granted, ended := s.now, false
	end := func(result dispatch.Result) {
		if !ended {
			ended = true
			s.end(r, g, result, s.now-granted)
		}
	}
	if !s.serve(g.Target, took, func() { end(result) }) {
		s.after(failureTime, func() { end(dispatch.ResultShed) })
	}
	// The node gives up at the deadline.
	s.after(r.request.Deadline.Sub(s.clock()), func() { end(dispatch.ResultIgnored) })
}

func (s *shareSimulation) end(r *shareRequest, g dispatch.Grant, result dispatch.Result, took time.Duration) {
	by := r.by
	by.inFlight[g.Target]--
	by.running[r.client.workspace]--
	got := s.got[r.client.workspace]
	switch {
	case result == dispatch.ResultGood && r.counted:
		got.served++
		if s.clock().Before(r.request.SoftDeadline) {
			got.onTime++
		}
	case result != dispatch.ResultGood && (!s.retries || !r.request.Repeatable || r.request.Retry) && r.counted:
		got.failed++
	}
	if !by.lost {
		by.ReportLoad(s.clock(), g.Target, g.ID, s.load(g.Target), took)
		s.start(by, by.Done(s.clock(), g.ID, g.Target, result, took))
	}
	if result == dispatch.ResultGood || !s.retries || !r.request.Repeatable || r.request.Retry {
		return
	}
	s.next++
	retry := *r.request
	retry.ID.Number = s.next
	retry.Retry = true
	retry.Tried = []string{g.Target}
	s.request(&shareRequest{
		request: &retry,
		client:  r.client,
		came:    r.came,
		counted: r.counted,
		decided: true,
	})
}

// shareCapacity returns the capacity of the working targets in slot-seconds per second.
func (m *shareModel) shareCapacity() float64 {
	return (1 - m.gray) * float64(m.targets*m.slots)
}
