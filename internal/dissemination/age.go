// SPDX-License-Identifier: Apache-2.0

package dissemination

import "time"

// The last contact with the platform is stored as uptime, because the time of day may jump.
// Uptime includes the time for which the machine was suspended: otherwise a node that resumes
// would accept keys that were revoked meanwhile, and report to peers that the last contact was
// just now.

// uptime returns the time since this node started, suspended time included.
func (g *Gossip) uptime(now time.Time) time.Duration {
	return now.Sub(g.startedAt) + g.cfg.Suspended(now)
}

// RecordPlatformContact records that this node has just received an answer of the platform.
func (g *Gossip) RecordPlatformContact(now time.Time) {
	g.recordContact(now, 0)
}

// PlatformAge returns the time since the last contact with the platform of any node, as far
// as this node has received it.
func (g *Gossip) PlatformAge(now time.Time) time.Duration {
	at := g.lastContact.Load()
	if at == 0 {
		return never
	}
	return g.uptime(now) - time.Duration(at)
}

// never is the age of a contact that has not happened.
const never = 1 << 62

// minHopAge is added to an age at each hop between nodes: about ten times the latency between
// data halls, because a message may also wait for a processor. Each node passes on the least
// age that it has received, so busy nodes exchange the same age repeatedly; if a hop added
// less than its latency, the age would never grow.
const minHopAge = 25 * time.Millisecond

// ObservePlatformAge receives a peer's age of the last contact with the platform.
func (g *Gossip) ObservePlatformAge(now time.Time, age time.Duration) {
	if age <= maxAge {
		g.recordContact(now, age+minHopAge)
	}
}

// recordContact records a contact with the platform age ago, if it is the latest.
func (g *Gossip) recordContact(now time.Time, age time.Duration) {
	// Negative if the contact was before this node started; 0 means no contact.
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

// maxAge is the greatest age that is accepted from a peer.
const maxAge = 100 * 24 * time.Hour

// ObservePlatformAgeMillis receives the age that a message carries, in milliseconds. One that is longer than any
// duration must not count as a short one.
func (g *Gossip) ObservePlatformAgeMillis(now time.Time, ms uint64) {
	g.ObservePlatformAge(now, time.Duration(min(ms, uint64(never/time.Millisecond)))*time.Millisecond)
}

// RecordAgreement records that a peer has the same values as this node.
func (g *Gossip) RecordAgreement(now time.Time) {
	g.lastAgreement.Store(max(int64(g.uptime(now)), 1))
	g.recordProgress(now)
}

// AgreementAge returns the time since a peer last had the same values as this node.
func (g *Gossip) AgreementAge(now time.Time) time.Duration {
	at := g.lastAgreement.Load()
	if at == 0 {
		return never
	}
	return g.uptime(now) - time.Duration(at)
}
