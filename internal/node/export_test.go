// SPDX-License-Identifier: Apache-2.0

package node

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"ploverjunction.example/ploverjunction/internal/dispatch"
	"ploverjunction.example/ploverjunction/internal/dissemination"
	"ploverjunction.example/ploverjunction/internal/entry"
	"ploverjunction.example/ploverjunction/internal/fleetconfig"
	"ploverjunction.example/ploverjunction/internal/link"
	"ploverjunction.example/ploverjunction/internal/logging"
	"ploverjunction.example/ploverjunction/internal/membership"
	"ploverjunction.example/ploverjunction/internal/outlier"
	"ploverjunction.example/ploverjunction/internal/ratelimit"
	"ploverjunction.example/ploverjunction/internal/wire"
)

// WireGrant exports wireGrant to the tests.
func WireGrant(g dispatch.Grant) *wire.Grant { return wireGrant(g) }

// Reporter is the evidence controller of a node, without a network.
type Reporter struct {
	evidence *evidenceController
}

// NewReporter returns the reporter of a node with others as its peers.
func NewReporter(self membership.Node, others []membership.Node) *Reporter {
	board := &Board{}
	table := membership.NewTable(self)
	table.List(others, nil)
	board.view.Store(table.View(time.Now()))
	log := logging.Part(logging.New(io.Discard, "error", "text"), "observing")
	return &Reporter{
		evidence: newEvidenceController(board, observerLink{}, nil, log),
	}
}

// Collect adds the evidence of one tick.
func (r *Reporter) Collect(now time.Time, evidence []outlier.Evidence) {
	r.evidence.collect(now, evidence)
}

// Due returns the reports that are due at now, by observer.
func (r *Reporter) Due(now time.Time) map[string][]*wire.Report {
	return r.evidence.dueReports(now)
}

// Chooser is the dispatch controller of a node that is the only one of its fleet.
type Chooser struct {
	dispatcher *dispatchController
	service    *fleetconfig.Service
	store      *fleetconfig.Store
	requests   map[string]int
	// attempts counts the grant requests that a peer counts as an attempt of their own.
	attempts int
}

// NewChooser returns the chooser of a node in data hall a for one service of the published entries.
// peers are other nodes of the fleet: those in data hall a never answer, the others grant a target
// of their data hall at once.
func NewChooser(service string, entries []*wire.Entry, peers ...membership.Node) *Chooser {
	return NewChooserOf(membership.NewNode("192.0.2.1:1", "a"), service, entries, peers...)
}

// LimitedNode is the limit controller of a node, on a network that a test provides.
type LimitedNode struct {
	limits  *limitController
	members *members
	self    membership.Node
}

// NewLimitedNode returns such a node. send sends a datagram to a peer.
func NewLimitedNode(self membership.Node, doc *wire.Document, send func(peer string, d *wire.Datagram)) *LimitedNode {
	board := &Board{}
	c, err := fleetconfig.Build([]*wire.Document{doc})
	if err != nil {
		panic(err)
	}
	board.config.Store(&configuration{
		config: c,
	})
	n := &LimitedNode{
		members: newMembers(board, self, membership.DefaultWeight),
		self:    self,
	}
	started := time.Now()
	n.limits = newLimitController(board, started, xxhash.Sum64String(self.Address()), ratelimit.Tolerance{
		Window: 5 * time.Second,
		Excess: 0.25,
		Slack:  20,
	}, logging.Part(logging.New(io.Discard, "error", "text"), "limits"))
	n.limits.seeds = 1
	m := newMessenger()
	m.members = n.members
	m.replica = dissemination.NewReplica(nil)
	m.gossip = dissemination.New(dissemination.Config{}, m.replica)
	m.self = func() *wire.Node {
		return &wire.Node{
			Address:     self.Address(),
			Incarnation: 1,
		}
	}
	m.transmit = func(peer string, d *wire.Datagram) error {
		send(peer, d)
		return nil
	}
	m.onTokenRequest, m.onReceive, m.onIncarnation = n.limits.handleTokenRequest, n.limits.recordReceived, n.limits.recordIncarnation
	n.limits.messenger = m
	return n
}

// UseEqualShares gives the node an equal share of each limit; seeds is the number of other nodes in
// its settings.
func (n *LimitedNode) UseEqualShares(seeds int) { n.limits.messenger, n.limits.seeds = nil, seeds }

// AddPeers adds live peers to the node.
func (n *LimitedNode) AddPeers(others []membership.Node) {
	for _, o := range others {
		n.members.recordMessage(&wire.Node{
			Address:     o.Address(),
			Incarnation: 1,
			Weight:      membership.DefaultWeight,
		})
	}
	n.members.renew()
}

