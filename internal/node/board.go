// SPDX-License-Identifier: Apache-2.0

package node

import (
	"context"
	"time"

	"ploverjunction.example/ploverjunction/internal/balance"
	"ploverjunction.example/ploverjunction/internal/blackboard"
	"ploverjunction.example/ploverjunction/internal/fleetconfig"
	"ploverjunction.example/ploverjunction/internal/membership"
	"ploverjunction.example/ploverjunction/internal/outlier"
	"ploverjunction.example/ploverjunction/internal/signal"
)

// configuration is the section written by the replica.
type configuration struct {
	config   *fleetconfig.Config
	refusals []fleetconfig.Refusal
	at       time.Time
}

// targetState is one target as the judging controller holds it.
type targetState struct {
	address string
	state   outlier.State
	// listedDraining is set when the platform's list says that it leaves.
	listedDraining bool
	inFlight       int
}

// poolState is one service as the judging controller holds it.
type poolState struct {
	pool    *balance.Pool
	targets []targetState
}

// pools is the section written by the judging controller.
type pools struct {
	services map[string]*poolState
}

// readiness is the section written by the lifecycle controller.
type readiness struct {
	ready bool
	// reason says why the node isn't ready.
	reason string
}

// Board is the blackboard of a node: its controllers meet here.
type Board struct {
	config blackboard.Section[configuration]
	view   blackboard.Section[membership.View]
	pools  blackboard.Section[pools]
	ready  blackboard.Section[readiness]
	// signals is what targets said of themselves in answers to this node.
	signals signal.Ledger
	// shares are this node's parts of targets' limits.
	shares shares
	// regions are those of the data halls; they don't change.
	regions map[string]string
}

func (b *Board) currentConfig() *fleetconfig.Config {
	if c := b.config.Load(); c != nil {
		return c.config
	}
	return nil
}

func (b *Board) pool(service string) *balance.Pool {
	p := b.pools.Load()
	if p == nil || p.services[service] == nil {
		return nil
	}
	return p.services[service].pool
}

func (b *Board) nodes() int {
	return b.view.Load().Nodes()
}

// awaitConfig waits until a configuration with services is known, or the context
// ends. It returns it, or nil.
func (b *Board) awaitConfig(ctx context.Context) *fleetconfig.Config {
	for {
		changed := b.config.Watch()
		if c := b.currentConfig(); c != nil && len(c.Services()) > 0 {
			return c
		}
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		}
	}
}
