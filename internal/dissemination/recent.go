// SPDX-License-Identifier: Apache-2.0

package dissemination

import (
	"context"
	"slices"
	"time"

	"ploverjunction.example/ploverjunction/internal/wire"
)

// A node whose answers are lost can receive a value but not be compared with, because the first
// message of a comparison holds only a digest. Peers that get no answer from it therefore
// send it their recent values.

// recentValue is the key of a small value that this node received, and when.
type recentValue struct {
	key string
	at  time.Time
}

// recordRecent records small values, and drops those that are older than recentRetention or not
// among the last maxRecent.
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

// recentKeys returns the keys of the small values received within recentRetention.
func (g *Gossip) recentKeys() []string {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	var keys []string
	for _, v := range g.recentValues {
		if now.Sub(v.at) <= recentRetention && !slices.Contains(keys, v.key) {
			keys = append(keys, v.key)
		}
	}
	return keys
}

// sendRecent sends the recent values to a peer that did not answer a comparison. A failure is not
// counted again.
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
