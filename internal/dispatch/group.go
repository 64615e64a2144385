// SPDX-License-Identifier: Apache-2.0

package dispatch

import (
	"math/bits"

	"github.com/google/btree"
)

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
