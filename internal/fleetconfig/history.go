// SPDX-License-Identifier: Apache-2.0

package fleetconfig

import (
	"slices"

	"ploverjunction.example/ploverjunction/internal/order"
	"ploverjunction.example/ploverjunction/internal/wire"
)

// historyStalePerKey is how many places without effect a history keeps for each key, and at the least.
const (
	historyStalePerKey = 1
	historyMinStale    = 64
)

// history lists where the source told of keys, by position: what lies behind a position is found
// without a look at all keys. A key may stand at earlier places too, without effect.
type history struct {
	changes []change
}

type change struct {
	position order.Position
	key      string
}

// add notes that the source told of a key. Most places are later than all before them.
func (h *history) add(p order.Position, key string) {
	at := len(h.changes)
	for at > 0 && h.changes[at-1].position.Compare(p) > 0 {
		at--
	}
	h.changes = slices.Insert(h.changes, at, change{
		position: p,
		key:      key,
	})
}

// compact drops the places that have no effect once there are as many of them as keys.
func (h *history) compact(keys int, effective func(change) bool) {
	if len(h.changes) <= keys*(1+historyStalePerKey)+historyMinStale {
		return
	}
	h.changes = slices.DeleteFunc(h.changes, func(p change) bool { return !effective(p) })
}

// isLatest reports whether a place is the last one at which the source told of its key.
func (s *Store) isLatest(at change) bool {
	return s.records[at.key].newest.version.Position() == at.position
}

// After returns the newest entries of the keys of which the source told behind a position, in the
// order of positions, until they take most bytes. upTo is up to where nothing is left out; more is set
// where it isn't the last position.
func (s *Store) After(p order.Position, most int) (out []*wire.Entry, upTo order.Position, more bool) {
	changes := s.history.changes
	from, _ := slices.BinarySearchFunc(changes, p, func(at change, p order.Position) int {
		if at.position.Compare(p) <= 0 {
			return -1
		}
		return 1
	})
	size := 0
	for i := from; i < len(changes); i++ {
		if !s.isLatest(changes[i]) || i > 0 && changes[i-1] == changes[i] {
			continue
		}
		entries := s.Entries(changes[i].key)
		for _, e := range entries {
			size += len(e.GetKey()) + len(e.GetValue())
		}
		if size > most && len(out) > 0 && changes[i].position != upTo {
			return out, upTo, true
		}
		out = append(out, entries...)
		upTo = changes[i].position
	}
	return out, upTo, false
}
