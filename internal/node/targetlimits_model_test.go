// SPDX-License-Identifier: Apache-2.0

package node_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"ploverjunction.example/ploverjunction/internal/entry"
	"ploverjunction.example/ploverjunction/internal/fleetconfig"
	"ploverjunction.example/ploverjunction/internal/membership"
	"ploverjunction.example/ploverjunction/internal/node"
	"ploverjunction.example/ploverjunction/internal/outlier"
	"ploverjunction.example/ploverjunction/internal/signal"
	"ploverjunction.example/ploverjunction/internal/task"
	"ploverjunction.example/ploverjunction/internal/wire"
)

// Times and bounds of a schedule.
const (
	scheduleNodes   = 10
	scheduleTargets = 3
	scheduleLength  = 26 * time.Second
	// limitSetBy is the latest time at which the first target begins to signal its limit.
	limitSetBy = 4 * time.Second
	// faultsFrom and faultsTo are when faults begin.
	faultsFrom = 5 * time.Second
	faultsTo   = 20 * time.Second
	// fleetPerSecond is the rate of all callers, more than the targets without a limit can serve.
	fleetPerSecond = 60.0
	minWork        = 50 * time.Millisecond
	maxWork        = 200 * time.Millisecond

	limitWindow      = 4 * time.Second
	limitExcess      = 1.5
	limitSlack       = 5
	limitPropagation = 500 * time.Millisecond
	limitSettled     = 2 * time.Second
	faultlessExcess  = 1.1
	faultlessSlack   = 2
)

// limitStep is a limit that the target signals from a time on; a negative rate is none.
type limitStep struct {
	at   time.Duration
	rate float64
}

// fleetFault is a fault of some nodes for a time.
type fleetFault struct {
	kind  string
	nodes []int
	at    time.Duration
	lasts time.Duration
}

// limitSchedule is one simulated schedule.
type limitSchedule struct {
	seed   uint64
	loss   float64
	limits []limitStep
	faults []fleetFault
}

var faultKinds = []string{"kill", "cut", "cut outwards", "cut inwards", "split", "lost"}

// newLimitSchedule draws a schedule. A calm one has one limit and no faults.
func newLimitSchedule(seed uint64, calm bool) *limitSchedule {
	rng := rand.New(rand.NewPCG(seed, 0x11))
	rates := []float64{0, 0.1, 0.5, 1.6, 2.6, 5, 10, 20}
	s := &limitSchedule{
		seed: seed,
		limits: []limitStep{
			{
				at:   time.Duration(rng.Int64N(int64(limitSetBy))),
				rate: rates[rng.IntN(len(rates))],
			},
		},
	}
	if calm {
		return s
	}
	s.loss = 0.1 * rng.Float64() * float64(rng.IntN(2))
	for at := limitSetBy; rng.IntN(2) == 0 && at < faultsTo; {
		at += time.Duration(rng.Int64N(int64(6 * time.Second)))
		step := limitStep{
			at:   at,
			rate: rates[rng.IntN(len(rates))],
		}
		if rng.IntN(3) == 0 {
			step.rate = -1
		}
		s.limits = append(s.limits, step)
	}
	for range 1 + rng.IntN(5) {
		f := fleetFault{
			kind:  faultKinds[rng.IntN(len(faultKinds))],
			at:    faultsFrom + time.Duration(rng.Int64N(int64(faultsTo-faultsFrom))),
			lasts: 200*time.Millisecond + time.Duration(rng.Int64N(int64(5*time.Second))),
		}
		many := 1 + rng.IntN(2)
		if f.kind == "split" || rng.IntN(5) == 0 {
			many = 1 + rng.IntN(scheduleNodes)
		}
		f.nodes = rng.Perm(scheduleNodes)[:many]
		s.faults = append(s.faults, f)
	}
	return s
}

// rate returns the limit at a time since the start, and whether there is one.
func (s *limitSchedule) rate(at time.Duration) (float64, bool) {
	rate := -1.0
	for _, l := range s.limits {
		if l.at <= at {
			rate = l.rate
		}
	}
	return rate, rate >= 0
}

// allowed returns how many requests the target may get in the window that ends at to, and false if
// no bound is known: the limit must have been in place for limitSettled.
func (s *limitSchedule) allowed(to time.Duration, excess, slack float64) (float64, bool) {
	const step = 50 * time.Millisecond
	sum := 0.0
	for at := to - limitWindow; at < to; at += step {
		greatest := 0.0
		for back := time.Duration(0); back <= limitSettled; back += limitSettled / 4 {
			rate, ok := s.rate(at - back)
			if !ok {
				return 0, false
			}
			greatest = max(greatest, rate)
		}
		sum += greatest * step.Seconds()
	}
	return excess*sum + slack, true
}

// arrival is one request that reached the target with the limit.
type arrival struct {
	at   time.Duration
	node int
	// informed is set if the node reported an answer with the limit at least limitPropagation ago.
	informed bool
	// by is the node that granted it.
	by string
}

