// SPDX-License-Identifier: Apache-2.0

package fleetconfig

import (
	"slices"

	"ploverjunction.example/ploverjunction/internal/order"
	"ploverjunction.example/ploverjunction/internal/wire"
)

// A history is compacted when it has more stale changes than historyStalePerKey for each key plus
// historyMinStale.
const (
	historyStalePerKey = 1
	historyMinStale    = 64
)

// history lists the changes of keys by position, so that changes after a position are found without
// a scan of all keys. Earlier changes of a key are stale and ignored.
type history struct {
	changes []change
}

// change is a position at which the source reported a value or removal of a key.
type change struct {
	position order.Position
	key      string
}

// add inserts a change. Most changes are later than all before them.
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

// compact drops stale changes once there are too many of them.
func (h *history) compact(keys int, isLatest func(change) bool) {
	if len(h.changes) <= keys*(1+historyStalePerKey)+historyMinStale {
		return
	}
	h.changes = slices.DeleteFunc(h.changes, func(c change) bool { return !isLatest(c) })
}

// isLatest reports whether a change is the last one of its key.
func (s *Store) isLatest(c change) bool {
	return s.records[c.key].newest.version.Position() == c.position
}

// After returns the newest entries of the keys that changed after a position, in order of position, up
// to maxBytes unless the first position holds more. The result is complete up to upTo; more is set if
// later changes were left out.
func (s *Store) After(p order.Position, maxBytes int) (out []*wire.Entry, upTo order.Position, more bool) {
	changes := s.history.changes
	from, _ := slices.BinarySearchFunc(changes, p, func(c change, p order.Position) int {
		if c.position.Compare(p) <= 0 {
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
		if size > maxBytes && len(out) > 0 && changes[i].position != upTo {
			return out, upTo, true
		}
		out = append(out, entries...)
		upTo = changes[i].position
	}
	return out, upTo, false
}
