// SPDX-License-Identifier: Apache-2.0

package soak

import (
	"math/rand/v2"
	"net/http"
	"time"

	"ploverjunction.example/ploverjunction/internal/standin/target"
)

const (
	// signalSteps is the number of additional steps in which targets send signals.
	signalSteps = 6
	// backoffRequested is the backoff that targets request. It outlasts most faults.
	backoffRequested = 2 * time.Second
)

// addSignals adds targets that send signals to half of the plans. It uses a separate random
// source, so that the other steps of a seed do not change.
func (p *Plan) addSignals() {
	rng := rand.New(rand.NewPCG(p.Seed, 0x5a7))
	p.Signaling = rng.IntN(2) == 0
	if !p.Signaling {
		return
	}
	for i := range signalSteps {
		kind := KindRequestsBackoff
		if i%3 == 0 {
			kind = KindSignalsDraining
		}
		p.Steps = append(p.Steps, Step{
			At:    time.Duration(rng.Int64N(int64(faultTime))),
			For:   minStepTime + time.Duration(rng.Int64N(int64(maxStepTime-minStepTime))),
			Kind:  kind,
			Index: rng.IntN(p.Targets),
		})
	}
}

// mode returns the mode of a target without faults, including its current signals.
func (b *backend) mode() target.Mode {
	m := healthy()
	m.Draining = b.signalsDraining.Load()
	if b.limits.Load() > 0 {
		m.Limit = limitText
	}
	if b.rejects.Load() > 0 {
		m.RejectShare = rejectedShare
	}
	return m
}

// signalDraining makes a target signal that it is draining although it is not published so.
func (f *fleet) signalDraining(index int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.notDraining() <= len(f.targets)/2 {
		return
	}
	b := f.targets[index]
	b.signalsDraining.Store(true)
	b.SetMode(b.mode())
}

// notDraining counts the targets that are not draining. The caller must hold f.mu.
func (f *fleet) notDraining() int {
	n := 0
	for _, b := range f.targets {
		if !b.draining.Load() && !b.signalsDraining.Load() {
			n++
		}
	}
	return n
}

// sentByPeer reports whether a request came from a peer of the node that its caller sent it to. That
// node neither sent it nor received the signals in the answer.
func sentByPeer(a target.Arrival) bool { return a.Hops > 1 }

// trackedCall is a call and the number of its requests that reached targets.
type trackedCall struct {
	*record
	arrivals int
}

// checkSignals checks that processes comply with the signals that they have relayed from
// targets.
func (f *fleet) checkSignals(records []record) {
	calls := map[string]*trackedCall{}
	for i := range records {
		calls[records[i].Key] = &trackedCall{
			record: &records[i],
		}
	}
	for _, b := range f.targets {
		for _, a := range b.Arrivals() {
			if c := calls[a.Key]; c != nil {
				c.arrivals++
			}
		}
	}
	for _, b := range f.targets {
		f.checkDraining(b, calls)
		f.checkBackoff(b, calls)
		f.checkLimit(b, calls)
	}
}

// checkDraining reports requests to a target by a process that had relayed its draining signal.
func (f *fleet) checkDraining(b *backend, calls map[string]*trackedCall) {
	received := map[*incarnation]time.Duration{}
	for _, a := range b.Arrivals() {
		at := a.At.Sub(f.started)
		c := calls[a.Key]
		if c == nil || sentByPeer(a) {
			continue
		}
		if started := f.incarnationBefore(b, at); started > 0 {
			for l, when := range received {
				if when < started {
					delete(received, l)
				}
			}
		}
		when, known := received[c.process]
		switch {
		case known && c.started > when:
			f.violation("%s signaled that it is draining; node %d relayed that at %.2fs and sent it %s at %.2fs", b.Name(), c.node, when.Seconds(), a.Key, at.Seconds())
		case !known && a.Draining && c.arrivals == 1 && c.err == nil && c.Status == http.StatusOK:
			received[c.process] = c.ended
		}
	}
}

// checkBackoff reports requests to a target during the backoff that it requested. A process has
// provably received the backoff if the request was not repeatable and yet was answered by another
// target or reported as not run.
func (f *fleet) checkBackoff(b *backend, calls map[string]*trackedCall) {
	all := b.Arrivals()
	for i, refusal := range all {
		c := calls[refusal.Key]
		if refusal.Backoff == 0 || c == nil || sentByPeer(refusal) || c.err != nil || c.Repeatable || c.Status != http.StatusOK && c.Outcome != "not-run" {
			continue
		}
		for _, a := range all[i+1:] {
			o := calls[a.Key]
			at := a.At.Sub(f.started)
			if o == nil || sentByPeer(a) || o.process != c.process || o.started < c.ended || a.At.Sub(refusal.At) >= refusal.Backoff {
				continue
			}
			if f.incarnationBefore(b, at) > refusal.At.Sub(f.started) {
				break
			}
			f.violation("%s requested of node %d a backoff of %v at %.2fs and got %s from it at %.2fs", b.Name(), c.node, refusal.Backoff, refusal.At.Sub(f.started).Seconds(), a.Key, at.Seconds())
		}
	}
}

// incarnationBefore returns the start of the target's last incarnation before at, 0 for the first one.
func (f *fleet) incarnationBefore(b *backend, at time.Duration) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	last := time.Duration(0)
	for _, born := range b.births {
		if born < at {
			last = born
		}
	}
	return last
}
