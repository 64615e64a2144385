// SPDX-License-Identifier: Apache-2.0

package fleetconfig

import (
	"ploverjunction.example/ploverjunction/internal/order"
	"ploverjunction.example/ploverjunction/internal/wire"
)

// version is one value of a key together with what it parsed to.
type version struct {
	entry *wire.Entry
	mark  order.Mark
	doc   *wire.Document
	err   error
}

// after reports whether v replaces w: by their writer's order where both are values, else
// by the store's.
func (v *version) after(w *version) bool {
	if w == nil {
		return true
	}
	if Removed(v.entry) || Removed(w.entry) {
		return v.mark.Position().Compare(w.mark.Position()) > 0
	}
	return v.mark.CompareValues(w.mark) > 0
}

// shows reports whether the entry says the same as v of the key, at another position.
func (v *version) shows(e *wire.Entry) bool {
	return v.entry.GetDeleted() == e.GetDeleted() && v.mark.CompareValues(MarkOf(e)) == 0
}

// record is all that the store holds of one key. The newest version may be
// refused; the one in force is then older. fallback is the greatest version
// between the two: a process that starts anew learns from its peers, in any
// order, the one that they have in force and the one that they refuse.
type record struct {
	newest   *version
	inForce  *version
	fallback *version
}

// keep notes a version that isn't the newest.
func (r *record) keep(v *version) bool {
	if v.err != nil || !r.newest.after(v) || !v.after(r.inForce) || !v.after(r.fallback) {
		return false
	}
	r.fallback = v
	return true
}

// candidates returns the versions that could replace the one in force, the best
// first.
func (r *record) candidates() []*version {
	out := []*version{r.newest}
	if r.fallback != nil && r.fallback.after(r.inForce) {
		out = append(out, r.fallback)
	}
	return out
}

func parseVersion(e *wire.Entry) *version {
	v := &version{
		entry: e,
		mark:  MarkOf(e),
	}
	if Removed(e) {
		v.doc = &wire.Document{}
		return v
	}
	v.doc, v.err = Parse(e.GetValue())
	return v
}
