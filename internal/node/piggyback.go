// SPDX-License-Identifier: Apache-2.0

package node

import (
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"ploverjunction.example/ploverjunction/internal/wire"
)

const (
	// piggybackInterval is the time after which the state of this node is sent to a peer again, though
	// it did not change: datagrams can be lost, and the age of the platform's last answer is a part
	// of it. It is an eighth of the shortest time, 4 s, in which nodes must know that age.
	piggybackInterval = 500 * time.Millisecond
	// maxPiggybackPeers bounds the peers whose record is kept, above the nodes of any fleet. Without a
	// record, the state is sent.
	maxPiggybackPeers = 4096
)

// piggyback decides which datagrams to peers in other data halls need not carry the state of this
// node. Its zero value is ready for use; it may be used concurrently.
type piggyback struct {
	mu    sync.Mutex
	peers map[string]*piggybackPeer
}

// piggybackPeer is the record of one peer.
type piggybackPeer struct {
	// accepts is the incarnation of the peer that accepts datagrams without state, 0 for none.
	accepts uint64
	// sent is when the state was last sent, and the rest what it was.
	sent       time.Time
	digest     uint64
	quarantine uint64
	readTo     *wire.Position
}

// peer returns the record of a peer. p.mu is held.
func (p *piggyback) peer(address string) *piggybackPeer {
	r := p.peers[address]
	if r == nil {
		if p.peers == nil || len(p.peers) >= maxPiggybackPeers {
			p.peers = map[string]*piggybackPeer{}
		}
		r = &piggybackPeer{}
		p.peers[address] = r
	}
	return r
}

// record records whether the sender of a datagram accepts datagrams without state: a process that
// was replaced by an older version does not.
func (p *piggyback) record(d *wire.Datagram) {
	from := d.GetFrom()
	p.mu.Lock()
	defer p.mu.Unlock()
	r := p.peer(from.GetAddress())
	switch {
	case d.GetPiggyback() != wire.Datagram_STATE:
		r.accepts = max(r.accepts, from.GetIncarnation())
	case from.GetIncarnation() >= r.accepts:
		r.accepts = 0
	}
}

// accepted reports whether a peer understands a report of the end of an attempt without the number of
// the request: it does if it accepts datagrams without state.
func (p *piggyback) accepted(peer string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := p.peers[peer]
	return r != nil && r.accepts != 0
}

// omits reports whether a datagram to a peer need not carry the state that was set on it.
func (p *piggyback) omits(now time.Time, peer string, d *wire.Datagram) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := p.peer(peer)
	if r.accepts != 0 && len(d.GetNews()) == 0 && now.Sub(r.sent) < piggybackInterval &&
		r.digest == d.GetDigest() && r.quarantine == d.GetQuarantine() && proto.Equal(r.readTo, d.GetReadTo()) {
		return true
	}
	r.sent, r.digest, r.quarantine, r.readTo = now, d.GetDigest(), d.GetQuarantine(), d.GetReadTo()
	return false
}

// strip removes the state from a datagram, and what the receiver knows of its sender from the
// datagrams with state. A dispatcher reads the data hall of a request from its datagram.
func strip(d *wire.Datagram) {
	d.Piggyback = wire.Datagram_OMITTED
	d.SourceAgeMs, d.Digest, d.Quarantine, d.ReadTo, d.News = 0, 0, 0, nil, nil
	from := &wire.Node{
		Address:     d.GetFrom().GetAddress(),
		Incarnation: d.GetFrom().GetIncarnation(),
		Leaving:     d.GetFrom().GetLeaving(),
	}
	if d.GetAsk() != nil {
		from.DataHall = d.GetFrom().GetDataHall()
	}
	d.From = from
}

// isDispatchMessage reports whether a datagram is one of the joint choice of targets.
func isDispatchMessage(d *wire.Datagram) bool {
	switch d.GetBody().(type) {
	case *wire.Datagram_Ask, *wire.Datagram_Grant, *wire.Datagram_Done, *wire.Datagram_Taken:
		return true
	default:
		return false
	}
}
