// SPDX-License-Identifier: Apache-2.0

package dispatch_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"ploverjunction.example/ploverjunction/internal/dispatch"
)

// Parameters of the service in the tests of hard load.
const (
	hardTargets = 30
	hardSlots   = 3
	hardWork    = 200 * time.Millisecond
	// hardWarm is the time from which requests count and faults begin, hardEnd the time until which
	// requests arrive.
	hardWarm = 12 * time.Second
	hardEnd  = 20 * time.Second
	// hardNotice is the time in which three slots in 20 become free after targets began to reject requests:
	// until then a single target that rejects all requests looks the same.
	hardNotice = 30 * time.Millisecond
	// hardAttempts is the greatest number of attempts of a request.
	hardAttempts = 3
	// shedTime is the time in which a target rejects a request or fails at once.
	shedTime = 3 * time.Millisecond
	// defaultReturn is the time that a caller is told where the dispatcher names none.
	defaultReturn = 250 * time.Millisecond
	// returnBin is the length of the intervals in which returning callers are counted.
	returnBin = 50 * time.Millisecond
)

// hardClass is a class of requests.
type hardClass struct {
	name       string
	share      float64
	priority   int
	repeatable bool
	soft       time.Duration
	deadline   time.Duration
}

// nominations are the requests of the gas nominations, drawn as one class.
var nominations = []hardClass{
	{
		name:     "nomination",
		share:    1,
		soft:     1200 * time.Millisecond,
		deadline: 3 * time.Second,
	},
}

// portalClasses are requests of three priorities, of which the least urgent ones are repeatable.
var portalClasses = []hardClass{
	{
		name:     "objection",
		share:    0.1,
		soft:     1500 * time.Millisecond,
		deadline: 10 * time.Second,
	},
	{
		name:     "submission",
		share:    0.5,
		priority: 1,
		soft:     2 * time.Second,
		deadline: 10 * time.Second,
	},
	{
		name:       "drawing",
		share:      0.4,
		priority:   2,
		repeatable: true,
		soft:       8 * time.Second,
		deadline:   20 * time.Second,
	},
}

// hardLoad simulates a service under hard load on a simulated clock.
type hardLoad struct {
	// load is the demand as a share of the capacity.
	load    float64
	classes []hardClass
	// rejected is the share of requests that all targets reject from hardWarm on.
	rejected float64
	// failing is the share of targets that fail nine in ten requests at once, drawn anew every 9 s.
	failing float64
	// rejecting is the number of targets that reject all requests from hardWarm on.
	rejecting int
	// lost is the share of the targets that end within a second from hardWarm on.
	lost float64
	seed uint64

	scheduler *dispatch.Scheduler
	rng       *rand.Rand
	steps     eventQueue
	now       time.Duration
	next      uint64
	requests  map[uint64]*hardRequest
	running   map[string]int
	got       map[string]*hardResult
	// returns counts the callers told to return by returnBin.
	returns map[time.Duration]int
	// grants counts the first attempts, failingGrants those of them at failing targets and at those that
	// reject all requests.
	grants, failingGrants int
}

type hardRequest struct {
	class    *hardClass
	request  *dispatch.Request
	came     time.Duration
	attempts int
}

// hardResult counts the requests of a class that arrive from hardWarm on.
type hardResult struct {
	all, served, inTime, refused, overBudget, failed int
	// refusedFree are those refused while a working target had a free slot, waited those that waited
	// longer than a quarter of the time to the soft deadline and were then not served.
	refusedFree, waited int
	// withoutTime are the refusals without a RetryAfter.
	withoutTime int
	// wait is the total time until refused requests were refused.
	wait time.Duration
}

func (r *hardResult) String() string {
	all := float64(max(r.all, 1))
	return fmt.Sprintf("%d requests: served %.3f, in time %.3f, refused %.3f (on average after %v), over budget %.3f, failed %.3f; refused with a free slot %d, waited and not served %d, without a time %d",
		r.all, float64(r.served)/all, float64(r.inTime)/all, float64(r.refused)/all,
		(r.wait / time.Duration(max(r.refused, 1))).Round(time.Millisecond), float64(r.overBudget)/all,
		float64(r.failed)/all, r.refusedFree, r.waited, r.withoutTime)
}

