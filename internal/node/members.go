// SPDX-License-Identifier: Apache-2.0

package node

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"ploverjunction.example/ploverjunction/internal/fleetconfig"
	"ploverjunction.example/ploverjunction/internal/membership"
	"ploverjunction.example/ploverjunction/internal/wire"
)

const (
	// memberInterval is the time between two updates of the view for timers that expired.
	memberInterval = time.Second
	// minViewInterval is the least time between two views: while a fleet starts, a view for each
	// message of a new node would cost more than all else. Nodes wait longer than that for each
	// other's answers.
	minViewInterval = 20 * time.Millisecond
)

// members owns the table of nodes and writes its section of the blackboard. It may be used
// concurrently.
type members struct {
	board *Board
	mu    sync.Mutex
	table *membership.Table
	// published is when the last view was made.
	published time.Time
	// due holds a value while a view waits for minViewInterval.
	due chan struct{}
	// incarnation is that of this node.
	incarnation atomic.Uint64
}

func newMembers(board *Board, self membership.Node, weight uint32) *members {
	m := &members{
		board: board,
		table: membership.NewTable(self),
		due:   make(chan struct{}, 1),
	}
	m.table.SetWeight(self.Address(), weight)
	m.board.view.Store(m.table.View(time.Now()))
	return m
}

// change applies fn to the table. If that changed the table the view is published, at once or after
// minViewInterval.
func (m *members) change(fn func(t *membership.Table, now time.Time)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	fn(m.table, now)
	if !m.table.Changed() {
		return
	}
	if now.Sub(m.published) >= minViewInterval {
		m.publish(now)
		return
	}
	select {
	case m.due <- struct{}{}:
	default:
	}
}

// publish stores the view unless it equals the current one, which caches the roles computed from
// it.
func (m *members) publish(now time.Time) {
	m.published = now
	if v := m.table.View(now); !v.Same(m.board.view.Load()) {
		m.board.view.Store(v)
	}
}

// renew publishes the view: it also changes when timers expire or minViewInterval has passed.
func (m *members) renew() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.publish(time.Now())
}

func (m *members) recordMessage(n *wire.Node) {
	m.change(func(t *membership.Table, now time.Time) {
		t.Observe(now, membership.NewNode(n.GetAddress(), n.GetDataHall()), n.GetIncarnation(), n.GetLeaving())
		t.SetWeight(n.GetAddress(), n.GetWeight())
	})
}

func (m *members) recordMention(n *wire.Node) {
	m.change(func(t *membership.Table, now time.Time) {
		t.Discover(now, membership.NewNode(n.GetAddress(), n.GetDataHall()))
		t.SetWeight(n.GetAddress(), n.GetWeight())
	})
}

func (m *members) recordFailure(peer string) {
	m.change(func(t *membership.Table, now time.Time) { t.RecordFailure(now, peer) })
}

// applyUpdate applies the update of a peer. An update that declares this node suspected or dead is
// refuted by a greater incarnation.
func (m *members) applyUpdate(now time.Time, n membership.Update) {
	m.change(func(t *membership.Table, _ time.Time) {
		if t.Apply(now, n, m.incarnation.Load()) {
			m.incarnation.Store(n.Incarnation + 1)
		}
	})
}

func (m *members) suspect(peer string) {
	m.change(func(t *membership.Table, now time.Time) { t.Suspect(now, peer) })
}

// advance declares nodes dead that did not refute a suspicion in time.
func (m *members) advance(now time.Time) []membership.Node {
	var out []membership.Node
	m.change(func(t *membership.Table, _ time.Time) { out = t.DeclareDead(now) })
	return out
}

// clearSuspicions drops the suspicions that no other node has confirmed.
func (m *members) clearSuspicions() {
	m.change(func(t *membership.Table, now time.Time) { t.RestartSuspicions(now) })
}

func (m *members) updates(n int, joins bool) []membership.Update {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.table.NextUpdates(n, joins)
}

func (m *members) declaredDead() []membership.Node {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.table.Dead()
}

// setListed applies the list of instances of a configuration.
func (m *members) setListed(c *fleetconfig.Config) {
	var live, draining []membership.Node
	for _, i := range c.Instances() {
		if !i.Entry() {
			continue
		}
		n := membership.NewNode(i.Address(), i.DataHall())
		if i.Draining() {
			draining = append(draining, n)
		} else {
			live = append(live, n)
		}
	}
	m.change(func(t *membership.Table, _ time.Time) { t.List(live, draining) })
}

// run follows the configuration until the context ends.
func (m *members) run(ctx context.Context) error {
	tick := time.NewTicker(memberInterval)
	defer tick.Stop()
	delayed := time.NewTimer(minViewInterval)
	defer delayed.Stop()
	var listed *fleetconfig.Config
	for {
		changed := m.board.config.Watch()
		if c := m.board.currentConfig(); c != nil && !c.SameInstances(listed) {
			m.setListed(c)
			listed = c
		}
		for waiting := true; waiting; {
			select {
			case <-ctx.Done():
				return nil
			case <-changed:
				waiting = false
			case <-m.due:
				delayed.Reset(minViewInterval)
			case <-delayed.C:
				m.renew()
			case <-tick.C:
				m.renew()
			}
		}
	}
}
