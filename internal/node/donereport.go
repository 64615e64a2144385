// SPDX-License-Identifier: Apache-2.0

package node

import (
	"time"

	"google.golang.org/protobuf/proto"

	"ploverjunction.example/ploverjunction/internal/wire"
)

// unconfirmedDone is the end of an attempt that its dispatcher has not confirmed.
type unconfirmedDone struct {
	peer  string
	done  *wire.Done
	tries int
	at    time.Time
}

// reportDone reports the end of an attempt to a dispatcher, until it confirms. The number of the call
// is that of the request, unless another report about it is not confirmed.
func (d *dispatchController) reportDone(peer string, w *wire.Done) {
	if peer == d.board.view.Load().Self().Address() {
		d.recordDone(peer, w)
		return
	}
	u := &unconfirmedDone{
		peer: peer,
		done: w,
	}
	id := w.GetRequest()
	d.mu.Lock()
	if d.pending[id] != nil {
		id = d.messenger.calls.Add(1)
	}
	d.pending[id] = u
	d.mu.Unlock()
	d.notify()
	d.sendDone(time.Now(), id, u)
}

func (d *dispatchController) sendDone(now time.Time, id uint64, u *unconfirmedDone) {
	d.mu.Lock()
	u.tries++
	u.at = now
	d.mu.Unlock()
	done := u.done
	if id == done.GetRequest() && d.messenger.piggyback.accepted(u.peer) {
		// The number of the call is that of the request.
		done = proto.CloneOf(done)
		done.Request = 0
	}
	d.messenger.send(u.peer, &wire.Datagram{
		Call: id,
		Body: &wire.Datagram_Done{
			Done: done,
		},
	})
}

func (d *dispatchController) resendDone(now time.Time) {
	d.mu.Lock()
	due := map[uint64]*unconfirmedDone{}
	for id, u := range d.pending {
		switch {
		case now.Sub(u.at) < doneInterval:
		case u.tries >= doneTries:
			delete(d.pending, id)
		default:
			due[id] = u
		}
	}
	d.mu.Unlock()
	for id, u := range due {
		d.sendDone(now, id, u)
	}
}

// handleTaken records that a dispatcher confirmed the end of an attempt.
func (d *dispatchController) handleTaken(call uint64) {
	d.mu.Lock()
	delete(d.pending, call)
	d.mu.Unlock()
}
