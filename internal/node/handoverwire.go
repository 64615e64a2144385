// SPDX-License-Identifier: Apache-2.0

package node

import (
	"math"
	"time"

	"ploverjunction.example/ploverjunction/internal/dispatch"
	"ploverjunction.example/ploverjunction/internal/health"
	"ploverjunction.example/ploverjunction/internal/wire"
)

// wireHandover returns the message with the state of a partition.
func wireHandover(p partition, h dispatch.Handover) *wire.PartitionState {
	out := &wire.PartitionState{
		Service:         p.service,
		DataHall:        p.hall,
		Failures:        h.Model.Failures.Events,
		FailureSeconds:  h.Model.Failures.Seconds,
		Recoveries:      h.Model.Recoveries.Events,
		RecoverySeconds: h.Model.Recoveries.Seconds,
		Failing:         h.Model.Failing,
		Working:         h.Model.Working,
		PeriodAgeMs:     wireAge(h.Rejections.Age),
	}
	for i := range h.Rejections.All {
		out.Ended = append(out.Ended, uint32(h.Rejections.All[i]))
		out.Rejected = append(out.Rejected, uint32(h.Rejections.Rejected[i]))
	}
	for _, r := range h.Model.Routes {
		out.Routes = append(out.Routes, &wire.RouteState{
			Name:      r.Name,
			Working:   r.Working,
			Quantiles: r.Quantiles,
			Responses: uint32(r.Responses),
		})
	}
	for _, t := range h.Targets {
		w := &wire.TargetState{
			Key:      t.Key,
			Failing:  &t.FailureProbability,
			InFlight: uint32(t.InFlight),
		}
		if t.GrantAge >= 0 {
			age := wireAge(t.GrantAge)
			w.GrantAgeMs = &age
		}
		out.Targets = append(out.Targets, w)
	}
	for _, l := range h.Workspaces {
		out.Workspaces = append(out.Workspaces, &wire.WorkspaceState{
			Workspace: l.Workspace,
			Priority:  uint32(l.Priority),
			Lead:      l.Lead,
		})
	}
	return out
}

// wireAge returns an age in milliseconds, the greatest number for longer ones.
func wireAge(age time.Duration) uint32 {
	return uint32(min(max(age.Milliseconds(), 0), math.MaxUint32))
}

// handoverOfWire returns the state in a message. The scheduler drops values that are not valid.
func handoverOfWire(w *wire.PartitionState) dispatch.Handover {
	h := dispatch.Handover{
		Model: health.ModelState{
			Failures: health.RateState{
				Events:  w.GetFailures(),
				Seconds: w.GetFailureSeconds(),
			},
			Recoveries: health.RateState{
				Events:  w.GetRecoveries(),
				Seconds: w.GetRecoverySeconds(),
			},
			Failing: w.GetFailing(),
			Working: w.GetWorking(),
		},
		Rejections: dispatch.RejectionCounts{
			All:      periodsOfWire(w.GetEnded()),
			Rejected: periodsOfWire(w.GetRejected()),
			Age:      time.Duration(w.GetPeriodAgeMs()) * time.Millisecond,
		},
	}
	for _, r := range w.GetRoutes() {
		h.Model.Routes = append(h.Model.Routes, health.RouteState{
			Name:      r.GetName(),
			Working:   r.GetWorking(),
			Quantiles: r.GetQuantiles(),
			Responses: int(r.GetResponses()),
		})
	}
	for _, t := range w.GetTargets() {
		in := dispatch.TargetHandover{
			Key:                t.GetKey(),
			FailureProbability: -1,
			GrantAge:           -1,
			InFlight:           int(t.GetInFlight()),
		}
		if t.Failing != nil {
			in.FailureProbability = t.GetFailing()
		}
		if t.GrantAgeMs != nil {
			in.GrantAge = time.Duration(t.GetGrantAgeMs()) * time.Millisecond
		}
		h.Targets = append(h.Targets, in)
	}
	for _, l := range w.GetWorkspaces() {
		h.Workspaces = append(h.Workspaces, dispatch.WorkspaceLead{
			Workspace: l.GetWorkspace(),
			Priority:  int(l.GetPriority()),
			Lead:      l.GetLead(),
		})
	}
	return h
}

// periodsOfWire returns the counts of two periods, 0 for missing ones.
func periodsOfWire(in []uint32) (out [2]int) {
	for i := range min(len(in), len(out)) {
		out[i] = int(in[i])
	}
	return out
}
