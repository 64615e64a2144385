// SPDX-License-Identifier: Apache-2.0

package dispatch

import (
	"cmp"
	"container/heap"
	"time"
)

// passResult is what a pass over the waiting requests does with one of them.
type passResult uint8

const (
	// taken means that the request was granted a target.
	taken passResult = iota
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
func (q *queue) each(now time.Time, try func(*waiting) passResult) {
	q.update(now)
	p := pass{
		queue: q,
		fair:  len(q.shares.workspaces) > 1 && q.sharesApply(),
	}
	for _, late := range [...]bool{false, true} {
		if !p.run(late, try) {
			return
		}
	}
}

// run tries the late requests or the others. It reports whether the pass goes on.
func (p *pass) run(late bool, try func(*waiting) passResult) bool {
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
func (p *pass) try(o offer, visit func(*waiting) passResult) passResult {
	w := o.first
	v := visit(w)
	if oldest := o.group.oldest(); v == declined && oldest != w {
		w = oldest
		v = visit(w)
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
