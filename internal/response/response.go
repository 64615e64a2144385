// SPDX-License-Identifier: Apache-2.0

// Package response reads what the other end of a connection answers, strictly by RFC 9110 and RFC 9112, before net/http
// parses it. net/http accepts more, such as names of fields with blanks, which another reader of the same bytes takes for
// other fields or another framing.
package response

import "fmt"

// Part names the part of an answer that cannot be read.
type Part string

// Parts of an answer.
const (
	// PartStatus is the status line.
	PartStatus Part = "status line"
	// PartName is the name of a field, PartValue its value, of the head or of the trailer.
	PartName  Part = "field name"
	PartValue Part = "field value"
	// PartFraming is what gives the length of the body.
	PartFraming Part = "framing"
	// PartChunk is the line before a chunk, or the end of one.
	PartChunk Part = "chunk"
)

// SyntaxError reports an answer that the protocol does not allow.
type SyntaxError struct {
	part Part
	// offset is that of the first wrong byte in bytes from the beginning of the answer.
	offset int64
}

// Error names the part and the offset of the first wrong byte.
func (e *SyntaxError) Error() string {
	return fmt.Sprintf("response: malformed %s at byte %d", e.part, e.offset)
}

// Part returns the part that cannot be read.
func (e *SyntaxError) Part() Part { return e.part }
