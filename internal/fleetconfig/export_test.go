// SPDX-License-Identifier: Apache-2.0

package fleetconfig

// HistoryLen returns the number of changes in the history.
func (s *Store) HistoryLen() int { return len(s.history.changes) }
