// SPDX-License-Identifier: Apache-2.0

package ratelimit

import (
	"math"
	"time"
)

// bucket is the token bucket of one workspace, with the state of the nodes that share it.
type bucket struct {
	// created is when the first report arrived.
	created time.Time
	// level is the number of tokens left at the time at, without those that nodes hold in
	// reserve. It may fall below 0 by the number of these.
	at    time.Time
	level float64
	nodes map[string]*nodeState
	// former holds the allocators that nodes had before this one, by incarnation.
	former map[uint64]*formerAllocator
	// held, demand and isolatedRate are the sums over the nodes.
	held         int
	demand       float64
	isolatedRate float64
	// withheld is the rate withheld since reviewedAt for silent nodes and for nodes of former
	// allocators; missingRate is the part for the latter.
	withheld    float64
	missingRate float64
	reviewedAt  time.Time
}

// formerAllocator is what an earlier allocator sent to nodes. Those of its nodes that have not
// reported here may be unreachable, or may still report to it.
type formerAllocator struct {
	// rateSum is the sum of the isolated rates of its nodes, arrivedRate that of the nodes that
	// have reported here.
	rateSum     float64
	arrivedRate float64
	// level is the lowest level of its bucket that it sent.
	level float64
	// sentAt is when it sent rateSum.
	sentAt time.Time
	// firstSeen is when the first of its nodes reported here.
	firstSeen time.Time
}

// nodeState is the state of a node that has callers of a workspace.
type nodeState struct {
	incarnation uint64
	returned    int64
	isolated    int64
	held        int
	demand      float64
	// isolatedRate is how many requests a second the node may admit while it is isolated.
	isolatedRate float64
	// formerAllocator is the allocator that the node had before, until it reports an answer of
	// this one.
	formerAllocator uint64
	// interval is the time between reports, reportedAt the time of the last one.
	interval   time.Duration
	reportedAt time.Time
}

// grace returns how long a node may be silent before its rate is withheld.
func (m *nodeState) grace() time.Duration { return time.Duration(silentTicks * float64(m.interval)) }

// uncovered returns how many requests a node admitted while isolated for which no rate was
// withheld: it may have been isolated for less than the grace time.
func (m *nodeState) uncovered(now time.Time, r Report) float64 {
	silence := max(now.Sub(m.reportedAt)-m.grace(), 0)
	return max(float64(r.Isolated-m.isolated)-m.isolatedRate*silence.Seconds(), 0)
}

// isolatedExcess returns how many requests a node admitted while isolated since the last answer
// of another allocator, beyond those for which its rate refilled the bucket: inherit does not
// add that refill.
func (r Report) isolatedExcess() float64 {
	return max(float64(r.IsolatedRecent)-r.Rate*r.Age.Seconds(), 0)
}

// refill adds the tokens gained since the last report.
func (b *bucket) refill(now time.Time, l Limit) {
	if elapsed := now.Sub(b.at).Seconds(); elapsed > 0 {
		b.level += elapsed * max(l.Rate-b.withheld, 0)
		b.at = now
	}
	// Nodes can't have admitted more without an allocator than in the time until they are dropped. A debt
	// without a bound, by an odd count in one report, would never be paid.
	b.level = max(min(b.level, l.Burst), -l.Burst-l.Rate*forgetAfter.Seconds())
}

// review withholds the isolated rates of silent nodes, and removes nodes that have been silent
// for longer than forgetAfter.
func (b *bucket) review(now time.Time, l Limit, fraction float64) {
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
	b.missingRate = b.missingNodesRate(now, l, fraction)
	b.withheld += b.missingRate
	if len(b.nodes) == 0 {
		// Clear rounding errors.
		b.demand, b.isolatedRate = 0, 0
	}
}

// missingNodesRate returns the rate that nodes of former allocators which have not reported here
// may admit. A node may have had several of these allocators, so the largest rate counts, not
// the sum.
func (b *bucket) missingNodesRate(now time.Time, l Limit, fraction float64) float64 {
	unreachable := 0.0
	if fraction > 0 {
		unreachable = lostFactor*fraction + lostFewNodesShare/math.Sqrt(float64(max(len(b.nodes), 1)))
	}
	largest := 0.0
	for _, f := range b.former {
		share := unreachable
		if now.Sub(f.firstSeen) <= handoverTime {
			share = max(unreachable, handoverShare)
		}
		largest = max(largest, min(f.rateSum-f.arrivedRate, share*l.Rate))
	}
	return largest
}

