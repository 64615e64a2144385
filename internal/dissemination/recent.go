// SPDX-License-Identifier: Apache-2.0

package dissemination

import (
	"context"
	"slices"
	"time"

	"ploverjunction.example/ploverjunction/internal/wire"
)

// A node whose answers are lost can be told of a value, but not be compared with: the first
// message of a comparison holds only a digest. So the peers that get no answer from it
// tell it what they learned lately.

// recentValue is a small value that this node learned, and when.
type recentValue struct {
	key string
	at  time.Time
}

// recordRecent notes when values were learned, and forgets those learned long ago, or before the
// last lateMost.
func (g *Gossip) recordRecent(entries []*wire.Entry) {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, e := range entries {
		if len(e.GetValue()) <= maxPushedValue {
			g.recentValues = append(g.recentValues, recentValue{
				key: e.GetKey(),
				at:  now,
			})
		}
	}
	first := max(len(g.recentValues)-maxRecent, 0)
	for first < len(g.recentValues) && now.Sub(g.recentValues[first].at) > recentRetention {
		first++
	}
	g.recentValues = slices.Clone(g.recentValues[first:])
}

// recentKeys returns the keys of small values that this node learned lately.
func (g *Gossip) recentKeys() []string {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	var keys []string
	for _, l := range g.recentValues {
		if now.Sub(l.at) <= recentRetention && !slices.Contains(keys, l.key) {
			keys = append(keys, l.key)
		}
	}
	return keys
}

// sendRecent sends what was learned lately to a peer that did not answer a comparison. Whether
// it answers this time doesn't matter, so that a failure is not counted again.
func (g *Gossip) sendRecent(ctx context.Context, peer string) {
	keys := g.recentKeys()
	if len(keys) == 0 {
		return
	}
	req := g.request()
	req.Entries = g.replica.Entries(keys)
	if reply, err := g.cfg.Call(ctx, peer, req); err == nil {
		g.processReply(reply)
	}
}
