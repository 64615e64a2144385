// SPDX-License-Identifier: Apache-2.0

package dispatch

import (
	"time"

	"ploverjunction.example/ploverjunction/internal/health"
)

// Done records the end of a granted attempt and returns the grants that its slot makes possible.
func (d *Scheduler) Done(now time.Time, id ID, key string, r Result, took time.Duration) []Grant {
	delete(d.granted, id)
	d.queue.shares.settle(now, id)
	d.ended[id] = now
	t := d.targets[key]
	if t == nil {
		return nil
	}
	idle := len(t.flights) <= t.load.slots(now, t.Slots)
	f, ok := t.flights[id]
	if ok && (f.final || r == ResultGood) {
		d.outcomes.record(now, r == ResultGood)
	}
	delete(t.flights, id)
	if ok {
		d.recordResult(now, t, r)
		if r != ResultIgnored && r != ResultUnsent {
			d.results++
		}
		t.load.ended(now, len(t.flights))
		t.health.End(now, f.event, kindOf(r, f.route, took, idle))
		d.recordResponseTime(f.route, r, took)
	}
	t.markGone(now, r)
	if r == ResultGood || r == ResultBad {
		t.backoff = backoff{}
		d.accepting = accepting{}
	}
	if ok && r.reachedNobody() && f.paced {
		t.limit.pacer.Return()
	}
	if ok && r.reachedNobody() && t.lastGranted.Equal(f.started) {
		// Nothing reached the target: it still lacks work.
		t.lastGranted = f.previousGrant
		d.lastCoverage = coverage{}
	}
	if now.Before(d.nextServe) {
		return d.serveFreed(now, t)
	}
	return d.serve(now)
}

// MarkFinal marks an attempt, before its end is reported, as the final one of its request.
func (d *Scheduler) MarkFinal(key string, id ID) {
	if t := d.targets[key]; t != nil {
		if f, ok := t.flights[id]; ok {
			f.final = true
			t.flights[id] = f
		}
	}
}

// RecordRemote records the result of an attempt that another scheduler granted.
func (d *Scheduler) RecordRemote(now time.Time, key, route string, r Result, took time.Duration) {
	rt := d.model.Route(now, route)
	if t := d.targets[key]; t != nil {
		if !r.reachedNobody() {
			t.lastGranted = now
		}
		d.recordResult(now, t, r)
		t.health.Record(now, rt, kindOf(r, rt, took, true), took)
		t.markGone(now, r)
	}
	d.recordResponseTime(rt, r, took)
}

// recordResponseTime records the response time of a good answer.
func (d *Scheduler) recordResponseTime(route *health.Route, r Result, took time.Duration) {
	if r != ResultGood {
		return
	}
	if err := route.RecordLatency(took); err != nil {
		d.rejectedSamples++
	}
}
