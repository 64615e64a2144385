// SPDX-License-Identifier: Apache-2.0

package node

import (
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"ploverjunction.example/ploverjunction/internal/dispatch"
	"ploverjunction.example/ploverjunction/internal/fleetconfig"
	"ploverjunction.example/ploverjunction/internal/membership"
	"ploverjunction.example/ploverjunction/internal/ratelimit"
	"ploverjunction.example/ploverjunction/internal/signal"
	"ploverjunction.example/ploverjunction/internal/wire"
)

// Shares of a target's limit. Nodes that may grant the target at the same time, unaware of each
// other, stay within 1.5 times the limit together.
const (
	// standbyShare is the share of a dispatcher, as a fraction of that of the one ranked before it.
	standbyShare = 0.25
	// lossThreshold is the fraction of the fleet that must be lost before the remaining nodes
	// use only their own share of the limit.
	lossThreshold = 0.4
	// joinShare is the share of a node that has been connected for less than joinTime: some nodes
	// may not have received that it is back, and request grants from another one.
	joinShare = 0.4
	joinTime  = 5 * time.Second
	// isolatedShare is the maximum share of a node that no other answers: it may have few of them in
	// its view.
	isolatedShare = 0.05
	// fallbackShare is the share of all nodes' fallbacks while dispatchers grant, independentShare
	// that of all nodes in the independent mode.
	fallbackShare    = 0.15
	independentShare = 0.9
	// shareLifetime is how long a node may use its turn to send to a target by its own share.
	shareLifetime = 2 * time.Second
	// limitTransit is by how much the age of a limit grows between two nodes: a limit that was
	// lifted must not be renewed by nodes that send it to each other.
	limitTransit = 25 * time.Millisecond
	// maxShares bounds the number of targets with a pacer.
	maxShares = 1000
)

// wireLimit returns the message about a target's limit, or nil if there never was one.
func wireLimit(now time.Time, l dispatch.TargetLimit) *wire.TargetLimit {
	if l.At.IsZero() {
		return nil
	}
	return &wire.TargetLimit{
		Target: l.Target,
		Rate:   l.Rate,
		Lifted: !l.Set,
		AgeMs:  uint32(min(max(now.Sub(l.At), 0), time.Hour).Milliseconds()) + 1,
	}
}

// limitOfStatus returns this node's record of a target's limit.
func limitOfStatus(key string, s signal.Status) dispatch.TargetLimit {
	return dispatch.TargetLimit{
		Target: key,
		Limit:  s.Limit,
		At:     s.LimitAt,
	}
}

// learnLimits records limits that a dispatcher sent.
func (b *Board) learnLimits(now time.Time, s *fleetconfig.Service, limits ...*wire.TargetLimit) {
	for _, in := range limits {
		if t := s.Target(in.GetTarget()); t != nil {
			l := limitOfWire(now, in)
			b.signals.ObservePeer(l.At, incarnationOf(t), l.Limit)
		}
	}
}

// limitOfWire returns the limit of a target in a message. Its time is the zero time, which is older
// than any other, if the message is invalid.
func limitOfWire(now time.Time, in *wire.TargetLimit) dispatch.TargetLimit {
	l := dispatch.TargetLimit{
		Target: in.GetTarget(),
		At:     now.Add(-time.Duration(in.GetAgeMs())*time.Millisecond - limitTransit),
	}
	switch rate := in.GetRate(); {
	case in.GetLifted():
	case rate >= 0 && !math.IsInf(rate, 0):
		l.Limit = signal.Limit{
			Rate: rate,
			Set:  true,
		}
	default:
		l.At = time.Time{}
	}
	return l
}

// limits returns this node's records of limits of a partition's targets: a random selection if more
// than fit into a message.
func (b *Board) limits(now time.Time, s *fleetconfig.Service, hall string) []*wire.TargetLimit {
	var out []*wire.TargetLimit
	if b.signals.Empty() {
		return out
	}
	for _, t := range s.Targets() {
		if hall != "" && t.DataHall() != hall {
			continue
		}
		if status := b.targetStatus(now, t); status.Limit.Set {
			out = append(out, wireLimit(now, limitOfStatus(t.Key(), status)))
		}
	}
	if len(out) > dispatch.MaxLimits {
		rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
		out = out[:dispatch.MaxLimits]
	}
	return out
}

// holderRank is the rank of a node among those that may grant the same targets.
type holderRank struct {
	// nodes is the number of known nodes, live how many of them are considered live.
	nodes, live int
	// rank is how many holders of the dispatcher's role come before this node.
	rank int
	// isolated is set if no other node answers, connectedFor is for how long others have answered.
	isolated     bool
	connectedFor time.Duration
}

// share returns the share of targets' limits that a node may grant as a dispatcher.
func (r holderRank) share() float64 {
	if r.isolated {
		return min(isolatedShare, 1/float64(r.nodes))
	}
	share := math.Pow(standbyShare, float64(r.rank))
	if r.connectedFor < joinTime {
		share *= joinShare
	}
	if live := float64(r.live) / float64(r.nodes); 1-live > lossThreshold {
		share *= live
	}
	return share
}

