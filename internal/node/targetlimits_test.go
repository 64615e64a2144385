// SPDX-License-Identifier: Apache-2.0

package node_test

import (
	"context"
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
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

var (
	limitSchedules = flag.Int("limit-schedules", 24, "random schedules of targets' limits")
	limitFirst     = flag.Uint64("limit-first", 1, "seed of the first one")
)

// limitSeeds are schedules in which a target once got more than it may: nodes that lost their
// dispatcher together spent what each had saved up, and dispatchers that were not alone, or that
// no other node answered, granted the whole limit.
var limitSeeds = []uint64{
	5, 34, 50, 222, 223, 237, 258, 260, 287, 346, 350, 417, 425, 434,
	465, 514, 918, 942, 965, 966, 970, 1001, 1003, 1066, 1111, 1170, 1203, 1267,
	1314, 1356, 1358, 1374, 1403, 1520, 1626, 1691, 1722, 1723, 1775, 1798, 1852, 1871,
	1979, 1993,
}

// Times and bounds of a schedule.
const (
	scheduleNodes   = 10
	scheduleTargets = 3
	scheduleLength  = 26 * time.Second
	// namedFrom is when the first target begins to name its limit, at the latest.
	namedFrom = 4 * time.Second
	// faultsFrom and faultsTo are when faults begin.
	faultsFrom = 5 * time.Second
	faultsTo   = 20 * time.Second
	// fleetPerSecond is what all callers send, more than the targets without a limit do.
	fleetPerSecond = 60.0
	workLeast      = 50 * time.Millisecond
	workMost       = 200 * time.Millisecond

	limitWindow  = 4 * time.Second
	limitExcess  = 1.5
	limitSlack   = 5
	limitHeard   = 500 * time.Millisecond
	limitSettled = 2 * time.Second
	calmExcess   = 1.1
	calmSlack    = 2
)

// limitStep is a limit that the target names from a time on; a negative rate is none.
type limitStep struct {
	at   time.Duration
	rate float64
}

// fleetFault is what happens to some nodes for a time.
type fleetFault struct {
	kind  string
	nodes []int
	at    time.Duration
	lasts time.Duration
}

// limitSchedule is one play.
type limitSchedule struct {
	seed   uint64
	loss   float64
	limits []limitStep
	faults []fleetFault
}

var faultKinds = []string{"kill", "cut", "cut outwards", "cut inwards", "split", "lost"}

// newLimitSchedule draws a schedule. calm ones have one limit and no faults.
func newLimitSchedule(seed uint64, calm bool) *limitSchedule {
	rng := rand.New(rand.NewPCG(seed, 0x11))
	rates := []float64{0, 0.1, 0.5, 1.6, 2.6, 5, 10, 20}
	s := &limitSchedule{
		seed: seed,
		limits: []limitStep{
			{
				at:   time.Duration(rng.Int64N(int64(namedFrom))),
				rate: rates[rng.IntN(len(rates))],
			},
		},
	}
	if calm {
		return s
	}
	s.loss = 0.1 * rng.Float64() * float64(rng.IntN(2))
	for at := namedFrom; rng.IntN(2) == 0 && at < faultsTo; {
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

// allowed returns what the target may get in the window that ends at to, and false where no bound
// is known: the limit must have stood for limitSettled.
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

// sent is one request that reached the target with the limit.
type sent struct {
	at   time.Duration
	node int
	// told is set where the node had passed on an answer with the limit for a while.
	told bool
	// by is the node that granted it.
	by string
}

// limitFleet is a fleet in play.
type limitFleet struct {
	*limitSchedule
	ctx   context.Context
	cfg   *fleetconfig.Config
	rng   *rand.Rand
	begun time.Time
	tasks task.Group

	mu    sync.Mutex
	nodes []*node.FleetNode
	lives []uint64
	stops []context.CancelFunc
	// out and in count the cuts of a node, group is its side of a split.
	out, in, group []int
	lossNow        float64
	told           []time.Duration
	arrivals       []sent
	served         int
	refused        int
	held           time.Duration
	requests       int
	slots          map[string]int
}

func fleetAddress(i int) string { return fmt.Sprintf("192.0.2.%d:1", i+1) }

func playLimits(t *testing.T, s *limitSchedule) *limitFleet {
	t.Helper()
	store := fleetconfig.NewStore()
	store.Offer(saying("a", scheduleTargets))
	f := &limitFleet{
		limitSchedule: s,
		ctx:           t.Context(),
		cfg:           store.Config(),
		rng:           rand.New(rand.NewPCG(s.seed, 0x22)),
		begun:         time.Now(),
		nodes:         make([]*node.FleetNode, scheduleNodes),
		lives:         make([]uint64, scheduleNodes),
		stops:         make([]context.CancelFunc, scheduleNodes),
		out:           make([]int, scheduleNodes),
		in:            make([]int, scheduleNodes),
		group:         make([]int, scheduleNodes),
		told:          make([]time.Duration, scheduleNodes),
		slots:         map[string]int{},
		lossNow:       s.loss,
	}
	for i := range f.nodes {
		f.start(i)
	}
	for _, fault := range s.faults {
		time.AfterFunc(fault.at, func() { f.strike(fault) })
	}
	var calls sync.WaitGroup
	for time.Since(f.begun) < scheduleLength {
		time.Sleep(time.Duration(f.rng.ExpFloat64() / fleetPerSecond * float64(time.Second)))
		i, work := f.rng.IntN(scheduleNodes), workLeast+time.Duration(f.rng.Int64N(int64(workMost-workLeast)))
		calls.Go(func() { f.call(i, work) })
	}
	calls.Wait()
	for _, stop := range f.stops {
		stop()
	}
	if err := f.tasks.Wait(); err != nil {
		t.Error(err)
	}
	return f
}

// start begins a new incarnation of a node. f.mu must not be held.
func (f *limitFleet) start(i int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lives[i]++
	var seeds []string
	for s := range 3 {
		if s != i {
			seeds = append(seeds, fleetAddress(s))
		}
	}
	ctx, stop := context.WithCancel(f.ctx)
	n := node.NewFleetNode(node.FleetNodeConfig{
		Self:        membership.NewNode(fleetAddress(i), "a"),
		Incarnation: f.lives[i],
		Seeds:       seeds,
		Config:      f.cfg,
		Service:     "quotes",
		Send:        func(peer string, d *wire.Datagram) { f.send(i, peer, d) },
	})
	f.nodes[i], f.stops[i], f.told[i] = n, stop, 0
	n.Run(ctx, &f.tasks)
}

// send carries a datagram, unless it is lost.
func (f *limitFleet) send(from int, peer string, d *wire.Datagram) {
	to := slices.IndexFunc(f.nodes, func(n *node.FleetNode) bool { return n != nil && fleetAddress(slices.Index(f.nodes, n)) == peer })
	f.mu.Lock()
	defer f.mu.Unlock()
	if to < 0 || f.nodes[from] == nil || f.out[from] > 0 || f.in[to] > 0 || f.group[from] != f.group[to] || f.rng.Float64() < f.lossNow {
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

// strike begins a fault and ends it after its time.
func (f *limitFleet) strike(x fleetFault) {
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
			f.group[i] ^= 1
		}
	}
	if x.kind == "lost" {
		f.lossNow += 0.3
	}
	f.mu.Unlock()
	time.AfterFunc(x.lasts, func() { f.heal(x) })
}

func (f *limitFleet) heal(x fleetFault) {
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
			f.group[i] ^= 1
		}
	}
	if x.kind == "lost" {
		f.lossNow -= 0.3
	}
	f.mu.Unlock()
	if time.Since(f.begun) < scheduleLength {
		for _, i := range begin {
			f.start(i)
		}
	}
}

// call plays a request that comes to a node, up to three attempts.
func (f *limitFleet) call(i int, work time.Duration) {
	f.mu.Lock()
	n, life := f.nodes[i], f.lives[i]
	f.requests++
	f.mu.Unlock()
	if n == nil {
		return
	}
	begun := time.Now()
	var tried []string
	for unsent := 0; len(tried) < 3 && unsent < 8; {
		c, err := n.Choose(f.ctx, len(tried) > 0, tried, 3*time.Second)
		if err != nil {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.refused++
			f.held += time.Since(begun)
			return
		}
		// A connection opens, at times slowly.
		f.pause()
		f.mu.Lock()
		alive := f.lives[i] == life && f.nodes[i] == n
		f.mu.Unlock()
		if !alive {
			return
		}
		if !n.Permits(c) {
			unsent++
			c.Done(outlier.End{
				Ignored: true,
			}, 0)
			continue
		}
		if f.serve(i, life, n, c, work) {
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

// serve has a target work on a request and tells the node what it answered.
func (f *limitFleet) serve(i int, life uint64, n *node.FleetNode, c entry.Choice, work time.Duration) bool {
	const slots = 6
	f.mu.Lock()
	now := time.Since(f.begun)
	limited := c.Key == "id-a0"
	if limited {
		f.arrivals = append(f.arrivals, sent{
			at:   now,
			node: i,
			told: f.told[i] > 0 && now-f.told[i] >= limitHeard,
			by:   c.By,
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
	var said signal.Signal
	f.mu.Lock()
	if !full {
		f.slots[c.Key]--
	}
	rate, ok := f.rate(time.Since(f.begun))
	if ok && limited {
		said.Limit = signal.Limit{
			Rate: rate,
			Set:  true,
		}
	}
	alive := f.lives[i] == life && f.nodes[i] == n
	f.mu.Unlock()
	time.Sleep(time.Millisecond)
	if !alive {
		return true
	}
	n.Hear(c, said)
	c.Done(outlier.End{
		Shed:   full,
		Failed: false,
	}, work)
	f.mu.Lock()
	defer f.mu.Unlock()
	if limited && said.Limit.Set && f.told[i] == 0 {
		f.told[i] = time.Since(f.begun)
	}
	if limited && !said.Limit.Set {
		f.told[i] = 0
	}
	if !full {
		f.served++
	}
	return !full
}

// worst returns the greatest part of what is allowed that the target got in any window, of those
// arrivals that count.
func (f *limitFleet) worst(excess, slack float64, counts func(sent) bool) (part float64, at time.Duration, got int) {
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
		if ok && float64(len(window))/(allowed+rounding) > part {
			part, at, got = float64(len(window))/(allowed+rounding), a.at, len(window)
		}
	}
	return part, at, got
}

func told(a sent) bool { return a.told }
func any1(sent) bool   { return true }

// Whatever happens to nodes and their network, a target with a limit gets from the nodes that it
// told no more than one and a half times what the limit allows in four seconds, and five.
func TestLimitUnderRandomSchedules(t *testing.T) {
	var mu sync.Mutex
	var parts []float64
	t.Run("schedules", func(t *testing.T) {
		seeds := slices.Clone(limitSeeds)
		for i := range *limitSchedules {
			if seed := *limitFirst + uint64(i); !slices.Contains(seeds, seed) {
				seeds = append(seeds, seed)
			}
		}
		for _, seed := range seeds {
			t.Run(fmt.Sprint(seed), func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) {
					s := newLimitSchedule(seed, false)
					f := playLimits(t, s)
					part, at, got := f.worst(limitExcess, limitSlack, told)
					if part > 1 {
						t.Errorf("%d requests in the 4 s before %v, %.2f of what is allowed: limits %v, faults %+v", got, at, part, s.limits, s.faults)
						for _, a := range f.arrivals {
							if a.told && a.at > at-limitWindow && a.at <= at {
								t.Logf("%v at node %d by %s", a.at, a.node, a.by)
							}
						}
					}
					mu.Lock()
					defer mu.Unlock()
					parts = append(parts, part)
				})
			})
		}
	})
	slices.Sort(parts)
	sum := 0.0
	for _, p := range parts {
		sum += p
	}
	t.Logf("%d schedules: greatest part of what is allowed %.2f in the mean, %.2f in 99 of 100, at most %.2f",
		len(parts), sum/float64(len(parts)), parts[len(parts)*99/100], parts[len(parts)-1])
}

// While nothing goes wrong all nodes together, told or not, keep to the limit and use it; what
// can't be served is refused soon.
func TestLimitWhileCalm(t *testing.T) {
	for seed := range uint64(max(*limitSchedules/4, 4)) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				s := newLimitSchedule(seed, true)
				f := playLimits(t, s)
				rate := s.limits[0].rate
				if part, at, got := f.worst(calmExcess, calmSlack, any1); part > 1 {
					t.Errorf("%d requests in the 4 s before %v, %.2f of what is aimed at, limit %v", got, at, part, rate)
				}
				from, n := s.limits[0].at+limitSettled, 0
				for _, a := range f.arrivals {
					if a.at >= from && a.at < scheduleLength {
						n++
					}
				}
				possible := rate * (scheduleLength - from).Seconds()
				if float64(n) < 0.9*possible-1 {
					t.Errorf("%d requests of %.0f that the limit allows", n, possible)
				}
				t.Logf("limit %v: %d of %.0f, served %d of %d, %d refused after %v in the mean", rate, n, possible,
					f.served, f.requests, f.refused, f.held/time.Duration(max(f.refused, 1)))
			})
		})
	}
}

