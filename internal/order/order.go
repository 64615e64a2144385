// SPDX-License-Identifier: Apache-2.0

// Package order compares published values. There are two separate orders: a Position is the
// progress of a store, a Stamp orders the values of one writer. A store that is restored from
// a backup reuses revisions, in a new era; the counts of writers continue.
package order

import (
	"cmp"
	"fmt"
)

// Position is a position in the history of a store. The zero value is before all others.
type Position struct {
	era      uint64
	revision uint64
}

// At returns the position of a revision in an era. Revisions of two eras are not related.
func At(era, revision uint64) Position {
	return Position{
		era:      era,
		revision: revision,
	}
}

// Era returns the store's era, which increases with each restore of the store; 0 is that of a
// store without eras.
func (p Position) Era() uint64 { return p.era }

// Revision returns the revision within the era.
func (p Position) Revision() uint64 { return p.revision }

// Compare returns -1, 0 or 1 as p is before, at or after q.
func (p Position) Compare(q Position) int {
	return cmp.Or(cmp.Compare(p.era, q.era), cmp.Compare(p.revision, q.revision))
}

// String returns the era and the revision, such as "2/1017".
func (p Position) String() string { return fmt.Sprintf("%d/%d", p.era, p.revision) }

// Max returns the later of two positions.
func Max(p, q Position) Position {
	if p.Compare(q) < 0 {
		return q
	}
	return p
}

// Stamp is a writer's own count of its values. The zero value is that of a writer without a
// count.
type Stamp struct {
	incarnation uint64
	sequence    uint64
}

// StampOf returns the stamp of a value: the incarnation of its writer, 0 if there is only one, and
// the writer's count within it.
func StampOf(incarnation, sequence uint64) Stamp {
	return Stamp{
		incarnation: incarnation,
		sequence:    sequence,
	}
}

// Incarnation returns the writer's incarnation.
func (s Stamp) Incarnation() uint64 { return s.incarnation }

// Sequence returns the count within the incarnation.
func (s Stamp) Sequence() uint64 { return s.sequence }

// Next returns the least stamp after s.
func (s Stamp) Next() Stamp { return StampOf(s.incarnation, s.sequence+1) }

// Compare returns -1, 0 or 1 as s is before, equal to or after t.
func (s Stamp) Compare(t Stamp) int {
	return cmp.Or(cmp.Compare(s.incarnation, t.incarnation), cmp.Compare(s.sequence, t.sequence))
}

// Version is the version of a key's value: the store's last position for the key, and the
// writer's last value of it.
type Version struct {
	// position is where the store last held a value of the key, or removed it.
	position Position
	stamp    Stamp
	// gone is set where that value was removed.
	gone bool
	// written is where the store held the writer's last value, or removed it.
	written Position
}

// NewVersion returns the version of a key whose last position in the store is position, and whose
// writer's last value has a stamp and was held at written.
func NewVersion(position Position, stamp Stamp, written Position) Version {
	return Version{
		position: position,
		stamp:    stamp,
		written:  written,
	}
}

// At returns v with p as the last position of the store for the key.
func (v Version) At(p Position) Version {
	v.position = p
	return v
}

// Removed returns the version of the removal of the value.
func (v Version) Removed() Version {
	v.gone = true
	return v
}

// IsRemoved reports whether the writer's last value was removed.
func (v Version) IsRemoved() bool { return v.gone }

// Position returns the store's last position for the key.
func (v Version) Position() Position { return v.position }

// Stamp returns the stamp of the writer's last value.
func (v Version) Stamp() Stamp { return v.stamp }

// WrittenAt returns where the store held the writer's last value.
func (v Version) WrittenAt() Position { return v.written }

// CompareValues returns -1, 0 or 1 as the writer wrote the value of v before, with or after
// that of w. A removal comes after the value that it removed. Values with equal stamps are ordered
// by where the store held them.
func (v Version) CompareValues(w Version) int {
	return cmp.Or(v.stamp.Compare(w.stamp), cmp.Compare(removalRank(v.gone), removalRank(w.gone)), v.written.Compare(w.written))
}

func removalRank(gone bool) int {
	if gone {
		return 1
	}
	return 0
}

// Covers reports whether v is at least as recent as w in both orders.
func (v Version) Covers(w Version) bool {
	return v.position.Compare(w.position) >= 0 && v.CompareValues(w) >= 0
}
