// SPDX-License-Identifier: Apache-2.0

package node

import (
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"ploverjunction.example/ploverjunction/internal/dispatch"
	"ploverjunction.example/ploverjunction/internal/fleetconfig"
	"ploverjunction.example/ploverjunction/internal/operator"
	"ploverjunction.example/ploverjunction/internal/signal"
	"ploverjunction.example/ploverjunction/internal/wire"
)

const (
	// maxReportAge is how old a load may be when the end of its attempt is reported. The message carries
	// no age, and the header of a long answer comes long before its end.
	maxReportAge = 250 * time.Millisecond
	// reportSlack is by how much a response may have been made before the time that this node measured
	// as the start: messages carry whole milliseconds, and a target may count a request for a moment
	// after its answer.
	reportSlack = 20 * time.Millisecond
)

// reportedLoad holds the load in the answer to one attempt. It may be used concurrently.
type reportedLoad struct {
	latest atomic.Pointer[receivedLoad]
}

// receivedLoad is a load with the time at which this node received it.
type receivedLoad struct {
	load signal.Load
	at   time.Time
}

// receive records the load.
func (r *reportedLoad) receive(load signal.Load) {
	r.latest.Store(&receivedLoad{
		load: load,
		at:   time.Now(),
	})
}

// message returns the load for the message about the end of the attempt, nil for none or for an old
// one.
func (r *reportedLoad) message(now time.Time) *wire.TargetLoad {
	l := r.latest.Load()
	if l == nil || now.Sub(l.at) > maxReportAge {
		return nil
	}
	return &wire.TargetLoad{
		Running: uint32(l.load.Running),
		Waiting: uint32(l.load.Waiting),
		Slots:   uint32(l.load.Slots),
	}
}

// loadOfWire returns the load in a message, zero without one. Numbers over signal.MaxLoad are cut to
// one more than it: the scheduler ignores such a load.
func loadOfWire(in *wire.TargetLoad) signal.Load {
	number := func(n uint32) int { return int(min(n, signal.MaxLoad+1)) }
	return signal.Load{
		Running: number(in.GetRunning()),
		Waiting: number(in.GetWaiting()),
		Slots:   number(in.GetSlots()),
	}
}

// observeProbe passes the load in the answer to a probe to the scheduler of the target's partition, if
// this node is its dispatcher. sent is when the probe was sent.
func (d *dispatchController) observeProbe(now time.Time, t *fleetconfig.Target, load signal.Load, sent time.Time) {
	if !load.Reported() {
		return
	}
	view := d.board.view.Load()
	d.mu.Lock()
	defer d.mu.Unlock()
	for p, s := range d.schedulers {
		if p.service != t.Service() || p.hall != "" && p.hall != t.DataHall() {
			continue
		}
		if holders := p.holders(view); len(holders) == 0 || holders[0] != view.Self() {
			continue
		}
		s.ObserveLoad(dispatch.LoadReport{
			Target: t.Key(),
			Load:   load,
			Since:  sent.Add(-reportSlack),
			At:     now,
			Probe:  true,
		})
	}
}

// loadStatus lists the targets that reported a load to this node, or to others where it is the
// dispatcher.
func (n *Node) loadStatus(now time.Time) []operator.TargetLoadStatus {
	var out []operator.TargetLoadStatus
	if n.dispatcher != nil {
		out = n.dispatcher.loadStatus(now)
	}
	granting := map[string]bool{}
	for _, l := range out {
		granting[l.Target] = true
	}
	c := n.board.currentConfig()
	if c == nil {
		return out
	}
	for _, s := range c.Services() {
		for _, t := range s.Targets() {
			status := n.board.targetStatus(now, t)
			if status.LoadAt.IsZero() || granting[t.Key()] {
				continue
			}
			out = append(out, operator.TargetLoadStatus{
				Service: s.Name(),
				Target:  t.Key(),
				Running: status.Load.Running,
				Waiting: status.Load.Waiting,
				Slots:   status.Load.Slots,
				AgeMS:   now.Sub(status.LoadAt).Milliseconds(),
			})
		}
	}
	return out
}

// loadStatus lists the targets with a reported load in the partitions that this node dispatches.
func (d *dispatchController) loadStatus(now time.Time) []operator.TargetLoadStatus {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []operator.TargetLoadStatus
	for p, s := range d.schedulers {
		if now.Sub(s.lastUsed) > reportInterval {
			continue
		}
		for _, t := range s.Status(now).Targets {
			if t.LoadAt.IsZero() {
				continue
			}
			out = append(out, operator.TargetLoadStatus{
				Service:    p.service,
				Target:     t.Key,
				Running:    t.Load.Running,
				Waiting:    t.Load.Waiting,
				Slots:      t.Load.Slots,
				AgeMS:      now.Sub(t.LoadAt).Milliseconds(),
				Dispatcher: true,
				InFlight:   t.InFlight,
				Foreign:    t.Foreign,
			})
		}
	}
	slices.SortFunc(out, func(a, b operator.TargetLoadStatus) int { return strings.Compare(a.Target, b.Target) })
	return out
}
