// SPDX-License-Identifier: Apache-2.0

package node

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"ploverjunction.example/ploverjunction/internal/dissemination"
	"ploverjunction.example/ploverjunction/internal/link"
	"ploverjunction.example/ploverjunction/internal/membership"
	"ploverjunction.example/ploverjunction/internal/task"
	"ploverjunction.example/ploverjunction/internal/wire"
)

// updatesPerDatagram is the number of membership updates on one datagram, of about 50 bytes each.
// Updates about nodes that are live travel on pings and their answers only: while a fleet starts
// there are as many of them as nodes, and there are four datagrams for each request.
const updatesPerDatagram = 4

// maxFirstCall bounds the number of a process's first call. Each request sends five numbers of calls:
// up to 2^42, they take 6 bytes each. That the first one is within 100,000 calls of that of the
// process before has a probability of 10^-7.
const maxFirstCall = 1 << 41

// messenger sends and receives datagrams and adds this node's state to each one. It may be used
// concurrently.
type messenger struct {
	socket *link.Socket
	// transmit sends one datagram to a peer.
	transmit func(peer string, d *wire.Datagram) error
	members  *members
	gossip   *dissemination.Gossip
	replica  *dissemination.Replica
	self     func() *wire.Node
	log      *logrus.Entry
	calls    atomic.Uint64
	// lastAnswer is when a peer last answered, connectedSince since when peers have answered
	// without a pause, as times since started; 0 is never.
	started        time.Time
	lastAnswer     atomic.Int64
	connectedSince atomic.Int64
	// onGrantRequest and onDone handle grant requests and ends of attempts of peers, onTaken the
	// confirmation of the end of an attempt.
	onGrantRequest func(*wire.Datagram)
	onDone         func(*wire.Datagram)
	onTaken        func(call uint64)
	// onTokenRequest handles token requests of peers, onReceive each datagram of a peer.
	onTokenRequest func(*wire.Datagram)
	onReceive      func(now time.Time)
	// onIncarnation receives the incarnation of each node that a datagram names.
	onIncarnation func(node string, incarnation uint64)
	// quarantineDigest returns the digest of the requests that crash targets, by this node's
	// records; onQuarantine and onQuarantineDigest receive the records and digests of peers.
	quarantineDigest   func() uint64
	onQuarantine       func(peer string, in *wire.Quarantine)
	onQuarantineDigest func(peer string, digest uint64)
	// isFar reports whether a peer is in another data hall; piggyback decides which datagrams to
	// such peers carry the state of this node.
	isFar     func(peer string) bool
	piggyback piggyback
	// relayedPings are the pings on behalf of peers; only run uses it.
	relayedPings task.Group

	mu sync.Mutex
	// pendingCalls are the calls that wait for an answer.
	pendingCalls map[uint64]chan *wire.Datagram
}

func newMessenger() *messenger {
	m := &messenger{
		started:        time.Now(),
		pendingCalls:   map[uint64]chan *wire.Datagram{},
		onTokenRequest: func(*wire.Datagram) {},
		onReceive:      func(time.Time) {},
		onIncarnation:  func(string, uint64) {},
		isFar:          func(string) bool { return false },

		quarantineDigest:   func() uint64 { return 0 },
		onQuarantine:       func(string, *wire.Quarantine) {},
		onQuarantineDigest: func(string, uint64) {},
	}
	// Calls of two incarnations of a process must have different numbers while dispatchers know both.
	m.calls.Store(rand.Uint64N(maxFirstCall))
	return m
}

// send adds this node's state to a datagram and sends it. A failure is seen by the caller as a
// missing answer.
func (m *messenger) send(peer string, d *wire.Datagram) {
	if senderOnly(d) {
		m.deliver(peer, d)
		return
	}
	d.From = m.self()
	d.Piggyback = wire.Datagram_STATE_OR_OMITTED
	d.Digest = m.replica.Digest()
	d.Quarantine = m.quarantineDigest()
	d.ReadTo = m.gossip.ReadTo()
	if age := m.gossip.PlatformAge(time.Now()); age < time.Hour {
		d.SourceAgeMs = uint64(max(age.Milliseconds(), 0)) + 1
	}
	d.News = nil
	for _, n := range m.members.updates(updatesPerDatagram, isProbe(d)) {
		d.News = append(d.News, &wire.MemberNews{
			State: wire.MemberNews_State(n.Status),
			Node: &wire.Node{
				Address:     n.Node.Address(),
				DataHall:    n.Node.DataHall(),
				Incarnation: n.Incarnation,
				Leaving:     n.Draining,
				Weight:      n.Weight,
			},
		})
	}
	if isDispatchMessage(d) && m.isFar(peer) && m.piggyback.omits(time.Now(), peer, d) {
		strip(d)
	}
	m.deliver(peer, d)
}

