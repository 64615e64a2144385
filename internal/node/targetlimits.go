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

// Parts of a target's limit. Those who may grant it at the same time, without knowing of each
// other, stay within one and a half times the limit together.
const (
	// standbyShare is the part of a dispatcher of that of the one which ranks before it.
	standbyShare = 0.25
	// lossThreshold is the part of the fleet that must be lost for the rest to use only its own
	// part of the limit.
	lossThreshold = 0.4
	// joinShare is the part of a node that has been among the others for less than joinTime:
	// some may not know yet that it is back, and ask another one.
	joinShare = 0.4
	joinTime  = 5 * time.Second
	// isolatedShare is the most that a node uses which no other answers: it may know few of them.
	isolatedShare = 0.05
	// fallbackShare is the part of all nodes that choose alone while dispatchers grant,
	// aloneOnly the same where all nodes choose alone.
	fallbackShare    = 0.15
	independentShare = 0.9
	// shareLifetime is how long a node may use its turn to send to a target by itself.
	shareLifetime = 2 * time.Second
	// limitTransit is by how much a limit's age grows on its way between nodes: a limit that was
	// lifted must not be renewed by nodes that tell each other of it.
	limitTransit = 25 * time.Millisecond
	// maxShares bounds the targets of which shares are kept.
	maxShares = 1000
)

// wireLimit returns the message about a target's limit, or nil if none was ever known.
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

// limitOfStanding returns the limit of a target as this node knows it.
func limitOfStanding(key string, s signal.Standing) dispatch.TargetLimit {
	return dispatch.TargetLimit{
		Target: key,
		Limit:  s.Limit,
		At:     s.LimitAt,
	}
}

// learnLimits records limits that a dispatcher told of.
func (b *Board) learnLimits(now time.Time, s *fleetconfig.Service, limits ...*wire.TargetLimit) {
	for _, in := range limits {
		if t := s.Target(in.GetTarget()); t != nil {
			l := limitOfWire(now, in)
			b.signals.Learn(l.At, incarnationOf(t), l.Limit)
		}
	}
}

// limitOfWire returns what a message says of a target's limit. Its time is the zero time, which is
// older than any, where the message makes no sense.
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

// limits returns limits of a part's targets that this node knows: some, drawn by chance, of more
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
		if standing := b.standing(now, t); standing.Limit.Set {
			out = append(out, wireLimit(now, limitOfStanding(t.Key(), standing)))
		}
	}
	if len(out) > dispatch.MaxLimits {
		rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
		out = out[:dispatch.MaxLimits]
	}
	return out
}

// holderRank is that of a node among those that may grant the same targets.
type holderRank struct {
	// nodes is how many nodes are known, live how many of them are taken for live.
	nodes, live int
	// rank is how many holders of the dispatcher's role come before this node.
	rank int
	// isolated is set where no other node answers, among is for how long others have.
	isolated     bool
	connectedFor time.Duration
}

// share returns the part of targets' limits that a node may grant as a dispatcher.
func (p holderRank) share() float64 {
	if p.isolated {
		return min(isolatedShare, 1/float64(p.nodes))
	}
	share := math.Pow(standbyShare, float64(p.rank))
	if p.connectedFor < joinTime {
		share *= joinShare
	}
	if live := float64(p.live) / float64(p.nodes); 1-live > lossThreshold {
		share *= live
	}
	return share
}

// holderRank returns that of this node among the holders of a dispatcher's role.
func (d *dispatchController) holderRank(now time.Time, view *membership.View, holders []membership.Node) holderRank {
	p := holderRank{
		nodes:        view.Nodes(),
		live:         len(view.Live()),
		rank:         slices.Index(holders, view.Self()),
		connectedFor: joinTime,
	}
	if p.rank < 0 {
		p.rank = len(holders)
	}
	if p.nodes > 1 || d.seeds > 0 {
		p.isolated = d.messenger.isolated(now)
		p.connectedFor = d.messenger.connectedFor(now)
	}
	return p
}

