// SPDX-License-Identifier: Apache-2.0

package node

import (
	"context"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"ploverjunction.example/ploverjunction/internal/dispatch"
	"ploverjunction.example/ploverjunction/internal/link"
	"ploverjunction.example/ploverjunction/internal/membership"
	"ploverjunction.example/ploverjunction/internal/task"
	"ploverjunction.example/ploverjunction/internal/wire"
)

// This file sends the state of a partition to the next dispatcher of it, and accepts that of the previous
// one.

const (
	// handoverMaxAge is how recently a dispatcher must have granted requests for its state to be of use.
	handoverMaxAge = 10 * time.Second
	// handoverRetryDelay is the time before the only retry of a failed call, handoverTimeout bounds each
	// call: after a second the successor has learned the state itself.
	handoverRetryDelay = 200 * time.Millisecond
	handoverTimeout    = time.Second
	// handoverRanks is the number of nodes that rank first for a partition and accept its state: views
	// differ by nodes that only one of two knows, and the predecessor ranks first until it is known to
	// drain.
	handoverRanks = 3
	// maxHandoverPartitions bounds the partitions in one call.
	maxHandoverPartitions = 64
)

// handoverSender sends state to the next dispatchers.
type handoverSender struct {
	enabled bool
	// call calls Handover of a peer.
	call func(ctx context.Context, peer string, in *wire.HandoverRequest) error
	// stopping is set once this node has begun a planned stop.
	stopping bool
}

// handoverTransfer is the state of a partition for one successor.
type handoverTransfer struct {
	partition partition
	successor string
	state     dispatch.Handover
}

// handOver begins to send the state of each partition for which another node ranks first now.
func (d *dispatchController) handOver(ctx context.Context, calls *task.Group, now time.Time) {
	for _, t := range d.dueHandovers(now) {
		calls.Go(ctx, "handover", func(ctx context.Context) error {
			d.sendHandover(ctx, t)
			return nil
		})
	}
}

// stop begins to send the state of each partition to the node that ranks first without this one.
func (d *dispatchController) stop(ctx context.Context, calls *task.Group, now time.Time) {
	d.mu.Lock()
	d.handover.stopping = true
	d.mu.Unlock()
	d.handOver(ctx, calls, now)
}

// dueHandovers returns the state to send, once for each partition and successor.
func (d *dispatchController) dueHandovers(now time.Time) []handoverTransfer {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.handover.enabled {
		return nil
	}
	view := d.board.view.Load()
	var out []handoverTransfer
	for p, s := range d.schedulers {
		if now.Sub(s.LastGrant()) >= handoverMaxAge {
			continue
		}
		holders := p.holders(view)
		if !d.handover.stopping && (len(holders) == 0 || holders[0] == view.Self()) {
			// The role is this node's, possibly again.
			s.handedTo = nil
			continue
		}
		successor, ok := p.successor(view)
		if !ok || s.handedTo[successor.Address()] {
			continue
		}
		if s.handedTo == nil {
			s.handedTo = map[string]bool{}
		}
		s.handedTo[successor.Address()] = true
		out = append(out, handoverTransfer{
			partition: p,
			successor: successor.Address(),
			state:     s.Export(now),
		})
	}
	return out
}

// successor returns the node that ranks first for the partition without this one.
func (p partition) successor(view *membership.View) (membership.Node, bool) {
	role := "dispatcher/" + p.service
	for _, nodes := range [...][]membership.Node{p.holders(view), view.Role(role, "", 2*dispatchers)} {
		if i := slices.IndexFunc(nodes, func(n membership.Node) bool { return n != view.Self() }); i >= 0 {
			return nodes[i], true
		}
	}
	return membership.Node{}, false
}

// sendHandover sends the state of a partition, with one retry.
func (d *dispatchController) sendHandover(ctx context.Context, t handoverTransfer) {
	log := d.handoverLog(t.partition, t.successor, t.state)
	in := &wire.HandoverRequest{
		From:       d.messenger.self(),
		Partitions: []*wire.PartitionState{wireHandover(t.partition, t.state)},
	}
	err := d.callHandover(ctx, t.successor, in)
	if err != nil && !link.Unimplemented(err) {
		wait := time.NewTimer(handoverRetryDelay)
		defer wait.Stop()
		select {
		case <-ctx.Done():
		case <-wait.C:
			err = d.callHandover(ctx, t.successor, in)
		}
	}
	switch {
	case err == nil:
		d.countHandover("sent")
		log.Info("handover sent")
	case link.Unimplemented(err):
		d.countHandover("failed")
		log.WithError(err).Debug("handover not supported by the peer")
	default:
		d.countHandover("failed")
		log.WithError(err).Warn("handover failed")
	}
}

func (d *dispatchController) callHandover(ctx context.Context, peer string, in *wire.HandoverRequest) error {
	ctx, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	return d.handover.call(ctx, peer, in)
}

// handoverLog returns a log entry that describes the state of a partition.
func (d *dispatchController) handoverLog(p partition, peer string, h dispatch.Handover) *logrus.Entry {
	return d.log.WithFields(logrus.Fields{
		"service":    p.service,
		"hall":       p.hall,
		"peer":       peer,
		"targets":    len(h.Targets),
		"routes":     len(h.Model.Routes),
		"workspaces": len(h.Workspaces),
	})
}

// handleHandover accepts the state of partitions from their previous dispatcher.
func (d *dispatchController) handleHandover(now time.Time, in *wire.HandoverRequest) {
	partitions := in.GetPartitions()
	for _, w := range partitions[:min(len(partitions), maxHandoverPartitions)] {
		p := partition{
			service: w.GetService(),
			hall:    w.GetDataHall(),
		}
		h := handoverOfWire(w)
		reason := d.importHandover(now, p, h)
		log := d.handoverLog(p, in.GetFrom().GetAddress(), h)
		if reason == "" {
			d.countHandover("accepted")
			log.Info("handover accepted")
		} else {
			d.countHandover("ignored")
			log.WithField("reason", reason).Info("handover ignored")
		}
	}
	d.notify()
}

// importHandover returns why the state of a partition is not used, or "".
func (d *dispatchController) importHandover(now time.Time, p partition, h dispatch.Handover) string {
	view := d.board.view.Load()
	holders := p.holders(view)
	if !slices.Contains(holders[:min(len(holders), handoverRanks)], view.Self()) {
		return "rank"
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.touchScheduler(now, p)
	if s == nil {
		return "unknown service"
	}
	if r := s.Import(now, h); r != dispatch.Imported {
		return r.String()
	}
	return ""
}

// Handover serves the transfer of state from the previous dispatcher of partitions.
func (n *Node) Handover(_ context.Context, in *wire.HandoverRequest) (*wire.Receipt, error) {
	n.members.recordMessage(in.GetFrom())
	if in.GetFrom().GetLeaving() {
		// This node may rank only once its view is without the sender.
		n.members.renew()
	}
	if n.dispatcher != nil {
		n.dispatcher.handleHandover(time.Now(), in)
	}
	return &wire.Receipt{}, nil
}
