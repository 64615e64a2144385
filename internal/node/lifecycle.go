// SPDX-License-Identifier: Apache-2.0

package node

import (
	"context"
	"sync/atomic"
	"time"

	"ploverjunction.example/ploverjunction/internal/fleetconfig"
	"ploverjunction.example/ploverjunction/internal/membership"
)

// Times of readiness.
const (
	readyInterval = 100 * time.Millisecond
	// minComparedPeers is the number of peers with which a starting node compares its configuration
	// before it serves: a stale platform alone could give it an old one.
	minComparedPeers = 3
	// maxCompareWait is the time after which a starting node that reaches the platform but too few
	// peers serves nevertheless. It waits until then, since most of its peers may be alive and ahead
	// of the platform's replica.
	maxCompareWait = 30 * time.Second
	// maxPlatformAge is the maximum age of the fleet's last answer of the platform for a node that
	// reaches too few peers.
	maxPlatformAge = time.Minute
)

// Reasons for not being ready.
const (
	reasonStarting = "starting"
	reasonConfig   = "no configuration"
	reasonPeers    = "compared with too few peers"
	reasonIsolated = "neither platform nor most peers heard"
	reasonDraining = "leaving"
)

// lifecycle decides whether the load balancer should send callers to this node, and writes that
// section of the blackboard.
type lifecycle struct {
	board         *Board
	started       time.Time
	compared      func() int
	isolated      func() bool
	platformAge   func(now time.Time) time.Duration
	seeds         int
	draining      atomic.Bool
	peersCompared bool
}

// run updates readiness at each tick until the context ends.
func (l *lifecycle) run(ctx context.Context) error {
	tick := time.NewTicker(readyInterval)
	defer tick.Stop()
	for {
		l.renew(time.Now())
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
	}
}

func (l *lifecycle) renew(now time.Time) {
	reason := l.reason(now)
	old := l.board.ready.Load()
	if old != nil && old.reason == reason {
		return
	}
	l.board.ready.Store(&readiness{
		ready:  reason == "",
		reason: reason,
	})
}

// reason returns why the node is not ready, or "".
func (l *lifecycle) reason(now time.Time) string {
	if l.draining.Load() {
		return reasonDraining
	}
	cfg := l.board.currentConfig()
	if cfg == nil || len(cfg.Services()) == 0 {
		return reasonConfig
	}
	if l.board.pools.Load() == nil {
		return reasonStarting
	}
	if !l.peersCompared && !l.comparedEnough(now, cfg) {
		return reasonPeers
	}
	if l.isolated() && l.platformAge(now) > maxPlatformAge {
		return reasonIsolated
	}
	return ""
}

// comparedEnough reports whether a starting node has compared its configuration with enough peers,
// or waited for maxCompareWait.
func (l *lifecycle) comparedEnough(now time.Time, cfg *fleetconfig.Config) bool {
	view := l.board.view.Load()
	known := max(len(view.Peers()), listedPeers(view.Self(), cfg), l.seeds)
	if l.compared() >= min(minComparedPeers, known) || now.Sub(l.started) > maxCompareWait {
		l.peersCompared = true
	}
	return l.peersCompared
}

// listedPeers returns the number of peers in a configuration. The view may not have them yet: it follows the
// configuration.
func listedPeers(self membership.Node, cfg *fleetconfig.Config) (n int) {
	for _, i := range cfg.Instances() {
		if i.Entry() && !i.Draining() && i.Address() != self.Address() {
			n++
		}
	}
	return n
}
