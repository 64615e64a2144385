// SPDX-License-Identifier: Apache-2.0

package fleetconfig

import (
	"ploverjunction.example/ploverjunction/internal/order"
	"ploverjunction.example/ploverjunction/internal/wire"
)

// positioned is a message that carries a position.
type positioned interface {
	GetEra() uint64
	GetRevision() uint64
}

// PositionOf returns the position that a message carries.
func PositionOf(m positioned) order.Position { return order.At(m.GetEra(), m.GetRevision()) }

// WirePosition returns a position as messages carry it.
func WirePosition(p order.Position) *wire.Position {
	return &wire.Position{
		Era:      p.Era(),
		Revision: p.Revision(),
	}
}

// versioned is a message that carries a version.
type versioned interface {
	positioned
	GetStamp() *wire.Stamp
	GetWritten() *wire.Position
	GetGone() bool
}

// VersionOf returns the version that an Entry or a KeyRevision carries.
func VersionOf(m versioned) order.Version {
	position := PositionOf(m)
	written := position
	if w := m.GetWritten(); w != nil {
		written = PositionOf(w)
	}
	version := order.NewVersion(position, order.StampOf(m.GetStamp().GetIncarnation(), m.GetStamp().GetSequence()), written)
	if m.GetGone() {
		version = version.Removed()
	}
	return version
}

// SetVersion writes a version into an entry.
func SetVersion(e *wire.Entry, m order.Version) {
	e.Era, e.Revision = m.Position().Era(), m.Position().Revision()
	e.Stamp, e.Written, e.Gone = stampOf(m), writtenOf(m), m.IsRemoved()
}

// KeyRevision returns a key with a version.
func KeyRevision(key string, m order.Version) *wire.KeyRevision {
	return &wire.KeyRevision{
		Key:      key,
		Era:      m.Position().Era(),
		Revision: m.Position().Revision(),
		Stamp:    stampOf(m),
		Written:  writtenOf(m),
		Gone:     m.IsRemoved(),
	}
}

func stampOf(m order.Version) *wire.Stamp {
	if m.Stamp() == (order.Stamp{}) {
		return nil
	}
	return &wire.Stamp{
		Incarnation: m.Stamp().Incarnation(),
		Sequence:    m.Stamp().Sequence(),
	}
}

func writtenOf(m order.Version) *wire.Position {
	if m.WrittenAt() == m.Position() {
		return nil
	}
	return WirePosition(m.WrittenAt())
}

// Removed reports whether a key has no value.
func Removed(e *wire.Entry) bool { return e.GetDeleted() || e.GetGone() }

// Written returns the entry of a value with its writer's stamp and its position in the source.
func Written(key string, value []byte, position order.Position, stamp order.Stamp) *wire.Entry {
	e := &wire.Entry{
		Key:   key,
		Value: value,
	}
	SetVersion(e, order.NewVersion(position, stamp, position))
	return e
}

// Removal returns the entry that removes the value with a stamp at a position. A restored source
// may hold that value again, so only a later value of the writer undoes the removal. Without a
// stamp any value at a later position does.
func Removal(key string, position order.Position, stamp order.Stamp) *wire.Entry {
	e := &wire.Entry{
		Key:     key,
		Deleted: true,
	}
	version := order.NewVersion(position, stamp, position)
	if stamp != (order.Stamp{}) {
		version = version.Removed()
	}
	SetVersion(e, version)
	return e
}

// Join merges two entries of a key: the source's last position and the writer's last value. The
// result doesn't depend on the order in which entries are joined.
func Join(a, b *wire.Entry) *wire.Entry {
	ma, mb := VersionOf(a), VersionOf(b)
	last := a
	if ma.Position().Compare(mb.Position()) < 0 {
		last = b
	}
	value := a
	if ma.CompareValues(mb) < 0 {
		value = b
	}
	ml, mv := VersionOf(last), VersionOf(value)
	if ml.CompareValues(mv) == 0 {
		return last
	}
	out := &wire.Entry{
		Key:     a.GetKey(),
		Value:   value.GetValue(),
		Deleted: last.GetDeleted(),
	}
	SetVersion(out, mv.At(ml.Position()))
	return out
}
