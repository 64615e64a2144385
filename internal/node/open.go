// SPDX-License-Identifier: Apache-2.0

package node

import (
	"fmt"
	"time"

	"ploverjunction.example/ploverjunction/internal/entry"
	"ploverjunction.example/ploverjunction/internal/fleetconfig"
	"ploverjunction.example/ploverjunction/internal/link"
	"ploverjunction.example/ploverjunction/internal/logging"
	"ploverjunction.example/ploverjunction/internal/operator"
	"ploverjunction.example/ploverjunction/internal/settings"
)

// bodyMemoryDivisor bounds the bodies that a node holds in each direction to 1/8 of its memory:
// the rest is for the kernel's buffers of the same connections, the tables and the slack of the
// garbage collector.
const bodyMemoryDivisor = 8

// open opens the three listeners.
func (n *Node) open(keys *link.Keys) error {
	var err error
	if err := n.openSocket(); err != nil {
		return err
	}
	a := &independentChooser{
		board: n.board,
	}
	choose, trial, retry := a.choose, a.trial, a.retry
	unserved := func(string) {}
	if n.dispatcher != nil {
		// The dispatcher holds the retry budget, and targets that failed are tried again with
		// requests of callers.
		choose = n.dispatcher.choose
		trial = func(*fleetconfig.Service) (entry.Choice, bool) { return entry.Choice{}, false }
		retry = func(string) bool { return true }
		unserved = n.dispatcher.countRefused
	}
	bounds := newBounds(n.set)
	n.dialer.BoundAnswers(bounds.messages)
	currency := n.newFreshness()
	peers := newPeerForwarder(n.board, n.dialer)
	n.entry, err = entry.New(entry.Config{
		PathTargets:    n.board.pathTargets,
		OnPathsChanged: func(services int) { n.metrics.Gauge("services_out_of_reach", float64(services)) },
		Peers:          peers.peers,
		Unavailable: func(s *fleetconfig.Service) []string {
			u := n.board.unavailable(time.Now(), s, "")
			return u.keys()
		},
		PeerUnable: func(service, peer string) {
			n.metrics.Count("peers_unable", 1)
			peers.markUnable(service, peer)
		},
		Listen:          n.set.EntryListen(),
		MaxBody:         n.set.MaxBody(),
		MaxHeader:       n.set.MaxHeader(),
		HoldBody:        n.set.MaxBufferedBody(),
		Memory:          n.set.Memory() / bodyMemoryDivisor,
		Connections:     bounds.callers,
		HeaderMemory:    bounds.headers,
		AnswerMemory:    bounds.answers,
		OnClosed:        n.closed.record,
		Deadline:        n.set.Deadline(),
		Stall:           n.set.StallTimeout(),
		Outgoing:        n.set.Outgoing(),
		DataHall:        n.set.DataHall(),
		TargetBytes:     n.traffic.Bytes(),
		WorkspaceHeader: n.set.WorkspaceHeader(),
		KeyIdentity:     n.set.Workspaces().Identity() == settings.IdentityKey,
		Trusted:         currency.trusted,
		Current:         currency.current,
		AwaitCurrent:    currency.await,
		Config:          n.board.currentConfig,
		AwaitConfig:     n.board.awaitConfig,
		Contract:        n.adapter.Contract,
		Choose:          choose,
		Trial:           trial,
		OnLimited:       unserved,
		DepositRetry:    a.first,
		WithdrawRetry:   retry,
		Limit:           n.limits.admit,
		GiveBack:        n.limits.giveBack,
		Quarantined:     n.quarantine.check,
		RecordCrash:     n.quarantine.recordCrash,
		RecordAnswer:    n.quarantine.recordAnswer,
		OnUnmatched:     func() { n.metrics.Count("answers_unmatched", 1) },
		Signals:         &n.board.signals,
		Collector:       n.ejection.collector,
		RecordServed:    n.metrics.RecordRequest,
		Log:             logging.Part(n.log, "entry"),
	})
	if err != nil {
		return fmt.Errorf("node: %w", err)
	}
	n.operator, err = operator.New(operator.Config{
		Listen:  n.set.OperatorListen(),
		Ready:   n.ready,
		Status:  n.status,
		Explain: n.explain,
		Drain:   n.Drain,
		Metrics: n.metrics.Handler(),

		Connections:   bounds.operators,
		HeaderMemory:  bounds.headers,
		OnClosed:      n.closed.record,
		MetricsListen: n.set.MetricsListen(),
	})
	if err != nil {
		return fmt.Errorf("node: %w", err)
	}
	if !n.set.PeerListen().IsValid() {
		return nil
	}
	log := logging.Part(n.log, "link")
	n.peers, err = link.Listen(n.set.PeerListen().String(), keys, n.traffic, link.Bounds{
		Connections: bounds.peers,
		Memory:      bounds.messages,
		OnClosed:    n.closed.record,
	}, n, func(err error) {
		n.metrics.Count("peer_errors", 1)
		log.WithError(err).Debug("peer connection ended")
	})
	if err != nil {
		return fmt.Errorf("node: %w", err)
	}
	return nil
}
