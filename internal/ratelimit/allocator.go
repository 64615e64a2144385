// SPDX-License-Identifier: Apache-2.0

package ratelimit

import "time"

// Parts of what a limit allows.
const (
	// reserveBurstShare and reserveTolerance are the parts of the burst and of the tolerance
	// that all nodes together may hold in reserve: most of the tolerance is left for nodes
	// that reach no allocator.
	reserveBurstShare     = 0.25
	reserveToleranceShare = 0.2
	// reserveMinLevel is the part of the burst that must be left in the bucket, beside all
	// reserves, for a node to get more of them: while a workspace sends more than its
	// limit there are none, and the bucket alone decides.
	reserveMinLevel = 0.5
	// isolatedGrowth is by how much a node that reaches no allocator may exceed what was
	// asked of it before, as long as the limit has room: what a few callers ask varies.
	// At 1.1 a third of 113 nodes refused 20% of what was below the limit while they were
	// cut off, in the model of TestFleetKeepsLimits.
	isolatedGrowth = 1.5
	// isolatedToleranceShare is the part of the tolerance that such nodes may use at once, by their
	// parts of the requests. Each may have aloneMore requests beyond it, for a caller or two
	// whose requests come close to each other, as long as that is aloneMost of the
	// tolerance for all nodes. While the bucket is low they get tightTolerance only.
	isolatedToleranceShare = 0.25
	isolatedExtra          = 3
	isolatedExtraShare     = 0.7
	lowLevelToleranceShare = 0.1
	// initialLevelShare is the part of the burst with which the bucket of a process begins that has
	// just started, where no node can tell what was spent before. A fleet that is killed
	// again and again would give a burst each time.
	initialLevelShare = 0.5
	// initialRateShare is the part of what a node could admit alone that an allocator tells which has
	// just begun, as does its bucket: not all nodes have come to it, and while they meet they
	// may take others for the allocator, so that each of a few would tell the whole limit.
	// All nodes killed, and the allocator again within 2 s, at 6.5 times the limit: 1.14 of
	// what may run in 5 s without it.
	initialRateShare = 0.25
)

// Times of allocators.
const (
	// silentIntervals is how many of a node's own ticks without a report make it count as out
	// of reach; forgetAfter is how long after its last report a node is forgotten, and after
	// the move of the role what an allocator told before this one. aloneTime is how long a
	// node goes on at what it was told last, less than forgetAfter by a tick.
	silentIntervals      = 1.5
	forgetAfter          = 15 * time.Second
	isolatedRateLifetime = 14 * time.Second
	// handoverTime is how long after a node of another allocator came more of them are on their
	// way: what is kept back for them is bounded by movingPart of the limit. Later those that
	// have not come are out of reach, and the part of the fleet that is bounds it: lostMore
	// times that part of the limit, and lostFew for a workspace with a single node, less by
	// the root of their number with more: the part of a few nodes may be any.
	handoverTime      = 1500 * time.Millisecond
	handoverShare     = 0.6
	lostFactor        = 1.2
	lostFewNodesShare = 0.6
	// reviewInterval is how often the silent nodes of a workspace are looked for.
	reviewInterval = 250 * time.Millisecond
	// bucketLifetime is how long a bucket without reports is kept; it is full again by then.
	bucketLifetime = time.Minute
)

// Report is what a node tells the allocator of one workspace.
type Report struct {
	// Returned counts the tokens that the node gave back since it began.
	Returned int64
	// Alone counts the requests that the node admitted without an allocator.
	Alone int64
	// Held are the tokens in reserve, Want how many the node would like to hold.
	Held int
	Want int
	// Waiting are the requests that wait for a token.
	Waiting int
	// Demand is how many requests a second come to the node, whatever becomes of them.
	Demand float64
	// Every is how often the node reports at least.
	Every time.Duration
	// Level, Rate and Total are what the allocator By last told, Age how long ago, 0 if none
	// did; Lately are those of Alone that came since.
	Level  float64
	Rate   float64
	Total  float64
	By     uint64
	Age    time.Duration
	Lately int64
}

