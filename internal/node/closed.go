// SPDX-License-Identifier: Apache-2.0

package node

import (
	"slices"
	"time"

	"ploverjunction.example/ploverjunction/internal/attempt"
	"ploverjunction.example/ploverjunction/internal/entry"
	"ploverjunction.example/ploverjunction/internal/fleetconfig"
)

// closedRetryAfter is after how long a caller may retry a request that no data hall may serve:
// operators decide when that ends.
const closedRetryAfter = time.Second

// currentService returns the service in force now, or s if there is none.
func (b *Board) currentService(s *fleetconfig.Service) *fleetconfig.Service {
	if c := b.currentConfig(); c != nil && c.Service(s.Name()) != nil {
		return c.Service(s.Name())
	}
	return s
}

// closedHalls returns the data halls that may not serve a request: those that are evacuated, and
// those outside its regions.
func (b *Board) closedHalls(q *entry.Query) []string {
	s := b.currentService(q.Service)
	if len(q.Regions) == 0 && !s.AnyEvacuated() {
		return nil
	}
	var out []string
	for _, hall := range s.Halls() {
		if s.Evacuated(hall) || !b.inRegions(hall, q.Regions) {
			out = append(out, hall)
		}
	}
	return out
}

// inRegions reports whether all lists of regions allow a data hall.
func (b *Board) inRegions(hall string, all []fleetconfig.Regions) bool {
	return !slices.ContainsFunc(all, func(r fleetconfig.Regions) bool { return !r.Allow(b.regions[hall]) })
}

// refuseClosed returns the refusal of a request that no data hall may serve, or nil. It is nil for
// a service without targets, which may get some at any moment.
func (b *Board) refuseClosed(q *entry.Query) error {
	closed := len(b.closedHalls(q))
	if closed == 0 || closed < len(b.currentService(q.Service).Halls()) {
		return nil
	}
	return entry.NewNoTargetError(attempt.ReasonClosedDataHalls, closedRetryAfter)
}

// closedTargets returns the keys of targets in closed data halls.
func (b *Board) closedTargets(q *entry.Query) []string {
	closed := b.closedHalls(q)
	if len(closed) == 0 {
		return nil
	}
	var out []string
	for _, t := range b.currentService(q.Service).Targets() {
		if slices.Contains(closed, t.DataHall()) {
			out = append(out, t.Key())
		}
	}
	return out
}
