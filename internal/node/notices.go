// SPDX-License-Identifier: Apache-2.0

package node

import (
	"time"

	"ploverjunction.example/ploverjunction/internal/fleetconfig"
	"ploverjunction.example/ploverjunction/internal/notice"
)

// This file is about what targets said of themselves in answers to this node. It binds the
// node itself, for whoever chooses its targets may not have heard it: it tells that with
// each ask, and looks again at what it is granted.

// lifeOf names the life of a target.
func lifeOf(t *fleetconfig.Target) notice.Life {
	return notice.Life{
		Service: t.Service(),
		Key:     t.Key(),
		Named:   t.ID() != "",
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
