// SPDX-License-Identifier: Apache-2.0

package quarantine

import "time"

// RefuseFrom makes the ledger refuse requests from another number of crashes on.
func (l *Ledger) RefuseFrom(crashes int) {
	h := defaultHolds
	for n := range h {
		switch {
		case n < crashes:
			h[n] = 0
		case h[n] == 0:
			h[n] = time.Minute
		}
	}
	l.holds = &h
}
