// SPDX-License-Identifier: Apache-2.0

package quarantine_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"ploverjunction.example/ploverjunction/internal/quarantine"
)

// strategy is one way to deal with requests under which targets end.
type strategy struct {
	name string
	// keepsRecords is set where nodes keep what ended, tells where they tell each other.
	keepsRecords  bool
	sharesRecords bool
	// threshold is from how many ends on a request is refused.
	threshold int
	// keepsAnswers is set where what was answered lately is kept in mind, looks where a target
	// whose connection broke is asked whether it has ended.
	keepsAnswers bool
	checksTarget bool
	// implemented is set on the way that the fleet goes.
	implemented bool
}

// load is what happens to a service.
type load struct {
	name string
	// harmful is how many requests a second end each target that runs them, for harmFor.
	harmful      float64
	harmDuration time.Duration
	// crashes is how many targets a second end for other reasons, losses the moments at which
	// a part of all ends at once.
	crashes     float64
	massCrashes []time.Duration
	crashShare  float64
	// restarts are the moments at which all nodes forget what they know.
	restarts []time.Duration
	// brokenShare is the share of requests whose connection breaks though the target lives.
	brokenShare float64
	// targets, slots and rate are the size of the service: requests a second that harm nobody.
	targets int
	slots   int
	rate    float64
	nodes   int
}

// Times and shares of the model, those of the smaller deployments.
const (
	modelTime   = 60 * time.Second
	faultsStart = 5 * time.Second
	// contactTime is how long after the third end nobody may blame a node for not knowing.
	contactTime = 3 * time.Second
	workTime    = 400 * time.Millisecond
	harmTime    = 130 * time.Millisecond
	restartTime = 3 * time.Second
	// oneWay is one way between two nodes, lateTime until what was lost is told again.
	oneWay      = 3 * time.Millisecond
	resendDelay = 300 * time.Millisecond
	lossRate    = 0.03
	// popular is the share of requests that ask for one of popularOnes.
	popular         = 0.3
	popularRequests = 20
	maxAttempts     = 2
	retryDelay      = 300 * time.Millisecond
	maxRetries      = 2
)

// result counts what came of a play.
type result struct {
	harmless int
	// refused counts harmless requests that were refused, lost those not served for whatever
	// reason.
	refused int
	lost    int
	// crashes counts targets that ended under harmful requests, late how often one was sent on
	// more than contact after the third, and after the nodes began.
	crashes int
	late    int
}

func (o *result) add(p result) {
	o.harmless += p.harmless
	o.refused += p.refused
	o.lost += p.lost
	o.crashes += p.crashes
	o.late += p.late
}

