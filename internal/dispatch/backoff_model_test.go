// SPDX-License-Identifier: Apache-2.0

package dispatch_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"ploverjunction.example/ploverjunction/internal/dispatch"
)

// Parameters of the service: those of the users' survey drafts.
const (
	backoffNodes        = 40
	backoffTargets      = 9
	backoffSlots        = 4
	backoffWork         = 410 * time.Millisecond
	backoffSoftDeadline = 1500 * time.Millisecond
	backoffDeadline     = 4 * time.Second
	backoffAttempts     = 3
	// backoffWarmup is the time from which requests count, backoffEnd the time until which they
	// arrive.
	backoffWarmup = 8 * time.Second
	backoffEnd    = 60 * time.Second
	// backoffPhase is how long a target sheds requests, backoffPeriod the time between the starts of
	// two such phases of one target.
	backoffPhase  = 8 * time.Second
	backoffPeriod = 20 * time.Second
)

// backoffCase is one combination of load and shedding.
type backoffCase struct {
	// load is in requests per second.
	load float64
	// share is the share of targets that shed requests at the same time, refusedShare the share of
	// requests that they shed then.
	share, refusedShare float64
	backoff             time.Duration
}

// backoffSimulation simulates a service some of whose targets shed requests for a time and ask the
// sending node to back off, and counts what callers get.
type backoffSimulation struct {
	backoffCase
	// result is the result reported for a request that was shed, signalled whether the scheduler
	// receives the backoff.
	result    dispatch.Result
	signalled bool
	scheduler *dispatch.Scheduler
	rng       *rand.Rand
	steps     eventQueue
	now       time.Duration
	next      uint64
	requests  map[uint64]*backoffRequest
	// unavailableUntil is until when a node sends a target nothing.
	unavailableUntil [backoffNodes]map[string]time.Duration
	// reached are the times at which requests reached each target.
	reached map[string][]time.Duration
	got     backoffResult
}

type backoffRequest struct {
	request  *dispatch.Request
	came     time.Duration
	attempts int
	counts   bool
}

type backoffResult struct {
	all, onTime, late, refused, shed int
	// waited is the total time until the refusal of refused requests.
	waited time.Duration
}

func (r backoffResult) String() string {
	n := float64(max(r.all, 1))
	waited := r.waited / time.Duration(max(r.refused, 1))
	return fmt.Sprintf("%.4f by the soft deadline, %.4f late, %.4f not served after %v, %.3f sheds per request",
		float64(r.onTime)/n, float64(r.late)/n, float64(r.refused)/n, waited.Round(time.Millisecond), float64(r.shed)/n)
}

func (r *backoffResult) add(o backoffResult) {
	r.all += o.all
	r.onTime += o.onTime
	r.late += o.late
	r.refused += o.refused
	r.shed += o.shed
	r.waited += o.waited
}

func simulateBackoff(c backoffCase, result dispatch.Result, signalled bool, seed uint64) backoffResult {
	return runBackoff(c, result, signalled, seed).got
}

func runBackoff(c backoffCase, result dispatch.Result, signalled bool, seed uint64) *backoffSimulation {
	p := &backoffSimulation{
		backoffCase: c,
		result:      result,
		signalled:   signalled,
		rng:         rand.New(rand.NewPCG(seed, 9)),
		requests:    map[uint64]*backoffRequest{},
		reached:     map[string][]time.Duration{},
	}
	for i := range p.unavailableUntil {
		p.unavailableUntil[i] = map[string]time.Duration{}
	}
	p.scheduler = dispatch.NewScheduler(start, dispatch.Budget{
		Share:   0.2,
		Reserve: 60,
		Window:  10 * time.Second,
	}, p.rng.Float64)
	var list []dispatch.Target
	for i := range backoffTargets {
		list = append(list, dispatch.Target{
			Key:      fmt.Sprint("t", i),
			DataHall: "a",
			Slots:    backoffSlots,
			HasID:    true,
		})
	}
	p.scheduler.Configure(start, list)
	p.arrive()
	p.tick()
	for len(p.steps) > 0 && p.steps[0].at < backoffEnd+backoffDeadline {
		s := heap.Pop(&p.steps).(event)
		p.now = s.at
		s.do()
	}
	return p
}

func (p *backoffSimulation) clock() time.Time { return start.Add(p.now) }

func (p *backoffSimulation) after(d time.Duration, do func()) {
	heap.Push(&p.steps, event{
		at: p.now + d,
		do: do,
	})
}

func (p *backoffSimulation) tick() {
	p.start(p.scheduler.Advance(p.clock()))
	p.after(50*time.Millisecond, p.tick)
}