// deliver sends a datagram as it is, adding the sender if it is missing.
func (m *messenger) deliver(peer string, d *wire.Datagram) {
	if d.From == nil {
		self := m.self()
		d.From = &wire.Node{
			Address:     self.GetAddress(),
			Incarnation: self.GetIncarnation(),
			Leaving:     self.GetLeaving(),
		}
	}
	if err := m.transmit(peer, d); err != nil {
		m.log.WithField("peer", peer).WithError(err).Debug("datagram not sent")
	}
}

// senderOnly reports whether a datagram carries only its sender. Datagrams about limits of
// workspaces are sent besides those of each request, which carry the state of the node.
func senderOnly(d *wire.Datagram) bool {
	switch d.GetBody().(type) {
	case *wire.Datagram_Draw, *wire.Datagram_Allot:
		return true
	default:
		return false
	}
}

// isProbe reports whether a datagram is a ping or answers one.
func isProbe(d *wire.Datagram) bool {
	switch d.GetBody().(type) {
	case *wire.Datagram_Ping, *wire.Datagram_Pong, *wire.Datagram_PingVia:
		return true
	default:
		return false
	}
}

// call opens a call; its answers are received on the channel until it is ended.
func (m *messenger) call() (uint64, <-chan *wire.Datagram, func()) {
	id := m.calls.Add(1)
	// A queued request gets several answers.
	c := make(chan *wire.Datagram, 4)
	m.mu.Lock()
	m.pendingCalls[id] = c
	m.mu.Unlock()
	return id, c, func() {
		m.mu.Lock()
		delete(m.pendingCalls, id)
		m.mu.Unlock()
	}
}

// run handles datagrams until the context ends.
func (m *messenger) run(ctx context.Context) error {
	err := m.socket.Serve(ctx, func(d *wire.Datagram) { m.handle(ctx, d) })
	return errors.Join(err, m.relayedPings.Wait())
}

// reapRelayedPings collects the ends of the pings on behalf of peers.
func (m *messenger) reapRelayedPings() {
	if err := m.relayedPings.Reap(); err != nil {
		m.log.WithError(err).Debug("ping for a peer ended")
	}
}

// handle handles one datagram.
func (m *messenger) handle(ctx context.Context, d *wire.Datagram) {
	now := time.Now()
	m.readHeader(now, d)
	switch b := d.GetBody().(type) {
	case *wire.Datagram_Ping:
		m.pong(d.GetFrom().GetAddress(), d.GetCall())
	case *wire.Datagram_PingVia:
		m.reapRelayedPings()
		m.relayedPings.Go(ctx, "ping for a peer", func(ctx context.Context) error {
			m.relayPing(ctx, d.GetFrom().GetAddress(), d.GetCall(), b.PingVia.GetAddress())
			return nil
		})
	case *wire.Datagram_Ask:
		m.onGrantRequest(d)
	case *wire.Datagram_Done:
		m.onDone(d)
	case *wire.Datagram_Draw:
		m.onTokenRequest(d)
	case *wire.Datagram_QuarantineNews:
		m.onQuarantine(d.GetFrom().GetAddress(), b.QuarantineNews)
	case *wire.Datagram_Announce:
	case *wire.Datagram_Taken:
		m.recordAnswer(now)
		m.onTaken(d.GetCall())
	default:
		m.recordAnswer(now)
		m.deliverAnswer(d)
	}
}

// recordAnswer records that a peer answered: datagrams pass in both directions.
func (m *messenger) recordAnswer(now time.Time) {
	elapsed := int64(now.Sub(m.started))
	if m.isolated(now) {
		m.connectedSince.Store(elapsed)
	}
	m.lastAnswer.Store(elapsed)
}

