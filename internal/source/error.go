// SPDX-License-Identifier: Apache-2.0

// Package source reads published values: from the platform over HTTP, or from a
// directory of files for a small site.
package source

import (
	"fmt"

	"ploverjunction.example/ploverjunction/internal/excerpt"
)

// Kind is the kind of failure when a source was read.
type Kind string

// Kinds of failures.
const (
	KindDirectory Kind = "directory cannot be read"
	KindFile      Kind = "file cannot be read"
	KindConnect   Kind = "platform does not answer"
	KindStatus    Kind = "platform refuses"
	KindAnswer    Kind = "platform's answer cannot be read"
	KindValue     Kind = "value in the platform's answer cannot be read"
)

// Error is a failure of a source.
type Error struct {
	kind     Kind
	location string
	cause    error
	code     int
}

// Error returns the location, the failure and its cause, shortened: the cause may quote a whole value.
func (e *Error) Error() string {
	s := fmt.Sprintf("source: %s: %s", e.location, e.kind)
	if e.code != 0 {
		s += fmt.Sprintf(": status %d", e.code)
	}
	if e.cause != nil {
		s += ": " + e.cause.Error()
	}
	return excerpt.Of(s)
}

// Unwrap returns the cause, or nil.
func (e *Error) Unwrap() error { return e.cause }

// Kind returns the kind of failure.
func (e *Error) Kind() Kind { return e.kind }
