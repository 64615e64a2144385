// SPDX-License-Identifier: Apache-2.0

package quarantine_test

import (
	"cmp"
	"container/heap"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"ploverjunction.example/ploverjunction/internal/quarantine"
)

// strategy is a strategy for requests under which targets crash.
type strategy struct {
	name string
	// keepsRecords is set where nodes record crashes, sharesRecords where they exchange the records.
	keepsRecords  bool
	sharesRecords bool
	// threshold is the number of crashes from which on a request is refused.
	threshold int
	// keepsAnswers is set where nodes keep recent answers, checksTarget where a target whose
	// connection broke is checked for a crash.
	keepsAnswers bool
	checksTarget bool
	// implemented is set on the strategy of the fleet.
	implemented bool
}

// load holds the requests and crashes of a service.
type load struct {
	name string
	// harmful is how many requests a second crash the target that runs them, for harmDuration.
	harmful      float64
	harmDuration time.Duration
	// crashes is how many targets a second crash for other reasons, massCrashes the times at which
	// crashShare of all targets crash at once.
	crashes     float64
	massCrashes []time.Duration
	crashShare  float64
	// restarts are the times at which all nodes lose their records.
	restarts []time.Duration
	// brokenShare is the share of requests whose connection breaks without a crash.
	brokenShare float64
	// targets, slots and rate are the size of the service, rate in harmless requests a second.
	targets int
	slots   int
	rate    float64
	nodes   int
}

// Times and shares of the model, as in the smaller deployments.
const (
	modelTime   = 60 * time.Second
	faultsStart = 5 * time.Second
	// contactTime is how long after the third crash a node may still lack the record.
	contactTime = 3 * time.Second
	workTime    = 400 * time.Millisecond
	harmTime    = 130 * time.Millisecond
	restartTime = 3 * time.Second
	// oneWay is the delay of a message between two nodes, resendDelay the additional delay of a
	// lost one.
	oneWay      = 3 * time.Millisecond
	resendDelay = 300 * time.Millisecond
	lossRate    = 0.03
	// popular is the share of requests that are one of popularRequests.
	popular         = 0.3
	popularRequests = 20
	maxAttempts     = 2
	retryDelay      = 300 * time.Millisecond
	maxRetries      = 2
)

// result counts the results of a run.
type result struct {
	harmless int
	// refused counts harmless requests that were refused, lost those not served for any reason.
	refused int
	lost    int
	// crashes counts targets that crashed under harmful requests, late how often such a request
	// was forwarded more than contactTime after the third crash and after the start of the nodes.
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

// event is a function to be called at a time.
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

// modelTarget is a target with the attempts in flight.
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
	// sent is the place of the attempt's last start among all starts of the run. Attempts of a target
	// that crashes end in this order, so that runs with the same seed are equal.
	sent int
}

// modelRequest is a caller's request.
type modelRequest struct {
	prints  quarantine.Fingerprints
	harmful bool
	retries int
}

// model simulates one strategy under one load.
type model struct {
	strategy strategy
	load     load
	// random is the source of the strategy's random numbers, chance that of the load's, so that
	// the load is the same for all strategies.
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
	sent       int
}

// simulate runs a strategy under a load.
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

// start starts all nodes without records.
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

// spread returns a random time with mean d.
func (m *model) spread(d time.Duration) time.Duration {
	return time.Duration(float64(d) * math.Exp(0.4*m.random.NormFloat64()-0.08))
}

// every schedules do at random times between from and to, rate times a second on average.
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

func (m *model) prints(uri string) quarantine.Fingerprints {
	return quarantine.NewFingerprints(quarantine.Request{
		Method: "GET",
		URI:    uri,
		// Callers use four addresses.
		Caller: fmt.Sprint(m.chance.IntN(4)),
	})
}

// harmless simulates a request that crashes nothing: a unique or a popular one.
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

// arrive simulates the arrival of a request at a random node.
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
	m.sent++
	t.sent = m.sent
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

// crashUnder crashes a target if it still runs a harmful request.
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

// crash crashes a target, which restarts after restartTime.
func (m *model) crash(target *modelTarget) {
	if !target.up {
		return
	}
	target.up = false
	flights := slices.SortedFunc(maps.Keys(target.inFlight), func(a, b *modelAttempt) int { return cmp.Compare(a.sent, b.sent) })
	target.inFlight = map[*modelAttempt]bool{}
	for _, t := range flights {
		m.connectionBroken(t, target, true)
	}
	target.incarnation++
	m.after(restartTime, func() { target.up = true })
}

// connectionBroken simulates the end of an attempt whose connection broke.
func (m *model) connectionBroken(t *modelAttempt, target *modelTarget, crashed bool) {
	suspect := false
	if m.strategy.keepsRecords {
		suspect = m.nodes[t.node].ledger.Check(m.now, t.request.prints).Suspect()
	}
	incarnation := fmt.Sprintf("%s/%d", target.name, target.incarnation)
	delay := 2 * oneWay
	m.after(delay, func() {
		if m.strategy.keepsRecords && (crashed || !m.strategy.checksTarget) {
			m.recordCrash(t, incarnation)
		}
		if suspect {
			m.retry(t)
		}
	})
	if !suspect {
		m.retry(t)
	}
}

// retry sends a request to another target, if it has attempts left and isn't held.
func (m *model) retry(t *modelAttempt) {
	held := m.strategy.keepsRecords && m.nodes[t.node].ledger.Check(m.now, t.request.prints).Held()
	if t.attempts >= maxAttempts || held {
		m.failed(t)
		return
	}
	m.send(t)
}

// failed simulates the end of a request that was not served: its caller retries.
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
