// SPDX-License-Identifier: Apache-2.0

package node

import (
	"context"
	"time"

	"ploverjunction.example/ploverjunction/internal/dispatch"
	"ploverjunction.example/ploverjunction/internal/entry"
)

// ChooseForWorkspace returns a target for one attempt of a workspace.
func (c *Chooser) ChooseForWorkspace(ctx context.Context, workspace string) (entry.Choice, error) {
	return c.dispatcher.choose(ctx, &entry.Query{
		Service:      c.service,
		Workspace:    workspace,
		SoftDeadline: time.Now().Add(time.Second),
		Deadline:     time.Now().Add(time.Second),
	})
}

// Weight returns the weight of a workspace as schedulers get it.
func (c *Chooser) Weight(workspace string) float64 { return c.dispatcher.weight(workspace) }

// Shares returns how the scheduler of the node shares the slots.
func (c *Chooser) Shares() dispatch.ShareStatus { return c.status().Shares }
