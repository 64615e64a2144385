// SPDX-License-Identifier: Apache-2.0

package node

import (
	"context"
	"time"

	"ploverjunction.example/ploverjunction/internal/entry"
)

// SetPartitionSlots sets the number of slots in each data hall from which on the service is
// partitioned.
func (c *Chooser) SetPartitionSlots(slots int) { c.dispatcher.partitionSlots = slots }

// ReserveOf returns the reserve of the retry budget of the partition of the service in a data hall.
func (c *Chooser) ReserveOf(hall string) float64 {
	p := partition{
		service: c.service.Name(),
		hall:    hall,
	}
	return c.dispatcher.budgetOf(p, c.service).Reserve
}

// Run serves the queues until the context ends.
func (c *Chooser) Run(ctx context.Context) error { return c.dispatcher.run(ctx) }

// ChooseFor returns a target for one attempt of a request that may wait for it; retry is set if the
// request was sent to a target before.
func (c *Chooser) ChooseFor(ctx context.Context, wait time.Duration, retry bool) (entry.Choice, error) {
	return c.dispatcher.choose(ctx, &entry.Query{
		Service:      c.service,
		Repeatable:   true,
		Retry:        retry,
		SoftDeadline: time.Now().Add(wait),
		Deadline:     time.Now().Add(wait),
	})
}

// Open returns the numbers of requests that wait and that run, by all schedulers of the node, and
// the number of schedulers.
func (c *Chooser) Open() (waiting, running, schedulers int) {
	d := c.dispatcher
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, s := range d.schedulers {
		status := s.Status(time.Now())
		waiting += status.Waiting
		running += status.InFlight
	}
	return waiting, running, len(d.schedulers)
}

// Budget returns the retry budget of the service.
func (c *Chooser) Budget() (share, reserve float64, window time.Duration) {
	b := c.dispatcher.budget
	return b.Share, b.Reserve, b.Window
}