// What may be granted at the same time is one and a half times the limit at the most, and what a
// node grants that nothing is wrong with is all of it.
func TestPartsOfALimit(t *testing.T) {
	const long = time.Minute
	tests := []struct {
		name        string
		nodes, live int
		rank        int
		alone       bool
		among       time.Duration
		want        float64
	}{
		{
			name:  "all live",
			nodes: 40,
			live:  40,
			among: long,
			want:  1,
		},
		{
			name:  "a few lost",
			nodes: 40,
			live:  30,
			among: long,
			want:  1,
		},
		{
			name:  "most lost",
			nodes: 40,
			live:  10,
			among: long,
			want:  0.25,
		},
		{
			name:  "another one ranks before",
			nodes: 40,
			live:  40,
			rank:  1,
			among: long,
			want:  0.25,
		},
		{
			name:  "just joined",
			nodes: 40,
			live:  40,
			among: time.Second,
			want:  0.4,
		},
		{
			name:  "no other answers",
			nodes: 40,
			live:  40,
			alone: true,
			want:  0.025,
		},
		{
			name:  "knows nobody",
			nodes: 1,
			live:  1,
			alone: true,
			want:  0.05,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if got := node.Part(tt.nodes, tt.live, tt.rank, tt.alone, tt.among); got != tt.want {
				t.Errorf("part %v, want %v", got, tt.want)
			}
		})
	}
	for side := 1; side < 40; side++ {
		if sum := node.Part(40, side, 0, false, long) + node.Part(40, 40-side, 0, false, long); sum > 1.5 {
			t.Errorf("sides of %d and %d nodes grant %v", side, 40-side, sum)
		}
	}
}

