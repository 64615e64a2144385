// SPDX-License-Identifier: Apache-2.0

package node

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"ploverjunction.example/ploverjunction/internal/link"
	"ploverjunction.example/ploverjunction/internal/logging"
	"ploverjunction.example/ploverjunction/internal/membership"
	"ploverjunction.example/ploverjunction/internal/task"
	"ploverjunction.example/ploverjunction/internal/wire"
)

// Drain begins a planned stop. It may be called concurrently and more than once.
func (n *Node) Drain() {
	select {
	case n.drain <- struct{}{}:
	default:
	}
}

// stop is the planned stop: the load balancer is notified first, and callers are accepted until it
// has had time to react; then the requests in flight run to their end.
func (n *Node) stop(ctx context.Context) error {
	log := logging.Part(n.log, "node")
	grace, drainWait := n.grace(), n.live.Load().DrainWait()
	log.WithField("grace_ms", grace.Milliseconds()).WithField("drain_wait_ms", drainWait.Milliseconds()).Info("leaving")
	n.lifecycle.draining.Store(true)
	n.entry.CloseConnections()
	if grace > 0 {
		wait := grace * answerPart / graceParts
		defer time.AfterFunc(wait, n.endUnanswered).Stop()
		if drainWait > wait {
			log.WithField("used_ms", wait.Milliseconds()).Warn("drain wait is too long for the grace time")
			drainWait = wait
		}
		now := time.Now()
		n.entry.ExpectEnd(now.Add(min(drainWait, grace/usualDivisor)), now.Add(wait))
	}
	var calls task.Group
	n.announceDraining(ctx, &calls)
	n.handOverRoles(ctx, &calls)
	err := n.drainEntry(ctx, drainWait)
	return errors.Join(err, calls.Wait())
}

// A planned stop ends the requests that have no answer after answerPart of graceParts of the grace time, and takes none
// for which that may be too short. The rest is for their callers to get the answer. A drain wait ends by then, so that
// connections are closed by the process and not by its end.
const (
	answerPart = 7
	graceParts = 8
	// usualDivisor divides the grace time. Until then, and while the load balancer still sends callers, a request is taken
	// if it usually takes less than what is left: it has three eighths of the grace time at least. Later the few others can be
	// refused unless their deadline leaves time, as another node serves them at once.
	usualDivisor = 2
)

// grace returns after how long this process is killed once a planned stop began, 0 if it is not.
func (n *Node) grace() time.Duration {
	if d := n.live.Load().Grace(); d > 0 {
		return d
	}
	return n.adapter.Grace
}

// endUnanswered answers the requests that have no answer yet. The close of a connection would not show callers
// whether their request ran.
func (n *Node) endUnanswered() {
	logging.Part(n.log, "node").WithField("in_flight", n.entry.InFlight()).Info("ending unanswered requests")
	n.entry.EndUnanswered()
}

// logEnd logs the end of all service, and how many requests it cuts.
func (n *Node) logEnd() {
	l := logging.Part(n.log, "node").WithField("in_flight", n.entry.InFlight()).WithField("peer_requests", n.entry.PeerRequests())
	if n.entry.InFlight() > 0 {
		l.Warn("stopping with requests in flight")
		return
	}
	l.Info("stopping")
}

// handOverRoles begins to send the state of this node's dispatcher roles to its successors.
func (n *Node) handOverRoles(ctx context.Context, calls *task.Group) {
	if n.dispatcher != nil {
		n.dispatcher.stop(ctx, calls, time.Now())
	}
}

// drainEntry accepts callers until the load balancer has had time to react, and returns after the end of
// the requests in flight.
func (n *Node) drainEntry(ctx context.Context, drainWait time.Duration) error {
	log := logging.Part(n.log, "node")
	wait := time.NewTimer(drainWait)
	defer wait.Stop()
	select {
	case <-ctx.Done():
		return nil
	case <-wait.C:
	}
	log.WithField("in_flight", n.entry.InFlight()).Info("draining")
	if err := n.entry.Drain(ctx); err != nil && ctx.Err() == nil {
		return fmt.Errorf("node: drain: %w", err)
	}
	log.Info("drained")
	return nil
}

// drainingFarPeers is how many nodes of each other data hall a draining node notifies by datagram.
const drainingFarPeers = 2

// announceTimeout bounds the notification of all peers. It runs beside the drain wait: a peer that does not answer must not
// delay the stop beyond the grace time.
const announceTimeout = link.CallTimeout

// announceDraining begins to notify peers, which must assign this node's roles to others. Where datagrams
// spread membership updates, the nodes of the same data hall and a few others are enough; a
// draining node fulfils its roles until it ends.
func (n *Node) announceDraining(ctx context.Context, calls *task.Group) {
	if n.peers == nil {
		return
	}
	if n.messenger != nil {
		for _, peer := range drainingPeers(n.board.view.Load()) {
			n.messenger.pong(peer, 0)
		}
		return
	}
	calls.Go(ctx, "leave", func(ctx context.Context) error {
		ctx, cancel := context.WithTimeout(ctx, announceTimeout)
		defer cancel()
		var all task.Group
		for _, p := range n.board.view.Load().Peers() {
			all.Go(ctx, "leave", func(ctx context.Context) error { return n.announceDrainingTo(ctx, p.Address()) })
		}
		if err := all.Wait(); err != nil {
			logging.Part(n.log, "node").WithError(err).Debug("not all peers notified")
		}
		return nil
	})
}

// drainingPeers returns the peers that a draining node notifies.
func drainingPeers(view *membership.View) []string {
	var out []string
	near, far := view.Halls()
	for _, p := range near {
		out = append(out, p.Address())
	}
	sent := map[string]int{}
	rand.Shuffle(len(far), func(i, j int) { far[i], far[j] = far[j], far[i] })
	for _, p := range far {
		if sent[p.DataHall()]++; sent[p.DataHall()] <= drainingFarPeers {
			out = append(out, p.Address())
		}
	}
	return out
}

func (n *Node) announceDrainingTo(ctx context.Context, peer string) error {
	var err error
	for range drainTries {
		_, err = n.dialer.Sync(ctx, peer, &wire.SyncRequest{
			From:   n.self(),
			Digest: n.replica.Digest(),
		})
		if err == nil || ctx.Err() != nil {
			break
		}
	}
	return err
}
