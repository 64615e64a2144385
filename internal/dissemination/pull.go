// SPDX-License-Identifier: Apache-2.0

package dissemination

import (
	"context"
	"fmt"
	"time"

	"ploverjunction.example/ploverjunction/internal/fleetconfig"
	"ploverjunction.example/ploverjunction/internal/order"
	"ploverjunction.example/ploverjunction/internal/wire"
)

// ReadTo returns the position up to which this node has all values, for messages; nil if it doesn't
// pull by position.
func (g *Gossip) ReadTo() *wire.Position {
	if !g.pullsByPosition() {
		return nil
	}
	return fleetconfig.WirePosition(g.replica.ReadTo())
}

// pullsByPosition reports whether this node pulls values by position: the source gives positions, or
// it has no value yet.
func (g *Gossip) pullsByPosition() bool {
	return g.positions.Load() || g.replica.ReadTo() != (order.Position{}) || g.replica.Len() == 0
}

// observeReadTo receives the position up to which a peer has all values.
func (g *Gossip) observeReadTo(p *wire.Position) {
	if fleetconfig.PositionOf(p) != (order.Position{}) {
		g.positions.Store(true)
	}
}

// pullsFrom reports whether this node pulls from a peer as soon as a digest shows that the two differ.
// Traffic between data halls is expensive: a few nodes of each data hall fetch new values, and the
// others get them from those.
func (g *Gossip) pullsFrom(peer string) bool {
	if !g.cfg.PreferOwnHall {
		return true
	}
	view := g.cfg.View()
	near, _ := view.Halls()
	if len(near) == 0 || view.Near(peer) || g.stalled(time.Now()) {
		return true
	}
	// A node without values would fetch all of them across data halls.
	return g.replica.Len() > 0 && crossesHalls(len(near))
}

// stalled reports whether this node has made no progress for farMaxWait.
func (g *Gossip) stalled(now time.Time) bool {
	return g.uptime(now)-time.Duration(g.lastProgress.Load()) > farMaxWait
}

func (g *Gossip) recordProgress(now time.Time) { g.lastProgress.Store(int64(g.uptime(now))) }

// answerPull adds to a reply the values after the position of the request.
func (g *Gossip) answerPull(in *wire.SyncRequest, out *wire.SyncReply) error {
	since := fleetconfig.PositionOf(in.GetSince())
	if b, ok := g.batches.get(out.GetDigest(), since); ok {
		out.Batch, out.UpTo, out.More = b.packed, b.upTo, b.more
		return nil
	}
	entries, upTo, more := g.replica.After(since)
	packed, err := packBatch(entries)
	if err != nil {
		return err
	}
	out.Batch, out.UpTo, out.More = packed, fleetconfig.WirePosition(upTo), more
	// Values may have arrived since the digest was taken.
	if out.GetDigest() == g.replica.Digest() {
		g.batches.put(out.GetDigest(), since, batch{
			packed: packed,
			upTo:   out.GetUpTo(),
			more:   more,
		})
	}
	return nil
}

// applyBatch stores the values that a peer sent for a pull. After the last batch this node has all
// that the peer has.
func (g *Gossip) applyBatch(sent *wire.SyncRequest, reply *wire.SyncReply) error {
	if !sent.GetPull() || reply.GetReadTo() == nil {
		return nil
	}
	entries, err := unpackBatch(reply.GetBatch())
	if err != nil {
		g.replica.recordUnreadable(err)
		return err
	}
	fresh := g.replica.Offer(entries)
	if !reply.GetMore() && g.replica.AdvanceReadTo(fleetconfig.PositionOf(reply.GetReadTo())) || len(fresh) > 0 {
		g.recordProgress(time.Now())
	}
	if !reply.GetMore() {
		g.enqueue(update{
			entries: fresh,
			pulled:  true,
		})
	}
	return nil
}

// claimPull reports whether a pull may begin, and records that it does. Only one runs at a time,
// because others would fetch the same values; one without an answer for maxWait doesn't count.
func (g *Gossip) claimPull(now time.Time, maxWait time.Duration) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.pulling.IsZero() && now.Sub(g.pulling) < maxWait {
		return false
	}
	g.pulling = now
	return true
}

// renewPull records the progress of a pull, or with the zero time its end.
func (g *Gossip) renewPull(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.pulling = now
}

// PullError reports a peer that claims more values after a position but sends none.
type PullError struct {
	peer  string
	since order.Position
}

// Error returns the message with the peer and the position.
func (e *PullError) Error() string {
	return fmt.Sprintf("dissemination: pull from %s: no progress after position %v", e.peer, e.since)
}

// pull fetches a peer's values after the position up to which this node is complete. It returns
// the last request and the peer's last reply.
func (g *Gossip) pull(ctx context.Context, peer string) (*wire.SyncRequest, *wire.SyncReply, error) {
	defer g.renewPull(time.Time{})
	since := g.replica.ReadTo()
	for {
		g.renewPull(time.Now())
		req := g.request()
		req.Pull, req.Since = true, fleetconfig.WirePosition(since)
		reply, err := g.call(ctx, peer, req)
		if err != nil {
			return nil, nil, err
		}
		if err := g.applyBatch(req, reply); err != nil {
			return nil, nil, err
		}
		upTo := fleetconfig.PositionOf(reply.GetUpTo())
		if !reply.GetMore() {
			return req, reply, nil
		}
		if upTo.Compare(since) <= 0 {
			return nil, nil, &PullError{
				peer:  peer,
				since: since,
			}
		}
		since = upTo
	}
}
