// SPDX-License-Identifier: Apache-2.0

package fleetconfig

import (
	"ploverjunction.example/ploverjunction/internal/order"
	"ploverjunction.example/ploverjunction/internal/wire"
)

// marked is a message that carries a mark.
type marked interface {
	GetEra() uint64
	GetRevision() uint64
	GetStamp() *wire.Stamp
	GetWritten() *wire.Position
}

// MarkOf returns the mark that an Entry or a KeyRevision carries.
func MarkOf(m marked) order.Mark {
	position := order.At(m.GetEra(), m.GetRevision())
	written := position
	if w := m.GetWritten(); w != nil {
		written = order.At(w.GetEra(), w.GetRevision())
	}
	return order.MarkOf(position, order.StampOf(m.GetStamp().GetIncarnation(), m.GetStamp().GetSequence()), written)
}

// SetMark writes a mark into an entry.
func SetMark(e *wire.Entry, m order.Mark) {
	e.Era, e.Revision = m.Position().Era(), m.Position().Revision()
	e.Stamp, e.Written = stampOf(m), writtenOf(m)
}

// KeyRevision returns a key with a mark.
func KeyRevision(key string, m order.Mark) *wire.KeyRevision {
	return &wire.KeyRevision{
		Key:      key,
		Era:      m.Position().Era(),
		Revision: m.Position().Revision(),
		Stamp:    stampOf(m),
		Written:  writtenOf(m),
	}
}

func stampOf(m order.Mark) *wire.Stamp {
	if m.Stamp() == (order.Stamp{}) {
		return nil
	}
	return &wire.Stamp{
		Incarnation: m.Stamp().Incarnation(),
		Sequence:    m.Stamp().Sequence(),
	}
}

func writtenOf(m order.Mark) *wire.Position {
	if m.Written() == m.Position() {
		return nil
	}
	return &wire.Position{
		Era:      m.Written().Era(),
		Revision: m.Written().Revision(),
	}
}

// join returns what two entries of a key tell together: the store's last word of the
// key, and the last value of its writer. A removal keeps the value that it removed: a store that
// is restored may bring an older one back. The result doesn't depend on the order in which
// entries are joined.
func join(a, b *wire.Entry) *wire.Entry {
	ma, mb := MarkOf(a), MarkOf(b)
	last := a
	if c := ma.Position().Compare(mb.Position()); c < 0 || c == 0 && b.GetDeleted() {
		last = b
	}
	value := a
	if ma.CompareValues(mb) < 0 {
		value = b
	}
	ml, mv := MarkOf(last), MarkOf(value)
	if ml.CompareValues(mv) == 0 {
		return last
	}
	out := &wire.Entry{
		Key:     a.GetKey(),
		Value:   value.GetValue(),
		Deleted: last.GetDeleted(),
	}
	SetMark(out, order.MarkOf(ml.Position(), mv.Stamp(), mv.Written()))
	return out
}
