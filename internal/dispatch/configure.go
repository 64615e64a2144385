// SPDX-License-Identifier: Apache-2.0

package dispatch

import (
	"slices"
	"time"

	"ploverjunction.example/ploverjunction/internal/health"
)

// Configure sets the targets in force. The state of targets that stay is kept.
func (d *Scheduler) Configure(now time.Time, list []Target) {
	old := d.targets
	first := len(old) == 0
	d.targets = make(map[string]*target, len(list))
	d.order = d.order[:0]
	d.limits, d.draining = 0, 0
	for _, c := range list {
		t := old[c.Key]
		if t == nil {
			t = d.newTarget(now)
			if !first {
				d.join(now, t, c)
			}
		}
		d.update(now, t, c)
		d.draining += drainingCount(c)
		if t.limit.Set {
			d.limits++
		}
		d.targets[c.Key] = t
		d.order = append(d.order, t)
	}
}

// update applies the published data of a target. A changed warm-up begins now.
func (d *Scheduler) update(now time.Time, t *target, published Target) {
	changed := published.Warmup != t.Warmup
	t.Target = published
	if changed {
		d.startWarmup(now, t)
	}
}

// drainingCount returns 1 for a target that is published as draining, else 0.
func drainingCount(t Target) int {
	if t.Draining {
		return 1
	}
	return 0
}

func (d *Scheduler) newTarget(now time.Time) *target {
	return &target{
		health:  health.NewTarget(now, d.model),
		flights: map[ID]flight{},
	}
}

// join records that a target joins the others.
func (d *Scheduler) join(now time.Time, t *target, published Target) {
	t.warmupUntil = now.Add(published.Warmup)
	d.newTargets = append(d.newTargets, published.Key)
}

// Update applies targets that are new or changed and removes those with the keys in gone. All others
// stay as they are.
func (d *Scheduler) Update(now time.Time, changed []Target, gone []string) {
	dropped := false
	for _, key := range gone {
		if t := d.targets[key]; t != nil {
			if t.limit.Set {
				d.limits--
			}
			d.draining -= drainingCount(t.Target)
			delete(d.targets, key)
			dropped = true
		}
	}
	if dropped {
		d.order = slices.DeleteFunc(d.order, func(t *target) bool { return d.targets[t.Key] != t })
	}
	for _, c := range changed {
		t := d.targets[c.Key]
		if t == nil {
			t = d.newTarget(now)
			d.join(now, t, c)
			d.targets[c.Key] = t
			d.order = append(d.order, t)
		}
		d.draining += drainingCount(c) - drainingCount(t.Target)
		d.update(now, t, c)
	}
	d.lastCoverage = coverage{}
	d.accepting = accepting{}
}
