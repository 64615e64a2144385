// SPDX-License-Identifier: Apache-2.0

package node

import (
	"context"
	"time"

	"ploverjunction.example/ploverjunction/internal/forward"
	"ploverjunction.example/ploverjunction/internal/operator"
	"ploverjunction.example/ploverjunction/internal/traffic"
)

// trafficInterval is the time between two updates of the metrics of bytes and connections, that of
// the reports of all metrics.
const trafficInterval = time.Second

// scope returns the scope of bytes to a peer. The view lacks the data halls of seeds that were not
// reached yet and of nodes that are draining.
func (b *Board) scope(peer string) traffic.Scope {
	view := b.view.Load()
	return traffic.ScopeOf(view.Self().DataHall(), view.DataHall(peer))
}

// reportTraffic updates the metrics of bytes and connections until the context ends.
func (n *Node) reportTraffic(ctx context.Context) error {
	tick := time.NewTicker(trafficInterval)
	defer tick.Stop()
	reportedBytes := map[[2]string]int64{}
	reportedConnections := map[string]int64{}
	for {
		n.traffic.Bytes().Each(func(p traffic.Purpose, s traffic.Scope, total int64) {
			k := [2]string{p.String(), s.String()}
			n.metrics.CountBytes(k[0], k[1], total-reportedBytes[k])
			reportedBytes[k] = total
		})
		n.entry.Connections().Each(func(c forward.Cause, total int64) {
			n.metrics.CountConnections(c.String(), total-reportedConnections[c.String()])
			reportedConnections[c.String()] = total
		})
		n.closed.report(n.metrics)
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
	}
}

// trafficStatus returns the counts of bytes and connections.
func (n *Node) trafficStatus() (bytes []operator.TrafficStatus, connections []operator.ConnectionsStatus) {
	n.traffic.Bytes().Each(func(p traffic.Purpose, s traffic.Scope, total int64) {
		bytes = append(bytes, operator.TrafficStatus{
			Purpose: p.String(),
			Scope:   s.String(),
			Bytes:   total,
		})
	})
	n.entry.Connections().Each(func(c forward.Cause, total int64) {
		connections = append(connections, operator.ConnectionsStatus{
			Cause: c.String(),
			Count: total,
		})
	})
	return bytes, connections
}
