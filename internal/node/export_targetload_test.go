// SPDX-License-Identifier: Apache-2.0

package node

import (
	"time"

	"ploverjunction.example/ploverjunction/internal/fleetconfig"
	"ploverjunction.example/ploverjunction/internal/operator"
	"ploverjunction.example/ploverjunction/internal/signal"
)

// ObserveProbe passes on the load in the answer of a target to a probe that was just sent.
func (c *Chooser) ObserveProbe(key string, load signal.Load) {
	now := time.Now()
	c.dispatcher.observeProbe(now, c.service.Target(key), load, now)
}

// Loads returns the loads of targets in the node's status.
func (c *Chooser) Loads() []operator.TargetLoadStatus {
	n := &Node{
		board:      c.dispatcher.board,
		dispatcher: c.dispatcher,
	}
	return n.loadStatus(time.Now())
}

// OnLoad sets the function that receives the loads in the answers to probes.
func (p *Prober) OnLoad(receive func(key string, load signal.Load)) {
	p.prober.observeLoad = func(_ time.Time, t *fleetconfig.Target, load signal.Load, _ time.Time) { receive(t.Key(), load) }
}
