// SPDX-License-Identifier: Apache-2.0

package settings

import (
	"fmt"

	"ploverjunction.example/ploverjunction/internal/excerpt"
)

// Kind is the kind of a fault in a settings file.
type Kind string

// Kinds of faults.
const (
	KindFile      Kind = "file cannot be read"
	KindSyntax    Kind = "syntax error"
	KindSection   Kind = "unknown section"
	KindKey       Kind = "unknown key"
	KindDuplicate Kind = "key given twice"
	KindValue     Kind = "bad value"
	KindMissing   Kind = "missing value"
)

// Error describes one fault in a settings file.
type Error struct {
	kind    Kind
	file    string
	section string
	key     string
	detail  string
	cause   error
}

// Error names the file, the section, the key and the fault, shortened: it may quote a whole value.
func (e *Error) Error() string {
	s := fmt.Sprintf("settings: %s", e.file)
	if e.section != "" {
		s += fmt.Sprintf(": [%s]", e.section)
	}
	if e.key != "" {
		s += " " + e.key
	}
	s += ": " + string(e.kind)
	if e.detail != "" {
		s += ": " + e.detail
	}
	if e.cause != nil {
		s += ": " + e.cause.Error()
	}
	return excerpt.Of(s)
}

// Unwrap returns the underlying error, or nil.
func (e *Error) Unwrap() error { return e.cause }

// Kind returns the kind of the fault.
func (e *Error) Kind() Kind { return e.kind }

// Section returns the section with the fault, "" for a fault of the whole file.
func (e *Error) Section() string { return e.section }

// Key returns the key with the fault, "" for a fault of a section or file.
func (e *Error) Key() string { return e.key }
