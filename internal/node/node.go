// SPDX-License-Identifier: Apache-2.0

// Package node is one process of the fleet: it connects the controllers by the blackboard and runs
// them.
package node

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	klog "github.com/go-kratos/kratos/v2/log"
	"github.com/sirupsen/logrus"

	"ploverjunction.example/ploverjunction/internal/contract"
	"ploverjunction.example/ploverjunction/internal/dissemination"
	"ploverjunction.example/ploverjunction/internal/entry"
	"ploverjunction.example/ploverjunction/internal/fleetconfig"
	"ploverjunction.example/ploverjunction/internal/link"
	"ploverjunction.example/ploverjunction/internal/logging"
	"ploverjunction.example/ploverjunction/internal/membership"
	"ploverjunction.example/ploverjunction/internal/metrics"
	"ploverjunction.example/ploverjunction/internal/operator"
	"ploverjunction.example/ploverjunction/internal/order"
	"ploverjunction.example/ploverjunction/internal/outlier"
	"ploverjunction.example/ploverjunction/internal/ratelimit"
	"ploverjunction.example/ploverjunction/internal/settings"
	"ploverjunction.example/ploverjunction/internal/source"
	"ploverjunction.example/ploverjunction/internal/suspend"
	"ploverjunction.example/ploverjunction/internal/wire"
)

// Times and counts of roles.
const (
	// readersPerHall is how many nodes of each data hall watch the platform.
	readersPerHall = 1
	// platformTimeout is the time without an answer of the platform to any node after which any
	// node may read it. A watch without changes answers every 25 s.
	platformTimeout = 35 * time.Second
	// startPlatformTimeout is the same for a node that has just started.
	startPlatformTimeout = 2 * time.Second
	// drainTries is how often a draining node tries to notify a peer.
	drainTries       = 3
	idleConnInterval = 10 * time.Second
)

// Node is one process of the fleet. It is created by New and may be run once.
type Node struct {
	set             *settings.Settings
	log             *logrus.Logger
	board           *Board
	started         time.Time
	members         *members
	replica         *dissemination.Replica
	gossip          *dissemination.Gossip
	traffic         *link.Traffic
	dialer          *link.Dialer
	peers           *link.Server
	adapter         *Adapter
	messenger       *messenger
	failureDetector *failureDetector
	// dispatcher is nil in the independent mode.
	dispatcher *dispatchController
	platform   *source.Platform
	directory  *source.Directory
	ejection   *ejectionController
	evidence   *evidenceController
	prober     *prober
	limits     *limitController
	// quarantine keeps requests that crash targets away from them.
	quarantine *quarantineController
	lifecycle  *lifecycle
	metrics    *metrics.Metrics
	// closed counts the connections that were closed for a limit.
	closed   *closedConnections
	entry    *entry.Server
	operator *operator.Server
	drain    chan struct{}
	// suspended measures for how long the machine was suspended.
	suspended *suspend.Clock
	// live are the settings as last reloaded, set those at the start.
	live atomic.Pointer[settings.Settings]
}

// New makes the checks that settings alone cannot and opens all ports. Nothing is served before
// Run. adapter may be nil.
func New(set *settings.Settings, log *logrus.Logger, adapter *Adapter) (*Node, error) {
	if adapter == nil {
		adapter = &Adapter{
			Contract: contract.Plover(),
		}
	}
	klog.SetLogger(klog.NewFilter(klog.DefaultLogger, klog.FilterLevel(klog.LevelError)))
	n := &Node{
		set: set,
		log: log,
		board: &Board{
			regions: set.Regions(),
		},
		started: time.Now(),
		traffic: &link.Traffic{},
		metrics: metrics.New(set.MetricWorkspaces()),
		drain:   make(chan struct{}, 1),
		adapter: adapter,
	}
	n.closed = newClosedConnections(logging.Part(log, "inbound"))
	n.live.Store(set)
	n.suspended = n.newClock()
	keys, err := loadKeys(set)
	if err != nil {
		return nil, err
	}
	n.dialer = link.NewDialer(keys, n.traffic)
	n.members = newMembers(n.board, membership.NewNode(n.address(), set.DataHall()), set.Weight())
	n.traffic.SetScope(n.board.scope)
	n.members.incarnation.Store(uint64(n.started.UnixMilli()))
	n.replica = dissemination.NewReplica(n.applyConfig)
	n.replica.ReportUnreadable(n.recordUnreadable)
	n.gossip = dissemination.New(n.gossipConfig(), n.replica)
	n.makeControllers()
	if err := n.open(keys); err != nil {
		return nil, err
	}
	return n, nil
}

