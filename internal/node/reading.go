// SPDX-License-Identifier: Apache-2.0

package node

import (
	"context"
	"math/rand/v2"
	"time"

	"ploverjunction.example/ploverjunction/internal/logging"
	"ploverjunction.example/ploverjunction/internal/source"
	"ploverjunction.example/ploverjunction/internal/wire"
)

func (n *Node) runSource(ctx context.Context) error {
	log := logging.Part(n.log, "source")
	failed := func(err error) { log.WithError(err).Warn("source not read") }
	deliver := func(entries []*wire.Entry) { n.gossip.Publish(entries) }
	if n.directory != nil {
		return n.directory.Run(ctx, deliver, failed)
	}
	return n.adapter.Read(ctx, source.Config{
		Reader:  n.reader,
		Deliver: deliver,
		Known:   n.replica.Value,
		Keys:    n.replica.Keys,
		Age:     func() time.Duration { return n.gossip.PlatformAge(time.Now()) },
		Heard:   func() { n.gossip.PlatformHeard(time.Now()) },
		Failed:  failed,
	})
}

// reader tells whether this node should read the platform: it has the duty, or
// nobody seems to do it.
func (n *Node) reader() bool {
	now := time.Now()
	view := n.board.view.Load()
	for _, d := range view.Duty("reader", n.set.DataHall(), readersPerHall) {
		if d == view.Self() {
			return true
		}
	}
	if len(view.Peers()) == 0 && len(n.set.Seeds()) == 0 {
		return true
	}
	if n.gossip.PlatformAge(now) <= platformSilent || now.Sub(n.begun) <= startSilent {
		return false
	}
	// All nodes come here when the platform is down for long: as many of them ask
	// at a time, on average, however large the fleet is.
	return rand.IntN(len(view.Live())) == 0
}