// add adds another result.
func (r *hardResult) add(o *hardResult) {
	r.all += o.all
	r.served += o.served
	r.inTime += o.inTime
	r.refused += o.refused
	r.overBudget += o.overBudget
	r.failed += o.failed
	r.refusedFree += o.refusedFree
	r.waited += o.waited
	r.withoutTime += o.withoutTime
	r.wait += o.wait
}

// total adds up the classes.
func (h *hardLoad) total() *hardResult {
	sum := &hardResult{}
	for _, r := range h.got {
		sum.add(r)
	}
	return sum
}

// maxReturns returns the greatest number of callers told to return within one returnBin.
func (h *hardLoad) maxReturns() int {
	most := 0
	for _, n := range h.returns {
		most = max(most, n)
	}
	return most
}

// perSecond returns the capacity of the service without faults, in requests per second.
func (h *hardLoad) perSecond() float64 {
	return (1 - h.failing) * hardTargets * hardSlots / hardWork.Seconds()
}

func (h *hardLoad) run() *hardLoad {
	h.rng = rand.New(rand.NewPCG(h.seed, 9))
	h.requests = map[uint64]*hardRequest{}
	h.got = map[string]*hardResult{}
	h.returns = map[time.Duration]int{}
	h.running = map[string]int{}
	for i := range h.classes {
		h.got[h.classes[i].name] = &hardResult{}
	}
	h.scheduler = dispatch.NewScheduler(start, dispatch.Budget{
		Share:   0.2,
		Reserve: 200,
		Window:  10 * time.Second,
	}, h.rng.Float64)
	h.scheduler.Configure(start, h.targets(0))
	if h.lost > 0 {
		// The registrations of ended targets end some seconds after them.
		h.after(hardWarm+4*time.Second, func() { h.scheduler.Configure(h.clock(), h.targets(int(h.lost*hardTargets))) })
	}
	h.arrive()
	h.tick()
	for len(h.steps) > 0 && h.steps[0].at < hardEnd+20*time.Second {
		s := heap.Pop(&h.steps).(event)
		h.now = s.at
		s.do()
	}
	return h
}

// targets returns the targets without the first ones.
func (h *hardLoad) targets(without int) []dispatch.Target {
	var list []dispatch.Target
	for i := without; i < hardTargets; i++ {
		list = append(list, dispatch.Target{
			Key:      fmt.Sprint("t", i),
			DataHall: "a",
			Slots:    hardSlots,
		})
	}
	return list
}

func (h *hardLoad) clock() time.Time { return start.Add(h.now) }

func (h *hardLoad) after(d time.Duration, do func()) {
	heap.Push(&h.steps, event{
		at: h.now + d,
		do: do,
	})
}

func (h *hardLoad) tick() {
	h.start(h.scheduler.Advance(h.clock()))
	if h.now < hardEnd+15*time.Second {
		h.after(50*time.Millisecond, h.tick)
	}
}

func (h *hardLoad) class() *hardClass {
	x := h.rng.Float64()
	for i := range h.classes {
		if x -= h.classes[i].share; x < 0 {
			return &h.classes[i]
		}
	}
	return &h.classes[0]
}

func (h *hardLoad) arrive() {
	if h.now < hardEnd {
		h.after(time.Duration(h.rng.ExpFloat64()/(h.load*h.perSecond())*float64(time.Second)), h.arrive)
	}
	c := h.class()
	r := &hardRequest{
		class: c,
		came:  h.now,
		request: &dispatch.Request{
			DataHall:     "a",
			Route:        c.name,
			Repeatable:   c.repeatable,
			Priority:     c.priority,
			Kilobytes:    2,
			SoftDeadline: h.clock().Add(c.soft),
			Deadline:     h.clock().Add(c.deadline),
		},
	}
	if h.counts(r) {
		h.got[c.name].all++
	}
	h.ask(r)
}

// counts reports whether the request arrived when requests count.
func (h *hardLoad) counts(r *hardRequest) bool { return r.came >= hardWarm }