// address returns the address that identifies this node in the fleet.
func (n *Node) address() string {
	if !n.set.PeerListen().IsValid() {
		return n.set.EntryListen().String()
	}
	return n.set.Advertise().String()
}

func (n *Node) self() *wire.Node {
	return &wire.Node{
		Address:     n.address(),
		DataHall:    n.set.DataHall(),
		Incarnation: n.members.incarnation.Load(),
		Leaving:     n.lifecycle.draining.Load(),
		Weight:      n.set.Weight(),
	}
}

func (n *Node) gossipConfig() dissemination.Config {
	return dissemination.Config{
		Self:          n.self,
		View:          n.board.view.Load,
		PreferOwnHall: n.set.Choice() == settings.ChoiceJoint,
		Seeds:         n.seeds,
		Announce:      n.announce,
		Call:          n.dialer.Sync,
		Received:      n.members.recordMessage,
		Discovered:    n.members.recordMention,
		Failed:        n.members.recordFailure,
		Suspended:     n.suspended.Total,
	}
}

// announce notifies a peer that this node has new values, if the nodes exchange datagrams.
func (n *Node) announce(peer string) {
	if n.messenger != nil {
		n.messenger.announce(peer)
	}
}

// makeControllers creates the controllers.
func (n *Node) makeControllers() {
	collector := outlier.NewCollector(ejectionInterval)
	n.ejection = newEjectionController(n.board, collector, logging.Part(n.log, "judging"))
	n.evidence = newEvidenceController(n.board, observerLink{
		sendReports:   n.dialer.Observe,
		sendDecisions: n.dialer.Judge,
		failed:        n.members.recordFailure,
		self:          n.self,
	}, n.ejection.applyDecision, logging.Part(n.log, "observing"))
	n.ejection.report = n.collectEvidence
	n.prober = newProber(n.board, n.adapter.Contract, n.evidence.collect, logging.Part(n.log, "probing"))
	n.lifecycle = &lifecycle{
		board:       n.board,
		started:     n.started,
		compared:    n.gossip.Compared,
		isolated:    n.gossip.CutOff,
		platformAge: n.gossip.PlatformAge,
		seeds:       len(n.set.Seeds()),
		// Reads of an adapter are never stale.
		peersCompared: n.adapter.PlatformTimeout > 0,
	}
	window, excess, slack := n.set.Workspaces().Tolerance()
	n.limits = newLimitController(n.board, n.started, uint64(n.started.UnixNano()), ratelimit.Tolerance{
		Window: window,
		Excess: excess,
		Slack:  slack,
	}, logging.Part(n.log, "limits"))
	n.limits.seeds = len(slices.DeleteFunc(n.seeds(), func(s string) bool { return s == n.address() }))
	n.quarantine = newQuarantineController(n.board, n.started, logging.Part(n.log, "quarantine"))
	n.quarantine.setShared = func(shared int) { n.metrics.Gauge("quarantined_requests", float64(shared)) }
	switch {
	case n.adapter.Read != nil:
	case n.set.Source() == settings.SourcePlatform:
		n.platform = source.NewPlatform(n.set.Platform())
		n.adapter.Read = n.platform.Run
		n.adapter.Calls = n.platform.Calls
	default:
		n.directory = source.NewDirectory(n.set.Directory())
	}
}

