// SPDX-License-Identifier: Apache-2.0

package contract

import (
	"net/http"
	"strconv"
	"strings"
	"time"
)

// HeaderRetryAfter tells when to come back (RFC 9110, section 10.2.3).
const HeaderRetryAfter = "Retry-After"

// maxBackoff bounds what a header can ask for, so that no number overflows. Whoever obeys
// it has a bound of its own.
const maxBackoff = 24 * time.Hour

// Backoff returns for how long a target wants no request from this node, by an answer: a 503
// with Retry-After, or a 429 where the target has not run the request. Any other 429 is
// meant for the caller. It is 0 where the answer asks for nothing; a *TimeError comes with
// it where what it asks for can't be read. Of several values the longest one counts.
func Backoff(status int, turnedAway bool, h http.Header) (time.Duration, error) {
	if status != http.StatusServiceUnavailable && !(status == http.StatusTooManyRequests && turnedAway) {
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

// splitValues returns the values of header lines, each of which may hold several.
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

// parseRetryAfter reads one value: seconds, with a fraction where the target writes one, or a date. A
// date is taken by the answer's own Date, for clocks of machines differ by seconds.
func parseRetryAfter(text, sent string) (time.Duration, bool) {
	if until, err := http.ParseTime(text); err == nil {
		from, err := http.ParseTime(sent)
		if err != nil {
			return 0, false
		}
		return min(max(until.Sub(from), 0), maxBackoff), true
	}
	if strings.Trim(text, "0123456789.") != "" {
		// ParseFloat takes signs, exponents and names of numbers too.
		return 0, false
	}
	seconds, err := strconv.ParseFloat(text, 64)
	if err != nil {
		return 0, false
	}
	return time.Duration(min(seconds, maxBackoff.Seconds()) * float64(time.Second)), true
}
