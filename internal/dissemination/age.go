// SPDX-License-Identifier: Apache-2.0

package dissemination

import "time"

// The time at which the platform was heard is kept as the time since begun: the
// time of day may jump. Time for which the machine was suspended counts: a node that wakes
// after it would believe keys that were taken away meanwhile, and tell peers that the
// platform was heard just now.

// uptime returns the time since this node began.
func (g *Gossip) uptime(now time.Time) time.Duration {
	return now.Sub(g.startedAt) + g.cfg.Suspended(now)
}

// PlatformHeard notes that this node has just heard the platform.
func (g *Gossip) PlatformHeard(now time.Time) {
	g.recordContact(now, 0)
}

// PlatformAge returns how long ago any node that this one knows of has heard the
// platform.
func (g *Gossip) PlatformAge(now time.Time) time.Duration {
	at := g.lastContact.Load()
	if at == 0 {
		return never
	}
	return g.uptime(now) - time.Duration(at)
}

// never is the age of what was not heard at all.
const never = 1 << 62

// minHopAge is by how much an age grows on its way from one node to the next, at the least:
// some ten times the way between data halls, for a message may also wait for a processor.
// Each node passes on the least age it knows, so that busy nodes tell each other the same
// age again and again; if it grew by less than the way takes, all of them together would
// hold it still.
const minHopAge = 25 * time.Millisecond

// LearnAge notes that a peer knows of a node that heard the platform age ago.
func (g *Gossip) LearnAge(now time.Time, age time.Duration) {
	if age <= maxAge {
		g.recordContact(now, age+minHopAge)
	}
}

// recordContact notes that the platform was heard age ago.
func (g *Gossip) recordContact(now time.Time, age time.Duration) {
	// A node that began later than that still knows that it was heard.
	at := int64(g.uptime(now) - age)
	if at == 0 {
		at = 1
	}
	for {
		old := g.lastContact.Load()
		if old != 0 && old >= at || g.lastContact.CompareAndSwap(old, at) {
			return
		}
	}
}

// maxAge bounds the ages that are passed on.
const maxAge = 100 * 24 * time.Hour

// observeAgeMillis takes the age that a message carries in milliseconds.
func (g *Gossip) observeAgeMillis(ms uint64) {
	g.LearnAge(time.Now(), time.Duration(min(ms, uint64(never/time.Millisecond)))*time.Millisecond)
}

// Agrees notes that a peer has the same values as this node.
func (g *Gossip) Agrees(now time.Time) {
	g.lastAgreement.Store(max(int64(g.uptime(now)), 1))
	g.recordProgress(now)
}

// AgreedAge returns how long ago a peer had the same values as this node.
func (g *Gossip) AgreedAge(now time.Time) time.Duration {
	at := g.lastAgreement.Load()
	if at == 0 {
		return never
	}
	return g.uptime(now) - time.Duration(at)
}