// event is something that happens at a time.
type event struct {
	at time.Time
	do func()
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// modelNode is a node of the model.
type modelNode struct {
	ledger  *quarantine.Ledger
	answers *quarantine.Answers
}

// modelTarget is a target, with the attempts at it.
type modelTarget struct {
	name        string
	incarnation int
	up          bool
	inFlight    map[*modelAttempt]bool
}

// modelAttempt is an attempt of a request.
type modelAttempt struct {
	request  *modelRequest
	node     int
	attempts int
}

// modelRequest is what a caller asks for.
type modelRequest struct {
	prints  quarantine.Prints
	harmful bool
	retries int
}

// model plays one way under one load.
type model struct {
	strategy strategy
	load     load
	// random is drawn from by what the way does, chance by what happens to the service: that
	// is the same for all ways.
	random     *rand.Rand
	chance     *rand.Rand
	now        time.Time
	epoch      time.Time
	queue      events
	nodes      []modelNode
	targets    []*modelTarget
	thirdCrash time.Time
	started    time.Time
	result     result
	unique     int
}

// simulate plays a way under a load.
func simulate(w strategy, l load, seed uint64) result {
	m := &model{
		strategy: w,
		load:     l,
		random:   rand.New(rand.NewPCG(seed, 7)),
		chance:   rand.New(rand.NewPCG(seed, 8)),
		epoch:    time.Unix(1_000_000, 0),
	}
	m.now = m.epoch
	m.nodes = make([]modelNode, l.nodes)
	m.start()
	for i := range l.targets {
		m.targets = append(m.targets, &modelTarget{
			name:     fmt.Sprintf("target-%d", i),
			up:       true,
			inFlight: map[*modelAttempt]bool{},
		})
	}
	m.schedule()
	for len(m.queue) > 0 {
		e := heap.Pop(&m.queue).(event)
		m.now = e.at
		if m.now.Sub(m.epoch) > modelTime {
			break
		}
		e.do()
	}
	return m.result
}

// start has all nodes begin, without any memory.
func (m *model) start() {
	m.started = m.now
	for i := range m.nodes {
		m.nodes[i] = modelNode{
			ledger:  quarantine.NewLedger(m.random.Uint64()),
			answers: quarantine.NewAnswers(m.now),
		}
		m.nodes[i].ledger.RefuseFrom(m.strategy.threshold)
	}
}

func (m *model) after(d time.Duration, do func()) {
	heap.Push(&m.queue, event{
		at: m.now.Add(d),
		do: do,
	})
}

// spread returns a time that is d in the mean.
func (m *model) spread(d time.Duration) time.Duration {
	return time.Duration(float64(d) * math.Exp(0.4*m.random.NormFloat64()-0.08))
}

// every does something rate times a second, at random, between two moments.
func (m *model) every(rate float64, from, to time.Duration, do func()) {
	for at := from; rate > 0; {
		at += time.Duration(m.chance.ExpFloat64() / rate * float64(time.Second))
		if at >= to {
			return
		}
		m.after(at, do)
	}
}

func (m *model) schedule() {
	l := m.load
	m.every(l.rate, 0, modelTime, m.harmless)
	harm := &modelRequest{
		prints:  m.prints("harm"),
		harmful: true,
	}
	m.every(l.harmful, faultsStart, faultsStart+l.harmDuration, func() { m.arrive(harm) })
	for _, at := range l.restarts {
		m.after(at, m.start)
	}
	m.every(l.crashes, faultsStart, modelTime, func() { m.crash(m.targets[m.chance.IntN(l.targets)]) })
	for _, at := range l.massCrashes {
		m.after(at, func() {
			for _, t := range m.targets {
				if m.chance.Float64() < l.crashShare {
					m.crash(t)
				}
			}
		})
	}
}

func (m *model) prints(uri string) quarantine.Prints {
	return quarantine.NewPrints(quarantine.Request{
		Method: "GET",
		URI:    uri,
		// Callers come by some addresses.
		Caller: fmt.Sprint(m.chance.IntN(4)),
	})
}

// harmless is a request that ends nothing: of its own, or one that many ask for.
func (m *model) harmless() {
	m.result.harmless++
	m.unique++
	uri := fmt.Sprintf("unique-%d", m.unique)
	if m.chance.Float64() < popular {
		uri = fmt.Sprintf("popular-%d", m.chance.IntN(popularRequests))
	}
	m.arrive(&modelRequest{
		prints: m.prints(uri),
	})
}

// arrive brings a request to a node.
func (m *model) arrive(r *modelRequest) {
	t := &modelAttempt{
		request: r,
		node:    m.random.IntN(len(m.nodes)),
	}
	if m.strategy.keepsRecords && m.nodes[t.node].ledger.Check(m.now, r.prints).Held() {
		if !r.harmful {
			m.result.refused++
			m.result.lost++
		}
		return
	}
	m.send(t)
}

// send sends an attempt to a target with a free slot.
func (m *model) send(t *modelAttempt) {
	var free []*modelTarget
	for _, target := range m.targets {
		if target.up && len(target.inFlight) < m.load.slots {
			free = append(free, target)
		}
	}
	if len(free) == 0 {
		m.failed(t)
		return
	}
	t.attempts++
	target := free[m.random.IntN(len(free))]
	target.inFlight[t] = true
	if t.request.harmful {
		if !m.thirdCrash.IsZero() && m.now.Sub(m.thirdCrash) > contactTime && m.now.Sub(m.started) > contactTime {
			m.result.late++
		}
		m.after(m.spread(harmTime), func() { m.crashUnder(target, t) })
		return
	}
	m.after(m.spread(workTime), func() {
		if !target.inFlight[t] {
			return
		}
		delete(target.inFlight, t)
		if m.random.Float64() < m.load.brokenShare {
			m.connectionBroken(t, target, false)
			return
		}
		m.recordAnswer(t)
	})
}

// crashUnder ends a target that still works on a harmful request.
func (m *model) crashUnder(target *modelTarget, t *modelAttempt) {
	if !target.inFlight[t] {
		return
	}
	m.result.crashes++
	if m.result.crashes == 3 {
		m.thirdCrash = m.now
	}
	m.crash(target)
}

// crash ends a target; it comes back.
func (m *model) crash(target *modelTarget) {
	if !target.up {
		return
	}
	target.up = false
	flights := target.inFlight
	target.inFlight = map[*modelAttempt]bool{}
	for t := range flights {
		m.connectionBroken(t, target, true)
	}
	target.incarnation++
	m.after(restartTime, func() { target.up = true })
}

// connectionBroken is an attempt whose connection broke.
func (m *model) connectionBroken(t *modelAttempt, target *modelTarget, ended bool) {
	suspect := false
	if m.strategy.keepsRecords {
		suspect = m.nodes[t.node].ledger.Check(m.now, t.request.prints).Suspect()
	}
	life := fmt.Sprintf("%s/%d", target.name, target.incarnation)
	look := 2 * oneWay
	m.after(look, func() {
		if m.strategy.keepsRecords && (ended || !m.strategy.checksTarget) {
			m.recordCrash(t, life)
		}
		if suspect {
			m.retry(t)
		}
	})
	if !suspect {
		m.retry(t)
	}
}

// retry sends a request to a second target.
func (m *model) retry(t *modelAttempt) {
	held := m.strategy.keepsRecords && m.nodes[t.node].ledger.Check(m.now, t.request.prints).Held()
	if t.attempts >= maxAttempts || held {
		m.failed(t)
		return
	}
	m.send(t)
}

// failed is a request that was not served: its caller comes again.
func (m *model) failed(t *modelAttempt) {
	if t.request.harmful {
		return
	}
	if t.request.retries >= maxRetries {
		m.result.lost++
		return
	}
	t.request.retries++
	m.after(retryDelay, func() { m.arrive(t.request) })
}
