// SPDX-License-Identifier: Apache-2.0

package contract

import (
	"net/http"
	"strconv"
	"strings"
	"time"
)

// HeaderRetryAfter carries when to retry (RFC 9110, section 10.2.3).
const HeaderRetryAfter = "Retry-After"

// maxBackoff bounds the time in a header, so that no number overflows. Callers apply a lower
// bound of their own.
const maxBackoff = 24 * time.Hour

// Backoff returns for how long an answer requests that this node backs off from its target: a
// 503 with Retry-After, or a 429 where the target has not run the request. Any other 429 is
// meant for the caller. It is 0 for an answer without a backoff, with a *TimeError where the
// header can't be parsed. Of several values the longest one counts.
func Backoff(status int, notRun bool, h http.Header) (time.Duration, error) {
	if status != http.StatusServiceUnavailable && !(status == http.StatusTooManyRequests && notRun) {
		return 0, nil
	}
	var longest time.Duration
	var err error
	for _, text := range splitValues(h[HeaderRetryAfter]) {
		d, ok := parseRetryAfter(text, h.Get("Date"))
		if !ok {
			err = NewTimeError(HeaderRetryAfter, text)
		}
		longest = max(longest, d)
	}
	if longest > 0 {
		return longest, nil
	}
	return 0, err
}

// splitValues returns the values of header lines, each of which may have several.
func splitValues(lines []string) []string {
	var out []string
	for _, line := range lines {
		line = strings.TrimSpace(line)
		if _, err := http.ParseTime(line); err == nil {
			out = append(out, line)
			continue
		}
		for text := range strings.SplitSeq(line, ",") {
			out = append(out, strings.TrimSpace(text))
		}
	}
	return out
}

// parseRetryAfter parses one value: seconds, which may have a fraction, or a date. A date is
// relative to the answer's own Date, as clocks of machines differ by seconds.
func parseRetryAfter(text, sent string) (time.Duration, bool) {
	if until, err := http.ParseTime(text); err == nil {
		from, err := http.ParseTime(sent)
		if err != nil {
			return 0, false
		}
		return min(max(until.Sub(from), 0), maxBackoff), true
	}
	if strings.Trim(text, "0123456789.") != "" {
		// ParseFloat also accepts signs, exponents and names of numbers.
		return 0, false
	}
	seconds, err := strconv.ParseFloat(text, 64)
	if err != nil {
		return 0, false
	}
	return time.Duration(min(seconds, maxBackoff.Seconds()) * float64(time.Second)), true
}
