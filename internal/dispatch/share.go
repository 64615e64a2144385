// SPDX-License-Identifier: Apache-2.0

package dispatch

import (
	"math"
	"time"

	"github.com/google/btree"
)

// treeDegree is the degree of the trees of waiting requests, the usual value of the package.
const treeDegree = 32

// This file assigns slots to workspaces by start-time fair queueing (Goyal, Vin and Cheng, "Start-time
// fair queueing", SIGCOMM 1996). The virtual time of a workspace grows by the work granted to it,
// in slot-seconds, divided by its weight. The workspace with the least virtual time is next.

// flowKey identifies the requests of one workspace with one priority. A workspace has a virtual time
// in each priority: with a common one, a workspace that waits behind more urgent work would
// accumulate credit against others of its own priority.
type flowKey struct {
	workspace string
	priority  int
}

// flow is the state of a workspace with waiting or running requests of one priority.
type flow struct {
	flowKey
	number uint64
	class  *class
	// virtual is the start of the next request in virtual time: slot-seconds per weight.
	virtual float64
	// weight is the weight of the workspace as of its last refresh.
	weight float64
	// waiting and running count requests; inTime counts the waiting ones that can be answered in time,
	// and work is their usual time.
	waiting, running, inTime int
	work                     time.Duration
	lanes                    map[*group]*lane
	// placed is set until the first request where the virtual time was imported.
	placed bool
}

// class holds the flows of one priority.
type class struct {
	// backlogged are the flows with requests waiting that can be answered in time, by virtual time.
	backlogged *btree.BTreeG[*flow]
	// last is the virtual time at which the last request was granted.
	last  float64
	flows int
	// weights sums up the weights of the flows.
	weights float64
	// work and inTime sum up the backlogged flows.
	work   time.Duration
	inTime int
	// importedFrom is the virtual time to which imported ones are relative.
	importedFrom float64
}

// virtual returns the current virtual time: that of the backlogged flow that is next.
func (c *class) virtual() float64 {
	if f, ok := c.backlogged.Min(); ok {
		return f.virtual
	}
	return c.last
}

// charge is the work charged for an attempt under way, by the weight at that time.
type charge struct {
	flow    *flow
	work    time.Duration
	weight  float64
	started time.Time
}

// shares assigns work to workspaces. Only workspaces with waiting or running requests have state.
type shares struct {
	// weight returns the weight of a workspace; nil means 1 for all.
	weight  func(workspace string) float64
	flows   map[flowKey]*flow
	classes map[int]*class
	charges map[ID]charge
	// workspaces counts the waiting requests of each workspace.
	workspaces map[string]int
	numbers    uint64
	// lessUrgentCredit is the work, in slot-seconds, that less urgent priorities may be granted. It is
	// negative while they were granted more.
	lessUrgentCredit float64
	// imported are virtual times from a handover for workspaces without requests so far, relative to
	// the one at its import. They are kept until importedUntil.
	imported      map[flowKey]float64
	importedUntil time.Time
}

func newShares() shares {
	return shares{
		flows:      map[flowKey]*flow{},
		classes:    map[int]*class{},
		charges:    map[ID]charge{},
		workspaces: map[string]int{},
	}
}

// weightOf returns the weight of a workspace, 1 where it has no valid one.
func (s *shares) weightOf(workspace string) float64 {
	if s.weight == nil {
		return 1
	}
	if w := s.weight(workspace); w > 0 && !math.IsInf(w, 0) {
		return w
	}
	return 1
}

// flow returns the flow of a request. A new one starts at the current virtual time.
func (s *shares) flow(a *Request) *flow {
	key := flowKey{
		workspace: a.Workspace,
		priority:  a.Priority,
	}
	if f := s.flows[key]; f != nil {
		s.refresh(f)
		return f
	}
	c := s.classes[a.Priority]
	if c == nil {
		c = &class{
			backlogged: btree.NewG(treeDegree, func(a, b *flow) bool {
				return a.virtual < b.virtual || a.virtual == b.virtual && a.number < b.number
			}),
		}
		s.classes[a.Priority] = c
	}
	s.numbers++
	f := &flow{
		flowKey: key,
		number:  s.numbers,
		class:   c,
		virtual: c.virtual(),
		lanes:   map[*group]*lane{},
	}
	s.place(f)
	c.flows++
	s.refresh(f)
	s.flows[key] = f
	return f
}

// refresh looks up the weight of a workspace: it may be configured anew while there are requests.
func (s *shares) refresh(f *flow) {
	if w := s.weightOf(f.workspace); w != f.weight {
		f.class.weights += w - f.weight
		f.weight = w
	}
}

// release forgets a flow without waiting and running requests.
func (s *shares) release(f *flow) {
	if f.waiting+f.running > 0 {
		return
	}
	delete(s.flows, f.flowKey)
	f.class.flows--
	f.class.weights -= f.weight
	if f.class.flows == 0 {
		delete(s.classes, f.priority)
	}
}

// setVirtual sets the virtual time of a flow and its places in the orders that follow from it.
func (f *flow) setVirtual(v float64) {
	if f.inTime > 0 {
		f.class.backlogged.Delete(f)
	}
	for g, l := range f.lanes {
		g.lanes.Delete(l)
	}
	f.virtual = v
	for g, l := range f.lanes {
		g.lanes.ReplaceOrInsert(l)
	}
	if f.inTime > 0 {
		f.class.backlogged.ReplaceOrInsert(f)
	}
}

