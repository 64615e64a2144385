// SPDX-License-Identifier: Apache-2.0

package node

import (
	"context"
	"io"
	"sync"
	"time"

	"ploverjunction.example/ploverjunction/internal/dispatch"
	"ploverjunction.example/ploverjunction/internal/dissemination"
	"ploverjunction.example/ploverjunction/internal/entry"
	"ploverjunction.example/ploverjunction/internal/fleetconfig"
	"ploverjunction.example/ploverjunction/internal/logging"
	"ploverjunction.example/ploverjunction/internal/membership"
	"ploverjunction.example/ploverjunction/internal/signal"
	"ploverjunction.example/ploverjunction/internal/task"
	"ploverjunction.example/ploverjunction/internal/wire"
)

// FleetNode is the dispatch controller of a node, on a network that a test provides.
type FleetNode struct {
	board           *Board
	members         *members
	messenger       *messenger
	dispatcher      *dispatchController
	failureDetector *failureDetector
	service         *fleetconfig.Service
	// mu is held while a datagram is handled.
	mu sync.Mutex
}

// FleetNodeConfig describes such a node.
type FleetNodeConfig struct {
	Self        membership.Node
	Incarnation uint64
	// Seeds are the addresses of other nodes.
	Seeds []string
	// Config holds the service named Service.
	Config  *fleetconfig.Config
	Service string
	// Send sends a datagram to a peer.
	Send func(peer string, d *wire.Datagram)
}

// NewFleetNode returns a node whose only known peers are its seeds.
func NewFleetNode(cfg FleetNodeConfig) *FleetNode {
	n := &FleetNode{
		board:   &Board{},
		service: cfg.Config.Service(cfg.Service),
	}
	n.board.config.Store(&configuration{
		config: cfg.Config,
	})
	n.board.shares.withDispatchers = true
	n.members = newMembers(n.board, cfg.Self, membership.DefaultWeight)
	n.members.incarnation.Store(cfg.Incarnation)
	m := newMessenger()
	n.messenger = m
	m.members = n.members
	m.replica = dissemination.NewReplica(nil)
	m.gossip = dissemination.New(dissemination.Config{}, m.replica)
	m.self = func() *wire.Node {
		return &wire.Node{
			Address:     cfg.Self.Address(),
			DataHall:    cfg.Self.DataHall(),
			Incarnation: n.members.incarnation.Load(),
			Weight:      membership.DefaultWeight,
		}
	}
	m.transmit = func(peer string, d *wire.Datagram) error {
		cfg.Send(peer, d)
		return nil
	}
	log := logging.Part(logging.New(io.Discard, "error", "text"), "dispatch")
	n.dispatcher = newDispatchController(n.board, m, dispatch.Budget{
		Share:   0.2,
		Reserve: 10,
		Window:  10 * time.Second,
	}, log)
	n.dispatcher.floor = 0.7
	n.dispatcher.seeds = len(cfg.Seeds)
	started := time.Now()
	n.failureDetector = &failureDetector{
		messenger: m,
		members:   n.members,
		board:     n.board,
		seeds:     func() []string { return cfg.Seeds },
		log:       log,
		elapsed:   func(now time.Time) time.Duration { return now.Sub(started) },
	}
	return n
}

// Run starts the node, which stops when the context ends.
func (n *FleetNode) Run(ctx context.Context, tasks *task.Group) {
	tasks.Go(ctx, "members", n.members.run)
	tasks.Go(ctx, "pinging", n.failureDetector.run)
	tasks.Go(ctx, "dispatching", n.dispatcher.run)
}

// Receive handles a datagram, one at a time as from the socket.
func (n *FleetNode) Receive(ctx context.Context, d *wire.Datagram) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.messenger.handle(ctx, d)
}

// Choose returns a target for an attempt.
func (n *FleetNode) Choose(ctx context.Context, again bool, tried []string, within time.Duration) (entry.Choice, error) {
	return n.ChooseReplacement(ctx, again, false, tried, within)
}

// ChooseReplacement is Choose for an attempt that takes the place of an unsent one if replaces is set.
func (n *FleetNode) ChooseReplacement(ctx context.Context, again, replaces bool, tried []string, within time.Duration) (entry.Choice, error) {
	now := time.Now()
	return n.dispatcher.choose(ctx, &entry.Query{
		Service:      n.service,
		Repeatable:   true,
		Retry:        again,
		Replacement:  replaces,
		Tried:        tried,
		Route:        "read",
		SoftDeadline: now.Add(within / 3),
		Deadline:     now.Add(within),
	})
}

// Permits reports whether a request may be sent to a chosen target now.
func (n *FleetNode) Permits(c entry.Choice) bool {
	now := time.Now()
	return n.board.signals.Status(now, c.Incarnation).Permits(now, c.Permit)
}

// Observe records the signal in an answer of a target.
func (n *FleetNode) Observe(c entry.Choice, sig signal.Signal) {
	n.board.signals.Observe(time.Now(), c.Incarnation, sig)
}

// Live returns how many nodes this one considers live.
func (n *FleetNode) Live() int { return len(n.board.view.Load().Live()) }

// GrantShare returns the share of targets' limits that a node may grant as the dispatcher of the given
// rank.
func GrantShare(nodes, live, rank int, isolated bool, connectedFor time.Duration) float64 {
	return holderRank{
		nodes:        nodes,
		live:         live,
		rank:         rank,
		isolated:     isolated,
		connectedFor: connectedFor,
	}.share()
}

// RelayedLimitTime returns the time of a limit that one node sent to another.
func RelayedLimitTime(sent, received, at time.Time) time.Time {
	return limitOfWire(received, wireLimit(sent, dispatch.TargetLimit{
		At: at,
	})).At
}

// Shares are a node's shares of targets' limits.
type Shares struct {
	shares shares
	index  int
}

// SetIndex sets the node's place among the nodes that share the limits.
func (s *Shares) SetIndex(index int) { s.index = index }

// Take reports whether the node may send a request to a target with a limit of the given rate.
func (s *Shares) Take(now time.Time, rate float64, nodes int) bool {
	return s.shares.take(now, "t", signal.Limit{
		Rate: rate,
		Set:  true,
	}, turnOrder{
		index: s.index,
		nodes: nodes,
	})
}

// Turn returns the time between two turns of any node to send to a target with a limit.
func (s *Shares) Turn(rate float64) time.Duration {
	return s.shares.turn(signal.Limit{
		Rate: rate,
		Set:  true,
	})
}

// ReceivedLimitTime returns the time of a limit of the given rate in a message.
func ReceivedLimitTime(now time.Time, rate float64) time.Time {
	return limitOfWire(now, &wire.TargetLimit{
		Rate: rate,
	}).At
}