// limitFleet is the simulated fleet.
type limitFleet struct {
	*limitSchedule
	ctx     context.Context
	cfg     *fleetconfig.Config
	rng     *rand.Rand
	started time.Time
	tasks   task.Group

	mu           sync.Mutex
	nodes        []*node.FleetNode
	incarnations []uint64
	stops        []context.CancelFunc
	// out and in count the cuts of a node, side is its side of a split.
	out, in, side []int
	currentLoss   float64
	informedAt    []time.Duration
	arrivals      []arrival
	served        int
	refused       int
	refusalTime   time.Duration
	requests      int
	slots         map[string]int
}

func fleetAddress(i int) string { return fmt.Sprintf("192.0.2.%d:1", i+1) }

func runSchedule(t *testing.T, s *limitSchedule) *limitFleet {
	t.Helper()
	f := newLimitFleet(t, s, scheduleTargets)
	f.play(t, f.call)
	return f
}

func newLimitFleet(t *testing.T, s *limitSchedule, targets int) *limitFleet {
	t.Helper()
	store := fleetconfig.NewStore()
	store.Offer(serviceWithTargets("a", targets))
	return &limitFleet{
		limitSchedule: s,
		ctx:           t.Context(),
		cfg:           store.Config(),
		rng:           rand.New(rand.NewPCG(s.seed, 0x22)),
		started:       time.Now(),
		nodes:         make([]*node.FleetNode, scheduleNodes),
		incarnations:  make([]uint64, scheduleNodes),
		stops:         make([]context.CancelFunc, scheduleNodes),
		out:           make([]int, scheduleNodes),
		in:            make([]int, scheduleNodes),
		side:          make([]int, scheduleNodes),
		informedAt:    make([]time.Duration, scheduleNodes),
		slots:         map[string]int{},
		currentLoss:   s.loss,
	}
}

// play starts the nodes and simulates the schedule; call simulates one request on a node.
func (f *limitFleet) play(t *testing.T, call func(i int, work time.Duration)) {
	t.Helper()
	for i := range f.nodes {
		f.start(i)
	}
	for _, fault := range f.faults {
		time.AfterFunc(fault.at, func() { f.inject(fault) })
	}
	// Arrivals have their own random source, so that those of a seed do not change.
	arrivals := rand.New(rand.NewPCG(f.seed, 0x33))
	var calls sync.WaitGroup
	for time.Since(f.started) < scheduleLength {
		time.Sleep(time.Duration(arrivals.ExpFloat64() / fleetPerSecond * float64(time.Second)))
		i, work := arrivals.IntN(scheduleNodes), minWork+time.Duration(arrivals.Int64N(int64(maxWork-minWork)))
		calls.Go(func() { call(i, work) })
	}
	calls.Wait()
	f.mu.Lock()
	for _, stop := range f.stops {
		stop()
	}
	f.mu.Unlock()
	if err := f.tasks.Wait(); err != nil {
		t.Error(err)
	}
}

// start starts a new incarnation of a node. f.mu must not be held.
func (f *limitFleet) start(i int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.incarnations[i]++
	var seeds []string
	for s := range 3 {
		if s != i {
			seeds = append(seeds, fleetAddress(s))
		}
	}
	ctx, stop := context.WithCancel(f.ctx)
	n := node.NewFleetNode(node.FleetNodeConfig{
		Self:        membership.NewNode(fleetAddress(i), "a"),
		Incarnation: f.incarnations[i],
		Seeds:       seeds,
		Config:      f.cfg,
		Service:     "quotes",
		Send:        func(peer string, d *wire.Datagram) { f.send(i, peer, d) },
	})
	f.nodes[i], f.stops[i], f.informedAt[i] = n, stop, 0
	n.Run(ctx, &f.tasks)
}

