// SPDX-License-Identifier: Apache-2.0

package ratelimit

import "time"

// Shares of what a limit allows.
const (
	// reserveBurstShare and reserveToleranceShare are the shares of the burst and of the
	// tolerance that all nodes together may hold in reserve: most of the tolerance is left for
	// isolated nodes.
	reserveBurstShare     = 0.25
	reserveToleranceShare = 0.2
	// reserveMinLevel is the share of the burst that must be left in the bucket, besides all
	// reserves, for a node to get more reserve: while a workspace exceeds its limit there is
	// no reserve, and the bucket alone decides.
	reserveMinLevel = 0.5
	// isolatedGrowth is the factor by which an isolated node may exceed its earlier demand, up
	// to the limit: the demand of a few callers varies. At 1.1, a third of 113 nodes that were
	// cut off refused 20% of the requests below the limit in the model of TestFleetKeepsLimits.
	isolatedGrowth = 1.5
	// isolatedToleranceShare is the share of the tolerance that isolated nodes may use at once, in
	// proportion to their demand. Each may admit isolatedExtra requests more, for one or two
	// callers with requests close to each other, up to isolatedExtraShare of the tolerance for
	// all nodes. While the bucket is low they get lowLevelToleranceShare only.
	isolatedToleranceShare = 0.25
	isolatedExtra          = 3
	isolatedExtraShare     = 0.7
	lowLevelToleranceShare = 0.1
	// initialLevelShare is the share of the burst in a bucket of an allocator that has just
	// started, where no node can report what was spent before. With a full burst, a fleet that
	// is killed repeatedly would grant it each time.
	initialLevelShare = 0.5
	// initialRateShare is the share of an isolated rate that a new allocator with a new bucket
	// sends: not all nodes have reported yet, and while they join they may use several
	// allocators, each of which would send the whole limit. Without it, 1.14 times the allowed
	// requests ran in 5 s when all nodes were killed, and the allocator again within 2 s, at 6.5
	// times the limit.
	initialRateShare = 0.25
)

// Times of allocators.
const (
	// silentTicks is after how many of its own report intervals without a report a node
	// counts as unreachable. forgetAfter is how long after its last report a node is dropped, and
	// after a change of allocators the state of the former one. isolatedRateLifetime is how
	// long a node uses the last rate that it received, less than forgetAfter by one tick.
	silentTicks          = 1.5
	forgetAfter          = 15 * time.Second
	isolatedRateLifetime = 14 * time.Second
	// handoverTime is how long after the first report of a former allocator's node its others are
	// expected: the rate withheld for them is at most handoverShare of the limit. Later they
	// count as unreachable, and the unreachable fraction of the fleet bounds it: lostFactor times
	// that fraction of the limit, plus lostFewNodesShare divided by the root of the number of the
	// workspace's nodes, as the unreachable fraction of a few nodes may be any.
	handoverTime      = 1500 * time.Millisecond
	handoverShare     = 0.6
	lostFactor        = 1.2
	lostFewNodesShare = 0.6
	// reviewInterval is how often a workspace is checked for silent nodes.
	reviewInterval = 250 * time.Millisecond
	// bucketLifetime is how long a bucket is kept after its last report; it is full again by then.
	bucketLifetime = time.Minute
)

// Report is what a node sends to the allocator about one workspace.
type Report struct {
	// Returned counts the tokens that the node returned since it started.
	Returned int64
	// Isolated counts the requests that the node admitted while isolated.
	Isolated int64
	// Held is the number of tokens in reserve, Want how many the node requests
	// to hold in all.
	Held int
	Want int
	// Waiting is the number of requests that wait for a token.
	Waiting int
	// Demand is how many requests a second arrive at the node, admitted or not.
	Demand float64
	// Interval is the longest time between two reports.
	Interval time.Duration
	// Level, Rate and RateSum repeat the last answer, Allocator is the incarnation that sent it.
	// Age is the time since then, 0 if there was none; IsolatedRecent counts those of Isolated
	// since then.
	Level          float64
	Rate           float64
	RateSum        float64
	Allocator      uint64
	Age            time.Duration
	IsolatedRecent int64
}

// Share is an allocator's answer to a report.
type Share struct {
	// Allocator is the incarnation of the allocator.
	Allocator uint64
	// Admitted is how many of the waiting requests are admitted.
	Admitted int
	// Reserve is how many more tokens the node may hold.
	Reserve int
	// Level is the number of tokens in the bucket.
	Level float64
	// Pace is how many tokens a second the node gets while the limit is exceeded, Wait the time
	// until the bucket has the next one.
	Pace float64
	Wait time.Duration
	// Rate, in requests a second, and Depth are what the node may admit while it is isolated;
	// RateSum is the sum of the rates of all nodes.
	Rate    float64
	Depth   float64
	RateSum float64
	// Withheld is the rate withheld for unreachable nodes.
	Withheld float64
}

// Allocator holds the buckets of workspaces. It isn't safe for concurrent use.
type Allocator struct {
	incarnation uint64
	started     time.Time
	tolerance   Tolerance
	// unreachable is the fraction of the fleet's nodes that are unreachable.
	unreachable float64
	buckets     map[string]*bucket
}

// NewAllocator returns an allocator of a process that started at the given time; no other
// allocator may have the same incarnation.
func NewAllocator(incarnation uint64, started time.Time, t Tolerance) *Allocator {
	return &Allocator{
		incarnation: incarnation,
		started:     started,
		tolerance:   t,
		buckets:     map[string]*bucket{},
	}
}

// Report applies the report of an incarnation of a node and returns the answer.
func (a *Allocator) Report(now time.Time, workspace string, l Limit, node string, incarnation uint64, r Report) Share {
	b := a.bucket(now, workspace, l)
	b.review(now, l, a.unreachable)
	b.refill(now, l)
	m := b.node(node, incarnation, r)
	switch {
	case r.Age == 0 || r.Age >= a.tolerance.Window:
	case r.Allocator == a.incarnation:
		m.formerAllocator = 0
	default:
		b.inherit(now, m, r)
	}
	b.record(now, m, r)
	m.reportedAt = now
	// Tokens in reserve may be unused, and must not cause a request of another node to be
	// refused.
	s := Share{
		Allocator: a.incarnation,
		Admitted:  min(r.Waiting, int(max(b.level+float64(b.held)-b.missingNodesTokens(now), 0))),
	}
	b.level -= float64(s.Admitted)
	s.Reserve = b.reserve(l, a.tolerance, m, r.Want)
	s.Level = b.level
	s.Withheld = b.withheld
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

// NodeStarted records that a node has started, and drops the state of its earlier incarnations.
func (a *Allocator) NodeStarted(node string, incarnation uint64) {
	for _, b := range a.buckets {
		if m := b.nodes[node]; m != nil && m.incarnation != incarnation {
			b.drop(m)
			delete(b.nodes, node)
			b.reviewedAt = time.Time{}
		}
	}
}

// SetUnreachable sets the fraction of the fleet's nodes, from 0 to 1, that are unreachable.
func (a *Allocator) SetUnreachable(fraction float64) { a.unreachable = fraction }

// Forget drops the buckets without a report for bucketLifetime.
func (a *Allocator) Forget(now time.Time) {
	for workspace, b := range a.buckets {
		if now.Sub(b.at) > bucketLifetime {
			delete(a.buckets, workspace)
		}
	}
}

// Len returns the number of buckets.
func (a *Allocator) Len() int { return len(a.buckets) }
