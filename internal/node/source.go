// SPDX-License-Identifier: Apache-2.0

package node

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"ploverjunction.example/ploverjunction/internal/fleetconfig"
	"ploverjunction.example/ploverjunction/internal/logging"
	"ploverjunction.example/ploverjunction/internal/membership"
	"ploverjunction.example/ploverjunction/internal/order"
	"ploverjunction.example/ploverjunction/internal/source"
	"ploverjunction.example/ploverjunction/internal/wire"
)

func (n *Node) runSource(ctx context.Context) error {
	log := logging.Part(n.log, "source")
	failed := func(err error) { log.WithError(err).Warn("source not read") }
	deliver := func(entries []*wire.Entry, upTo order.Position) {
		n.gossip.PublishTo(entries, upTo)
		n.logSuperseded(log, entries)
	}
	if n.directory != nil {
		return n.directory.Run(ctx, func(entries []*wire.Entry) { deliver(entries, order.Position{}) }, failed)
	}
	reads := false
	return n.adapter.Read(ctx, source.Config{
		Reader: func() bool {
			now := n.reader(reads)
			if now != reads {
				reads = now
				log.WithField("reads", reads).WithField("age_ms", ageMS(n.gossip.PlatformAge(time.Now()))).Info("role to read the platform changed")
			}
			return reads
		},
		Deliver:    deliver,
		Newest:     n.replica.Newest,
		Keys:       n.replica.Keys,
		Era:        n.replica.Era,
		EarlierEra: n.replica.EarlierEra,
		Withheld:   n.replica.Withheld,
		ContactAge: n.sourceAge,
		Answered:   func() { n.gossip.RecordPlatformContact(time.Now()) },
		Failed:     failed,
		FullRead: func(r source.FullRead) {
			log.WithField("reason", r.Reason).WithField("before", r.Before.String()).WithField("after", r.After.String()).
				Info("platform read whole")
		},
	})
}

// logSuperseded logs each value that was read and did not replace the local one.
func (n *Node) logSuperseded(log logrus.FieldLogger, entries []*wire.Entry) {
	for _, e := range entries {
		read, local := fleetconfig.VersionOf(e), fleetconfig.VersionOf(n.replica.Newest(e.GetKey()))
		switch {
		case local.Position().Compare(read.Position()) > 0:
			versionFields(log, e.GetKey(), read, local).Info("value read is older than the known one")
		case !e.GetDeleted() && local.CompareValues(read) > 0:
			versionFields(log, e.GetKey(), read, local).Info("platform has an older value than the fleet")
		}
	}
}

func versionFields(log logrus.FieldLogger, key string, read, local order.Version) *logrus.Entry {
	return log.WithField("key", key).
		WithField("read", read.Position().String()).WithField("read_sequence", read.Stamp().Sequence()).
		WithField("kept", local.WrittenAt().String()).WithField("kept_sequence", local.Stamp().Sequence())
}

// ageMS returns an age in milliseconds, -1 for never.
func ageMS(age time.Duration) int64 {
	if age > time.Hour {
		return -1
	}
	return age.Milliseconds()
}

// sourceAge returns the time since any node that this one hears received an answer of the platform. A node that
// hears none has missed the answers to others: their silence is no outage of the platform.
func (n *Node) sourceAge() time.Duration {
	now := time.Now()
	if n.alone(now) {
		return 0
	}
	return n.gossip.PlatformAge(now)
}

// alone reports whether peers have answered this node before and none does now.
func (n *Node) alone(now time.Time) bool { return n.messenger != nil && n.messenger.lost(now) }

// reader reports whether this node should read the platform: it has the role, no node seems to read, or no peer
// answers it, so that it can't learn what others read. reads is set while it reads.
func (n *Node) reader(reads bool) bool {
	now := time.Now()
	view := n.board.view.Load()
	age, uptime := n.gossip.PlatformAge(now), now.Sub(n.started)
	if len(view.Peers()) == 0 && len(n.set.Seeds()) == 0 {
		return true
	}
	silent := age > n.platformTimeout()
	if n.alone(now) && (reads || silent) {
		return true
	}
	if n.adapter.PlatformTimeout == 0 {
		return hasRole(view, view.Role("reader", n.set.DataHall(), readersPerHall)) ||
			silent && uptime > startPlatformTimeout && readsByChance(view)
	}
	if silent && slices.Contains(n.seeds(), n.address()) {
		// When the whole fleet starts the other nodes read from the seeds.
		return true
	}
	return uptime > discoveryTime && (hasRole(view, fleetReaders(view)) || silent && readsByChance(view))
}

// platformTimeout returns the time without an answer of the platform to any node after which any
// node may read it.
func (n *Node) platformTimeout() time.Duration {
	if n.adapter.PlatformTimeout > 0 {
		return n.adapter.PlatformTimeout
	}
	return platformTimeout
}

// readsByChance reports, at random, whether this node reads though others have the role. While the
// platform is down for long all nodes get here: on average one of them reads at a time, however
// large the fleet is.
func readsByChance(view *membership.View) bool { return rand.IntN(len(view.Live())) == 0 }

// discoveryTime is how long a node that has just started looks for others before it takes roles or
// assumes that no node reads.
const discoveryTime = 500 * time.Millisecond

func hasRole(view *membership.View, holders []membership.Node) bool {
	return slices.Contains(holders, view.Self())
}

// fleetReaders returns the two nodes that read for the whole fleet: the first in rank and the first
// in rank of the other data halls.
func fleetReaders(view *membership.View) []membership.Node {
	ranked := view.Role("reader", "", len(view.Live()))
	for _, other := range ranked {
		if other.DataHall() != ranked[0].DataHall() {
			return []membership.Node{ranked[0], other}
		}
	}
	return ranked[:min(2, len(ranked))]
}
