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

// targetState is the ejection controller's state of one target.
type targetState struct {
	address string
	state   outlier.State
	// listedDraining is set if the platform lists the target as draining.
	listedDraining bool
	inFlight       int
}

// poolState is the ejection controller's state of one service.
type poolState struct {
	pool    *balance.Pool
	targets []targetState
}

// pools is the section written by the ejection controller.
type pools struct {
	services map[string]*poolState
}

// readiness is the section written by the lifecycle controller.
type readiness struct {
	ready bool
	// reason is why the node is not ready.
	reason string
}

// Board is the blackboard of a node: its controllers exchange their state here.
type Board struct {
	config blackboard.Section[configuration]
	view   blackboard.Section[membership.View]
	pools  blackboard.Section[pools]
	ready  blackboard.Section[readiness]
	// signals holds the signals of targets in answers to this node.
	signals signal.Ledger
	// shares are this node's shares of targets' limits.
	shares shares
	// regions maps data halls to their regions, which do not change.
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

// turnOrder returns this node's place among the nodes that share a limit.
func (b *Board) turnOrder() turnOrder {
	view := b.view.Load()
	return turnOrder{
		index: view.Index(),
		nodes: view.Nodes(),
	}
}

// awaitConfig waits for a configuration with services and returns it, or nil if the context ended
// before.
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