// sheds reports whether a target sheds a request now. The first targets of the list do so at the
// same time.
func (p *backoffSimulation) sheds(key string) bool {
	var i int
	_, _ = fmt.Sscanf(key, "t%d", &i)
	if float64(i) >= p.share*backoffTargets || p.now < backoffWarmup {
		return false
	}
	return (p.now-backoffWarmup)%backoffPeriod < backoffPhase && p.rng.Float64() < p.refusedShare
}

func (p *backoffSimulation) arrive() {
	if p.now < backoffEnd {
		p.after(time.Duration(p.rng.ExpFloat64()/p.load*float64(time.Second)), p.arrive)
	}
	r := &backoffRequest{
		came:   p.now,
		counts: p.now >= backoffWarmup,
		request: &dispatch.Request{
			ID: dispatch.ID{
				Node: fmt.Sprint(p.rng.IntN(backoffNodes)),
			},
			DataHall:     "a",
			Route:        "drafts",
			Repeatable:   true,
			Kilobytes:    1,
			SoftDeadline: p.clock().Add(backoffSoftDeadline),
			Deadline:     p.clock().Add(backoffDeadline),
		},
	}
	if r.counts {
		p.got.all++
	}
	p.request(r)
}

// node returns the number of the node that received the request.
func (r *backoffRequest) node() int {
	var i int
	_, _ = fmt.Sscanf(r.request.ID.Node, "%d", &i)
	return i
}

func (p *backoffSimulation) unavailable(node int) []string {
	var out []string
	for key, until := range p.unavailableUntil[node] {
		if p.now < until {
			out = append(out, key)
		}
	}
	return out
}

func (p *backoffSimulation) request(r *backoffRequest) {
	p.next++
	a := *r.request
	a.ID.Number = p.next
	a.Retry = r.attempts > 0
	a.Unavailable = p.unavailable(r.node())
	r.request = &a
	if len(a.Unavailable) == backoffTargets {
		p.refuse(r)
		return
	}
	p.requests[p.next] = r
	p.start([]dispatch.Grant{p.scheduler.RequestGrant(p.clock(), &a)})
}

func (p *backoffSimulation) refuse(r *backoffRequest) {
	if r.counts {
		p.got.refused++
		p.got.waited += p.now - r.came
	}
}

func (p *backoffSimulation) start(grants []dispatch.Grant) {
	for _, g := range grants {
		r := p.requests[g.ID.Number]
		switch {
		case r == nil || g.Decision == dispatch.Queued:
		case g.Decision == dispatch.Granted:
			p.send(r, g)
		default:
			delete(p.requests, g.ID.Number)
			p.refuse(r)
		}
	}
}

// send makes an attempt at the granted target, or requests another grant if the target has become
// unavailable to the node.
func (p *backoffSimulation) send(r *backoffRequest, g dispatch.Grant) {
	delete(p.requests, g.ID.Number)
	if p.now < p.unavailableUntil[r.node()][g.Target] {
		p.start(p.scheduler.Done(p.clock(), g.ID, g.Target, dispatch.ResultIgnored, 0))
		p.request(r)
		return
	}
	r.attempts++
	p.reached[g.Target] = append(p.reached[g.Target], p.now)
	if p.sheds(g.Target) {
		p.after(3*time.Millisecond, func() { p.shed(r, g) })
		return
	}
	took := time.Duration(float64(backoffWork) * (0.5 + p.rng.ExpFloat64()/2))
	p.after(took, func() {
		p.start(p.scheduler.Done(p.clock(), g.ID, g.Target, dispatch.ResultGood, took))
		switch {
		case !r.counts:
		case p.now-r.came <= backoffSoftDeadline:
			p.got.onTime++
		case p.now-r.came <= backoffDeadline:
			p.got.late++
		default:
			p.got.refused++
		}
	})
}

func (p *backoffSimulation) shed(r *backoffRequest, g dispatch.Grant) {
	if r.counts {
		p.got.shed++
	}
	p.unavailableUntil[r.node()][g.Target] = p.now + p.backoff
	if p.signalled {
		p.scheduler.BackOff(p.clock(), g.Target, g.ID, p.backoff)
	}
	p.start(p.scheduler.Done(p.clock(), g.ID, g.Target, p.result, 3*time.Millisecond))
	if r.attempts == backoffAttempts || p.now-r.came > backoffDeadline {
		p.refuse(r)
		return
	}
	p.request(r)
}

// backoffCases returns the cases: loads of a third and of two thirds of the capacity, and a third of
// the targets or all that shed two in five requests, seven in ten or all.
func backoffCases() []backoffCase {
	var out []backoffCase
	for _, load := range []float64{30, 60} {
		for _, share := range []float64{0.34, 1} {
			for _, most := range []float64{0.4, 0.7, 1} {
				for _, rest := range []time.Duration{time.Second, 3 * time.Second} {
					out = append(out, backoffCase{
						load:         load,
						share:        share,
						refusedShare: most,
						backoff:      rest,
					})
				}
			}
		}
	}
	return out
}
