// SPDX-License-Identifier: Apache-2.0

package node

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"ploverjunction.example/ploverjunction/internal/dispatch"
	"ploverjunction.example/ploverjunction/internal/entry"
	"ploverjunction.example/ploverjunction/internal/fleetconfig"
	"ploverjunction.example/ploverjunction/internal/membership"
)

// Times and counts of partitions.
const (
	// fullBackoff is how long a node does not retry a partition without a free target: about the
	// time until some slots of a loaded partition are free again.
	fullBackoff = 100 * time.Millisecond
	// maxOtherPartitions is how many other partitions are tried for one attempt, a round trip each.
	maxOtherPartitions = 2
	// maxPassedOnKiB is the greatest size, in KiB, of a request and its answer that is passed on at
	// once. Larger ones wait in their own data hall, since traffic between data halls is expensive,
	// and are passed on only if they would be refused there.
	maxPassedOnKiB = 3
	// schedulerIdleTimeout is after how long without requests and results a scheduler is dropped.
	schedulerIdleTimeout = 30 * time.Second
)

// partition is what one dispatcher has of a service: the targets of a data hall, or all if hall is
// empty.
type partition struct {
	service string
	hall    string
}

// holders returns the nodes that have the role for the partition, in rank. They are in its data
// hall as long as any node of it is live.
func (p partition) holders(view *membership.View) []membership.Node {
	role := "dispatcher/" + p.service
	if p.hall != "" {
		if nodes := view.Role(role+"/"+p.hall, p.hall, 2*dispatchers); len(nodes) > 0 {
			return nodes
		}
	}
	return view.Role(role, "", 2*dispatchers)
}

// partitioning is the division of a service in one of its configurations.
type partitioning struct {
	config    *fleetconfig.Service
	dataHalls []string
}

// partitionings holds that of each service in force, by name.
type partitionings map[string]partitioning

// halls returns the data halls by which a service is divided, or nil. minSlots is the setting for the
// slots of a data hall.
func (d partitionings) halls(sc *fleetconfig.Service, minSlots int) []string {
	cached := d[sc.Name()]
	if cached.config != sc {
		cached = partitioning{
			config:    sc,
			dataHalls: dispatch.Partition(hallSizes(sc), minSlots),
		}
		d[sc.Name()] = cached
	}
	return cached.dataHalls
}

func hallSizes(sc *fleetconfig.Service) map[string]dispatch.HallSize {
	out := map[string]dispatch.HallSize{}
	for hall, size := range sc.HallSizes() {
		out[hall] = dispatch.HallSize(size)
	}
	return out
}

// currentService returns the service in force now, or s if there is none.
func (d *dispatchController) currentService(s *fleetconfig.Service) *fleetconfig.Service {
	return d.board.currentService(s)
}

// open returns the data halls by which the service of a request is divided and that may serve it,
// or nil if the service is not divided. d.mu is held.
func (d *dispatchController) open(q *entry.Query) []string {
	halls := d.partitionings.halls(d.currentService(q.Service), d.partitionSlots)
	closed := d.board.closedHalls(q)
	if len(closed) == 0 {
		return halls
	}
	open := slices.DeleteFunc(slices.Clone(halls), func(h string) bool { return slices.Contains(closed, h) })
	if len(open) == 0 {
		return halls
	}
	return open
}

// home returns the partition of a service that this node tries first. d.mu is held.
func (d *dispatchController) home(q *entry.Query) partition {
	p := partition{
		service: q.Service.Name(),
	}
	halls := d.open(q)
	if len(halls) == 0 {
		return p
	}
	self := d.board.view.Load().Self()
	if slices.Contains(halls, self.DataHall()) {
		p.hall = self.DataHall()
		return p
	}
	// Nodes without targets in their own data hall are distributed over the others.
	p.hall = halls[xxhash.Sum64String(self.Address())%uint64(len(halls))]
	return p
}

// lockedHome is home with d.mu locked.
func (d *dispatchController) lockedHome(q *entry.Query) partition {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.home(q)
}

// partitionsFor returns the partition to try first and those that may be tried for a free target
// after it. A hedge is requested from the home partition only: it is decided where the first
// attempt was.
func (d *dispatchController) partitionsFor(now time.Time, q *entry.Query) (home partition, others []partition) {
	d.mu.Lock()
	defer d.mu.Unlock()
	home = d.home(q)
	if home.hall == "" || q.Hedge {
		return home, nil
	}
	for _, hall := range d.open(q) {
		p := partition{
			service: home.service,
			hall:    hall,
		}
		if p != home && !now.Before(d.fullUntil[p]) {
			others = append(others, p)
		}
	}
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	return home, others[:min(len(others), maxOtherPartitions)]
}

// mayPassOn reports whether a request may be passed on to another data hall at once.
func mayPassOn(q *entry.Query) bool { return q.Kilobytes <= maxPassedOnKiB }

func (d *dispatchController) markFull(now time.Time, p partition) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.fullUntil[p] = now.Add(fullBackoff)
}
