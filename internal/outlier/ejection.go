// SPDX-License-Identifier: Apache-2.0

package outlier

import "time"

// Parameters of ejections.
const (
	// BaseEjectionTime is the duration of a target's first ejection.
	BaseEjectionTime = 5 * time.Second
	// MaxEjectionTime bounds the duration, which doubles with each relapse.
	MaxEjectionTime = 2 * time.Minute
	// relapseExpiry is the time, in ejection durations, after which a target without
	// a relapse has one relapse less.
	relapseExpiry = 4
)

// ejection is the ejection of one target. Its duration doubles with each relapse.
type ejection struct {
	relapses int
	until    time.Time
	duration time.Duration
}

// start begins an ejection at now.
func (e *ejection) start(now time.Time) {
	e.expireRelapses(now)
	e.duration = min(BaseEjectionTime<<min(e.relapses, 16), MaxEjectionTime)
	e.until = now.Add(e.duration)
	e.relapses++
}

// expireRelapses removes relapses that are older than their expiry.
func (e *ejection) expireRelapses(now time.Time) {
	for e.relapses > 0 && now.Sub(e.until) > relapseExpiry*e.duration {
		e.relapses--
		e.duration /= 2
		e.until = e.until.Add(relapseExpiry * e.duration)
	}
}

func (e *ejection) active(now time.Time) bool { return now.Before(e.until) }
