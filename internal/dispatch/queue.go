// SPDX-License-Identifier: Apache-2.0

package dispatch

import (
	"cmp"
	"container/heap"
	"maps"
	"math/bits"
	"slices"
	"strings"
	"time"

	"github.com/google/btree"
)

// waiting is a queued request.
type waiting struct {
	request *Request
	since   time.Time
	// usualTime is the usual response time, margin the time within which nearly all answers come.
	usualTime time.Duration
	margin    time.Duration
	// minResponseTime is the least remaining time in which an answer may come.
	minResponseTime time.Duration
	// bestCost is the cost of the best target at bestCostAt, busy ones included.
	bestCost   float64
	bestCostAt time.Time
	// number is the rank by arrival.
	number uint64
	flow   *flow
	group  *group
	// lateFrom is the time from which the request cannot be answered in time any more.
	lateFrom time.Time
}

// traits are the properties that decide whether a waiting request accepts a target.
type traits struct {
	dataHall   string
	route      string
	repeatable bool
	retry      bool
	sizeClass  int
	// restricted is set where some targets are unavailable to the request.
	restricted bool
	// late is set where the request cannot be answered by its soft deadline any more.
	late bool
}

// sizeClassBits is the number of leading bits of a size that its class keeps: sizes below 16 KiB are
// classes of their own, greater ones of a class differ by less than an eighth. Sizes are moving means,
// so that without classes each request would be a group of its own.
const sizeClassBits = 4

// sizeClass returns the class of a size in KiB: its greatest lower bound.
func sizeClass(kilobytes int) int {
	if kilobytes <= 0 {
		return 0
	}
	drop := max(bits.Len(uint(kilobytes))-sizeClassBits, 0)
	return kilobytes >> drop << drop
}

// groupKey identifies the waiting requests that accept the same targets.
type groupKey struct {
	traits
	priority int
	// targets are the targets and data halls that are excluded or tried last.
	targets string
}

// group holds waiting requests of the same traits and priority. The one that has waited longest
// accepts each target that any of the others accepts.
type group struct {
	groupKey
	// byArrival holds all requests, byFlow the same in the order of flows and then of arrival, lanes
	// the requests of each flow by virtual time.
	byArrival *btree.BTreeG[*waiting]
	byFlow    *btree.BTreeG[*waiting]
	lanes     *btree.BTreeG[*lane]
}

// lane holds the requests of one flow in one group.
type lane struct {
	flow *flow
	// first has waited longest.
	first *waiting
	n     int
}

func arrivedBefore(a, b *waiting) bool { return a.number < b.number }

func newGroup(key groupKey) *group {
	return &group{
		groupKey:  key,
		byArrival: btree.NewG(treeDegree, arrivedBefore),
		byFlow: btree.NewG(treeDegree, func(a, b *waiting) bool {
			return a.flow.number < b.flow.number || a.flow == b.flow && a.number < b.number
		}),
		lanes: btree.NewG(treeDegree, func(a, b *lane) bool {
			return a.flow.virtual < b.flow.virtual || a.flow.virtual == b.flow.virtual && a.first.number < b.first.number
		}),
	}
}

// oldest returns the request that has waited longest.
func (g *group) oldest() *waiting {
	w, _ := g.byArrival.Min()
	return w
}

// next returns the request that is next in the order of shares.
func (g *group) next() *waiting {
	l, _ := g.lanes.Min()
	return l.first
}

func (g *group) add(w *waiting) {
	g.byArrival.ReplaceOrInsert(w)
	g.byFlow.ReplaceOrInsert(w)
	l := w.flow.lanes[g]
	switch {
	case l == nil:
		l = &lane{
			flow:  w.flow,
			first: w,
		}
		w.flow.lanes[g] = l
	case w.number < l.first.number:
		g.lanes.Delete(l)
		l.first = w
	}
	l.n++
	g.lanes.ReplaceOrInsert(l)
}

func (g *group) remove(w *waiting) {
	g.byArrival.Delete(w)
	g.byFlow.Delete(w)
	l := w.flow.lanes[g]
	l.n--
	if l.first != w {
		return
	}
	g.lanes.Delete(l)
	if l.n == 0 {
		delete(w.flow.lanes, g)
		return
	}
	g.byFlow.AscendGreaterOrEqual(w, func(next *waiting) bool {
		l.first = next
		return false
	})
	g.lanes.ReplaceOrInsert(l)
}

