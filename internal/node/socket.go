// SPDX-License-Identifier: Apache-2.0

package node

import (
	"fmt"

	"ploverjunction.example/ploverjunction/internal/dispatch"
	"ploverjunction.example/ploverjunction/internal/link"
	"ploverjunction.example/ploverjunction/internal/logging"
	"ploverjunction.example/ploverjunction/internal/settings"
	"ploverjunction.example/ploverjunction/internal/traffic"
)

// openSocket opens the socket for datagrams and creates the controllers that use it.
func (n *Node) openSocket() error {
	if !n.set.PeerListen().IsValid() || n.set.PeerListen().Port() == 0 {
		return nil
	}
	log := logging.Part(n.log, "link")
	n.messenger = newMessenger()
	socket, err := link.OpenSocket(n.set.PeerListen(), n.set.PeerSecret(), n.traffic, func(err error) {
		n.metrics.Count("datagrams_refused", 1)
		log.WithError(err).Debug("datagram refused")
	})
	if err != nil {
		return fmt.Errorf("node: %w", err)
	}
	m := n.messenger
	m.socket, m.members, m.gossip, m.replica, m.self, m.log = socket, n.members, n.gossip, n.replica, n.self, log
	m.transmit = socket.Send
	m.isFar = func(peer string) bool { return n.board.scope(peer) == traffic.Between }
	n.failureDetector = &failureDetector{
		messenger: m,
		members:   n.members,
		board:     n.board,
		seeds:     n.seeds,
		log:       logging.Part(n.log, "members"),
		elapsed:   n.suspended.Since,
	}
	n.limits.messenger = m
	m.onTokenRequest, m.onReceive, m.onIncarnation = n.limits.handleTokenRequest, n.limits.recordReceived, n.limits.recordIncarnation
	n.quarantine.messenger = m
	m.quarantineDigest, m.onQuarantine, m.onQuarantineDigest = n.quarantine.digest.Load, n.quarantine.merge, n.quarantine.compare
	share, reserve, window := n.set.RetryBudget()
	d := newDispatchController(n.board, m, dispatch.Budget{
		Share:   share,
		Reserve: reserve,
		Window:  window,
	}, logging.Part(n.log, "dispatch"))
	d.floor, d.partitionSlots = n.set.Floor(), n.set.PartitionSlots()
	d.setCoverageShort = func(p partition, short float64) { n.metrics.PartitionGauge("coverage_short", p.service, p.hall, short) }
	d.handover = handoverSender{
		enabled: n.set.Handover(),
		call:    n.dialer.Handover,
	}
	d.countHandover = func(outcome string) { n.metrics.Count("handovers_"+outcome, 1) }
	d.seeds = n.limits.seeds
	d.setLimitedTargets = func(p partition, targets int) {
		n.metrics.PartitionGauge("limited_targets", p.service, p.hall, float64(targets))
	}
	if n.set.Choice() == settings.ChoiceJoint {
		n.board.shares.withDispatchers = true
		n.dispatcher = d
		n.prober.observeLoad = d.observeProbe
		n.ejection.passive = true
	}
	return nil
}
