// SPDX-License-Identifier: Apache-2.0

package node

import (
	"context"
	"time"
)

const (
	// maxAgeFactor is the ratio to its usual maximum up to which the age of the platform's last
	// answer lets the configuration of a node count as the newest.
	maxAgeFactor = 1.5
	// awaitInterval is the time between two checks of a request that waits for the configuration.
	awaitInterval = 20 * time.Millisecond
)

// freshness estimates whether the configuration of a node is the newest. It may be used
// concurrently.
type freshness struct {
	// maxAge is the age up to which the platform's last answer counts as fresh; 0 means that the
	// source is never stale.
	maxAge time.Duration
	// maxKeyAge is the age of that answer up to which local keys are trusted; 0 means always.
	maxKeyAge time.Duration
	// platformAge is the time since any known node last received an answer of the platform,
	// agreementAge the time since a peer had the same values.
	platformAge  func(now time.Time) time.Duration
	agreementAge func(now time.Time) time.Duration
	// noPeers reports whether this node has no peers.
	noPeers func() bool
	// compareSoon requests a comparison with peers.
	compareSoon func()
}

// current reports whether this node can have the newest configuration: the fleet received an answer
// of the platform recently, and this node has the same values as a peer.
func (f *freshness) current() bool {
	if f.maxAge == 0 {
		return true
	}
	now := time.Now()
	return f.platformAge(now) <= f.maxAge && (f.noPeers() || f.agreementAge(now) <= f.maxAge)
}

// await compares with peers and waits until this node can have the newest configuration. It returns
// false if the context ended before.
func (f *freshness) await(ctx context.Context) bool {
	tick := time.NewTicker(awaitInterval)
	defer tick.Stop()
	for !f.current() {
		f.compareSoon()
		select {
		case <-ctx.Done():
			return false
		case <-tick.C:
		}
	}
	return true
}

// trusted reports whether the local keys may be trusted: after too long this node could have missed
// the removal of a key.
func (f *freshness) trusted() bool {
	return f.maxKeyAge == 0 || f.platformAge(time.Now()) <= f.maxKeyAge
}

func (n *Node) newFreshness() *freshness {
	f := &freshness{
		platformAge:  n.gossip.PlatformAge,
		agreementAge: n.gossip.AgreementAge,
		noPeers:      func() bool { return len(n.board.view.Load().Peers()) == 0 },
		compareSoon:  n.gossip.CompareSoon,
	}
	if n.directory == nil {
		f.maxAge = time.Duration(maxAgeFactor * float64(n.platformTimeout()))
	}
	if after, strict := n.set.Workspaces().KeyExpiry(); strict && n.directory == nil {
		f.maxKeyAge = after
	}
	return f
}