// shares pace what this node sends to targets with a limit where it chooses alone. The zero
// value is that of a node which always does. They may be used concurrently.
type shares struct {
	// withDispatchers is set where nodes choose alone only when they reach no dispatcher.
	withDispatchers bool

	mu     sync.Mutex
	pacers map[string]*ratelimit.Pacer
}

// rate returns the node's part of a limit, in requests a second, among all nodes known.
func (s *shares) rate(l signal.Limit, nodes int) float64 {
	share := independentShare
	if s.withDispatchers {
		share = fallbackShare
	}
	return share * dispatch.LimitRate(l) / float64(nodes)
}

// wait returns after how long the node may send a request to a target; 0 is now.
func (s *shares) wait(now time.Time, key string, l signal.Limit, nodes int) time.Duration {
	if !l.Set {
		return 0
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	_, wait := s.pacer(now, key, s.rate(l, nodes))
	return wait
}

// take pays for a request to a target and reports whether the limit allows it.
func (s *shares) take(now time.Time, key string, l signal.Limit, nodes int) bool {
	if !l.Set {
		return true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	p, wait := s.pacer(now, key, s.rate(l, nodes))
	if wait > 0 {
		return false
	}
	p.Pay()
	return true
}

// pacer returns the pacer of a target and the time until its next token. Nodes begin with
// different parts of a token, and tokens that aren't used lapse: nodes that lose their
// dispatcher together would spend all of them at once. s.mu is held.
func (s *shares) pacer(now time.Time, key string, rate float64) (*ratelimit.Pacer, time.Duration) {
	p := s.pacers[key]
	if p == nil {
		if s.pacers == nil || len(s.pacers) >= maxShares {
			s.pacers = map[string]*ratelimit.Pacer{}
		}
		p = ratelimit.NewPacer(now, rand.Float64())
		s.pacers[key] = p
	}
	p.Wait(now, rate, math.Inf(1))
	p.Lapse(rate * shareLifetime.Seconds())
	return p, p.Wait(now, rate, math.Inf(1))
}

// sharePermit returns the permit to send a request to a target by this node's own share of its limit.
func (b *Board) sharePermit(now time.Time, t *fleetconfig.Target) (signal.Permit, bool) {
	permit := signal.Permit{
		Paced: true,
		At:    now,
	}
	standing := b.standing(now, t)
	return permit, !standing.Barred() && b.shares.take(now, t.Key(), standing.Limit, b.nodes())
}

// overShare returns the keys of a part's targets whose limit leaves nothing for this node now.
func (b *Board) overShare(now time.Time, s *fleetconfig.Service, hall string) []string {
	var out []string
	if b.signals.Empty() {
		return out
	}
	for _, t := range s.Targets() {
		if hall != "" && t.DataHall() != hall {
			continue
		}
		if b.shares.wait(now, t.Key(), b.standing(now, t).Limit, b.nodes()) > 0 {
			out = append(out, t.Key())
		}
	}
	return out
}

// turn returns the time between two turns of any of the nodes to send to a target.
func (s *shares) turn(l signal.Limit) time.Duration {
	if !l.Set {
		return 0
	}
	return time.Duration(float64(time.Second) / s.rate(l, 1))
}

// shareWait returns after how long a caller may return to a service whose limits leave nothing for
// this node, 0 if no limit is the reason. The caller may reach another node, whose turn comes
// before this one's.
func (b *Board) shareWait(now time.Time, s *fleetconfig.Service) time.Duration {
	least := time.Duration(0)
	for _, t := range s.Targets() {
		standing := b.standing(now, t)
		if s.Drained(t) || standing.Draining {
			continue
		}
		wait := min(b.shares.wait(now, t.Key(), standing.Limit, b.nodes()), b.shares.turn(standing.Limit))
		wait = max(wait, standing.Backoff)
		if least == 0 || wait < least {
			least = wait
		}
	}
	return least
}