// ask requests a grant for the next attempt.
func (h *hardLoad) ask(r *hardRequest) {
	h.next++
	a := *r.request
	a.ID = dispatch.ID{
		Node:   "n",
		Number: h.next,
	}
	r.request = &a
	h.requests[h.next] = r
	h.start([]dispatch.Grant{h.scheduler.RequestGrant(h.clock(), &a)})
}

// start starts the attempts that were granted and then counts the refusals of the same moment.
func (h *hardLoad) start(grants []dispatch.Grant) {
	for _, g := range grants {
		if r := h.requests[g.ID.Number]; r != nil && g.Decision == dispatch.Granted {
			h.work(r, g)
		}
	}
	for _, g := range grants {
		r := h.requests[g.ID.Number]
		if r == nil || g.Decision == dispatch.Queued || g.Decision == dispatch.Granted {
			continue
		}
		delete(h.requests, g.ID.Number)
		h.refuse(r, g)
	}
}

// refuse counts a refusal of the dispatcher.
func (h *hardLoad) refuse(r *hardRequest, g dispatch.Grant) {
	if !h.counts(r) {
		return
	}
	after := g.RetryAfter
	if after <= 0 {
		h.got[r.class.name].withoutTime++
		after = defaultReturn
	}
	h.returns[(h.now+after)/returnBin]++
	got := h.got[r.class.name]
	if g.Decision == dispatch.OverBudget {
		got.overBudget++
	} else {
		got.refused++
		got.wait += h.now - r.came
		if h.slotFree() {
			got.refusedFree++
		}
	}
	h.unserved(r)
}

// unserved counts a request that was not served if it waited for long.
func (h *hardLoad) unserved(r *hardRequest) {
	if h.now-r.came > r.class.soft/4 {
		h.got[r.class.name].waited++
	}
}

// slotFree reports whether a target that works, and that the scheduler does not believe to fail, has a free
// slot. A target that rejects requests works.
func (h *hardLoad) slotFree() bool {
	free := false
	for n := range hardTargets {
		key := fmt.Sprint("t", n)
		free = free || h.running[key] < hardSlots && !h.ended(key) && !h.fails(key) && !h.rejects(key)
	}
	if !free || h.rejected > 0 && h.now > hardWarm+hardNotice {
		return free
	}
	for _, t := range h.scheduler.Status(h.clock()).Targets {
		if t.InFlight < t.Slots && t.FailureProbability < 0.5 && !h.fails(t.Key) && !h.ended(t.Key) && !h.rejects(t.Key) {
			return true
		}
	}
	return false
}

func number(key string) (n int) {
	_, _ = fmt.Sscanf(key, "t%d", &n)
	return n
}

// fails reports whether a target is in a phase in which it fails most requests.
func (h *hardLoad) fails(key string) bool {
	n := number(key)
	phase := (h.now + time.Duration(n)*300*time.Millisecond) / (9 * time.Second)
	return rand.New(rand.NewPCG(uint64(n)+h.seed, uint64(phase))).Float64() < h.failing
}

// rejects reports whether a target rejects all requests.
func (h *hardLoad) rejects(key string) bool { return h.now >= hardWarm && number(key) < h.rejecting }

// ended reports whether the process of a target has ended.
func (h *hardLoad) ended(key string) bool {
	lost := h.lost * hardTargets
	n := float64(number(key))
	return n < lost && h.now >= hardWarm+time.Duration(n/lost*float64(time.Second))
}

func (h *hardLoad) work(r *hardRequest, g dispatch.Grant) {
	took := time.Duration(float64(hardWork) * (0.5 + h.rng.ExpFloat64()/2))
	result := dispatch.ResultGood
	left := r.came + r.class.deadline - h.now
	h.count(r, g)
	switch {
	case h.ended(g.Target):
		result, took = dispatch.ResultUnreached, time.Millisecond
	case h.now >= hardWarm && (h.rejects(g.Target) || h.rng.Float64() < h.rejected):
		result, took = dispatch.ResultShed, shedTime
	case h.fails(g.Target) && h.rng.Float64() < 0.9:
		result, took = dispatch.ResultBad, shedTime
	case took > left:
		result, took = dispatch.ResultBad, left
	}
	sent := h.now
	h.running[g.Target]++
	h.after(took, func() {
		h.running[g.Target]--
		if result == dispatch.ResultGood && h.ended(g.Target) {
			result = dispatch.ResultBad
		}
		delete(h.requests, g.ID.Number)
		later := h.scheduler.Done(h.clock(), g.ID, g.Target, result, h.now-sent)
		h.start(later)
		h.end(r, g, result)
	})
}

