// SPDX-License-Identifier: Apache-2.0

package node

import (
	"cmp"
	"math/rand/v2"
	"time"

	"ploverjunction.example/ploverjunction/internal/attempt"
	"ploverjunction.example/ploverjunction/internal/entry"
	"ploverjunction.example/ploverjunction/internal/fleetconfig"
	"ploverjunction.example/ploverjunction/internal/operator"
	"ploverjunction.example/ploverjunction/internal/signal"
)

// incarnationOf returns the incarnation of a published target.
func incarnationOf(t *fleetconfig.Target) signal.Incarnation {
	return signal.Incarnation{
		Service: t.Service(),
		Key:     t.Key(),
		Name:    cmp.Or(t.ID(), t.Address()),
		Named:   t.ID() != "",
		Born:    t.StartedAt(),
	}
}

// targetStatus returns the status of a target according to the signals that this node received.
func (b *Board) targetStatus(now time.Time, t *fleetconfig.Target) signal.Status {
	return b.signals.Status(now, incarnationOf(t))
}

// unavailable are the keys of targets that this node may not send to, though none of them is
// published as draining.
type unavailable struct {
	draining   []string
	backingOff []string
}

// keys returns all of them.
func (u *unavailable) keys() []string { return append(u.draining, u.backingOff...) }

// unavailable returns the unavailable targets of a data hall, or of all if hall is empty.
func (b *Board) unavailable(now time.Time, s *fleetconfig.Service, hall string) unavailable {
	var out unavailable
	if b.signals.Empty() {
		return out
	}
	for _, t := range s.Targets() {
		if s.Draining(t) || hall != "" && t.DataHall() != hall {
			continue
		}
		switch status := b.targetStatus(now, t); {
		case status.Draining && !status.Uncertain:
			out.draining = append(out.draining, t.Key())
		case status.Unavailable():
			out.backingOff = append(out.backingOff, t.Key())
		}
	}
	return out
}

// allBackingOff reports whether all targets of a service that are not draining back off, and
// returns the status of the first to accept requests again. It is false if all are draining:
// others may appear at any moment.
func (b *Board) allBackingOff(now time.Time, s *fleetconfig.Service) (first signal.Status, all bool) {
	if b.signals.Empty() {
		return first, false
	}
	for _, t := range s.Targets() {
		if s.Draining(t) {
			continue
		}
		status := b.targetStatus(now, t)
		switch {
		case status.Draining:
		case !status.Unavailable():
			return first, false
		case !all || status.Backoff < first.Backoff:
			first, all = status, true
		}
	}
	return first, all
}

// refuseBackoff returns the refusal of a request all of whose targets back off, or nil.
func (b *Board) refuseBackoff(now time.Time, s *fleetconfig.Service) error {
	first, all := b.allBackingOff(now, s)
	if !all {
		return nil
	}
	return entry.NewNoTargetError(attempt.ReasonBackoff, first.RetryAfter(rand.Float64()))
}

// signalStatus lists the targets that this node may not send to.
func (b *Board) signalStatus(now time.Time) []operator.SignalStatus {
	c := b.currentConfig()
	if c == nil || b.signals.Empty() {
		return nil
	}
	var out []operator.SignalStatus
	for _, s := range c.Services() {
		for _, t := range s.Targets() {
			if status := b.targetStatus(now, t); status.Unavailable() {
				out = append(out, operator.SignalStatus{
					Service:   s.Name(),
					Target:    t.Key(),
					Draining:  status.Draining,
					BackoffMS: status.Backoff.Milliseconds(),
				})
			}
		}
	}
	return out
}

// pruneSignals removes the signals of targets that are no longer published.
func (b *Board) pruneSignals(now time.Time, c *fleetconfig.Config) {
	b.signals.Prune(now, func(i signal.Incarnation) bool {
		s := c.Service(i.Service)
		return s != nil && s.Target(i.Key) != nil
	})
}