// Nodes that tell each other of a limit don't make it newer than it is: once it is lifted it would
// come back.
func TestLimitsDoNotGetNewerOnTheirWay(t *testing.T) {
	const way = 2 * time.Millisecond
	begun := time.Now()
	now, at := begun, begun
	for range 100 {
		at = node.Relayed(now, now.Add(way), at)
		now = now.Add(way)
	}
	if at.After(begun) {
		t.Errorf("the answer is taken for %v newer than it is", at.Sub(begun))
	}
}

// Nodes that lose their dispatcher at the same moment have saved nothing up.
func TestSharesOfManyNodesAreNoBurst(t *testing.T) {
	const nodes, rate = 40, 1.6
	all := make([]node.Shares, nodes)
	now := time.Now()
	for i := range all {
		all[i].Take(now, rate, nodes)
	}
	now = now.Add(10 * time.Minute)
	got := 0
	for end := now.Add(limitWindow); now.Before(end); now = now.Add(20 * time.Millisecond) {
		for i := range all {
			if all[i].Take(now, rate, nodes) {
				got++
			}
		}
	}
	if most := int(limitExcess*limitWindow.Seconds()*rate + limitSlack); got > most {
		t.Errorf("%d requests in %v, allowed %d", got, limitWindow, most)
	}
}

// A caller that this node has no turn for may reach another one, whose turn comes before.
func TestTurnIsThatOfAllNodes(t *testing.T) {
	var s node.Shares
	if got := s.Turn(2); got < 500*time.Millisecond || got > 600*time.Millisecond {
		t.Errorf("a turn each %v of a limit of 2 a second", got)
	}
}

// A message about a limit that makes no sense changes nothing.
func TestSenselessLimitsAreIgnored(t *testing.T) {
	for _, rate := range []float64{math.NaN(), math.Inf(1), -1} {
		if at := node.Told(time.Now(), rate); !at.IsZero() {
			t.Errorf("rate %v counts", rate)
		}
	}
	if node.Told(time.Now(), 2).IsZero() {
		t.Error("a rate of 2 doesn't count")
	}
}