// count counts a grant.
func (h *hardLoad) count(r *hardRequest, g dispatch.Grant) {
	if !h.counts(r) || r.request.Retry {
		return
	}
	h.grants++
	if h.fails(g.Target) || h.rejects(g.Target) {
		h.failingGrants++
	}
}

// end counts the end of an attempt or requests the next one.
func (h *hardLoad) end(r *hardRequest, g dispatch.Grant, result dispatch.Result) {
	r.attempts++
	again := result == dispatch.ResultShed || result == dispatch.ResultUnreached || r.class.repeatable
	switch {
	case result == dispatch.ResultGood:
		if h.counts(r) {
			h.got[r.class.name].served++
			if h.now-r.came <= r.class.soft {
				h.got[r.class.name].inTime++
			}
		}
	case again && r.attempts < hardAttempts && h.now-r.came < r.class.deadline:
		next := *r.request
		next.Retry = true
		next.Replacement = result == dispatch.ResultUnreached
		next.Tried = append(next.Tried[:len(next.Tried):len(next.Tried)], g.Target)
		r.request = &next
		h.ask(r)
	case h.counts(r):
		h.got[r.class.name].failed++
		h.unserved(r)
	}
}

// log logs what the callers got.
func (h *hardLoad) log(t *testing.T, name string) {
	t.Helper()
	t.Logf("%s: %v; at most %d callers return within %v", name, h.total(), h.maxReturns(), returnBin)
}

// checkRefusals checks what holds for each refusal under any load: no working target had a free slot, and
// the caller was told a time.
func (h *hardLoad) checkRefusals(t *testing.T, name string) {
	t.Helper()
	got := h.total()
	if got.refusedFree > 0 {
		t.Errorf("%s: %d requests refused while a slot was free", name, got.refusedFree)
	}
	if got.withoutTime > 0 {
		t.Errorf("%s: %d refusals without a time", name, got.withoutTime)
	}
}

// checkWaits checks that at most the given share of the requests waited for long in vain.
func (h *hardLoad) checkWaits(t *testing.T, name string, share float64) {
	t.Helper()
	if got := h.total(); float64(got.waited) > share*float64(got.all) {
		t.Errorf("%s: %d of %d requests waited and were not served", name, got.waited, got.all)
	}
}

// Demand of 0.8 to 2 times the capacity. Requests that cannot be served in time are refused on arrival,
// none while a slot is free, and callers return at the rate at which slots become free. Guards against
// refusals after a wait, without a time, or with the same time for many callers.
func TestHardLoadOverCapacity(t *testing.T) {
	t.Parallel()
	for _, load := range []float64{0.8, 1, 1.2, 1.5, 2} {
		name := fmt.Sprintf("load %.1f", load)
		h := (&hardLoad{
			load:    load,
			classes: nominations,
			seed:    1,
		}).run()
		h.log(t, name)
		h.checkRefusals(t, name)
		h.checkWaits(t, name, 0.02)
		if got := h.total(); float64(got.served) < 0.97*min(float64(got.all), float64(got.all)/load) {
			t.Errorf("%s: %d of %d served", name, got.served, got.all)
		}
		if most := 1.5 * h.perSecond() * returnBin.Seconds(); float64(h.maxReturns()) > most {
			t.Errorf("%s: %d callers return within %v, want at most %.0f", name, h.maxReturns(), returnBin, most)
		}
	}
}

