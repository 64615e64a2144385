// SPDX-License-Identifier: Apache-2.0

package node

import (
	"context"
	"time"

	"ploverjunction.example/ploverjunction/internal/dispatch"
	"ploverjunction.example/ploverjunction/internal/entry"
	"ploverjunction.example/ploverjunction/internal/membership"
	"ploverjunction.example/ploverjunction/internal/wire"
)

// ChooseForWorkspace returns a target for one attempt of a workspace.
func (c *Chooser) ChooseForWorkspace(ctx context.Context, workspace string) (entry.Choice, error) {
	return c.dispatcher.choose(ctx, &entry.Query{
		Service:      c.service,
		Workspace:    workspace,
		SoftDeadline: time.Now().Add(3 * time.Second),
		Deadline:     time.Now().Add(3 * time.Second),
	})
}

// Weight returns the weight of a workspace as schedulers get it.
func (c *Chooser) Weight(workspace string) float64 { return c.dispatcher.weight(workspace) }

// Shares returns how the scheduler of the node shares the slots.
func (c *Chooser) Shares() dispatch.ShareStatus { return c.status().Shares }

// SetLive sets the other nodes that the node sees as live.
func (c *Chooser) SetLive(peers ...membership.Node) {
	b := c.dispatcher.board
	members := newMembers(&Board{}, b.view.Load().Self(), 0)
	for _, n := range peers {
		members.table.Observe(time.Now(), n, 1, false)
		members.table.SetWeight(n.Address(), 10*membership.DefaultWeight)
	}
	b.view.Store(members.table.View(time.Now()))
}

// First returns the node that ranks first as dispatcher.
func (c *Chooser) First() string {
	return c.dispatcher.first(c.dispatcher.home(&entry.Query{Service: c.service}))
}

// QueueAll makes peers queue the grant requests for which sent, called with each datagram to one of
// them, returns true. They answer no others.
func (c *Chooser) QueueAll(sent func(peer string, d *wire.Datagram) bool) {
	m := c.dispatcher.messenger
	m.transmit = func(peer string, d *wire.Datagram) error {
		if sent(peer, d) && d.GetAsk() != nil {
			m.deliverAnswer(&wire.Datagram{
				Call: d.GetCall(),
				Body: &wire.Datagram_Grant{
					Grant: &wire.Grant{
						Verdict: wire.Grant_QUEUED,
					},
				},
			})
		}
		return nil
	}
}
