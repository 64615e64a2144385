// SPDX-License-Identifier: Apache-2.0

package dissemination

import (
	"context"
	"time"

	"ploverjunction.example/ploverjunction/internal/wire"
)

// A node whose answers are lost can be told of a value, but not be compared with: the first
// message of a comparison holds only a digest. So the peers that get no answer from it
// tell it what they learned lately.

// remember notes when values were learned, and forgets those learned long ago.
func (g *Gossip) remember(entries []*wire.Entry) {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, e := range entries {
		if len(e.GetValue()) <= pushWhole {
			g.lately[e.GetKey()] = now
		}
	}
	for key, at := range g.lately {
		if now.Sub(at) > latelyTime {
			delete(g.lately, key)
		}
	}
}

// learnedLately returns the keys of small values that this node learned lately.
func (g *Gossip) learnedLately() []string {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	var keys []string
	for key, at := range g.lately {
		if now.Sub(at) <= latelyTime {
			keys = append(keys, key)
		}
	}
	return keys
}

// tell sends what was learned lately to a peer that did not answer a comparison. Whether
// it answers this time doesn't matter, so that a failure is not counted again.
func (g *Gossip) tell(ctx context.Context, peer string) {
	keys := g.learnedLately()
	if len(keys) == 0 {
		return
	}
	req := g.request()
	req.Entries = g.replica.Entries(keys)
	if reply, err := g.cfg.Call(ctx, peer, req); err == nil {
		g.learn(reply)
	}
}