// collectEvidence reports evidence of this node, except about targets that its own paths do not reach.
func (n *Node) collectEvidence(now time.Time, evidence []outlier.Evidence) {
	n.evidence.collect(now, slices.DeleteFunc(evidence, func(e outlier.Evidence) bool {
		return n.entry.PathLost(e.Service) && !e.Counts.Draining
	}))
}

// recordUnreadable records that a value of a peer cannot be read.
func (n *Node) recordUnreadable(err error) {
	n.metrics.Count("values_unreadable", 1)
	logging.Part(n.log, "config").WithError(err).Warn("value of a peer unreadable")
}

// applyConfig applies each new configuration of the replica.
func (n *Node) applyConfig(c *fleetconfig.Config, refusals []fleetconfig.Refusal) {
	log := logging.Part(n.log, "config")
	n.metrics.Gauge("config_revision", float64(c.Position().Revision()))
	n.metrics.Gauge("config_era", float64(c.Position().Era()))
	n.metrics.Gauge("config_refused", float64(len(refusals)))
	for _, r := range n.board.newRefusals(refusals) {
		log.WithField("key", r.Key()).WithField("era", r.Position().Era()).WithField("revision", r.Position().Revision()).
			WithError(r.Err()).Warn("value refused")
	}
	log.WithField("era", c.Position().Era()).WithField("revision", c.Position().Revision()).WithField("routes", c.Routes()).
		WithField("services", len(c.Services())).Info("configuration in force")
	n.logEvacuations(log, c)
	n.board.config.Store(&configuration{
		config:   c,
		refusals: refusals,
		at:       time.Now(),
	})
	n.board.pruneSignals(time.Now(), c)
}

// newRefusals returns the refusals that the configuration in force doesn't have: a value that stays refused
// would otherwise be logged again with each change of another one.
func (b *Board) newRefusals(refusals []fleetconfig.Refusal) []fleetconfig.Refusal {
	type refused struct {
		key      string
		position order.Position
	}
	known := map[refused]bool{}
	if c := b.config.Load(); c != nil {
		for _, r := range c.refusals {
			known[refused{
				key:      r.Key(),
				position: r.Position(),
			}] = true
		}
	}
	return slices.DeleteFunc(slices.Clone(refusals), func(r fleetconfig.Refusal) bool {
		return known[refused{
			key:      r.Key(),
			position: r.Position(),
		}]
	})
}

// logEvacuations logs each data hall whose evacuation begins or ends with a configuration.
func (n *Node) logEvacuations(log *logrus.Entry, c *fleetconfig.Config) {
	now := c.Evacuations()
	var before []string
	if old := n.board.currentConfig(); old != nil {
		before = old.Evacuations()
	}
	n.metrics.Gauge("evacuated_data_halls", float64(len(now)))
	for _, hall := range now {
		if !slices.Contains(before, hall) {
			log.WithField("data_hall", hall).WithField("age_ms", ageMS(n.gossip.PlatformAge(time.Now()))).Info("data hall evacuated")
		}
	}
	for _, hall := range before {
		if !slices.Contains(now, hall) {
			log.WithField("data_hall", hall).WithField("age_ms", ageMS(n.gossip.PlatformAge(time.Now()))).Info("data hall in use again")
		}
	}
}

// Sync serves the exchange of configuration with peers.
func (n *Node) Sync(ctx context.Context, in *wire.SyncRequest) (*wire.SyncReply, error) {
	return n.gossip.Sync(ctx, in)
}

// Observe serves reports of evidence of peers.
func (n *Node) Observe(_ context.Context, in *wire.ReportBatch) (*wire.Receipt, error) {
	n.members.recordMessage(in.GetFrom())
	n.evidence.observe(time.Now(), in)
	return &wire.Receipt{}, nil
}

// Judge serves ejection decisions of observers.
func (n *Node) Judge(_ context.Context, in *wire.VerdictBatch) (*wire.Receipt, error) {
	n.members.recordMessage(in.GetFrom())
	n.evidence.handleDecisions(time.Now(), in)
	return &wire.Receipt{}, nil
}
