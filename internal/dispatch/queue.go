// SPDX-License-Identifier: Apache-2.0

package dispatch

import (
	"cmp"
	"maps"
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
	// number is the rank by arrival, that at the first dispatcher where the request has waited at
	// others.
	number uint64
	flow   *flow
	group  *group
	// lateFrom is the time from which the request cannot be answered in time any more.
	lateFrom time.Time
}

// queue holds requests by priority, then by the shares of their workspaces while slots are short, and
// then by arrival. Requests of the same traits are grouped, so that the cost of a decision does not
// grow with their number.
type queue struct {
	byID   map[ID]*waiting
	groups map[groupKey]*group
	shares shares
	// inTime holds the requests that can be answered in time, by the time until which they can;
	// late holds the others, by the time by which their deadline is after their soft deadline; expiry
	// holds all, by the time from which they cannot be answered at all.
	inTime   *btree.BTreeG[*waiting]
	late     *btree.BTreeG[*waiting]
	expiry   *btree.BTreeG[*waiting]
	arrivals uint64
	// epoch is the time of the first arrival, to which ranks are relative.
	epoch time.Time
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
		byID:   map[ID]*waiting{},
		groups: map[groupKey]*group{},
		shares: newShares(),
		inTime: btree.NewG(treeDegree, byTime(func(w *waiting) time.Time { return w.lateFrom })),
		late: btree.NewG(treeDegree, func(a, b *waiting) bool {
			return cmp.Or(cmp.Compare(a.request.lateness(), b.request.lateness()), cmp.Compare(a.number, b.number)) < 0
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

// arrivalBits is the number of bits of a rank that hold the order of arrivals within a millisecond. They
// repeat after 16 million arrivals, which no waiting request outlasts; the others last for 34 years.
const arrivalBits = 24

// rank returns the next rank of a request that began to wait at a time. Ranks are unique and in the order
// of these times in milliseconds, and then of the calls.
func (q *queue) rank(now, since time.Time) uint64 {
	if q.epoch.IsZero() {
		q.epoch = now.Add(-maxWaited)
	}
	q.arrivals++
	return uint64(max(since.Sub(q.epoch).Milliseconds(), 0))<<arrivalBits | q.arrivals&(1<<arrivalBits-1)
}

func (q *queue) add(now time.Time, w *waiting) {
	q.update(now)
	w.number = q.rank(now, w.since)
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
		q.inTime.ReplaceOrInsert(w)
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
		q.inTime.Delete(w)
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
		w, ok := q.inTime.Min()
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

// sharesApply reports whether shares decide: slots are short, or will be while the waiting requests are
// served. A single slot that is left over, because the requests that wait for it decline its target,
// does not end a scarcity.
func (q *queue) sharesApply() bool {
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
	if q.shares.several(a.Workspace) && q.sharesApply() {
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
