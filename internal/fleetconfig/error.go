// SPDX-License-Identifier: Apache-2.0

package fleetconfig

import (
	"fmt"

	"ploverjunction.example/ploverjunction/internal/excerpt"
)

// Kind is the kind of fault in a published value.
type Kind string

// Kinds of faults in published configuration.
const (
	KindSize      Kind = "too large"
	KindSyntax    Kind = "syntax error"
	KindMissing   Kind = "missing field"
	KindRange     Kind = "out of range"
	KindDuplicate Kind = "given twice"
	KindReference Kind = "refers to nothing"
	KindPolicy    Kind = "bad policy"
	KindConflict  Kind = "two values with one revision"
)

// Error is one fault in published configuration.
type Error struct {
	kind   Kind
	object string
	detail string
	cause  error
}

// Error returns the object at fault, the fault and its cause, shortened: they may quote a whole value.
func (e *Error) Error() string {
	s := fmt.Sprintf("fleetconfig: %s: %s", e.object, e.kind)
	if e.detail != "" {
		s += ": " + e.detail
	}
	if e.cause != nil {
		s += ": " + e.cause.Error()
	}
	return excerpt.Of(s)
}

// Unwrap returns the cause, such as a *policy.Error, or nil.
func (e *Error) Unwrap() error { return e.cause }

// Kind returns the kind of fault.
func (e *Error) Kind() Kind { return e.kind }

// Object returns the object at fault, such as "route quotes".
func (e *Error) Object() string { return e.object }

func fault(kind Kind, detail, format string, args ...any) *Error {
	return &Error{
		kind:   kind,
		object: fmt.Sprintf(format, args...),
		detail: detail,
	}
}