// send delivers a datagram, unless it is lost.
func (f *limitFleet) send(from int, peer string, d *wire.Datagram) {
	to := 0
	for fleetAddress(to) != peer {
		to++
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.nodes[to] == nil || f.nodes[from] == nil || f.out[from] > 0 || f.in[to] > 0 || f.side[from] != f.side[to] || f.rng.Float64() < f.currentLoss {
		return
	}
	delay := time.Millisecond + time.Duration(f.rng.Int64N(int64(4*time.Millisecond)))
	if f.rng.IntN(50) == 0 {
		delay += time.Duration(f.rng.Int64N(int64(100 * time.Millisecond)))
	}
	time.AfterFunc(delay, func() {
		f.mu.Lock()
		n := f.nodes[to]
		f.mu.Unlock()
		if n != nil {
			n.Receive(f.ctx, d)
		}
	})
}

// inject begins a fault and ends it after its time.
func (f *limitFleet) inject(x fleetFault) {
	f.mu.Lock()
	for _, i := range x.nodes {
		switch x.kind {
		case "kill":
			if f.nodes[i] != nil {
				f.stops[i]()
				f.nodes[i] = nil
			}
		case "cut":
			f.out[i]++
			f.in[i]++
		case "cut outwards":
			f.out[i]++
		case "cut inwards":
			f.in[i]++
		case "split":
			f.side[i] ^= 1
		}
	}
	if x.kind == "lost" {
		f.currentLoss += 0.3
	}
	f.mu.Unlock()
	time.AfterFunc(x.lasts, func() { f.endFault(x) })
}

func (f *limitFleet) endFault(x fleetFault) {
	f.mu.Lock()
	var begin []int
	for _, i := range x.nodes {
		switch x.kind {
		case "kill":
			if f.nodes[i] == nil {
				begin = append(begin, i)
			}
		case "cut":
			f.out[i]--
			f.in[i]--
		case "cut outwards":
			f.out[i]--
		case "cut inwards":
			f.in[i]--
		case "split":
			f.side[i] ^= 1
		}
	}
	if x.kind == "lost" {
		f.currentLoss -= 0.3
	}
	f.mu.Unlock()
	if time.Since(f.started) < scheduleLength {
		for _, i := range begin {
			f.start(i)
		}
	}
}

// call simulates a request on a node, with up to three attempts.
func (f *limitFleet) call(i int, work time.Duration) {
	f.mu.Lock()
	n, incarnation := f.nodes[i], f.incarnations[i]
	f.requests++
	f.mu.Unlock()
	if n == nil {
		return
	}
	started := time.Now()
	var tried []string
	for unsent := 0; len(tried) < 3 && unsent < 8; {
		c, err := n.Choose(f.ctx, len(tried) > 0, tried, 3*time.Second)
		if err != nil {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.refused++
			f.refusalTime += time.Since(started)
			return
		}
		// Opening a connection is sometimes slow.
		f.pause()
		f.mu.Lock()
		alive := f.incarnations[i] == incarnation && f.nodes[i] == n
		f.mu.Unlock()
		if !alive {
			return
		}
		if !n.Permits(c) {
			unsent++
			c.Done(outlier.Result{
				Ignored: true,
			}, 0)
			continue
		}
		if f.serve(i, incarnation, n, c, work) {
			return
		}
		tried = append(tried, c.Key)
	}
}

func (f *limitFleet) pause() {
	f.mu.Lock()
	d := time.Duration(f.rng.Int64N(int64(time.Millisecond)))
	if f.rng.IntN(40) == 0 {
		d = time.Duration(f.rng.Int64N(int64(300 * time.Millisecond)))
	}
	f.mu.Unlock()
	time.Sleep(d)
}

// serve simulates the work of a target on a request and passes its answer to the node.
func (f *limitFleet) serve(i int, incarnation uint64, n *node.FleetNode, c entry.Choice, work time.Duration) bool {
	const slots = 6
	f.mu.Lock()
	now := time.Since(f.started)
	limited := c.Key == "id-a0"
	if limited {
		f.arrivals = append(f.arrivals, arrival{
			at:       now,
			node:     i,
			informed: f.informedAt[i] > 0 && now-f.informedAt[i] >= limitPropagation,
			by:       c.By,
		})
	}
	full := f.slots[c.Key] >= slots
	if !full {
		f.slots[c.Key]++
	}
	f.mu.Unlock()
	if full {
		work = time.Millisecond
	}
	time.Sleep(work)
	var sig signal.Signal
	f.mu.Lock()
	if !full {
		f.slots[c.Key]--
	}
	rate, ok := f.rate(time.Since(f.started))
	if ok && limited {
		sig.Limit = signal.Limit{
			Rate: rate,
			Set:  true,
		}
	}
	alive := f.incarnations[i] == incarnation && f.nodes[i] == n
	f.mu.Unlock()
	time.Sleep(time.Millisecond)
	if !alive {
		return true
	}
	n.Observe(c, sig)
	c.Done(outlier.Result{
		Shed:   full,
		Failed: false,
	}, work)
	f.mu.Lock()
	defer f.mu.Unlock()
	if limited && sig.Limit.Set && f.informedAt[i] == 0 {
		f.informedAt[i] = time.Since(f.started)
	}
	if limited && !sig.Limit.Set {
		f.informedAt[i] = 0
	}
	if !full {
		f.served++
	}
	return !full
}

// worst returns the greatest ratio of requests to allowed requests in any window, of those arrivals
// that count.
func (f *limitFleet) worst(excess, slack float64, counts func(arrival) bool) (ratio float64, at time.Duration, got int) {
	var window []time.Duration
	for _, a := range f.arrivals {
		if !counts(a) {
			continue
		}
		window = append(window, a.at)
		for a.at-window[0] >= limitWindow {
			window = window[1:]
		}
		allowed, ok := f.allowed(a.at, excess, slack)
		// Sums of fractions may be off by less than any request.
		const rounding = 1e-9
		if ok && float64(len(window))/(allowed+rounding) > ratio {
			ratio, at, got = float64(len(window))/(allowed+rounding), a.at, len(window)
		}
	}
	return ratio, at, got
}

func fromInformed(a arrival) bool { return a.informed }
func fromAny(arrival) bool        { return true }
