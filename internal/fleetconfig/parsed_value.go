// SPDX-License-Identifier: Apache-2.0

package fleetconfig

import (
	"ploverjunction.example/ploverjunction/internal/order"
	"ploverjunction.example/ploverjunction/internal/wire"
)

// parsedValue is one value of a key together with what it parsed to: nothing, a target that
// registers itself, or another document.
type parsedValue struct {
	entry        *wire.Entry
	version      order.Mark
	doc          *wire.Document
	registration *registration
	err          error
}

// after reports whether v replaces w: by their writer's order where both are values, else
// by the store's.
func (v *parsedValue) after(w *parsedValue) bool {
	if w == nil {
		return true
	}
	if Removed(v.entry) || Removed(w.entry) {
		return v.version.Position().Compare(w.version.Position()) > 0
	}
	return v.version.CompareValues(w.version) > 0
}

// sameValue reports whether the entry says the same as v of the key, at another position.
func (v *parsedValue) sameValue(e *wire.Entry) bool {
	return v.entry.GetDeleted() == e.GetDeleted() && v.version.CompareValues(MarkOf(e)) == 0
}

// record is all that the store holds of one key. The newest version may be
// refused; the one in force is then older. fallback is the greatest version
// between the two: a process that starts anew learns from its peers, in any
// order, the one that they have in force and the one that they refuse.
type record struct {
	newest   *parsedValue
	inForce  *parsedValue
	fallback *parsedValue
	// refusal says why the newest version is not in force, nil if it is.
	refusal error
}

// setFallback notes a version that isn't the newest.
func (r *record) setFallback(v *parsedValue) bool {
	if v.err != nil || !r.newest.after(v) || !v.after(r.inForce) || !v.after(r.fallback) {
		return false
	}
	r.fallback = v
	return true
}

// candidates returns the versions that could replace the one in force, the best
// first.
func (r *record) candidates() []*parsedValue {
	out := []*parsedValue{r.newest}
	if r.fallback != nil && r.fallback.after(r.inForce) {
		out = append(out, r.fallback)
	}
	return out
}

func parseValue(e *wire.Entry) *parsedValue {
	v := &parsedValue{
		entry:   e,
		version: MarkOf(e),
	}
	if Removed(e) {
		return v
	}
	v.doc, v.err = Parse(e.GetValue())
	if v.err == nil && isRegistration(v.doc) {
		v.registration, v.err = newRegistration(v.doc.GetTargets()[0])
		v.doc = nil
	}
	return v
}

// isDocument reports whether the version must be valid together with the others.
func (v *parsedValue) isDocument() bool { return v != nil && v.doc != nil }

// hasDocument reports whether any version of the key that can be in force must be valid together with
// those of other keys.
func (r *record) hasDocument() bool {
	return r.newest.isDocument() || r.inForce.isDocument() || r.fallback.isDocument()
}
