// SPDX-License-Identifier: Apache-2.0

// Package excerpt shortens texts for messages. Errors of parsers quote what they can't read, which
// may be a whole value of megabytes.
package excerpt

import "strings"

// MaxBytes is the greatest length of an excerpt in bytes.
const MaxBytes = 600

const mark = "..."

// Of returns a text, cut to MaxBytes in valid UTF-8 if it is longer.
func Of(text string) string {
	if len(text) <= MaxBytes {
		return text
	}
	return strings.ToValidUTF8(text[:MaxBytes-len(mark)], "") + mark
}