// DeclareDead makes the node declare another one dead.
func (n *LimitedNode) DeclareDead(other string) {
	n.members.suspect(other)
	n.members.advance(time.Now().Add(time.Minute))
	n.members.renew()
}

// Receive handles a datagram.
func (n *LimitedNode) Receive(ctx context.Context, d *wire.Datagram) {
	n.limits.messenger.handle(ctx, d)
}

// Address returns the address of the node.
func (n *LimitedNode) Address() string { return n.self.Address() }

// Holder returns the node that allocates the limit of a workspace.
func (n *LimitedNode) Holder(workspace string) string { return n.limits.holder(workspace).Address() }

// Run reports to allocators until the context ends.
func (n *LimitedNode) Run(ctx context.Context) error { return n.limits.run(ctx) }

// MaxWait is the maximum wait of a request on a node that starts.
const MaxWait = 500 * time.Millisecond

// Admit admits a request of a workspace; it returns 0 if the request may proceed.
func (n *LimitedNode) Admit(ctx context.Context, workspace string) time.Duration {
	if over := n.limits.admit(ctx, n.limits.board.currentConfig().Workspace(workspace), MaxWait); over != nil {
		return over.Wait
	}
	return 0
}

// GiveBack returns the token of a request that has not run.
func (n *LimitedNode) GiveBack(workspace string) {
	n.limits.giveBack(n.limits.board.currentConfig().Workspace(workspace))
}

// NewChooserOf is NewChooser for another node.
func NewChooserOf(self membership.Node, service string, entries []*wire.Entry, peers ...membership.Node) *Chooser {
	board := &Board{}
	members := newMembers(board, self, 0)
	for _, n := range peers {
		members.table.Observe(time.Now(), n, 1, false)
		members.table.SetWeight(n.Address(), 10*membership.DefaultWeight)
	}
	board.view.Store(members.table.View(time.Now()))
	store := fleetconfig.NewStore()
	store.Offer(entries)
	for _, r := range store.Refusals() {
		panic(r.Err())
	}
	board.config.Store(&configuration{
		config: store.Config(),
	})
	m := newMessenger()
	m.members = members
	m.replica = dissemination.NewReplica(nil)
	m.gossip = dissemination.New(dissemination.Config{}, m.replica)
	m.self = func() *wire.Node {
		return &wire.Node{
			Address:  self.Address(),
			DataHall: self.DataHall(),
		}
	}
	c := &Chooser{
		requests: map[string]int{},
	}
	m.transmit = func(peer string, d *wire.Datagram) error {
		if d.GetAsk() == nil {
			return nil
		}
		c.requests[peer+" "+d.GetAsk().GetDataHall()]++
		if !d.GetAsk().GetReplaces() {
			c.attempts++
		}
		for _, n := range peers {
			if n.Address() == peer && n.DataHall() != self.DataHall() {
				m.deliverAnswer(c.grantOf(d, n.DataHall()))
			}
		}
		return nil
	}
	log := logging.Part(logging.New(io.Discard, "error", "text"), "dispatch")
	c.dispatcher = newDispatchController(board, m, dispatch.Budget{
		Share:   0.2,
		Reserve: 10,
		Window:  10 * time.Second,
	}, log)
	c.store = store
	c.service = store.Config().Service(service)
	return c
}

// Offer puts entries in force.
func (c *Chooser) Offer(entries ...*wire.Entry) {
	c.store.Offer(entries)
	c.dispatcher.board.config.Store(&configuration{
		config: c.store.Config(),
	})
}

// Config returns the configuration in force.
func (c *Chooser) Config() *fleetconfig.Config { return c.store.Config() }

// SetRegions sets the regions of data halls.
func (c *Chooser) SetRegions(regions map[string]string) { c.dispatcher.board.regions = regions }

// grantOf answers a grant request with a target of a data hall.
func (c *Chooser) grantOf(d *wire.Datagram, hall string) *wire.Datagram {
	g := &wire.Grant{
		Verdict: wire.Grant_REFUSED,
	}
	for _, t := range c.service.Targets() {
		if t.DataHall() == hall {
			g = &wire.Grant{
				Target: t.Key(),
			}
		}
	}
	return &wire.Datagram{
		Call: d.GetCall(),
		Body: &wire.Datagram_Grant{
			Grant: g,
		},
	}
}

// Home returns the data hall of the partition that the node tries first.
func (c *Chooser) Home() string { return c.dispatcher.home(&entry.Query{Service: c.service}).hall }

