// SPDX-License-Identifier: Apache-2.0

package node_test

import (
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/protobuf/encoding/protowire"

	"ploverjunction.example/ploverjunction/internal/membership"
	"ploverjunction.example/ploverjunction/internal/node"
	"ploverjunction.example/ploverjunction/internal/wire"
)

const (
	nearPeer = "192.0.2.2:1"
	farPeer  = "192.0.2.3:1"
)

func grantMessage() *wire.Datagram {
	return &wire.Datagram{
		Body: &wire.Datagram_Grant{
			Grant: &wire.Grant{},
		},
	}
}

// answerOf returns an answer of a peer in one of its incarnations.
func answerOf(peer string, incarnation uint64, p wire.Datagram_Piggyback) *wire.Datagram {
	return &wire.Datagram{
		From: &wire.Node{
			Address:     peer,
			Incarnation: incarnation,
		},
		Piggyback:  p,
		Quarantine: 5,
		Body: &wire.Datagram_Pong{
			Pong: &wire.Pong{},
		},
	}
}

// Guards against state that is not told to other data halls, to older processes, or after a change;
// and against state with each message.
func TestStateIsSentToOtherDataHallsWhenItChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := node.NewMessenger(membership.NewNode("192.0.2.1:1", "a"), farPeer)
		m.Quarantine = 1
		check := func(what, peer string, d *wire.Datagram, stated bool) {
			t.Helper()
			sent := m.Send(peer, d)
			if got := sent.GetQuarantine() != 0; got != stated {
				t.Errorf("%s: state %v, want %v", what, got, stated)
			}
			if got := sent.GetPiggyback() != wire.Datagram_OMITTED; got != stated {
				t.Errorf("%s: marked as with state: %v", what, got)
			}
			if sent.GetFrom().GetAddress() == "" || sent.GetFrom().GetIncarnation() == 0 {
				t.Errorf("%s: sender %v", what, sent.GetFrom())
			}
		}
		check("unknown version", farPeer, grantMessage(), true)
		check("unknown version, again", farPeer, grantMessage(), true)
		m.Receive(answerOf(farPeer, 1, wire.Datagram_STATE_OR_OMITTED))
		m.Receive(answerOf(nearPeer, 1, wire.Datagram_STATE_OR_OMITTED))
		check("repeated", farPeer, grantMessage(), false)
		check("in the own data hall", nearPeer, grantMessage(), true)
		check("in the own data hall, again", nearPeer, grantMessage(), true)
		m.Quarantine = 2
		check("changed", farPeer, grantMessage(), true)
		check("repeated after a change", farPeer, grantMessage(), false)
		check("ping", farPeer, answerOf(farPeer, 1, 0), true)
		ask := &wire.Datagram{
			Body: &wire.Datagram_Ask{
				Ask: &wire.Ask{},
			},
		}
		check("grant request", farPeer, ask, false)
		if ask.GetFrom().GetDataHall() != "a" {
			t.Errorf("sender of a grant request: %v", ask.GetFrom())
		}
		time.Sleep(node.PiggybackInterval)
		check("after the interval", farPeer, grantMessage(), true)
		check("repeated after the interval", farPeer, grantMessage(), false)
		m.Receive(answerOf(farPeer, 2, wire.Datagram_STATE))
		check("replaced by an older version", farPeer, grantMessage(), true)
		check("older version, again", farPeer, grantMessage(), true)
		m.Receive(answerOf(farPeer, 1, wire.Datagram_STATE_OR_OMITTED))
		if len(m.Digests) != 4 {
			t.Errorf("received digests %v, want one of each datagram with state", m.Digests)
		}
	})
}

// Guards against numbers of calls, five of which are sent for each request, that take more bytes than
// they need, and against two incarnations with the same ones.
func TestNumbersOfCallsAreShort(t *testing.T) {
	const most = 6
	seen := map[uint64]bool{}
	for range 100 {
		m := node.NewMessenger(membership.NewNode("192.0.2.1:1", "a"))
		number := m.Call()
		if n := protowire.SizeVarint(number); n > most {
			t.Fatalf("number %d takes %d bytes", number, n)
		}
		if seen[number] {
			t.Fatalf("two incarnations have the number %d", number)
		}
		seen[number] = true
	}
}

// Guards against an end of an attempt that a dispatcher, of this version or an older one, assigns to
// another request, or whose confirmation is not recognized.
func TestEndOfAttemptNamesItsRequest(t *testing.T) {
	const request = 77
	m := node.NewMessenger(membership.NewNode("192.0.2.1:1", "a"), farPeer)
	peer := node.NewMessenger(membership.NewNode(farPeer, "b"))
	if d := m.ReportDone(farPeer, request); d.GetDone().GetRequest() != request {
		t.Errorf("sent to an unknown version: %v", d)
	}
	m.Receive(answerOf(farPeer, 1, wire.Datagram_STATE_OR_OMITTED))
	// A second report about a request has a number of its own.
	if d := m.ReportDone(farPeer, request); d.GetCall() == request || d.GetDone().GetRequest() != request {
		t.Errorf("second report: %v", d)
	}
	d := m.ReportDone(farPeer, request+1)
	if d.GetCall() != request+1 || d.GetDone().GetRequest() != 0 {
		t.Errorf("sent to this version: %v", d)
	}
	before := m.Unconfirmed()
	peer.Receive(d)
	if d.GetDone().GetRequest() != request+1 {
		t.Errorf("read as the end of request %d", d.GetDone().GetRequest())
	}
	m.Receive(peer.Sent[len(peer.Sent)-1])
	if n := m.Unconfirmed(); n != before-1 {
		t.Errorf("%d ends not confirmed, want %d", n, before-1)
	}
}

// Guards against a datagram without state that is taken for one of a node without values, which
// would be compared with.
func TestDatagramWithoutStateTellsNothing(t *testing.T) {
	m := node.NewMessenger(membership.NewNode("192.0.2.1:1", "a"), farPeer)
	in := answerOf(farPeer, 1, wire.Datagram_OMITTED)
	in.Quarantine = 0
	m.Receive(in)
	if len(m.Digests) != 0 {
		t.Errorf("digests %v were compared", m.Digests)
	}
}
