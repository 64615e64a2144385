// SPDX-License-Identifier: Apache-2.0

package fleetconfig

// HistoryLen returns how many places the history has.
func (s *Store) HistoryLen() int { return len(s.history.changes) }
