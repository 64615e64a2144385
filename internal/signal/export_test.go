// SPDX-License-Identifier: Apache-2.0

package signal

import "time"

// Counts returns how many targets are draining and how many back off at now.
func (l *Ledger) Counts(now time.Time) (draining, backingOff int) {
	for _, r := range l.records.Range {
		s := r.(record).status(now)
		if s.Draining {
			draining++
		}
		if s.Backoff > 0 {
			backingOff++
		}
	}
	return draining, backingOff
}

// Loads returns how many loads are kept.
func (l *Ledger) Loads() int { return int(l.loadCount.Load()) }
