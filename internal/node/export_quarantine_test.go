// SPDX-License-Identifier: Apache-2.0

package node

import (
	"context"
	"io"
	"time"

	"ploverjunction.example/ploverjunction/internal/dissemination"
	"ploverjunction.example/ploverjunction/internal/logging"
	"ploverjunction.example/ploverjunction/internal/membership"
	"ploverjunction.example/ploverjunction/internal/quarantine"
	"ploverjunction.example/ploverjunction/internal/wire"
)

// QuarantineNode is the quarantine controller of a node, on a network that a test provides.
type QuarantineNode struct {
	quarantine *quarantineController
	messenger  *messenger
}

// NewQuarantineNode returns a node with others as its peers. send sends a datagram to a peer.
func NewQuarantineNode(self membership.Node, others []membership.Node, send func(peer string, d *wire.Datagram)) *QuarantineNode {
	board := &Board{}
	members := newMembers(board, self, membership.DefaultWeight)
	for _, o := range others {
		members.recordMessage(&wire.Node{
			Address:     o.Address(),
			Incarnation: 1,
			Weight:      membership.DefaultWeight,
		})
	}
	members.renew()
	q := newQuarantineController(board, time.Now(), logging.Part(logging.New(io.Discard, "error", "text"), "quarantine"))
	m := newMessenger()
	m.members = members
	m.replica = dissemination.NewReplica(nil)
	m.gossip = dissemination.New(dissemination.Config{
		View: board.view.Load,
	}, m.replica)
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
	m.quarantineDigest, m.onQuarantine, m.onQuarantineDigest = q.digest.Load, q.merge, q.compare
	q.messenger = m
	return &QuarantineNode{
		quarantine: q,
		messenger:  m,
	}
}

// Receive handles a datagram.
func (n *QuarantineNode) Receive(ctx context.Context, d *wire.Datagram) { n.messenger.handle(ctx, d) }

// Ping sends a ping to a peer.
func (n *QuarantineNode) Ping(peer string) {
	n.messenger.send(peer, &wire.Datagram{
		Body: &wire.Datagram_Ping{
			Ping: &wire.Ping{},
		},
	})
}

// Check returns the quarantine status of a request on the node.
func (n *QuarantineNode) Check(p quarantine.Fingerprints) quarantine.Status {
	return n.quarantine.check(p)
}

// RecordCrash records that a target crashed under a request.
func (n *QuarantineNode) RecordCrash(p quarantine.Fingerprints, target string) quarantine.Status {
	return n.quarantine.recordCrash(p, target)
}

// RecordAnswer records that a target answered a request.
func (n *QuarantineNode) RecordAnswer(p quarantine.Fingerprints) { n.quarantine.recordAnswer(p) }
