// SPDX-License-Identifier: Apache-2.0

package dispatch

import (
	"cmp"
	"slices"
	"time"

	"ploverjunction.example/ploverjunction/internal/health"
	"ploverjunction.example/ploverjunction/internal/signal"
)

// Parameters of the transfer of state to the next dispatcher.
const (
	// maxHandoverTargets, maxHandoverRoutes and maxHandoverWorkspaces bound the state of one partition:
	// 86 kB with keys and names of 20 bytes.
	maxHandoverTargets    = 1000
	maxHandoverRoutes     = 256
	maxHandoverWorkspaces = 256
	// minOwnResults is the number of results with which a scheduler ignores a handover: its own estimates
	// are then newer and about as good. Only results of attempts that it granted count: those of its node's
	// attempts that the previous scheduler granted are contained in the state of that one.
	minOwnResults = 50
	// handoverInterval is the time in which a scheduler accepts one handover: a repeated one or that of a
	// second dispatcher would count the same results twice. After as long without a grant it has had no
	// part in the role, and what it learned in it is out of date.
	handoverInterval = 10 * time.Second
	// maxGrantAge is the greatest age of a last grant that is imported: older ones have no effect.
	maxGrantAge = time.Minute
	// maxPeriodCount bounds the imported counts of rejections in a period of one second.
	maxPeriodCount = 100_000
	// importedShares is how long the virtual times of workspaces are kept for their first requests: nodes
	// repeat waiting requests every 100 ms, and request from another dispatcher after 350 ms without an
	// answer.
	importedShares = time.Second
	// maxLead bounds an imported virtual time: the work of all slots of a service of 100 in a second.
	maxLead = 100
	// maxWorkspaceName bounds the length of the names of imported workspaces in bytes.
	maxWorkspaceName = 256
)

// Handover is what a scheduler has learned and what the next one of the same targets can use.
type Handover struct {
	Model      health.ModelState
	Targets    []TargetHandover
	Rejections RejectionCounts
	Workspaces []WorkspaceLead
}

// TargetHandover is the state of a target.
type TargetHandover struct {
	Key string
	// FailureProbability is negative where it is unknown.
	FailureProbability float64
	// GrantAge is the time since the last grant; it is negative where there was none.
	GrantAge time.Duration
	// InFlight is the number of attempts in flight.
	InFlight int
}

// RejectionCounts counts ended attempts, and rejected ones among them, in the current period and the one
// before. Age is the time since the current one began.
type RejectionCounts struct {
	All, Rejected [2]int
	Age           time.Duration
}

// WorkspaceLead is the virtual time of a workspace in one priority, relative to the current one.
type WorkspaceLead struct {
	Workspace string
	Priority  int
	// Lead is in slot-seconds, divided by the weight of the workspace.
	Lead float64
}

// ImportResult is what became of a handover.
type ImportResult uint8

// Possible results.
const (
	// Imported means that the valid values are in use.
	Imported ImportResult = iota
	// ResultsKnown means that the scheduler has enough results of attempts that it granted.
	ResultsKnown
	// Repeated means that it has accepted a handover shortly before.
	Repeated
)

// String returns the result as logged.
func (r ImportResult) String() string {
	return [...]string{"imported", "results recorded", "another handover before"}[r]
}

// LastGrant returns when the scheduler last granted a request as a dispatcher, the zero time for never.
func (d *Scheduler) LastGrant() time.Time { return d.lastGrant }

// Export returns the state for the next scheduler of the same targets.
func (d *Scheduler) Export(now time.Time) Handover {
	h := Handover{
		Model:      d.model.Export(),
		Workspaces: d.queue.shares.export(),
	}
	h.Model.Routes = h.Model.Routes[:min(len(h.Model.Routes), maxHandoverRoutes)]
	targets := slices.Clone(d.order)
	slices.SortStableFunc(targets, func(a, b *target) int { return b.lastGranted.Compare(a.lastGranted) })
	for _, t := range targets[:min(len(targets), maxHandoverTargets)] {
		out := TargetHandover{
			Key:                t.Key,
			FailureProbability: t.health.FailureProbability(now),
			GrantAge:           -1,
			InFlight:           len(t.flights),
		}
		if !t.lastGranted.IsZero() {
			out.GrantAge = now.Sub(t.lastGranted)
		}
		h.Targets = append(h.Targets, out)
	}
	r := &d.rejections
	r.advance(now)
	h.Rejections = RejectionCounts{
		All:      r.all,
		Rejected: r.rejected,
		Age:      now.Sub(r.rotated),
	}
	return h
}

