// SPDX-License-Identifier: Apache-2.0

package dispatch_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"ploverjunction.example/ploverjunction/internal/dispatch"
)

// Parameters of the overloaded service: those of the users' leasing quotes.
const (
	overSoftDeadline = 1200 * time.Millisecond
	overDeadline     = 3 * time.Second
	overWork         = 320 * time.Millisecond
	overSpread       = 0.5
	overTargets      = 40
	overSlots        = 3
	// overWarm is the time from which requests count, overEnd the time until which they arrive.
	overWarm = 8 * time.Second
	overEnd  = 28 * time.Second
)

// overloadSimulation simulates a service under more load than it can serve, and counts what its
// callers get.
type overloadSimulation struct {
	scheduler *dispatch.Scheduler
	rng       *rand.Rand
	steps     eventQueue
	now       time.Duration
	next      uint64
	// load is in requests per second at a time.
	load func(at time.Duration) float64
	// gray is the share of the targets that hang on most of their requests, drawn anew every 9 s.
	gray     float64
	requests map[uint64]*overRequest
	got      overResult
}

type overRequest struct {
	request *dispatch.Request
	came    time.Duration
}

// overResult counts the requests that arrive after overWarm.
type overResult struct {
	all, onTime, late, refused, hung int
	// waited is the total time until the refusal of refused requests.
	waited time.Duration
}

func (r overResult) String() string {
	return fmt.Sprintf("%d requests: %.3f by the soft deadline, %.3f late, %.3f refused, %.3f hung; refused after %v",
		r.all, r.share(r.onTime), r.share(r.late), r.share(r.refused), r.share(r.hung), (r.waited / time.Duration(max(r.refused, 1))).Round(time.Millisecond))
}

func (r overResult) share(n int) float64 { return float64(n) / float64(max(r.all, 1)) }

// overCapacity returns the capacity of the working targets, in requests per second.
func overCapacity(gray float64) float64 {
	return (1 - gray) * overTargets * overSlots / overWork.Seconds()
}

func simulateOverload(load func(at time.Duration) float64, gray float64, seed uint64) overResult {
	o := &overloadSimulation{
		rng:      rand.New(rand.NewPCG(seed, 5)),
		load:     load,
		gray:     gray,
		requests: map[uint64]*overRequest{},
	}
	o.scheduler = dispatch.NewScheduler(start, dispatch.Budget{
		Share:   0.2,
		Reserve: 190,
		Window:  10 * time.Second,
	}, o.rng.Float64)
	var list []dispatch.Target
	for i := range overTargets {
		list = append(list, dispatch.Target{
			Key:      fmt.Sprint("t", i),
			DataHall: "a",
			Slots:    overSlots,
		})
	}
	o.scheduler.Configure(start, list)
	o.arrive()
	o.tick()
	for len(o.steps) > 0 && o.steps[0].at < overEnd+overDeadline {
		s := heap.Pop(&o.steps).(event)
		o.now = s.at
		s.do()
	}
	return o.got
}

func (o *overloadSimulation) clock() time.Time { return start.Add(o.now) }

func (o *overloadSimulation) after(d time.Duration, do func()) {
	heap.Push(&o.steps, event{
		at: o.now + d,
		do: do,
	})
}

func (o *overloadSimulation) tick() {
	o.start(o.scheduler.Advance(o.clock()))
	o.after(50*time.Millisecond, o.tick)
}

func (o *overloadSimulation) arrive() {
	if o.now < overEnd {
		o.after(time.Duration(o.rng.ExpFloat64()/o.load(o.now)*float64(time.Second)), o.arrive)
	}
	o.next++
	r := &overRequest{
		request: &dispatch.Request{
			ID: dispatch.ID{
				Node:   "n",
				Number: o.next,
			},
			DataHall:     "a",
			Route:        "quotes",
			Repeatable:   true,
			Kilobytes:    2,
			SoftDeadline: o.clock().Add(overSoftDeadline),
			Deadline:     o.clock().Add(overDeadline),
		},
		came: o.now,
	}
	o.requests[o.next] = r
	if r.came >= overWarm {
		o.got.all++
	}
	o.start([]dispatch.Grant{o.scheduler.RequestGrant(o.clock(), r.request)})
}

func (o *overloadSimulation) start(grants []dispatch.Grant) {
	for _, g := range grants {
		r := o.requests[g.ID.Number]
		switch {
		case r == nil || g.Decision == dispatch.Queued:
		case g.Decision == dispatch.Granted:
			o.work(r, g)
		default:
			delete(o.requests, g.ID.Number)
			if r.came >= overWarm {
				o.got.refused++
				o.got.waited += o.now - r.came
			}
		}
	}
}

// hangs reports whether a request to a target hangs now.
func (o *overloadSimulation) hangs(key string) bool {
	var n int
	_, _ = fmt.Sscanf(key, "t%d", &n)
	turn := int(o.now / (9 * time.Second))
	return rand.New(rand.NewPCG(uint64(n), uint64(turn))).Float64() < o.gray && o.rng.Float64() < 0.75
}

