// SPDX-License-Identifier: Apache-2.0

package dissemination

import (
	"context"
	"time"

	"ploverjunction.example/ploverjunction/internal/fleetconfig"
	"ploverjunction.example/ploverjunction/internal/task"
	"ploverjunction.example/ploverjunction/internal/wire"
)

// push sends new values to a few random peers. A node that pulls by position only announces that
// there are some if it pulled them itself or the small ones exceed maxPushedBytes.
func (g *Gossip) push(ctx context.Context, exchanges *task.Group, u update) {
	req := g.request()
	whole := !g.pullsByPosition() || !u.pulled && sizeOf(u.entries) <= maxPushedBytes
	if whole {
		g.addValues(req, u.entries)
	}
	near, far := g.pushPeers(u.ownRead)
	if !whole && g.cfg.Announce != nil {
		for _, peer := range near {
			g.cfg.Announce(peer)
		}
		near = nil
	}
	for _, peer := range append(near, far...) {
		exchanges.Go(ctx, "push", func(ctx context.Context) error {
			g.exchange(ctx, peer, req, false)
			return nil
		})
	}
}

// sizeOf returns the size in bytes of the small values among entries, with their keys.
func sizeOf(entries []*wire.Entry) int {
	size := 0
	for _, e := range entries {
		if len(e.GetValue()) <= maxPushedValue {
			size += len(e.GetKey()) + len(e.GetValue())
		}
	}
	return size
}

// addValues adds small values and the versions of others to a request.
func (g *Gossip) addValues(req *wire.SyncRequest, entries []*wire.Entry) {
	for _, e := range entries {
		if len(e.GetValue()) <= maxPushedValue {
			req.Entries = append(req.Entries, e)
			continue
		}
		req.Revisions = append(req.Revisions, fleetconfig.KeyRevision(e.GetKey(), fleetconfig.VersionOf(e)))
	}
}

// compare compares with the first peer, and also with the next one each time none has
// answered within compareMaxWait.
func (g *Gossip) compare(ctx context.Context, exchanges *task.Group, peers []string) {
	if exchanges.Len() > maxExchanges {
		return
	}
	exchanges.Go(ctx, "compare", func(ctx context.Context) error {
		var tries task.Group
		ticker := time.NewTicker(compareMaxWait)
		defer ticker.Stop()
		for i, peer := range peers {
			wait := pullMaxWait
			if i > 0 {
				wait = pullRetryWait
			}
			answered := make(chan struct{})
			tries.Go(ctx, "compare with one", func(ctx context.Context) error {
				if g.compareWith(ctx, peer, wait) {
					close(answered)
					return nil
				}
				g.sendRecent(ctx, peer)
				return nil
			})
			select {
			case <-answered:
				return tries.Wait()
			case <-ticker.C:
			}
		}
		return tries.Wait()
	})
}

// exchange sends req to a peer and goes on until the peer requests nothing more or,
// to compare, neither side lacks values of the other. It reports whether all calls
// were answered.
func (g *Gossip) exchange(ctx context.Context, peer string, req *wire.SyncRequest, compare bool) bool {
	for range maxRounds {
		reply, err := g.call(ctx, peer, req)
		if err != nil {
			return false
		}
		g.enqueue(update{
			entries: g.replica.Offer(reply.GetEntries()),
		})
		req = g.nextMessage(req, reply, compare)
		if req == nil {
			if compare {
				g.recordCompared(peer)
			}
			return true
		}
	}
	return true
}

// call makes one call to a peer and processes the reply.
func (g *Gossip) call(ctx context.Context, peer string, req *wire.SyncRequest) (*wire.SyncReply, error) {
	reply, err := g.cfg.Call(ctx, peer, req)
	g.recordCall(err == nil)
	if err != nil {
		g.cfg.Failed(peer)
		return nil, err
	}
	g.processReply(reply)
	return reply, nil
}

// compareWith brings this node up to date with a peer, and reports whether all calls were answered.
// If both have positions, each pulls the values after its own; digests of buckets find remaining
// differences. A pull without an answer for pullWait doesn't hold back this one.
func (g *Gossip) compareWith(ctx context.Context, peer string, pullWait time.Duration) bool {
	if !g.pullsByPosition() {
		return g.exchange(ctx, peer, g.request(), true)
	}
	if !g.claimPull(time.Now(), pullWait) {
		return true
	}
	req, reply, err := g.pull(ctx, peer)
	if err != nil {
		return false
	}
	ahead := g.replica.ReadTo().Compare(fleetconfig.PositionOf(reply.GetReadTo()))
	if reply.GetDigest() == g.replica.Digest() || reply.GetReadTo() != nil && ahead > 0 {
		// The peer is behind and pulls the values that it lacks.
		g.recordCompared(peer)
		return true
	}
	if req = g.nextMessage(req, reply, true); req == nil {
		return true
	}
	return g.exchange(ctx, peer, req, true)
}

// nextMessage returns the next message of an exchange, or nil if it is complete.
func (g *Gossip) nextMessage(sent *wire.SyncRequest, reply *wire.SyncReply, compare bool) *wire.SyncRequest {
	next := g.request()
	if len(reply.GetWanted()) > 0 {
		next.Entries = g.replica.Entries(reply.GetWanted())
		return next
	}
	if reply.GetDigest() == next.GetDigest() {
		return nil
	}
	// While a value spreads, digests differ everywhere: only comparisons search for
	// the difference.
	if !compare {
		return nil
	}
	if buckets := reply.GetDiffering(); len(buckets) > 0 {
		next.Revisions = g.replica.otherRevisions(buckets, reply.GetRevisions())
		if len(next.Revisions) == 0 {
			// The peer's values have arrived from elsewhere meanwhile.
			return nil
		}
		return next
	}
	// If a list brought no values the rest is left to the next tick.
	named := len(sent.GetRevisions()) > 0 || sent.GetComplete()
	if named && len(reply.GetEntries()) == 0 {
		return nil
	}
	g.replica.addComparison(sent, next)
	return next
}

func (g *Gossip) processReply(reply *wire.SyncReply) {
	g.ObservePlatformAgeMillis(time.Now(), reply.GetPlatformAgeMs())
	g.observeReadTo(reply.GetReadTo())
	g.cfg.Received(reply.GetFrom())
	for _, n := range reply.GetNodes() {
		g.cfg.Discovered(n)
	}
}

func (g *Gossip) request() *wire.SyncRequest {
	return &wire.SyncRequest{
		From:          g.cfg.Self(),
		Digest:        g.replica.Digest(),
		PlatformAgeMs: uint64(g.PlatformAge(time.Now()).Milliseconds()),
		Known:         uint32(g.cfg.View().Nodes()),
		ReadTo:        g.ReadTo(),
	}
}