// Requests returns the number of grant requests by peer and data hall, with a space between them.
func (c *Chooser) Requests() map[string]int { return c.requests }

// Attempts returns the number of grant requests that peers count as an attempt of their own.
func (c *Chooser) Attempts() int { return c.attempts }

// Choose returns a target for one attempt, in regions that all lists allow.
func (c *Chooser) Choose(ctx context.Context, regions ...fleetconfig.Regions) (entry.Choice, error) {
	return c.dispatcher.choose(ctx, &entry.Query{
		Service:      c.service,
		Regions:      regions,
		SoftDeadline: time.Now().Add(time.Second),
		Deadline:     time.Now().Add(time.Second),
	})
}

// ChooseRetry returns a target for an attempt after the first one of a request.
func (c *Chooser) ChooseRetry(ctx context.Context) (entry.Choice, error) {
	return c.dispatcher.choose(ctx, &entry.Query{
		Service:      c.service,
		Retry:        true,
		SoftDeadline: time.Now().Add(time.Second),
		Deadline:     time.Now().Add(3 * time.Second),
	})
}

// Excluded returns the targets that are not to be granted for a request that was sent to tried, while
// lost is unreachable.
func (c *Chooser) Excluded(lost string, tried ...string) []string {
	c.dispatcher.unreachableUntil[lost] = time.Now().Add(unreachableTime)
	return c.dispatcher.excludedTargets(&entry.Query{
		Service: c.service,
		Tried:   tried,
	})
}

// status returns the status of the node's own scheduler.
func (c *Chooser) status() dispatch.Status {
	d := c.dispatcher
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	return d.touchScheduler(now, d.home(&entry.Query{Service: c.service})).Status(now)
}

// TargetStatus returns the status of a target in the node's own scheduler, or the zero value if there
// is no such target.
func (c *Chooser) TargetStatus(key string) dispatch.TargetStatus {
	for _, t := range c.status().Targets {
		if t.Key == key {
			return t
		}
	}
	return dispatch.TargetStatus{}
}

// FailureProbability returns the estimated failure probability of a target.
func (c *Chooser) FailureProbability(key string) float64 {
	return c.TargetStatus(key).FailureProbability
}

// Floor returns the floor that the policy of the chooser's service sets.
func (c *Chooser) Floor() float64 { return floorOf(c.service) }

// Members is the table of nodes of a node without peers so far.
type Members struct {
	members *members
}

// NewMembers returns the members of a node.
func NewMembers(self membership.Node) *Members {
	return &Members{
		members: newMembers(&Board{}, self, 0),
	}
}

// Run follows the table until the context ends.
func (m *Members) Run(ctx context.Context) error { return m.members.run(ctx) }

// RecordMessage records a message of a node.
func (m *Members) RecordMessage(address, dataHall string) {
	m.members.recordMessage(&wire.Node{
		Address:     address,
		DataHall:    dataHall,
		Incarnation: 1,
	})
}

// View returns the view on the blackboard.
func (m *Members) View() *membership.View { return m.members.board.view.Load() }

// DrainingPeers returns the peers that a draining node notifies.
func DrainingPeers(view *membership.View) []string { return drainingPeers(view) }

// Freshness estimates whether the configuration of a node is the newest.
type Freshness struct {
	freshness *freshness
}

// NewFreshness returns the freshness of a node that usually receives an answer of the platform within
// platformTimeout; platformAge is the time since the last one, agreementAge the time since a peer
// had the same values. maxKeyAge is the age up to which keys are trusted, 0 for always. compare is
// called to request a comparison with peers.
func NewFreshness(platformTimeout, maxKeyAge time.Duration, platformAge, agreementAge func(time.Time) time.Duration, compare func()) *Freshness {
	return &Freshness{
		freshness: &freshness{
			maxAge:       time.Duration(maxAgeFactor * float64(platformTimeout)),
			maxKeyAge:    maxKeyAge,
			platformAge:  platformAge,
			agreementAge: agreementAge,
			noPeers:      func() bool { return false },
			compareSoon:  compare,
		},
	}
}

// Current reports whether the node can have the newest configuration.
func (c *Freshness) Current() bool { return c.freshness.current() }

// Await waits until it can.
func (c *Freshness) Await(ctx context.Context) bool { return c.freshness.await(ctx) }

// Trusted reports whether keys may be trusted.
func (c *Freshness) Trusted() bool { return c.freshness.trusted() }

// ForwardTo has the peer at an address answer a request.
func ForwardTo(d *link.Dialer, address string, r *http.Request, h *entry.PeerHead) (*http.Response, error) {
	return newPeerForwarder(nil, d).forward(address, r, h)
}
