// SPDX-License-Identifier: Apache-2.0

package ratelimit

import (
	"math"
	"time"
)

// bucket is the token bucket of one workspace, with what the nodes have of it.
type bucket struct {
	// created is when the first report came.
	created time.Time
	// level are the tokens left at a time; those in reserve are taken out already. It may
	// fall below 0 by as many as the nodes hold.
	at    time.Time
	level float64
	nodes map[string]*nodeState
	// former are the allocators that nodes had before this one.
	former map[uint64]*formerAllocator
	// held, demand and told, of what they may admit alone, are the sums over the nodes.
	held         int
	demand       float64
	isolatedRate float64
	// withheld is the rate that is kept back since reviewed: for silent nodes, and elsewhere for
	// those of former allocators.
	withheld    float64
	missingRate float64
	reviewedAt  time.Time
}

// formerAllocator is what an allocator before this one told nodes. Those that it told of and that
// have not come here may be out of reach, or still be that one's.
type formerAllocator struct {
	// rateSum is the sum of the rates of its nodes, came that of those which have come here.
	rateSum     float64
	arrivedRate float64
	// level is the least that it told of its bucket.
	level float64
	// sentAt is when it told that.
	sentAt time.Time
	// firstSeen is when the first of them came.
	firstSeen time.Time
}

// nodeState is one node that has callers of a workspace.
type nodeState struct {
	incarnation uint64
	returned    int64
	isolated    int64
	held        int
	demand      float64
	// isolatedRate is what the node may admit alone.
	isolatedRate float64
	// formerAllocator is the allocator from which it came last, until it says that it has been answered
	// by this one.
	formerAllocator uint64
	// interval is how often it reports, heard when it last did.
	interval   time.Duration
	reportedAt time.Time
}

// grace returns how long a node may be silent until its rate is kept back.
func (m *nodeState) grace() time.Duration {
	return time.Duration(silentIntervals * float64(m.interval))
}

// uncovered returns how many requests a node admitted alone for which nothing was kept
// back: it may have reached no allocator for a moment only.
func (m *nodeState) uncovered(now time.Time, r Report) float64 {
	silence := max(now.Sub(m.reportedAt)-m.grace(), 0)
	return max(float64(r.Alone-m.isolated)-m.isolatedRate*silence.Seconds(), 0)
}

// isolatedExcess returns how many requests a node admitted alone since another allocator told it
// of the bucket, beyond what may have come in for it meanwhile: learn does not add that.
func (r Report) isolatedExcess() float64 { return max(float64(r.Lately)-r.Rate*r.Age.Seconds(), 0) }

// refill adds what has come in since the last report.
func (b *bucket) refill(now time.Time, l Limit) {
	if elapsed := now.Sub(b.at).Seconds(); elapsed > 0 {
		b.level += elapsed * max(l.Rate-b.withheld, 0)
		b.at = now
	}
	b.level = min(b.level, l.Burst)
}

// review keeps back what silent nodes admit alone, and forgets those that have been
// silent for long.
func (b *bucket) review(now time.Time, l Limit, lost float64) {
	if now.Sub(b.reviewedAt) < reviewInterval {
		return
	}
	b.reviewedAt = now
	b.withheld = 0
	for name, m := range b.nodes {
		switch silence := now.Sub(m.reportedAt); {
		case silence > forgetAfter:
			b.drop(m)
			delete(b.nodes, name)
		case silence > m.grace():
			b.withheld += m.isolatedRate
		}
	}
	for incarnation, f := range b.former {
		if now.Sub(f.firstSeen) > forgetAfter {
			delete(b.former, incarnation)
		}
	}
	b.missingRate = b.missingNodesRate(now, l, lost)
	b.withheld += b.missingRate
	if len(b.nodes) == 0 {
		// What rounding left of the sums.
		b.demand, b.isolatedRate = 0, 0
	}
}

// missingNodesRate returns what nodes may admit that former allocators told of and that have not come
// here. Nodes may have come by way of a third one, so that of several it is the most that
// counts, not the sum.
func (b *bucket) missingNodesRate(now time.Time, l Limit, lost float64) float64 {
	unreachable := 0.0
	if lost > 0 {
		unreachable = lostFactor*lost + lostFewNodesShare/math.Sqrt(float64(max(len(b.nodes), 1)))
	}
	most := 0.0
	for _, f := range b.former {
		share := unreachable
		if now.Sub(f.firstSeen) <= handoverTime {
			share = max(unreachable, handoverShare)
		}
		most = max(most, min(f.rateSum-f.arrivedRate, share*l.Rate))
	}
	return most
}

// missingNodesTokens returns how many tokens an allocator before this one may still give to its
// nodes that have not come: their part of what it told last.
func (b *bucket) missingNodesTokens(now time.Time) float64 {
	most := 0.0
	for _, f := range b.former {
		if now.Sub(f.firstSeen) <= handoverTime && f.rateSum > 0 {
			most = max(most, f.level*max(1-f.arrivedRate/f.rateSum, 0))
		}
	}
	return most
}