// connectedFor returns for how long peers have answered without a pause.
func (m *messenger) connectedFor(now time.Time) time.Duration {
	return now.Sub(m.started) - time.Duration(m.connectedSince.Load())
}

// isolated reports whether no peer has answered for contactTimeout: each is pinged several times a
// second.
func (m *messenger) isolated(now time.Time) bool {
	last := m.lastAnswer.Load()
	return last == 0 || now.Sub(m.started)-time.Duration(last) > contactTimeout
}

// lost reports whether peers have answered before and none has for contactTimeout: the link to them is cut, or
// they have all failed.
func (m *messenger) lost(now time.Time) bool {
	return m.lastAnswer.Load() != 0 && m.isolated(now)
}

// readHeader applies the state of the sender that a datagram carries.
func (m *messenger) readHeader(now time.Time, d *wire.Datagram) {
	m.members.recordMessage(d.GetFrom())
	m.onReceive(now)
	m.onIncarnation(d.GetFrom().GetAddress(), d.GetFrom().GetIncarnation())
	for _, n := range d.GetNews() {
		m.onIncarnation(n.GetNode().GetAddress(), n.GetNode().GetIncarnation())
		m.members.applyUpdate(now, membership.Update{
			Node:        membership.NewNode(n.GetNode().GetAddress(), n.GetNode().GetDataHall()),
			Incarnation: n.GetNode().GetIncarnation(),
			Draining:    n.GetNode().GetLeaving(),
			Status:      membership.Status(n.GetState()),
			Weight:      n.GetNode().GetWeight(),
		})
	}
	if senderOnly(d) {
		return
	}
	m.piggyback.record(d)
	if d.GetPiggyback() == wire.Datagram_OMITTED {
		return
	}
	m.onQuarantineDigest(d.GetFrom().GetAddress(), d.GetQuarantine())
	if age := d.GetSourceAgeMs(); age > 0 {
		m.gossip.ObservePlatformAgeMillis(now, age-1)
	}
	if d.GetDigest() != m.replica.Digest() {
		m.gossip.ObserveDigestMismatch(d.GetFrom().GetAddress(), d.GetReadTo())
		return
	}
	m.gossip.RecordAgreement(now)
}

func (m *messenger) deliverAnswer(d *wire.Datagram) {
	m.mu.Lock()
	c := m.pendingCalls[d.GetCall()]
	m.mu.Unlock()
	if c == nil {
		return
	}
	select {
	case c <- d:
	default:
	}
}

// announce notifies a peer that this node has new values.
func (m *messenger) announce(peer string) {
	m.send(peer, &wire.Datagram{
		Body: &wire.Datagram_Announce{
			Announce: &wire.Announce{},
		},
	})
}

// ping pings a peer and reports whether it answered in time.
func (m *messenger) ping(ctx context.Context, peer string, wait time.Duration) bool {
	id, answers, end := m.call()
	defer end()
	m.send(peer, &wire.Datagram{
		Call: id,
		Body: &wire.Datagram_Ping{
			Ping: &wire.Ping{},
		},
	})
	return awaitAnswer(ctx, answers, wait)
}

// pingVia has helpers ping a peer and reports whether it answered one of them in time.
func (m *messenger) pingVia(ctx context.Context, helpers []string, peer string, wait time.Duration) bool {
	id, answers, end := m.call()
	defer end()
	for _, h := range helpers {
		m.send(h, &wire.Datagram{
			Call: id,
			Body: &wire.Datagram_PingVia{
				PingVia: &wire.PingVia{
					Address: peer,
				},
			},
		})
	}
	return awaitAnswer(ctx, answers, wait)
}

// relayPing pings a node on behalf of a peer.
func (m *messenger) relayPing(ctx context.Context, peer string, call uint64, address string) {
	if m.ping(ctx, address, indirectPingTimeout) {
		m.pong(peer, call)
	}
}

func (m *messenger) pong(peer string, call uint64) {
	m.send(peer, &wire.Datagram{
		Call: call,
		Body: &wire.Datagram_Pong{
			Pong: &wire.Pong{},
		},
	})
}

func awaitAnswer(ctx context.Context, answers <-chan *wire.Datagram, wait time.Duration) bool {
	t := time.NewTimer(wait)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return false
	case <-answers:
		return true
	}
}
