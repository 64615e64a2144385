// SPDX-License-Identifier: Apache-2.0

package node

import (
	"context"
	"time"
)

const (
	// maxAgeFactor is up to how many times the usual greatest age of the platform's last
	// word the configuration of a node counts as the newest one.
	maxAgeFactor = 1.5
	// awaitInterval is how often a request that waits for news looks for it.
	awaitInterval = 20 * time.Millisecond
)

// freshness tells how sure a node can be that its configuration is the newest one. It may
// be used concurrently.
type freshness struct {
	// maxAge is up to which age the platform's last answer counts as new; 0 means that the
	// source is never stale.
	maxAge time.Duration
	// maxKeyAge is up to which age keys that are known are believed; 0 means always.
	maxKeyAge time.Duration
	// platformAge is how long ago any node known heard the platform, agreed how long ago a peer had
	// the same values.
	platformAge  func(now time.Time) time.Duration
	agreementAge func(now time.Time) time.Duration
	// noPeers reports whether this node has no peers.
	noPeers func() bool
	// compareSoon compares with peers soon.
	compareSoon func()
}

// current reports whether this node can know the newest configuration: the fleet heard
// the platform lately, and what it heard has come here.
func (c *freshness) current() bool {
	if c.maxAge == 0 {
		return true
	}
	now := time.Now()
	return c.platformAge(now) <= c.maxAge && (c.noPeers() || c.agreementAge(now) <= c.maxAge)
}

// await asks peers and waits until this node can know the newest configuration. It
// returns false if the context ended before.
func (c *freshness) await(ctx context.Context) bool {
	tick := time.NewTicker(awaitInterval)
	defer tick.Stop()
	for !c.current() {
		c.compareSoon()
		select {
		case <-ctx.Done():
			return false
		case <-tick.C:
		}
	}
	return true
}

// trusted reports whether keys that this node knows may be believed: later it could have
// missed that one was taken away.
func (c *freshness) trusted() bool {
	return c.maxKeyAge == 0 || c.platformAge(time.Now()) <= c.maxKeyAge
}

func (n *Node) newFreshness() *freshness {
	c := &freshness{
		platformAge:  n.gossip.PlatformAge,
		agreementAge: n.gossip.AgreedAge,
		noPeers:      func() bool { return len(n.board.view.Load().Peers()) == 0 },
		compareSoon:  n.gossip.Ask,
	}
	if n.directory == nil {
		c.maxAge = time.Duration(maxAgeFactor * float64(n.platformTimeout()))
	}
	if after, strict := n.set.Workspaces().Strict(); strict && n.directory == nil {
		c.maxKeyAge = after
	}
	return c
}