// drop takes a node out of the sums.
func (b *bucket) drop(m *nodeState) {
	b.held -= m.held
	b.demand -= m.demand
	b.isolatedRate -= m.isolatedRate
}

// node returns a node in one of its lives. One that was not known, or has begun anew,
// has not been heard before.
func (b *bucket) node(node string, incarnation uint64, r Report) *nodeState {
	m := b.nodes[node]
	if m != nil && m.incarnation == incarnation {
		return m
	}
	if m != nil {
		b.drop(m)
	}
	m = &nodeState{
		incarnation: incarnation,
		returned:    r.Returned,
		isolated:    r.Alone,
	}
	if r.Age == 0 {
		// It has admitted these while it met nobody.
		m.isolated = 0
	}
	b.nodes[node] = m
	return m
}

// record records the report of a node.
func (b *bucket) record(now time.Time, m *nodeState, r Report) {
	if m.reportedAt.IsZero() {
		m.reportedAt = now
		if r.Age > 0 {
			b.level -= r.isolatedExcess()
		}
	}
	b.level += float64(r.Returned - m.returned)
	b.level -= m.uncovered(now, r)
	b.held += r.Held - m.held
	b.demand += r.Demand - m.demand
	m.returned = r.Returned
	m.isolated = r.Alone
	m.held = r.Held
	m.demand = r.Demand
	m.interval = r.Every
}

// inherit takes what another allocator told a node. The level is lowered to the one told;
// what has come in since was used up by nodes that reached none.
func (b *bucket) inherit(now time.Time, m *nodeState, r Report) {
	b.level = min(b.level, r.Level)
	f := b.former[r.By]
	if f == nil {
		f = &formerAllocator{
			level:     r.Level,
			firstSeen: now,
		}
		b.former[r.By] = f
		// Until the next review nobody else of that one's nodes is known.
		b.reviewedAt = time.Time{}
	}
	if at := now.Add(-r.Age); at.After(f.sentAt) {
		f.rateSum, f.sentAt = r.Total, at
	}
	f.level = min(f.level, r.Level)
	if m.formerAllocator != r.By {
		// It says so in each of its reports until an answer has come to it.
		m.formerAllocator = r.By
		f.arrivedRate += r.Rate
	}
}

// reserve gives a node tokens to hold, up to as many as it wants.
func (b *bucket) reserve(l Limit, t Tolerance, m *nodeState, want int) int {
	most := reserveBurstShare*l.Burst + reserveToleranceShare*t.requests(l)
	left := min(most-float64(b.held), b.level-reserveMinLevel*l.Burst)
	n := min(want-m.held, int(math.Floor(left)))
	if n <= 0 {
		return 0
	}
	m.held += n
	b.held += n
	b.level -= float64(n)
	return n
}

// setShare works out what a node may admit when it reaches no allocator, and when it can
// have tokens. begun says that the allocator and its bucket have just begun.
func (b *bucket) setShare(l Limit, t Tolerance, m *nodeState, r Report, initial bool, s *Share) {
	share := b.demandShare(m)
	b.isolatedRate -= m.isolatedRate
	m.isolatedRate = min(isolatedGrowth*b.demand, l.Rate) * share
	if len(b.former) > 0 && r.Age > 0 {
		// Not all nodes may have come yet, so that each seems to have a large part.
		m.isolatedRate = min(m.isolatedRate, max(r.Rate, m.demand))
	}
	if initial {
		m.isolatedRate = min(m.isolatedRate, max(r.Rate, initialRateShare*m.isolatedRate))
	}
	if sum := b.isolatedRate + m.isolatedRate + b.missingRate; sum > l.Rate {
		m.isolatedRate *= l.Rate / sum
	}
	b.isolatedRate += m.isolatedRate
	s.Rate = m.isolatedRate
	s.Total = b.isolatedRate + b.missingRate
	s.Depth = lowLevelToleranceShare * t.requests(l) * share
	if b.level+float64(b.held) >= reserveMinLevel*l.Burst {
		s.Depth = min(isolatedExtra, isolatedExtraShare*t.requests(l)/float64(len(b.nodes))) + isolatedToleranceShare*t.requests(l)*share
	}
	s.Pace = l.Rate * share
	if b.level < 1 {
		s.Wait = time.Duration((1 - b.level) / l.Rate * float64(time.Second))
	}
}

// demandShare returns which part of a workspace's requests may come to a node: what it measured,
// but no less than half way from there to the mean of the nodes. Of a caller or two a node
// sees too little to know what they will send.
func (b *bucket) demandShare(m *nodeState) float64 {
	if b.demand <= 0 || m.demand <= 0 {
		return 0
	}
	own := m.demand / b.demand
	return min(max(own, (own+1/float64(len(b.nodes)))/2), 1)
}
