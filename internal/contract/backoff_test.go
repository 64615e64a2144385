// SPDX-License-Identifier: Apache-2.0

package contract_test

import (
	"errors"
	"fmt"
	"net/http"
	"testing"
	"time"

	"ploverjunction.example/ploverjunction/internal/contract"
)

func ExampleBackoff() {
	h := http.Header{}
	h.Set("Retry-After", "2.5")
	fmt.Println(contract.Backoff(http.StatusServiceUnavailable, true, h))
	// Output: 2.5s <nil>
}

func TestBackoff(t *testing.T) {
	const sent = "Thu, 01 Jan 2026 10:00:00 GMT"
	tests := []struct {
		name       string
		status     int
		notRun     bool
		lines      []string
		date       string
		want       time.Duration
		unreadable bool
	}{
		{
			name:   "none",
			status: http.StatusServiceUnavailable,
		},
		{
			name:   "seconds",
			status: http.StatusServiceUnavailable,
			lines:  []string{"3"},
			want:   3 * time.Second,
		},
		{
			name:   "with a fraction and spaces",
			status: http.StatusServiceUnavailable,
			lines:  []string{" 0.25 "},
			want:   250 * time.Millisecond,
		},
		{
			name:   "zero",
			status: http.StatusServiceUnavailable,
			lines:  []string{"0"},
		},
		{
			name:       "negative",
			status:     http.StatusServiceUnavailable,
			lines:      []string{"-3"},
			unreadable: true,
		},
		{
			name:       "no number",
			status:     http.StatusServiceUnavailable,
			lines:      []string{"soon"},
			unreadable: true,
		},
		{
			name:       "empty",
			status:     http.StatusServiceUnavailable,
			lines:      []string{""},
			unreadable: true,
		},
		{
			name:       "not a number",
			status:     http.StatusServiceUnavailable,
			lines:      []string{"NaN"},
			unreadable: true,
		},
		{
			name:       "infinite",
			status:     http.StatusServiceUnavailable,
			lines:      []string{"+Inf"},
			unreadable: true,
		},
		{
			name:       "exponent",
			status:     http.StatusServiceUnavailable,
			lines:      []string{"1e9"},
			unreadable: true,
		},
		{
			name:       "two points",
			status:     http.StatusServiceUnavailable,
			lines:      []string{"1.2.3"},
			unreadable: true,
		},
		{
			name:   "huge",
			status: http.StatusServiceUnavailable,
			lines:  []string{"99999999999999999999999"},
			want:   24 * time.Hour,
		},
		{
			name:   "a date",
			status: http.StatusServiceUnavailable,
			lines:  []string{"Thu, 01 Jan 2026 10:00:04 GMT"},
			date:   sent,
			want:   4 * time.Second,
		},
		{
			name:   "a date in the past",
			status: http.StatusServiceUnavailable,
			lines:  []string{"Thu, 01 Jan 2026 09:00:04 GMT"},
			date:   sent,
		},
		{
			name:       "a date in an answer without one",
			status:     http.StatusServiceUnavailable,
			lines:      []string{"Thu, 01 Jan 2026 10:00:04 GMT"},
			unreadable: true,
		},
		{
			name:   "twice, the longest counts",
			status: http.StatusServiceUnavailable,
			lines:  []string{"2", "5"},
			want:   5 * time.Second,
		},
		{
			name:   "two in a line",
			status: http.StatusServiceUnavailable,
			lines:  []string{"5, 2"},
			want:   5 * time.Second,
		},
		{
			name:   "twice, one can't be parsed",
			status: http.StatusServiceUnavailable,
			lines:  []string{"-1", "2"},
			want:   2 * time.Second,
		},
		{
			name:   "429 for the caller",
			status: http.StatusTooManyRequests,
			lines:  []string{"3"},
		},
		{
			name:   "429 for this node",
			status: http.StatusTooManyRequests,
			notRun: true,
			lines:  []string{"3"},
			want:   3 * time.Second,
		},
		{
			name:   "another status",
			status: http.StatusInternalServerError,
			lines:  []string{"3"},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := http.Header{}
			h["Retry-After"] = tt.lines
			if tt.date != "" {
				h.Set("Date", tt.date)
			}
			got, err := contract.Backoff(tt.status, tt.notRun, h)
			var bad *contract.TimeError
			if got != tt.want || errors.As(err, &bad) != tt.unreadable {
				t.Errorf("backoff %v, error %v, want %v, unreadable %v", got, err, tt.want, tt.unreadable)
			}
		})
	}
}

// For any header, the backoff is between 0 and a day.
func FuzzBackoff(f *testing.F) {
	for _, seed := range []string{"", "3", "-3", "0.5", "1e400", "NaN", "999999999999999999999", "3,4", "Thu, 01 Jan 2026 10:00:04 GMT", ".", "1_0", "\x00"} {
		f.Add(seed, "", "Thu, 01 Jan 2026 10:00:00 GMT")
		f.Add("2", seed, "")
	}
	f.Fuzz(func(t *testing.T, first, second, date string) {
		h := http.Header{
			"Retry-After": {first, second},
			"Date":        {date},
		}
		got, err := contract.Backoff(http.StatusServiceUnavailable, true, h)
		if got < 0 || got > 24*time.Hour || got > 0 && err != nil {
			t.Errorf("%q, %q, %q: backoff %v, error %v", first, second, date, got, err)
		}
	})
}
