// SPDX-License-Identifier: Apache-2.0

package dispatch

import (
	"math"
	"time"

	"ploverjunction.example/ploverjunction/internal/signal"
)

const (
	// loadStale is the age at which a reported load has lost its effect. Targets answer within some
	// 0.2 to 1.2 s, so a busy one has mostly reported again by then. With one second, slots of targets whose
	// foreign work had ended stayed unused for longer under overload.
	loadStale = 750 * time.Millisecond
	// maxForeignShare bounds the work of others that counts, as a multiple of the target's slots. As the
	// work fades, one report leaves a target of s slots without a free one for (s+1)/2s of loadStale.
	maxForeignShare = 2
	// queueCost is the extra cost of a target that reported waiting requests: about that of a full
	// target, so that it decides only between targets of similar failure probability.
	queueCost = 0.04
)

// loadState is what a target last reported to have in hand, and what follows for the work that others
// sent to it. Its zero value is a target that reported nothing.
type loadState struct {
	reported signal.Load
	// at is the time of the report.
	at time.Time
	// foreign is the least work of others that the report of foreignAt proves, maxForeign the most that
	// the newest report allows.
	foreign    float64
	foreignAt  time.Time
	maxForeign float64
	// atLeast and atMost hold for a number of attempts in flight when there were last so many or more,
	// and so many or fewer.
	atLeast []time.Time
	atMost  []time.Time
}

// LoadReport is the load that a target reported in one response. The target made the response between
// Since and At.
type LoadReport struct {
	Target string
	signal.Load
	Since time.Time
	At    time.Time
	// Probe is set where the response is to a probe, which the target may count as running.
	Probe bool
}

// begun records that the attempts in flight have grown to n.
func (l *loadState) begun(now time.Time, n int) {
	for len(l.atMost) < n {
		l.atMost = append(l.atMost, time.Time{})
	}
	l.atMost[n-1] = later(l.atMost[n-1], now)
}

// ended records that the attempts in flight have fallen to n.
func (l *loadState) ended(now time.Time, n int) {
	for len(l.atLeast) <= n+1 {
		l.atLeast = append(l.atLeast, time.Time{})
	}
	l.atLeast[n+1] = later(l.atLeast[n+1], now)
}

// inFlight returns the least and the most attempts that have been in flight since a time, given the
// number now.
func (l *loadState) inFlight(since time.Time, n int) (least, most int) {
	least, most = n, n
	for least > 0 && least <= len(l.atMost) && !l.atMost[least-1].Before(since) {
		least--
	}
	for most+1 < len(l.atLeast) && !l.atLeast[most+1].Before(since) {
		most++
	}
	return least, most
}

// weight returns the weight of a report of the given time: it falls from 1 to 0 within loadStale.
func weight(now, at time.Time) float64 {
	if at.IsZero() {
		return 0
	}
	return min(max(1-float64(now.Sub(at))/float64(loadStale), 0), 1)
}

// fresh reports whether the newest report has an effect.
func (l *loadState) fresh(now time.Time) bool { return weight(now, l.at) > 0 }

// observe records a report, given the number of attempts in flight. The scheduler's own work at the
// target lay between the least and the most attempts that it had in flight while the target may have
// made the report: they are in flight from before the target receives them until after it has answered.
// What the report shows above the most is therefore the work of others, whichever messages were slow.
func (l *loadState) observe(r LoadReport, n int) {
	if !r.Valid() || !r.At.After(l.at) && !l.at.IsZero() {
		return
	}
	least, most := l.inFlight(r.Since, n)
	total := float64(r.Total())
	proved := total - float64(most)
	if r.Probe {
		proved--
	}
	l.maxForeign = max(total-float64(least), 0)
	if proved > 0 && proved >= l.faded(r.At) {
		l.foreign, l.foreignAt = proved, r.At
	}
	l.reported, l.at = r.Load, r.At
}

// faded returns the work of others without its bounds.
func (l *loadState) faded(now time.Time) float64 {
	return min(l.foreign*weight(now, l.foreignAt), l.maxForeign)
}

// foreignWork returns the slots that the work of others takes, given those of the target.
func (l *loadState) foreignWork(now time.Time, slots int) int {
	work := min(l.foreign, float64(maxForeignShare*slots)) * weight(now, l.foreignAt)
	work = min(work, l.maxForeign)
	if l.queued(now) {
		return int(math.Ceil(work))
	}
	return int(math.Round(work))
}

// queued reports whether requests wait in the target's own queue.
func (l *loadState) queued(now time.Time) bool { return l.reported.Waiting > 0 && l.fresh(now) }

// slots returns the slots of the target, published and reported, that the work of others leaves.
func (l *loadState) slots(now time.Time, published int) int {
	if !l.fresh(now) {
		return published
	}
	slots := min(published, l.reported.Slots)
	return max(slots-l.foreignWork(now, slots), 0)
}

// expectedSlots returns the slots with which an expected wait is calculated: at least one, as a report
// leaves a target without a slot for a part of a second only. A dispatcher that has just got its role sees
// the attempts of the one before it as the work of others, and must not refuse requests for them.
func (l *loadState) expectedSlots(now time.Time, published int) int {
	return max(l.slots(now, published), min(published, 1))
}

// loadCostOf returns the cost of the load of a target for the next attempt. A node that reaches no
// dispatcher can't tell the work of others from attempts that their dispatcher knows, and only avoids
// targets that report waiting requests.
func (d *Scheduler) loadCostOf(now time.Time, t *target) float64 {
	inHand := len(t.flights) + 1
	if !t.load.fresh(now) {
		return loadCost * float64(inHand) / float64(max(t.Slots, 1))
	}
	if !d.isolated {
		inHand += t.load.foreignWork(now, t.Slots)
	}
	c := loadCost * float64(inHand) / float64(max(t.Slots, 1))
	if t.load.queued(now) {
		c += queueCost * weight(now, t.load.at)
	}
	return c
}

// cheapestIsolated returns the target of the lowest cost for a node that reaches no dispatcher.
func (d *Scheduler) cheapestIsolated(now time.Time, a *Request) *target {
	d.isolated = true
	defer func() { d.isolated = false }()
	return d.cheapest(now, a, d.order)
}

// ObserveLoad records a load that a target reported, unless a later one is known or it is absurd. The
// report must be that of the target's incarnation.
func (d *Scheduler) ObserveLoad(r LoadReport) {
	if t := d.targets[r.Target]; t != nil {
		t.load.observe(r, len(t.flights))
	}
}

// ReportLoad records the load in the response to a granted attempt, before its end is recorded. took is
// the duration of the attempt as its node measured it: a message that was delayed carries an old report.
// Attempts that the scheduler doesn't know carry none.
func (d *Scheduler) ReportLoad(now time.Time, key string, id ID, load signal.Load, took time.Duration) {
	t := d.targets[key]
	if t == nil {
		return
	}
	f, ok := t.flights[id]
	if !ok {
		return
	}
	at := f.started.Add(took)
	if at.After(now) {
		at = now
	}
	d.ObserveLoad(LoadReport{
		Target: key,
		Load:   load,
		Since:  f.started,
		At:     at,
	})
}
