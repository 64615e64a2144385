// SPDX-License-Identifier: Apache-2.0

package settings

import "fmt"

// Kind says what is wrong with a setting.
type Kind string

// Kinds of faults in a settings file.
const (
	KindFile      Kind = "file cannot be read"
	KindSyntax    Kind = "syntax error"
	KindSection   Kind = "unknown section"
	KindKey       Kind = "unknown key"
	KindDuplicate Kind = "key given twice"
	KindValue     Kind = "bad value"
	KindMissing   Kind = "missing value"
)

// Error is one fault in a settings file.
type Error struct {
	kind    Kind
	file    string
	section string
	key     string
	detail  string
	cause   error
}

// Error names the file, the section, the key and the fault.
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
	return s
}

// Unwrap returns the error of the library beneath, or nil.
func (e *Error) Unwrap() error { return e.cause }

// Kind returns what is wrong.
func (e *Error) Kind() Kind { return e.kind }

// Section returns the section at fault; empty for a fault of the whole file.
func (e *Error) Section() string { return e.section }

// Key returns the key at fault; empty for a fault of a section or file.
func (e *Error) Key() string { return e.key }