// queue holds requests by priority, then by the shares of their workspaces while slots are short, and
// then by arrival. Requests of the same traits are grouped, so that the cost of a decision does not
// grow with their number.
type queue struct {
	byID   map[ID]*waiting
	groups map[groupKey]*group
	shares shares
	// lateNext holds the requests that can be answered in time, by the time until which they can;
	// late holds the others, by the time by which their deadline is after their soft deadline; expiry
	// holds all, by the time from which they cannot be answered at all.
	lateNext *btree.BTreeG[*waiting]
	late     *btree.BTreeG[*waiting]
	expiry   *btree.BTreeG[*waiting]
	arrivals uint64
	// slotsShort is set while requests wait for slots rather than for better targets. groupedShort is
	// its value by which the requests are divided into late ones and others.
	slotsShort   bool
	groupedShort bool
	// workingSlots is the expected number of slots of working targets when a request last arrived behind
	// others, 0 where none did since the queue was empty.
	workingSlots float64
}

func newQueue() queue {
	return queue{
		byID:     map[ID]*waiting{},
		groups:   map[groupKey]*group{},
		shares:   newShares(),
		lateNext: btree.NewG(treeDegree, byTime(func(w *waiting) time.Time { return w.lateFrom })),
		late: btree.NewG(treeDegree, func(a, b *waiting) bool {
			return cmp.Or(cmp.Compare(a.lateness(), b.lateness()), cmp.Compare(a.number, b.number)) < 0
		}),
		expiry: btree.NewG(treeDegree, byTime((*waiting).expires)),
	}
}

// byTime returns the order by a time and then by arrival.
func byTime(at func(*waiting) time.Time) btree.LessFunc[*waiting] {
	return func(a, b *waiting) bool {
		return cmp.Or(at(a).Compare(at(b)), cmp.Compare(a.number, b.number)) < 0
	}
}

// lateness returns how long after its soft deadline the request may be answered.
func (w *waiting) lateness() time.Duration {
	return w.request.Deadline.Sub(w.request.SoftDeadline)
}

// expires returns the time after which no answer may come by the deadline.
func (w *waiting) expires() time.Time { return w.request.Deadline.Add(-w.minResponseTime) }

// len returns the number of waiting requests.
func (q *queue) len() int { return len(q.byID) }

// lateFrom returns the time from which a waiting request can't be answered by its soft deadline any
// more. While slots are short this is required of nearly all answers rather than of half, or slots
// would go to requests that are answered too late. A final attempt keeps its place: behind the others
// it would end at a failing target.
func (q *queue) lateFrom(w *waiting) time.Time {
	if q.slotsShort && !w.request.final() {
		return w.request.SoftDeadline.Add(-w.margin)
	}
	return w.request.SoftDeadline.Add(-w.usualTime)
}

func (q *queue) add(now time.Time, w *waiting) {
	q.update(now)
	q.arrivals++
	w.number = q.arrivals
	w.flow = q.shares.flow(w.request)
	w.flow.waiting++
	q.shares.workspaces[w.request.Workspace]++
	q.byID[w.request.ID] = w
	q.expiry.ReplaceOrInsert(w)
	q.file(now, w)
}

// remove removes a waiting request.
func (q *queue) remove(w *waiting) {
	q.unfile(w)
	q.expiry.Delete(w)
	delete(q.byID, w.request.ID)
	name := w.request.Workspace
	if q.shares.workspaces[name]--; q.shares.workspaces[name] == 0 {
		delete(q.shares.workspaces, name)
	}
	w.flow.waiting--
	q.shares.release(w.flow)
	if len(q.byID) == 0 {
		q.workingSlots = 0
	}
}

// file adds a request to its group.
func (q *queue) file(now time.Time, w *waiting) {
	w.lateFrom = q.lateFrom(w)
	key := q.key(w, !now.Before(w.lateFrom))
	g := q.groups[key]
	if g == nil {
		g = newGroup(key)
		q.groups[key] = g
	}
	w.group = g
	if g.late {
		q.late.ReplaceOrInsert(w)
	} else {
		w.flow.backlog(w)
		q.lateNext.ReplaceOrInsert(w)
	}
	g.add(w)
}

