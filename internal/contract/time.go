// SPDX-License-Identifier: Apache-2.0

package contract

import (
	"fmt"
	"math"
	"net/http"
	"strconv"
	"time"
)

// TimeError is the error for a time in a header that can't be parsed.
type TimeError struct {
	header string
	text   string
}

// NewTimeError returns the error for a header with the given text.
func NewTimeError(header, text string) *TimeError {
	return &TimeError{
		header: header,
		text:   text,
	}
}

// Error returns the header and its text.
func (e *TimeError) Error() string { return fmt.Sprintf("contract: %s: bad time %q", e.header, e.text) }

func callerWait(h http.Header) (time.Duration, error) {
	text := h.Get(HeaderTimeout)
	if text == "" {
		return 0, nil
	}
	d, err := time.ParseDuration(text)
	if err != nil || d <= 0 {
		return 0, NewTimeError(HeaderTimeout, text)
	}
	return d, nil
}

func setDeadline(h http.Header, deadline, _ time.Time) {
	h.Set(HeaderDeadline, strconv.FormatInt(deadline.UnixMilli(), 10))
}

// FormatSeconds formats a time for Retry-After in seconds (RFC 9110), rounded up.
func FormatSeconds(d time.Duration) string {
	return strconv.FormatInt(int64(math.Ceil(d.Seconds())), 10)
}