// holderRank returns the rank of this node among the holders of a dispatcher's role.
func (d *dispatchController) holderRank(now time.Time, view *membership.View, holders []membership.Node) holderRank {
	r := holderRank{
		nodes:        view.Nodes(),
		live:         len(view.Live()),
		rank:         slices.Index(holders, view.Self()),
		connectedFor: joinTime,
	}
	if r.rank < 0 {
		r.rank = len(holders)
	}
	if r.nodes > 1 || d.seeds > 0 {
		r.isolated = d.messenger.isolated(now)
		r.connectedFor = d.messenger.connectedFor(now)
	}
	return r
}

// turnOrder is a node's place among the nodes that share a limit, by address.
type turnOrder struct {
	index int
	nodes int
}

// phase returns the fraction of a token that a node has at a time, where all nodes get rate tokens a
// second. The turns of the nodes then follow each other at equal distances: turns at random times
// would come close together now and then, and the fleet would exceed the limit.
func (o turnOrder) phase(now time.Time, rate float64) float64 {
	period := float64(time.Second) / rate
	_, fraction := math.Modf(math.Mod(float64(now.UnixNano()), period)/period + float64(o.index)/float64(o.nodes))
	return fraction
}

// shares pace what this node sends to targets with a limit when it chooses without a dispatcher.
// The zero value is for a node in the independent mode. They may be used concurrently.
type shares struct {
	// withDispatchers is set if nodes choose on their own only when they reach no dispatcher.
	withDispatchers bool

	mu     sync.Mutex
	pacers map[string]*ratelimit.Pacer
}

// rate returns the node's share of a limit, in requests a second, divided among all known nodes.
func (s *shares) rate(l signal.Limit, nodes int) float64 {
	share := independentShare
	if s.withDispatchers {
		share = fallbackShare
	}
	return share * dispatch.LimitRate(l) / float64(nodes)
}

// wait returns the time until the node may send a request to a target; 0 is now.
func (s *shares) wait(now time.Time, key string, l signal.Limit, order turnOrder) time.Duration {
	if !l.Set {
		return 0
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	_, wait := s.pacer(now, key, s.rate(l, order.nodes), order)
	return wait
}

// take pays for a request to a target and reports whether the limit allows it.
func (s *shares) take(now time.Time, key string, l signal.Limit, order turnOrder) bool {
	if !l.Set {
		return true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	p, wait := s.pacer(now, key, s.rate(l, order.nodes), order)
	if wait > 0 {
		return false
	}
	p.Spend()
	return true
}

// pacer returns the pacer of a target and the time until its next token. Nodes have different
// fractions of a token, and unused tokens expire: otherwise nodes that lose their dispatcher
// together would spend all of them at once. s.mu is held.
func (s *shares) pacer(now time.Time, key string, rate float64, order turnOrder) (*ratelimit.Pacer, time.Duration) {
	p := s.pacers[key]
	if p == nil {
		if s.pacers == nil || len(s.pacers) >= maxShares {
			s.pacers = map[string]*ratelimit.Pacer{}
		}
		p = ratelimit.NewPacer(now, order.phase(now, rate))
		s.pacers[key] = p
	}
	p.Wait(now, rate, math.Inf(1))
	p.Expire(rate * shareLifetime.Seconds())
	return p, p.Wait(now, rate, math.Inf(1))
}

// sharePermit returns the permit to send a request to a target by this node's own share of its
// limit.
func (b *Board) sharePermit(now time.Time, t *fleetconfig.Target) (signal.Permit, bool) {
	permit := signal.Permit{
		Paced: true,
		At:    now,
	}
	status := b.targetStatus(now, t)
	return permit, !status.Unavailable() && b.shares.take(now, t.Key(), status.Limit, b.turnOrder())
}

// targetsOverShare returns the keys of a partition's targets for which this node's share is used up now.
func (b *Board) targetsOverShare(now time.Time, s *fleetconfig.Service, hall string) []string {
	var out []string
	if b.signals.Empty() {
		return out
	}
	for _, t := range s.Targets() {
		if hall != "" && t.DataHall() != hall {
			continue
		}
		if b.shares.wait(now, t.Key(), b.targetStatus(now, t).Limit, b.turnOrder()) > 0 {
			out = append(out, t.Key())
		}
	}
	return out
}

// turn returns the time between two turns of any node to send to a target.
func (s *shares) turn(l signal.Limit) time.Duration {
	if !l.Set {
		return 0
	}
	return time.Duration(float64(time.Second) / s.rate(l, 1))
}

// shareWait returns after how long a caller may retry at a service for whose targets this node's
// shares are used up, 0 if no limit is the reason. The retry may reach another node, whose turn
// comes before this one's.
func (b *Board) shareWait(now time.Time, s *fleetconfig.Service) time.Duration {
	shortest := time.Duration(0)
	for _, t := range s.Targets() {
		status := b.targetStatus(now, t)
		if s.Draining(t) || status.Draining {
			continue
		}
		wait := min(b.shares.wait(now, t.Key(), status.Limit, b.turnOrder()), b.shares.turn(status.Limit))
		wait = max(wait, status.Backoff)
		if shortest == 0 || wait < shortest {
			shortest = wait
		}
	}
	return shortest
}