// unfile removes a request from its group.
func (q *queue) unfile(w *waiting) {
	g := w.group
	g.remove(w)
	if g.late {
		q.late.Delete(w)
	} else {
		q.lateNext.Delete(w)
		w.flow.unbacklog(w)
	}
	if g.byArrival.Len() == 0 {
		delete(q.groups, g.groupKey)
	}
}

func (q *queue) key(w *waiting, late bool) groupKey {
	a := w.request
	key := groupKey{
		traits: traits{
			dataHall:   a.DataHall,
			route:      a.Route,
			repeatable: a.Repeatable,
			retry:      a.Retry,
			sizeClass:  sizeClass(a.Kilobytes),
			restricted: len(a.Unavailable)+len(a.ClosedHalls) > 0,
			late:       late,
		},
		priority: a.Priority,
	}
	if len(a.Tried)+len(a.Unavailable)+len(a.ClosedHalls) > 0 {
		lists := make([]string, 0, 3)
		for _, list := range [...][]string{a.Tried, a.Unavailable, a.ClosedHalls} {
			sorted := slices.Sorted(slices.Values(list))
			lists = append(lists, strings.Join(sorted, "\x00"))
		}
		key.targets = strings.Join(lists, "\x01")
	}
	return key
}

// update divides the requests into those that can be answered in time and the late ones.
func (q *queue) update(now time.Time) {
	if q.groupedShort != q.slotsShort {
		q.groupedShort = q.slotsShort
		for _, w := range slices.SortedFunc(maps.Values(q.byID), func(a, b *waiting) int { return cmp.Compare(a.number, b.number) }) {
			late := !now.Before(q.lateFrom(w))
			if late != w.group.late || !late && !w.lateFrom.Equal(q.lateFrom(w)) {
				q.unfile(w)
				q.file(now, w)
			}
		}
	}
	for {
		w, ok := q.lateNext.Min()
		if !ok || now.Before(w.lateFrom) {
			return
		}
		q.unfile(w)
		q.file(now, w)
	}
}

// scarceBacklog is the time for which the waiting requests that can be answered in time must keep all
// working slots busy so that shares decide although slots are not short. With 500 ms the queue of a
// busy workspace that is refused at once was often below it.
const scarceBacklog = 200 * time.Millisecond

// scarce reports whether shares decide: slots are short, or will be while the waiting requests are
// served. A single slot that is left over, because the requests that wait for it decline its target,
// does not end a scarcity.
func (q *queue) scarce() bool {
	if q.slotsShort {
		return true
	}
	var work time.Duration
	for _, c := range q.shares.classes {
		work += c.work
	}
	return q.workingSlots > 0 && work.Seconds() > scarceBacklog.Seconds()*q.workingSlots
}

// ahead returns the work that is served before an arriving request and can still be answered in time:
// the sum of the usual response times and the number of requests. usual is the usual response time of
// the request itself.
func (q *queue) ahead(now time.Time, a *Request, usual time.Duration) (sum time.Duration, n int) {
	q.update(now)
	if q.shares.several(a.Workspace) && q.scarce() {
		return q.shares.aheadInShares(a, usual)
	}
	for p, c := range q.shares.classes {
		if p <= a.Priority {
			sum += c.work
			n += c.inTime
		}
	}
	return sum, n
}

func (q *queue) has(id ID) bool { return q.byID[id] != nil }

// updateUnavailable updates the unavailable targets and closed data halls of a waiting request from
// a repeated one.
func (q *queue) updateUnavailable(now time.Time, a *Request) {
	w := q.byID[a.ID]
	if w == nil || slices.Equal(w.request.Unavailable, a.Unavailable) && slices.Equal(w.request.ClosedHalls, a.ClosedHalls) {
		return
	}
	q.unfile(w)
	w.request.Unavailable, w.request.ClosedHalls = a.Unavailable, a.ClosedHalls
	w.bestCostAt = time.Time{}
	q.file(now, w)
}

func (q *queue) drop(id ID) {
	if w := q.byID[id]; w != nil {
		q.remove(w)
	}
}

// verdict is what a pass over the waiting requests does with one of them.
type verdict uint8

const (
	// taken means that the request was granted a target.
	taken verdict = iota
	// declined means that the request accepts no target now.
	declined
	// skipped means that no request of the group can be granted a target now.
	skipped
	// stopped means that no request at all can.
	stopped
)

