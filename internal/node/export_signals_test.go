// SPDX-License-Identifier: Apache-2.0

package node

import (
	"bytes"
	"context"
	"time"

	"ploverjunction.example/ploverjunction/internal/contract"
	"ploverjunction.example/ploverjunction/internal/fleetconfig"
	"ploverjunction.example/ploverjunction/internal/logging"
	"ploverjunction.example/ploverjunction/internal/membership"
	"ploverjunction.example/ploverjunction/internal/outlier"
	"ploverjunction.example/ploverjunction/internal/signal"
	"ploverjunction.example/ploverjunction/internal/wire"
)

// Observe records a signal in an answer of a target to the node.
func (c *Chooser) Observe(key string, n signal.Signal) {
	c.dispatcher.board.signals.Observe(time.Now(), incarnationOf(c.service.Target(key)), n)
}

// Draining reports whether the node's own scheduler treats a target as draining.
func (c *Chooser) Draining(key string) bool { return c.TargetStatus(key).Draining }

// Prober is the prober of a node without peers.
type Prober struct {
	prober   *prober
	draining []string
	// Log is what the prober logged.
	Log bytes.Buffer
}

// NewProber returns the prober of the targets in published entries.
func NewProber(entries []*wire.Entry) *Prober {
	board := &Board{}
	members := newMembers(board, membership.NewNode("192.0.2.1:1", "a"), 0)
	board.view.Store(members.table.View(time.Now()))
	store := fleetconfig.NewStore()
	store.Offer(entries)
	board.config.Store(&configuration{
		config: store.Config(),
	})
	p := &Prober{}
	p.prober = newProber(board, contract.Plover(), func(_ time.Time, evidence []outlier.Evidence) {
		for _, e := range evidence {
			if e.Counts.Draining {
				p.draining = append(p.draining, e.Counts.Target)
			}
		}
	}, logging.Part(logging.New(&p.Log, "info", "text"), "probing"))
	return p
}

// Probe probes all targets once and returns those that answered that they are draining.
func (p *Prober) Probe(ctx context.Context) []string {
	p.draining = nil
	p.prober.probeAll(ctx)
	return p.draining
}
