// SPDX-License-Identifier: Apache-2.0

package fleetconfig

import (
	"ploverjunction.example/ploverjunction/internal/order"
	"ploverjunction.example/ploverjunction/internal/wire"
)

// parsedValue is one value of a key with what it parsed to: a registration, another document,
// or neither if the key was removed or the value has an error.
type parsedValue struct {
	entry        *wire.Entry
	version      order.Version
	doc          *wire.Document
	registration *registration
	err          error
}

// after reports whether v replaces w: by the writer's order if both are values, else by
// position.
func (v *parsedValue) after(w *parsedValue) bool {
	if w == nil {
		return true
	}
	if Removed(v.entry) || Removed(w.entry) {
		return v.version.Position().Compare(w.version.Position()) > 0
	}
	return v.version.CompareValues(w.version) > 0
}

// sameValue reports whether e holds the same value as v, perhaps at another position.
func (v *parsedValue) sameValue(e *wire.Entry) bool {
	return v.entry.GetDeleted() == e.GetDeleted() && v.version.CompareValues(VersionOf(e)) == 0
}

// record holds the values of one key. If the newest value is refused, the one in
// force is older. fallback is the latest value between the two: a process that
// starts receives from its peers, in any order, the value that they have in force
// and the one that they refuse.
type record struct {
	newest   *parsedValue
	inForce  *parsedValue
	fallback *parsedValue
	// refusal is the reason why the newest value is not in force, nil if it is.
	refusal error
}

// setFallback makes v the fallback if it is valid, older than the newest value and later than the
// value in force and the fallback, and reports whether it did.
func (r *record) setFallback(v *parsedValue) bool {
	if v.err != nil || !r.newest.after(v) || !v.after(r.inForce) || !v.after(r.fallback) {
		return false
	}
	r.fallback = v
	return true
}

// candidates returns the values that could replace the one in force, the latest
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
		version: VersionOf(e),
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

// isDocument reports whether the value is a document, which must be valid together with others.
func (v *parsedValue) isDocument() bool { return v != nil && v.doc != nil }

// hasDocument reports whether any value of the key that can be in force is a document.
func (r *record) hasDocument() bool {
	return r.newest.isDocument() || r.inForce.isDocument() || r.fallback.isDocument()
}