// offer is the request that a group offers to a pass.
type offer struct {
	group *group
	first *waiting
	// promoted is set for the priority that is due by the share of less urgent ones, virtual is the
	// virtual time of the flow, or 0 where the order is that of arrival.
	promoted bool
	virtual  float64
}

func (o offer) before(p offer) bool {
	if o.promoted != p.promoted {
		return o.promoted
	}
	return cmp.Or(cmp.Compare(o.group.priority, p.group.priority), cmp.Compare(o.virtual, p.virtual),
		cmp.Compare(o.first.number, p.first.number)) < 0
}

// offers is a heap of the offers of a pass, the next one first.
type offers []offer

func (h offers) Len() int           { return len(h) }
func (h offers) Less(i, j int) bool { return h[i].before(h[j]) }
func (h offers) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *offers) Push(x any)        { *h = append(*h, x.(offer)) }
func (h *offers) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// pass is one pass over the waiting requests.
type pass struct {
	queue *queue
	// fair is set where shares decide. lessUrgent is the priority that is due by the share of less
	// urgent ones if due is set.
	fair       bool
	lessUrgent int
	due        bool
}

// each calls try for the requests in order and removes those that it takes. Where one of a group is
// declined, the others are not tried, as they have waited less. Requests that can still be answered
// in time come first: under overload the others would make all of them late.
func (q *queue) each(now time.Time, try func(*waiting) verdict) {
	q.update(now)
	p := pass{
		queue: q,
		fair:  len(q.shares.workspaces) > 1 && q.scarce(),
	}
	for _, late := range [...]bool{false, true} {
		if !p.run(late, try) {
			return
		}
	}
}

// run tries the late requests or the others. It reports whether the pass goes on.
func (p *pass) run(late bool, try func(*waiting) verdict) bool {
	p.due = false
	if p.fair && !late {
		p.lessUrgent, p.due = p.queue.lessUrgent()
	}
	var h offers
	for _, g := range p.queue.groups {
		if g.late == late {
			h = append(h, p.offer(g))
		}
	}
	heap.Init(&h)
	for len(h) > 0 {
		o := h[0]
		if current := p.offer(o.group); current != o {
			// A grant has moved the workspace behind others.
			h[0] = current
			heap.Fix(&h, 0)
			continue
		}
		v := p.try(o, try)
		if v == stopped {
			return false
		}
		if v != taken || o.group.byArrival.Len() == 0 {
			heap.Pop(&h)
		}
	}
	return true
}

// offer returns the present offer of a group.
func (p *pass) offer(g *group) offer {
	if !p.fair {
		return offer{
			group: g,
			first: g.oldest(),
		}
	}
	w := g.next()
	return offer{
		group:    g,
		first:    w,
		promoted: p.due && g.priority == p.lessUrgent,
		virtual:  w.flow.virtual,
	}
}

// try tries the offered request. Where that one declines, it tries the one that has waited longest,
// which accepts more targets.
func (p *pass) try(o offer, try func(*waiting) verdict) verdict {
	w := o.first
	v := try(w)
	if oldest := o.group.oldest(); v == declined && oldest != w {
		w = oldest
		v = try(w)
	}
	if v != taken {
		return v
	}
	if p.fair && !o.group.late {
		p.queue.shares.creditLessUrgent(w)
		p.due = false
	}
	p.queue.remove(w)
	return taken
}

// expire removes and returns the requests that cannot be served any more. Those for which overloaded
// returns true are removed as soon as they cannot be answered in time: it must return true for all
// those of which the deadline is at most as long after the soft deadline.
func (q *queue) expire(now time.Time, overloaded func(*Request) bool) []*Request {
	q.update(now)
	var gone []*waiting
	for {
		w, ok := q.expiry.Min()
		if !ok || !now.After(w.expires()) {
			break
		}
		gone = append(gone, w)
		q.remove(w)
	}
	for {
		w, ok := q.late.Min()
		if !ok || !overloaded(w.request) {
			break
		}
		gone = append(gone, w)
		q.remove(w)
	}
	slices.SortFunc(gone, func(a, b *waiting) int {
		return cmp.Or(cmp.Compare(a.request.Priority, b.request.Priority), cmp.Compare(a.number, b.number))
	})
	var out []*Request
	for _, w := range gone {
		out = append(out, w.request)
	}
	return out
}
