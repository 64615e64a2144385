// SPDX-License-Identifier: Apache-2.0

package response

import "net/http"

// Check checks the head of an answer that was parsed elsewhere. It returns a *SyntaxError, whose offset is 0, for a status
// or a field that the protocol does not allow.
func Check(status int, h http.Header) error {
	if !ValidStatus(status) || status < http.StatusOK {
		return &SyntaxError{
			part: PartStatus,
		}
	}
	for name, values := range h {
		if !token(name) {
			return &SyntaxError{
				part: PartName,
			}
		}
		for _, v := range values {
			if !text(v) {
				return &SyntaxError{
					part: PartValue,
				}
			}
		}
	}
	return nil
}

func token(s string) bool {
	for i := range len(s) {
		if !tokenByte(s[i]) {
			return false
		}
	}
	return s != ""
}

func text(s string) bool {
	for i := range len(s) {
		if !textByte(s[i]) {
			return false
		}
	}
	return true
}