// Import uses the state of the previous scheduler of the same targets. It never replaces what this one has
// learned itself. Invalid values are dropped, each for itself.
func (d *Scheduler) Import(now time.Time, h Handover) ImportResult {
	switch {
	case d.results >= minOwnResults:
		return ResultsKnown
	case !d.importedAt.IsZero() && now.Sub(d.importedAt) < handoverInterval:
		return Repeated
	}
	d.importedAt = now
	h.Model.Routes = h.Model.Routes[:min(len(h.Model.Routes), maxHandoverRoutes)]
	d.model.Import(now, h.Model)
	for _, in := range h.Targets[:min(len(h.Targets), maxHandoverTargets)] {
		if t := d.targets[in.Key]; t != nil {
			t.importState(now, in)
		}
	}
	d.rejections.add(now, h.Rejections)
	d.queue.shares.importLeads(now, h.Workspaces[:min(len(h.Workspaces), maxHandoverWorkspaces)])
	d.lastCoverage = coverage{}
	d.accepting = accepting{}
	return Imported
}

// importState uses the state of a target at the previous scheduler.
func (t *target) importState(now time.Time, in TargetHandover) {
	if now.Sub(t.lastOwnGrant) > handoverInterval {
		t.health.Import(now, in.FailureProbability)
	}
	if in.GrantAge >= 0 && in.GrantAge <= maxGrantAge {
		t.lastGranted = later(t.lastGranted, now.Add(-in.GrantAge))
	}
	// A report of the target itself contains the attempts of the previous scheduler.
	if in.InFlight <= 0 || in.InFlight > signal.MaxLoad || t.load.fresh(now) {
		return
	}
	t.load.observe(LoadReport{
		Target: t.Key,
		Load: signal.Load{
			Running: in.InFlight + len(t.flights),
			Slots:   t.Slots,
		},
		Since: now,
		At:    now,
	}, len(t.flights))
}

// add adds the counts of another scheduler, if they are valid.
func (r *rejections) add(now time.Time, c RejectionCounts) {
	r.advance(now)
	for i := range c.All {
		if c.Rejected[i] < 0 || c.Rejected[i] > c.All[i] || c.All[i] > maxPeriodCount {
			return
		}
	}
	if c.Age < 0 || c.Age >= rejectionPeriod {
		return
	}
	if r.all == [2]int{} {
		r.rotated = now.Add(-c.Age)
	}
	for i := range c.All {
		r.all[i] += c.All[i]
		r.rejected[i] += c.Rejected[i]
	}
}

// export returns the virtual times of the workspaces relative to the current one, the greatest first.
func (s *shares) export() []WorkspaceLead {
	var out []WorkspaceLead
	for key, f := range s.flows {
		out = append(out, WorkspaceLead{
			Workspace: key.workspace,
			Priority:  key.priority,
			Lead:      max(f.virtual-f.class.virtual(), 0),
		})
	}
	slices.SortFunc(out, func(a, b WorkspaceLead) int {
		return cmp.Or(cmp.Compare(b.Lead, a.Lead), cmp.Compare(a.Workspace, b.Workspace), cmp.Compare(a.Priority, b.Priority))
	})
	return out[:min(len(out), maxHandoverWorkspaces)]
}

// importLeads keeps the virtual times of workspaces until their first requests. Workspaces that have
// requests keep their own.
func (s *shares) importLeads(now time.Time, leads []WorkspaceLead) {
	for _, c := range s.classes {
		c.importedFrom = c.virtual()
	}
	s.imported = map[flowKey]float64{}
	s.importedUntil = now.Add(importedShares)
	for _, l := range leads {
		key := flowKey{
			workspace: l.Workspace,
			priority:  l.Priority,
		}
		if l.Lead >= 0 && l.Lead <= maxLead && len(l.Workspace) <= maxWorkspaceName && s.flows[key] == nil {
			s.imported[key] = l.Lead
		}
	}
}

// place sets the virtual time of a new flow to the imported one, if there is one.
func (s *shares) place(f *flow) {
	if lead, ok := s.imported[f.flowKey]; ok {
		delete(s.imported, f.flowKey)
		f.virtual = f.class.importedFrom + lead
		f.placed = true
	}
}

// expireImported forgets the imported virtual times that no request needed.
func (s *shares) expireImported(now time.Time) {
	if s.imported != nil && now.After(s.importedUntil) {
		s.imported = nil
	}
}
