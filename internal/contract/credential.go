// SPDX-License-Identifier: Apache-2.0

package contract

import (
	"net/http"
	"strings"
)

// HeaderAuthorization is the header with the key of the caller (RFC 9110, section 11.6.2).
const HeaderAuthorization = "Authorization"

// Credential returns a function that reads the key from Authorization headers of a
// scheme, whose name is not case-sensitive. A header with more than one key, or two
// headers, count as a malformed key, since it is ambiguous which one applies.
func Credential(scheme string) func(h http.Header) (key string, shown bool) {
	return func(h http.Header) (key string, shown bool) {
		lines := h[HeaderAuthorization]
		for _, line := range lines {
			words := strings.Fields(line)
			if len(words) == 0 || !strings.EqualFold(words[0], scheme) {
				continue
			}
			shown = true
			if len(words) == 2 && len(lines) == 1 {
				key = words[1]
			}
		}
		return key, shown
	}
}
