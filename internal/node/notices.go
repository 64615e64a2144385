// SPDX-License-Identifier: Apache-2.0

package node

import (
	"cmp"
	"math/rand/v2"
	"time"

	"ploverjunction.example/ploverjunction/internal/attempt"
	"ploverjunction.example/ploverjunction/internal/entry"
	"ploverjunction.example/ploverjunction/internal/fleetconfig"
	"ploverjunction.example/ploverjunction/internal/notice"
	"ploverjunction.example/ploverjunction/internal/operator"
)

// This file is about what targets said of themselves in answers to this node. It binds the
// node itself, for whoever chooses its targets may not have heard it: it tells that with
// each ask, and looks again at what it is granted.

// lifeOf names the life of a target.
func lifeOf(t *fleetconfig.Target) notice.Life {
	return notice.Life{
		Service: t.Service(),
		Key:     t.Key(),
		Name:    cmp.Or(t.ID(), t.Address()),
		Named:   t.ID() != "",
		Born:    t.Born(),
	}
}

// standing returns what holds for a target by what it said to this node.
func (b *Board) standing(now time.Time, t *fleetconfig.Target) notice.Standing {
	return b.notices.Standing(now, lifeOf(t))
}

// barring are the targets of a service, by their keys, that this node sends nothing to though
// they are published as staying.
type barring struct {
	leaving []string
	resting []string
}

// keys returns the keys of all of them.
func (b *barring) keys() []string { return append(b.leaving, b.resting...) }

// barred returns those of a data hall, of all where hall is empty.
func (b *Board) barred(now time.Time, s *fleetconfig.Service, hall string) barring {
	var out barring
	if b.notices.Empty() {
		return out
	}
	for _, t := range s.Targets() {
		if t.Leaving() || hall != "" && t.DataHall() != hall {
			continue
		}
		switch standing := b.standing(now, t); {
		case standing.Leaving:
			out.leaving = append(out.leaving, t.Key())
		case standing.Barred():
			out.resting = append(out.resting, t.Key())
		}
	}
	return out
}

// allRest returns what holds for the target of a service that may be used first, where none may
// be now: those that stay rest. It tells nothing of a service all of whose targets leave, for
// others may appear at any moment.
func (b *Board) allRest(now time.Time, s *fleetconfig.Service) (first notice.Standing, all bool) {
	if b.notices.Empty() {
		return first, false
	}
	for _, t := range s.Targets() {
		if t.Leaving() {
			continue
		}
		said := b.standing(now, t)
		switch {
		case said.Leaving:
		case !said.Barred():
			return first, false
		case !all || said.Rest < first.Rest:
			first, all = said, true
		}
	}
	return first, all
}

// refuseRest returns the refusal of a request whose service rests, or nil. What surely can't be
// served is refused at once, with the time from when on it can be.
func (b *Board) refuseRest(now time.Time, s *fleetconfig.Service) error {
	first, all := b.allRest(now, s)
	if !all {
		return nil
	}
	return entry.NewNoTargetError(attempt.ReasonRest, first.RetryAfter(rand.Float64()))
}

// noticeStatus lists what targets said to this node that holds now.
func (b *Board) noticeStatus(now time.Time) []operator.NoticeStatus {
	c := b.currentConfig()
	if c == nil || b.notices.Empty() {
		return nil
	}
	var out []operator.NoticeStatus
	for _, s := range c.Services() {
		for _, t := range s.Targets() {
			if said := b.standing(now, t); said.Barred() {
				out = append(out, operator.NoticeStatus{
					Service: s.Name(),
					Target:  t.Key(),
					Leaving: said.Leaving,
					RestMS:  said.Rest.Milliseconds(),
				})
			}
		}
	}
	return out
}

// forget drops what targets said that are gone.
func (b *Board) forget(now time.Time, c *fleetconfig.Config) {
	if b.notices.Empty() {
		return
	}
	b.notices.Forget(now, func(l notice.Life) bool {
		s := c.Service(l.Service)
		return s != nil && s.Target(l.Key) != nil
	})
}
