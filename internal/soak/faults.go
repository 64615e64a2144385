// SPDX-License-Identifier: Apache-2.0

package soak

import (
	"time"

	"ploverjunction.example/ploverjunction/internal/standin/faultproxy"
	"ploverjunction.example/ploverjunction/internal/standin/platform"
)

// slowDelay is the delay that a slow link adds to each chunk. It exceeds every wait
// of the joint mode.
const slowDelay = 150 * time.Millisecond

var (
	cut  = faultproxy.Fault{Cut: true}
	slow = faultproxy.Fault{Delay: slowDelay}
	none = faultproxy.Fault{}
)

// step applies one step and reverts it after its duration.
func (f *fleet) step(s Step) error {
	switch s.Kind {
	case KindStop:
		return f.nodes[s.Index].stop()
	case KindKill:
		return f.nodes[s.Index].kill()
	case KindPause:
		f.nodes[s.Index].pause(s.For)
	case KindPeersCut, KindPeersDeaf:
		f.link(f.nodes[s.Index].peerProxy, s)
		for _, n := range f.nodes {
			n.disturb()
		}
	case KindPlatformCut, KindPlatformDeaf, KindPlatformSlow, KindPlatformReset, KindPlatformDown:
		f.platformStep(s)
		f.platformDisturbed.Store(int64(time.Since(f.started)))
	case KindPathsCut:
		f.cutPaths(s)
	case KindPlatformRestore:
		f.restore(s)
	case KindPublish:
		f.publishRoute()
	case KindDrain:
		f.drain(s.Index)
	case KindRotateKeys:
		f.rotateKeys()
	case KindSignalsDraining:
		f.signalDraining(s.Index)
	case KindTargetRestart:
		f.restartTarget(s.Index)
	case KindSignalsLimit:
		f.signalLimit(f.targets[s.Index], s)
	case KindServiceRejects:
		f.rejectRequests(s)
	case KindWorkspaceSurges:
		f.surge(s)
	default:
		f.targetStep(f.targets[s.Index], s)
	}
	return nil
}

// link applies a fault to a proxy's connections for the duration of a step.
func (f *fleet) link(p *faultproxy.Proxy, s Step) {
	switch s.Kind {
	case KindPeersCut, KindPlatformCut, KindTargetCut:
		p.SetForward(cut)
		p.SetBackward(cut)
	case KindPeersDeaf, KindPlatformDeaf, KindTargetDeaf:
		p.SetBackward(cut)
	case KindPlatformSlow, KindTargetSlow:
		p.SetForward(slow)
		p.SetBackward(slow)
	case KindPlatformReset, KindTargetReset:
		p.Reset()
		return
	}
	time.Sleep(s.For)
	p.SetForward(none)
	p.SetBackward(none)
}

func (f *fleet) platformStep(s Step) {
	if s.Kind != KindPlatformDown {
		f.link(f.platformProxy, s)
		return
	}
	f.platform.SetMode(platform.ModeDown)
	time.Sleep(s.For)
	f.platform.SetMode(platform.ModeGood)
}

// drain publishes a target as draining, unless fewer than half of all would remain.
func (f *fleet) drain(index int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.notDraining() <= len(f.targets)/2 || f.targets[index].draining.Swap(true) {
		return
	}
	f.publishTargets()
}

func (f *fleet) targetStep(b *backend, s Step) {
	m := b.mode()
	switch s.Kind {
	case KindTargetStall:
		m.Stall = true
	case KindTargetErrors:
		m.ErrorShare = 0.7
	case KindTargetSheds:
		m.Shed = true
	case KindRequestsBackoff:
		m.Shed = true
		m.Backoff = backoffRequested
	case KindTargetAborts:
		m.ResetAfter = true
	case KindTargetShort:
		m.CutAfter = 10
	case KindTargetSwaps:
		m.Swap = true
	default:
		f.link(b.proxy, s)
		return
	}
	b.SetMode(m)
	time.Sleep(s.For)
	b.SetMode(b.mode())
}
