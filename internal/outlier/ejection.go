// SPDX-License-Identifier: Apache-2.0

package outlier

import "time"

// Times of ejections.
const (
	// FirstHold is how long a target is out after its first ejection.
	FirstHold = 5 * time.Second
	// MaxHold bounds the doubling after relapses.
	MaxHold = 2 * time.Minute
	// relapseExpiry is after how many holds without a relapse one relapse is forgotten.
	relapseExpiry = 4
)

// ejection is the ejection of one target; it lasts twice as long after each relapse.
type ejection struct {
	relapses int
	until    time.Time
	duration time.Duration
}

// start ejects at now.
func (h *ejection) start(now time.Time) {
	h.expireRelapses(now)
	h.duration = min(FirstHold<<min(h.relapses, 16), MaxHold)
	h.until = now.Add(h.duration)
	h.relapses++
}

// expireRelapses forgets relapses that lie far back.
func (h *ejection) expireRelapses(now time.Time) {
	for h.relapses > 0 && now.Sub(h.until) > relapseExpiry*h.duration {
		h.relapses--
		h.duration /= 2
		h.until = h.until.Add(relapseExpiry * h.duration)
	}
}

func (h *ejection) active(now time.Time) bool { return now.Before(h.until) }
