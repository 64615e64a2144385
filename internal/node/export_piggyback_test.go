// SPDX-License-Identifier: Apache-2.0

package node

import (
	"context"
	"io"
	"time"

	"ploverjunction.example/ploverjunction/internal/dispatch"
	"ploverjunction.example/ploverjunction/internal/dissemination"
	"ploverjunction.example/ploverjunction/internal/logging"
	"ploverjunction.example/ploverjunction/internal/membership"
	"ploverjunction.example/ploverjunction/internal/wire"
)

// PiggybackInterval is the time after which the state of a node is sent to a peer again.
const PiggybackInterval = piggybackInterval

// Messenger is the messenger of a node, on a network that a test provides.
type Messenger struct {
	messenger  *messenger
	dispatcher *dispatchController
	// Quarantine is the digest of the node's records of requests that crash targets.
	Quarantine uint64
	// Digests are those that were received from peers.
	Digests []uint64
	// Sent are the datagrams that were sent.
	Sent []*wire.Datagram
}

// NewMessenger returns the messenger of a node. far are the peers in other data halls.
func NewMessenger(self membership.Node, far ...string) *Messenger {
	out := &Messenger{}
	m := newMessenger()
	board := &Board{}
	m.members = newMembers(board, self, membership.DefaultWeight)
	m.log = logging.Part(logging.New(io.Discard, "error", "text"), "link")
	m.replica = dissemination.NewReplica(nil)
	m.gossip = dissemination.New(dissemination.Config{
		View: board.view.Load,
	}, m.replica)
	m.self = func() *wire.Node {
		return &wire.Node{
			Address:     self.Address(),
			DataHall:    self.DataHall(),
			Incarnation: 1,
			Weight:      membership.DefaultWeight,
		}
	}
	m.isFar = func(peer string) bool {
		for _, f := range far {
			if f == peer {
				return true
			}
		}
		return false
	}
	m.transmit = func(_ string, d *wire.Datagram) error {
		out.Sent = append(out.Sent, d)
		return nil
	}
	m.quarantineDigest = func() uint64 { return out.Quarantine }
	m.onQuarantineDigest = func(_ string, digest uint64) { out.Digests = append(out.Digests, digest) }
	out.messenger = m
	out.dispatcher = newDispatchController(board, m, dispatch.Budget{
		Window: time.Second,
	}, m.log)
	return out
}

// Send sends a datagram and returns it as it was sent.
func (m *Messenger) Send(peer string, d *wire.Datagram) *wire.Datagram {
	m.messenger.send(peer, d)
	return m.Sent[len(m.Sent)-1]
}

// ReportDone reports the end of the attempt with the number of a request to a dispatcher, and
// returns the datagram.
func (m *Messenger) ReportDone(peer string, request uint64) *wire.Datagram {
	m.dispatcher.reportDone(peer, &wire.Done{
		Service: "quotes",
		Request: request,
	})
	return m.Sent[len(m.Sent)-1]
}

// Unconfirmed returns the number of ends of attempts that were not confirmed.
func (m *Messenger) Unconfirmed() int { return len(m.dispatcher.pending) }

// Receive handles a datagram.
func (m *Messenger) Receive(d *wire.Datagram) { m.messenger.handle(context.Background(), d) }

// Call opens a call and returns its number.
func (m *Messenger) Call() uint64 {
	id, _, end := m.messenger.call()
	end()
	return id
}