// All targets reject 55 in 100 requests. Their free slots are used: requests were refused while a third to five
// sixths of the slots were free, because they waited for a target that rejects less. The retries go to those
// that lose most without one, and the others are told at once.
func TestHardLoadRejected(t *testing.T) {
	t.Parallel()
	for _, load := range []float64{0.23, 0.5, 0.8} {
		name := fmt.Sprintf("load %.2f", load)
		h := (&hardLoad{
			load:     load,
			classes:  portalClasses,
			rejected: 0.55,
			seed:     1,
		}).run()
		h.log(t, name)
		h.checkRefusals(t, name)
		h.checkWaits(t, name, 0.01)
		for _, c := range portalClasses {
			t.Logf("%s: %v", c.name, h.got[c.name])
		}
		served := func(class string) float64 {
			return float64(h.got[class].served) / float64(h.got[class].all)
		}
		// Three attempts serve 0.83, one serves 0.45.
		if served("objection") < 0.69 || served("submission") < 0.54 || served("drawing") < 0.42 {
			t.Errorf("%s: served %.2f of the objections, %.2f of the submissions, %.2f of the drawings",
				name, served("objection"), served("submission"), served("drawing"))
		}
		if h.scheduler.Status(h.clock()).RetriesWithheld == 0 {
			t.Errorf("%s: no retry was withheld", name)
		}
	}
}

// All targets reject 55 in 100 nominations at four fifths of the capacity. 237 of 2,893 waited in vain and
// 485 were refused when the free slots of rejecting targets were declined.
func TestHardLoadRejectedNominations(t *testing.T) {
	t.Parallel()
	h := (&hardLoad{
		load:     0.8,
		classes:  nominations,
		rejected: 0.55,
		seed:     1,
	}).run()
	h.log(t, "nominations")
	h.checkRefusals(t, "nominations")
	h.checkWaits(t, "nominations", 0.01)
	if got := h.total(); float64(got.served) < 0.54*float64(got.all) || got.refused > 0 {
		t.Error(got)
	}
	if h.maxReturns() > 30 {
		t.Errorf("%d callers return within %v", h.maxReturns(), returnBin)
	}
}

// A third of the slots is lost within a second. What was queued before may wait in vain, what arrives later
// is refused on arrival.
func TestHardLoadSlotsLost(t *testing.T) {
	t.Parallel()
	for _, load := range []float64{0.6, 0.8, 0.95} {
		name := fmt.Sprintf("load %.2f", load)
		h := (&hardLoad{
			load:    load,
			classes: nominations,
			lost:    1.0 / 3,
			seed:    1,
		}).run()
		h.log(t, name)
		h.checkRefusals(t, name)
		h.checkWaits(t, name, 0.03)
		if got := h.total(); float64(got.served) < 0.97*min(1, 2/load/3)*float64(got.all) {
			t.Errorf("%s: %v", name, got)
		}
		if most := 1.5 * h.perSecond() * returnBin.Seconds(); float64(h.maxReturns()) > most {
			t.Errorf("%s: %d callers return within %v, want at most %.0f", name, h.maxReturns(), returnBin, most)
		}
	}
}

// While slots are short, targets that fail at once draw no more work than trials need. At twice the
// capacity they drew 0.46 of the grants, because they always have free slots: 0.40 of the requests, which
// cannot be repeated, failed instead of being refused.
func TestHardLoadFailingTargets(t *testing.T) {
	t.Parallel()
	for _, load := range []float64{0.8, 1.2, 2} {
		name := fmt.Sprintf("load %.1f", load)
		sum := &hardResult{}
		grants, failing := 0, 0
		for seed := range uint64(3) {
			h := (&hardLoad{
				load:    load,
				classes: nominations,
				failing: 0.3,
				seed:    seed,
			}).run()
			got := h.total()
			sum.add(got)
			grants += h.grants
			failing += h.failingGrants
			h.checkRefusals(t, name)
		}
		t.Logf("%s: %v; %d grants, %d at failing targets", name, sum, grants, failing)
		if float64(failing) > 0.04*float64(grants) || float64(sum.failed) > 0.03*float64(sum.all) {
			t.Errorf("%s: %d of %d grants at failing targets, %d of %d requests failed", name, failing, grants, sum.failed, sum.all)
		}
	}
}