// start moves a flow that was not backlogged to the current virtual time: it accumulates no credit.
func (f *flow) start() {
	if f.placed {
		f.placed = false
		return
	}
	if v := f.class.virtual(); f.inTime == 0 && f.virtual < v {
		f.setVirtual(v)
	}
}

// backlog counts a waiting request that can be answered in time.
func (f *flow) backlog(w *waiting) {
	f.start()
	f.inTime++
	f.work += w.usualTime
	f.class.inTime++
	f.class.work += w.usualTime
	if f.inTime == 1 {
		f.class.backlogged.ReplaceOrInsert(f)
	}
}

// unbacklog removes what backlog counted.
func (f *flow) unbacklog(w *waiting) {
	f.inTime--
	f.work -= w.usualTime
	f.class.inTime--
	f.class.work -= w.usualTime
	if f.inTime == 0 {
		f.class.backlogged.Delete(f)
	}
}

// charge charges the usual time of a granted request to its workspace.
func (s *shares) charge(now time.Time, a *Request, usual time.Duration) {
	f := s.flow(a)
	f.start()
	f.class.last = f.virtual
	f.running++
	f.setVirtual(f.virtual + usual.Seconds()/f.weight)
	s.charges[a.ID] = charge{
		flow:    f,
		work:    usual,
		weight:  f.weight,
		started: now,
	}
}

// settle corrects the charge of an attempt by the time for which it held its slot.
func (s *shares) settle(now time.Time, id ID) {
	c, ok := s.charges[id]
	if !ok {
		return
	}
	delete(s.charges, id)
	f := c.flow
	f.running--
	f.setVirtual(f.virtual + (now.Sub(c.started)-c.work).Seconds()/c.weight)
	s.release(f)
}

// several reports whether requests of more than one workspace wait, one of the given workspace
// included.
func (s *shares) several(workspace string) bool {
	n := len(s.workspaces)
	return n > 1 || n == 1 && s.workspaces[workspace] == 0
}

// aheadInShares returns the work served before an arriving request while slots are short: all work of
// more urgent priorities, the own work of its workspace, and of each other workspace what its share
// allows until then.
func (s *shares) aheadInShares(a *Request, usual time.Duration) (sum time.Duration, n int) {
	var urgent time.Duration
	for p, c := range s.classes {
		if p < a.Priority {
			urgent += c.work
			n += c.inTime
		}
	}
	own, ownCount := s.aheadInClass(a)
	sum, n = urgent+own, n+ownCount
	if most := time.Duration(float64(own+usual) / lessUrgentShare); urgent > 0 && most < sum {
		n = max(int(float64(n)*float64(most)/float64(sum)), 1)
		sum = most
	}
	return sum, n
}

// aheadInClass returns the part of aheadInShares within the priority of the request.
func (s *shares) aheadInClass(a *Request) (sum time.Duration, n int) {
	c := s.classes[a.Priority]
	if c == nil {
		return 0, 0
	}
	begin := c.virtual()
	f := s.flows[flowKey{
		workspace: a.Workspace,
		priority:  a.Priority,
	}]
	if f != nil {
		if f.inTime > 0 || f.virtual > begin {
			begin = f.virtual
		}
		sum, n = f.work, f.inTime
		s.refresh(f)
		begin += f.work.Seconds() / f.weight
	}
	c.backlogged.Ascend(func(other *flow) bool {
		if other.virtual >= begin {
			return false
		}
		if other == f {
			return true
		}
		s.refresh(other)
		// The request that is under way at the start in virtual time is served as a whole.
		one := other.work / time.Duration(other.inTime)
		share := time.Duration((begin-other.virtual)*other.weight*float64(time.Second)) + one
		if share >= other.work || one == 0 {
			sum += other.work
			n += other.inTime
			return true
		}
		sum += share
		n += int(share / one)
		return true
	})
	if f != nil && f.work > 0 {
		if until := time.Duration(float64(f.work) / s.shareOf(f)); until > sum {
			n = int(float64(n) * float64(until) / float64(max(sum, 1)))
			sum = until
		}
	}
	return sum, n
}

// shareOf returns the share of the slots that a workspace with a backlog is expected to get: what it has
// of them now, but at least what its weight among those with requests gives it. Requests of others
// that arrive later are served before the last ones of its backlog.
func (s *shares) shareOf(f *flow) float64 {
	return max(float64(f.running)/float64(max(len(s.charges), 1)), f.weight/max(f.class.weights, f.weight))
}

// ShareStatus describes how the slots are shared among workspaces.
type ShareStatus struct {
	// WaitingWorkspaces is the number of workspaces with waiting requests.
	WaitingWorkspaces int
	// Greatest is the greatest share of the running requests that one workspace has, from 0 to 1.
	// GreatestWorkspace is that workspace, empty for requests without one.
	Greatest          float64
	GreatestWorkspace string
}

// status returns the status of the shares.
func (s *shares) status() ShareStatus {
	running, all := map[string]int{}, 0
	for key, f := range s.flows {
		running[key.workspace] += f.running
		all += f.running
	}
	out := ShareStatus{
		WaitingWorkspaces: len(s.workspaces),
	}
	most := 0
	for workspace, n := range running {
		if n > most || n == most && n > 0 && workspace < out.GreatestWorkspace {
			most, out.GreatestWorkspace = n, workspace
		}
	}
	if all > 0 {
		out.Greatest = float64(most) / float64(all)
	}
	return out
}
