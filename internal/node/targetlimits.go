// SPDX-License-Identifier: Apache-2.0

package node

import (
	"math/rand/v2"
	"sync"
	"time"

	"ploverjunction.example/ploverjunction/internal/dispatch"
	"ploverjunction.example/ploverjunction/internal/fleetconfig"
	"ploverjunction.example/ploverjunction/internal/membership"
	"ploverjunction.example/ploverjunction/internal/notice"
	"ploverjunction.example/ploverjunction/internal/ratelimit"
	"ploverjunction.example/ploverjunction/internal/wire"
)

// Parts of a target's limit. Those who may grant it at the same time, without knowing of each
// other, stay within one and a half times the limit together.
const (
	// standbyPart is the part of a dispatcher before which another one ranks.
	standbyPart = 0.25
	// wholeFrom is the part of the fleet that must be lost for the rest to use only its own
	// part of the limit.
	wholeFrom = 0.4
	// strangerPart is the part of a node that has met none of the others yet.
	strangerPart = 0.05
	// aloneBeside is the part of all nodes that choose alone while dispatchers grant,
	// aloneOnly the same where all nodes choose alone.
	aloneBeside = 0.4
	aloneOnly   = 0.9
	// limitWay is by how much a limit's age grows on its way between nodes: a limit that was
	// lifted must not be renewed by nodes that tell each other of it.
	limitWay = 25 * time.Millisecond
	// maxShares bounds the targets of which shares are kept.
	maxShares = 1000
)

// limitTo returns the message about a target's limit, or nil if none was ever known.
func limitTo(now time.Time, key string, s notice.Standing) *wire.TargetLimit {
	if s.LimitAt.IsZero() {
		return nil
	}
	return &wire.TargetLimit{
		Target: key,
		Rate:   s.Limit.Rate,
		Lifted: !s.Limit.Set,
		AgeMs:  uint32(min(max(now.Sub(s.LimitAt), 0), time.Hour).Milliseconds()) + 1,
	}
}

// limitFrom returns what a message says of a target's limit.
func limitFrom(now time.Time, in *wire.TargetLimit) dispatch.TargetLimit {
	l := dispatch.TargetLimit{
		Target: in.GetTarget(),
		At:     now.Add(-time.Duration(in.GetAgeMs())*time.Millisecond - limitWay),
	}
	if !in.GetLifted() && in.GetRate() >= 0 {
		l.Limit = notice.Limit{
			Rate: in.GetRate(),
			Set:  true,
		}
	}
	return l
}

// limits returns the limits of a part's targets that this node knows.
func (b *Board) limits(now time.Time, s *fleetconfig.Service, hall string) []*wire.TargetLimit {
	var out []*wire.TargetLimit
	if b.notices.Empty() {
		return out
	}
	for _, t := range s.Targets() {
		if len(out) == mostTried || hall != "" && t.DataHall() != hall {
			continue
		}
		if said := b.standing(now, t); said.Limit.Set {
			out = append(out, limitTo(now, t.Key(), said))
		}
	}
	return out
}

// authority returns the part of targets' limits that this node may grant as a dispatcher.
func authority(view *membership.View, holders []membership.Node, seeds int) float64 {
	if len(view.Peers()) == 0 && seeds > 0 {
		return strangerPart
	}
	part := 1.0
	if lost := 1 - float64(len(view.Live()))/float64(view.Nodes()); lost > wholeFrom {
		part = 1 - lost
	}
	if len(holders) > 0 && holders[0] != view.Self() {
		part *= standbyPart
	}
	return part
}

// shares pace what this node sends to targets with a limit where it chooses alone. The zero
// value is that of a node which always does. They may be used concurrently.
type shares struct {
	// beside is set where nodes choose alone only when they reach no dispatcher.
	beside bool

	mu     sync.Mutex
	pacers map[string]*ratelimit.Pacer
}

// rate returns the node's part of a limit, in requests a second, among all nodes known.
func (s *shares) rate(l notice.Limit, nodes int) float64 {
	part := aloneOnly
	if s.beside {
		part = aloneBeside
	}
	return part * dispatch.LimitRate(l) / float64(nodes)
}

// wait returns after how long the node may send a request to a target; 0 is now.
func (s *shares) wait(now time.Time, key string, l notice.Limit, nodes int) time.Duration {
	if !l.Set {
		return 0
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pacer(now, key).Wait(now, s.rate(l, nodes), 1)
}

// take pays for a request to a target and reports whether the limit allows it.
func (s *shares) take(now time.Time, key string, l notice.Limit, nodes int) bool {
	if !l.Set {
		return true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pacer(now, key).Take(now, s.rate(l, nodes), 1) == 0
}

// pacer returns the pacer of a target. Nodes begin with different parts of a token, so that
// their first requests don't come together. s.mu is held.
func (s *shares) pacer(now time.Time, key string) *ratelimit.Pacer {
	p := s.pacers[key]
	if p == nil {
		if s.pacers == nil || len(s.pacers) >= maxShares {
			s.pacers = map[string]*ratelimit.Pacer{}
		}
		p = ratelimit.NewPacer(now, rand.Float64())
		s.pacers[key] = p
	}
	return p
}

// shared returns the permit to send a request to a target by this node's own share of its limit.
func (b *Board) shared(now time.Time, t *fleetconfig.Target) (notice.Permit, bool) {
	permit := notice.Permit{
		Paced: true,
		At:    now,
	}
	said := b.standing(now, t)
	return permit, !said.Barred() && b.shares.take(now, t.Key(), said.Limit, b.nodes())
}

// overShare returns the keys of a part's targets whose limit leaves nothing for this node now.
func (b *Board) overShare(now time.Time, s *fleetconfig.Service, hall string) []string {
	var out []string
	if b.notices.Empty() {
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

// shareWait returns after how long this node may send to a target of a service by its own share,
// 0 if that isn't known or no limit is the reason.
func (b *Board) shareWait(now time.Time, s *fleetconfig.Service) time.Duration {
	least := time.Duration(0)
	for _, t := range s.Targets() {
		said := b.standing(now, t)
		if t.Leaving() || said.Leaving {
			continue
		}
		wait := max(b.shares.wait(now, t.Key(), said.Limit, b.nodes()), said.Rest)
		if least == 0 || wait < least {
			least = wait
		}
	}
	return least
}