// missingNodesTokens returns how many tokens a former allocator may still grant to its nodes that
// have not reported here: their share of the last level that it sent.
func (b *bucket) missingNodesTokens(now time.Time) float64 {
	largest := 0.0
	for _, f := range b.former {
		if now.Sub(f.firstSeen) <= handoverTime && f.rateSum > 0 {
			largest = max(largest, f.level*max(1-f.arrivedRate/f.rateSum, 0))
		}
	}
	return largest
}

// drop subtracts a node from the sums.
func (b *bucket) drop(m *nodeState) {
	b.held -= m.held
	b.demand -= m.demand
	b.isolatedRate -= m.isolatedRate
}

// node returns the state of an incarnation of a node, a new one if it has not reported before.
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
		isolated:    r.Isolated,
	}
	if r.Age == 0 {
		// It admitted these before it reached any allocator.
		m.isolated = 0
	}
	b.nodes[node] = m
	return m
}

// record applies the report of a node.
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
	m.isolated = r.Isolated
	m.held = r.Held
	m.demand = r.Demand
	m.interval = r.Interval
}

// inherit applies what another allocator last sent to a node. The level is lowered to the one
// sent: isolated nodes may have used the tokens gained since then.
func (b *bucket) inherit(now time.Time, m *nodeState, r Report) {
	b.level = min(b.level, r.Level)
	f := b.former[r.Allocator]
	if f == nil {
		f = &formerAllocator{
			level:     r.Level,
			firstSeen: now,
		}
		b.former[r.Allocator] = f
		// Review now, to withhold the rate of its other nodes.
		b.reviewedAt = time.Time{}
	}
	if at := now.Add(-r.Age); at.After(f.sentAt) {
		f.rateSum, f.sentAt = r.RateSum, at
	}
	f.level = min(f.level, r.Level)
	if m.formerAllocator != r.Allocator {
		// The node repeats this in each report until it receives an answer.
		m.formerAllocator = r.Allocator
		f.arrivedRate += r.Rate
	}
}

// reserve grants a node tokens to hold, up to want in all, and returns their number.
func (b *bucket) reserve(l Limit, t Tolerance, m *nodeState, want int) int {
	maxHeld := reserveBurstShare*l.Burst + reserveToleranceShare*t.requests(l)
	left := min(maxHeld-float64(b.held), b.level-reserveMinLevel*l.Burst)
	n := min(want-m.held, int(math.Floor(left)))
	if n <= 0 {
		return 0
	}
	m.held += n
	b.held += n
	b.level -= float64(n)
	return n
}

// setShare sets what a node may admit while it is isolated, and the pace of its tokens. initial
// is set where the allocator and the bucket are new.
func (b *bucket) setShare(l Limit, t Tolerance, m *nodeState, r Report, initial bool, s *Share) {
	share := b.demandShare(m)
	b.isolatedRate -= m.isolatedRate
	m.isolatedRate = min(isolatedGrowth*b.demand, l.Rate) * share
	if len(b.former) > 0 && r.Age > 0 {
		// Nodes that have not reported yet make the share of each other one seem too large.
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
	s.RateSum = b.isolatedRate + b.missingRate
	s.Depth = lowLevelToleranceShare * t.requests(l) * share
	if b.level+float64(b.held) >= reserveMinLevel*l.Burst {
		s.Depth = min(isolatedExtra, isolatedExtraShare*t.requests(l)/float64(len(b.nodes))) + isolatedToleranceShare*t.requests(l)*share
	}
	s.Pace = l.Rate * share
	if b.level < 1 {
		s.Wait = time.Duration((1 - b.level) / l.Rate * float64(time.Second))
	}
}

// demandShare returns the share of a workspace's requests that a node may get: the measured share,
// but no less than the mean of that and an equal share, as the measurement of one or two callers
// is a poor estimate.
func (b *bucket) demandShare(m *nodeState) float64 {
	if b.demand <= 0 || m.demand <= 0 {
		return 0
	}
	own := m.demand / b.demand
	return min(max(own, (own+1/float64(len(b.nodes)))/2), 1)
}
