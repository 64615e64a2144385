// SPDX-License-Identifier: Apache-2.0

package contract

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
)

// maxLimit caps the limit of a target, in requests a second, so that no sum of limits overflows.
const maxLimit = 1e6

// RateError is the error for a rate in a header that can't be parsed.
type RateError struct {
	header string
	text   string
}

// Error returns the header and its text.
func (e *RateError) Error() string { return fmt.Sprintf("contract: %s: bad rate %q", e.header, e.text) }

// Limit returns a function that reads from a header the requests a second that a target accepts
// from the whole fleet. named reports whether the header is present. Of several values the
// least one counts; the error is a *RateError where none can be parsed.
func Limit(header string) func(h http.Header) (rate float64, named bool, err error) {
	return func(h http.Header) (float64, bool, error) {
		least, readable := float64(maxLimit), false
		var err error
		for _, line := range h[header] {
			for text := range strings.SplitSeq(line, ",") {
				text = strings.TrimSpace(text)
				rate, ok := parseDecimal(text)
				if !ok {
					err = &RateError{
						header: header,
						text:   text,
					}
					continue
				}
				least, readable = min(least, rate), true
			}
		}
		if readable {
			return least, true, nil
		}
		return 0, err != nil, err
	}
}

// parseDecimal parses digits with at most one point. ParseFloat alone would accept signs,
// exponents and names of numbers.
func parseDecimal(text string) (float64, bool) {
	if strings.Trim(text, "0123456789.") != "" {
		return 0, false
	}
	n, err := strconv.ParseFloat(text, 64)
	return n, err == nil
}