func (o *overloadSimulation) work(r *overRequest, g dispatch.Grant) {
	sigma := math.Sqrt(math.Log(1 + overSpread*overSpread))
	took := time.Duration(float64(overWork) * math.Exp(sigma*o.rng.NormFloat64()-sigma*sigma/2))
	result := dispatch.ResultGood
	if left := r.came + overDeadline - o.now; o.hangs(g.Target) || took > left {
		took = left
		result = dispatch.ResultBad
	}
	sent := o.now
	o.after(took, func() {
		delete(o.requests, g.ID.Number)
		if r.came >= overWarm {
			switch {
			case result != dispatch.ResultGood:
				o.got.hung++
			case o.now-r.came <= overSoftDeadline:
				o.got.onTime++
			default:
				o.got.late++
			}
		}
		o.start(o.scheduler.Done(o.clock(), r.request.ID, g.Target, result, o.now-sent))
	})
}

// constantLoad returns a load that is a share of the capacity.
func constantLoad(share, gray float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return share * overCapacity(gray) }
}

// An overloaded service still answers nearly as many requests by the soft deadline as it has
// capacity for, and refuses the others at once. When requests that cannot be answered in time were
// not queued behind the others, it was 0.53 of the capacity at 1.2 to 2 times the capacity, and
// refusals took 2.8 s.
func TestOverload(t *testing.T) {
	t.Parallel()
	for _, gray := range []float64{0, 0.3} {
		for _, share := range []float64{0.8, 1, 1.2, 1.35, 1.6, 2} {
			got := simulateOverload(constantLoad(share, gray), gray, 1)
			onTime := share * got.share(got.onTime)
			t.Logf("gray %.1f, load %.2f: %.3f of the capacity by the soft deadline; %v", gray, share, onTime, got)
			if onTime < min(0.96*share, 0.88) {
				t.Errorf("gray %.1f, load %.2f: %.3f of the capacity by the soft deadline", gray, share, onTime)
			}
			if share > 1 && got.waited > time.Duration(got.refused)*400*time.Millisecond {
				t.Errorf("gray %.1f, load %.2f: refused after %v", gray, share, got.waited/time.Duration(got.refused))
			}
		}
	}
}

// A short burst is worked off: few requests are refused, and more are answered by the soft deadline
// than 0.85 of all, the share reached when requests that cannot be answered in time were served
// first.
func TestBurstIsWorkedOff(t *testing.T) {
	t.Parallel()
	burst := func(at time.Duration) float64 {
		if at > 10*time.Second && at < 13*time.Second {
			return 1.7 * overCapacity(0.3)
		}
		return 0.8 * overCapacity(0.3)
	}
	var sum overResult
	for seed := range uint64(5) {
		got := simulateOverload(burst, 0.3, seed)
		sum.all += got.all
		sum.onTime += got.onTime
		sum.late += got.late
		sum.refused += got.refused
		sum.hung += got.hung
		sum.waited += got.waited
	}
	t.Log(sum)
	if sum.share(sum.onTime) < 0.87 || sum.share(sum.refused) > 0.08 {
		t.Error(sum)
	}
}

// Guards against a request that counts as late behind an overload although a slot was just free, because
// its caller's own wait ends before the target latency of its route: it was queued for longer than it can
// wait.
func TestImpatientRequestIsNotOverloaded(t *testing.T) {
	for _, soft := range []time.Duration{2 * time.Second, 8 * time.Second} {
		d, now := newTrainedScheduler(pool(6)...)
		queued := 0
		for i := range uint64(400) {
			a := newRequest(now, 10_000+i)
			a.SoftDeadline, a.Deadline = now.Add(soft), now.Add(2*time.Second)
			if d.RequestGrant(now, a).Decision == dispatch.Queued {
				queued++
			}
		}
		// 18 slots of 200 ms serve 108 requests in 0.6 of 2 s.
		if queued < 90 || queued > 130 {
			t.Errorf("soft deadline after %v: %d requests are queued", soft, queued)
		}
	}
}

// Guards against requests that are queued behind more work than their callers wait for: with all slots taken for
// a moment, the expected wait was compared with the soft deadline of the route, which is after their own.
func TestImpatientRequestIsRefusedAtOnce(t *testing.T) {
	queued := func(soft time.Duration) int {
		d, now := newTrainedScheduler(pool(6)...)
		burst(d, now, 1, 18)
		now = now.Add(50 * time.Millisecond)
		n := 0
		for i := range uint64(1000) {
			a := newRequest(now, 10_000+i)
			a.SoftDeadline, a.Deadline = now.Add(soft), now.Add(2*time.Second)
			if d.RequestGrant(now, a).Decision == dispatch.Queued {
				n++
			}
		}
		return n
	}
	if want, got := queued(2*time.Second), queued(8*time.Second); got != want {
		t.Errorf("%d requests are queued with a soft deadline after 8 s, %d with one after 2 s", got, want)
	}
}
