// SPDX-License-Identifier: Apache-2.0

package dissemination

import (
	"context"
	"time"

	"ploverjunction.example/ploverjunction/internal/fleetconfig"
	"ploverjunction.example/ploverjunction/internal/task"
	"ploverjunction.example/ploverjunction/internal/wire"
)

// push tells a few random peers of new values.
func (g *Gossip) push(ctx context.Context, talks *task.Group, l learned) {
	req := g.request()
	for _, e := range l.entries {
		if len(e.GetValue()) <= pushWhole {
			req.Entries = append(req.Entries, e)
			continue
		}
		req.Revisions = append(req.Revisions, fleetconfig.KeyRevision(e.GetKey(), fleetconfig.MarkOf(e)))
	}
	for _, peer := range g.pushTo(l.first) {
		talks.Go(ctx, "push", func(ctx context.Context) error {
			g.converse(ctx, peer, req, false)
			return nil
		})
	}
}

// compare exchanges digests with the first of some peers, and with the next one
// when it doesn't answer soon.
func (g *Gossip) compare(ctx context.Context, talks *task.Group, peers []string) {
	if talks.Len() > maxTalks {
		return
	}
	talks.Go(ctx, "compare", func(ctx context.Context) error {
		var tries task.Group
		patience := time.NewTicker(comparePatience)
		defer patience.Stop()
		for _, peer := range peers {
			answered := make(chan struct{})
			tries.Go(ctx, "compare with one", func(ctx context.Context) error {
				if g.converse(ctx, peer, g.request(), true) {
					close(answered)
					return nil
				}
				g.tell(ctx, peer)
				return nil
			})
			select {
			case <-answered:
				return tries.Wait()
			case <-patience.C:
			}
		}
		return tries.Wait()
	})
}

// converse sends req to a peer and goes on until the peer wants nothing more or,
// to compare, neither side lacks anything that the other has. It reports whether the peer answered to the end.
func (g *Gossip) converse(ctx context.Context, peer string, req *wire.SyncRequest, compare bool) bool {
	for range maxRounds {
		reply, err := g.cfg.Call(ctx, peer, req)
		g.called(err == nil)
		if err != nil {
			g.cfg.Failed(peer)
			return false
		}
		g.learn(reply)
		g.spread(g.replica.Offer(reply.GetEntries()), false)
		req = g.follow(req, reply, compare)
		if req == nil {
			if compare {
				g.compared(peer)
			}
			return true
		}
	}
	return true
}

// follow returns the next message to a peer, or nil if all is said.
func (g *Gossip) follow(sent *wire.SyncRequest, reply *wire.SyncReply, compare bool) *wire.SyncRequest {
	next := g.request()
	if len(reply.GetWanted()) > 0 {
		next.Entries = g.replica.Entries(reply.GetWanted())
		return next
	}
	if reply.GetDigest() == next.GetDigest() {
		return nil
	}
	// While a value spreads digests differ everywhere: only comparisons look for
	// the reason.
	if !compare {
		return nil
	}
	if parts := reply.GetDiffering(); len(parts) > 0 {
		next.Revisions = g.replica.against(parts, reply.GetRevisions())
		if len(next.Revisions) == 0 {
			// The peer's news has come by another way meanwhile.
			return nil
		}
		return next
	}
	// If nothing came of a list the rest is left to the next tick.
	named := len(sent.GetRevisions()) > 0 || sent.GetComplete()
	if named && len(reply.GetEntries()) == 0 {
		return nil
	}
	g.replica.look(sent, next)
	return next
}

func (g *Gossip) learn(reply *wire.SyncReply) {
	g.learnAge(reply.GetPlatformAgeMs())
	g.cfg.Heard(reply.GetFrom())
	for _, n := range reply.GetNodes() {
		g.cfg.Mentioned(n)
	}
}

func (g *Gossip) request() *wire.SyncRequest {
	return &wire.SyncRequest{
		From:          g.cfg.Self(),
		Digest:        g.replica.Digest(),
		PlatformAgeMs: uint64(g.PlatformAge(time.Now()).Milliseconds()),
		Known:         uint32(g.cfg.View().Nodes()),
	}
}
