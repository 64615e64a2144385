// SPDX-License-Identifier: Apache-2.0

package dispatch

import "time"

// Parameters of the spread of work over targets. The users' floor requires that 70% of the working
// targets get work within 2 s while more than a tenth of the requests fail. Which targets the users
// count as working is unknown here, and they may be few: nearly all must get work.
const (
	// spreadFailureShare is the share of failed requests at which spreading starts.
	spreadFailureShare = 0.085
	// spreadMinRequests is the number of ended requests below which the share is not used.
	spreadMinRequests = 20
	// spreadTime is the time within which a target should get work, failingShare the share of the
	// targets that should while many requests fail.
	spreadTime   = 1500 * time.Millisecond
	failingShare = 0.95
	// repeatableShare is the share of targets that should get work from repeatable requests while
	// few fail. Such a request costs little where the target fails, and its result keeps the others
	// away.
	repeatableShare = 0.9
	// trialShare and trialTime are the share and the time for requests that cannot be repeated,
	// whose failures cost more.
	trialShare = 0.85
	trialTime  = 5 * time.Second
	// spreadWithin is the time within which all targets that lack work should get some, so that they
	// have it before 2 s are over. spreadInterval is the greatest time between two requests granted
	// for this reason.
	spreadWithin   = 200 * time.Millisecond
	spreadInterval = 100 * time.Millisecond
	// maxSpreadCrossCost is the greatest cost of bytes between data halls, that of a few KiB, for
	// which a request is used to spread work while few fail.
	maxSpreadCrossCost = 0.1
	// outcomePeriod is the length of each of the two periods over which outcomes are counted.
	outcomePeriod = time.Second
)

// outcomes counts request outcomes over the last one to two seconds.
type outcomes struct {
	all     [2]int
	failed  [2]int
	rotated time.Time
	// lastSpread is when a request last went to a starved or new target.
	lastSpread time.Time
}

func (o *outcomes) advance(now time.Time) {
	if past := now.Sub(o.rotated); past >= outcomePeriod {
		o.all[1], o.failed[1] = o.all[0], o.failed[0]
		if past >= 2*outcomePeriod {
			o.all[1], o.failed[1] = 0, 0
		}
		o.all[0], o.failed[0] = 0, 0
		o.rotated = now
	}
}

// record counts a request that was served or not: refused, failed at its final attempt, or abandoned
// by its caller.
func (o *outcomes) record(now time.Time, served bool) {
	o.advance(now)
	o.all[0]++
	if !served {
		o.failed[0]++
	}
}

// maxRefused bounds the refusals that one grant request reports.
const maxRefused = 1000

// recordRefused counts requests that were refused before a target was requested, for example because
// of workspace limits. Their callers are not served either, so they count like failures.
func (o *outcomes) recordRefused(now time.Time, n int) {
	o.advance(now)
	o.all[0] += n
	o.failed[0] += n
}

// failing reports whether so many requests fail that work must be spread.
func (o *outcomes) failing(now time.Time) bool {
	o.advance(now)
	all, bad := o.all[0]+o.all[1], o.failed[0]+o.failed[1]
	return all >= spreadMinRequests && float64(bad) >= spreadFailureShare*float64(all)
}

// spread defines how far work is spread: the share of the targets that should have had work within a
// time. fewFailures is set while few requests fail.
type spread struct {
	share       float64
	within      time.Duration
	fewFailures bool
}

// maxIdle returns the longest time that a target should be without work. One that has answered a
// trial request gets the next one soon.
func (s spread) maxIdle(t *target) time.Duration {
	if t.health.Answering() {
		return min(s.within, spreadTime)
	}
	return s.within
}

// spreadFor returns how far a request may spread work.
func (d *Scheduler) spreadFor(now time.Time, a *Request) spread {
	switch {
	case d.outcomes.failing(now):
		return spread{
			share:  failingShare,
			within: spreadTime,
		}
	case a.Repeatable:
		return spread{
			share:       repeatableShare,
			within:      spreadTime,
			fewFailures: true,
		}
	default:
		return spread{
			share:       trialShare,
			within:      trialTime,
			fewFailures: true,
		}
	}
}

// starved returns the target least likely to fail among those without recent work, or nil if these
// are few. Estimates may be wrong, and leaving out working targets would overload the rest.
func (d *Scheduler) starved(now time.Time, a *Request) *target {
	if a.Retry {
		return nil
	}
	if d.sparse(now) {
		return d.nextNewTarget(now, a)
	}
	s := d.spreadFor(now, a)
	var best *target
	out, all := 0, 0
	for _, t := range d.order {
		if t.drains(now) || d.slots(now, t) == 0 {
			continue
		}
		all++
		if now.Sub(t.lastGranted) < s.maxIdle(t) {
			continue
		}
		out++
		if s.fewFailures && t.DataHall != a.DataHall && crossHallCost*float64(a.Kilobytes) > maxSpreadCrossCost {
			continue
		}
		if t.open(now, a) && len(t.flights) < d.slots(now, t) && (best == nil || t.failureProbability(now) < best.failureProbability(now)) {
			best = t
		}
	}
	if float64(out) <= (1-s.share)*float64(all) || now.Sub(d.outcomes.lastSpread) < min(spreadInterval, spreadWithin/time.Duration(out)) {
		return nil
	}
	d.outcomes.lastSpread = now
	return best
}