// Share is what an allocator answers.
type Share struct {
	// By names the life of the allocator.
	By uint64
	// Admitted is how many of the waiting requests may go on.
	Admitted int
	// Reserve are tokens more to hold.
	Reserve int
	// Level is what the bucket holds.
	Level float64
	// Pace is how many tokens a second the node can have while more is asked than allowed,
	// Wait when the bucket has the next one.
	Pace float64
	Wait time.Duration
	// Rate and Depth are what the node may admit when it reaches no allocator, Total is the
	// sum of the rates of all nodes.
	Rate  float64
	Depth float64
	Total float64
	// Kept is the rate that is kept back for nodes out of reach.
	Kept float64
}

// Allocator has the buckets of workspaces. It isn't safe for concurrent use.
type Allocator struct {
	incarnation uint64
	started     time.Time
	tolerance   Tolerance
	// lost is the part of the fleet's nodes that are out of reach.
	lost    float64
	buckets map[string]*bucket
}

// NewAllocator returns an allocator of a process that began at the time given; life tells
// it from all others.
func NewAllocator(incarnation uint64, started time.Time, t Tolerance) *Allocator {
	return &Allocator{
		incarnation: incarnation,
		started:     started,
		tolerance:   t,
		buckets:     map[string]*bucket{},
	}
}

// Report takes the report of a node in one of its lives and answers it.
func (a *Allocator) Report(now time.Time, workspace string, l Limit, node string, incarnation uint64, r Report) Share {
	b := a.bucket(now, workspace, l)
	b.review(now, l, a.lost)
	b.refill(now, l)
	m := b.node(node, incarnation, r)
	switch {
	case r.Age == 0 || r.Age >= a.tolerance.Window:
	case r.By == a.incarnation:
		m.formerAllocator = 0
	default:
		b.inherit(now, m, r)
	}
	b.record(now, m, r)
	m.reportedAt = now
	// What the nodes hold may lie there unused: one that has none must not be refused
	// because of that.
	s := Share{
		By:       a.incarnation,
		Admitted: min(r.Waiting, int(max(b.level+float64(b.held)-b.missingNodesTokens(now), 0))),
	}
	b.level -= float64(s.Admitted)
	s.Reserve = b.reserve(l, a.tolerance, m, r.Want)
	s.Level = b.level
	s.Kept = b.withheld
	initial := now.Sub(a.started) < a.tolerance.Window && now.Sub(b.created) < handoverTime
	b.setShare(l, a.tolerance, m, r, initial, &s)
	return s
}

// bucket returns the bucket of a workspace.
func (a *Allocator) bucket(now time.Time, workspace string, l Limit) *bucket {
	b := a.buckets[workspace]
	if b != nil {
		return b
	}
	b = &bucket{
		created: now,
		at:      now,
		level:   l.Burst,
		nodes:   map[string]*nodeState{},

		former: map[uint64]*formerAllocator{},
	}
	if up := now.Sub(a.started); up < a.tolerance.Window {
		share := max(initialLevelShare, up.Seconds()/a.tolerance.Window.Seconds())
		b.level = max(share*l.Burst, 1)
	}
	a.buckets[workspace] = b
	return b
}

// Began notes that a node has begun a life: what it had in those before is gone.
func (a *Allocator) Began(node string, incarnation uint64) {
	for _, b := range a.buckets {
		if m := b.nodes[node]; m != nil && m.incarnation != incarnation {
			b.drop(m)
			delete(b.nodes, node)
			b.reviewedAt = time.Time{}
		}
	}
}

// Lost takes the part of the fleet's nodes, from 0 to 1, that are out of reach.
func (a *Allocator) Lost(fraction float64) { a.lost = fraction }

// Forget drops the buckets that nobody uses.
func (a *Allocator) Forget(now time.Time) {
	for workspace, b := range a.buckets {
		if now.Sub(b.at) > bucketLifetime {
			delete(a.buckets, workspace)
		}
	}
}

// Len returns the number of buckets.
func (a *Allocator) Len() int { return len(a.buckets) }
