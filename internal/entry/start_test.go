// SPDX-License-Identifier: Apache-2.0

package entry_test

import (
	"testing"
	"time"

	"ploverjunction.example/ploverjunction/internal/entry"
)

// A request waits for the first configuration for a share of its caller's timeout only.
func TestStartWait(t *testing.T) {
	tests := []struct {
		name   string
		caller time.Duration
		want   time.Duration
	}{
		{
			name:   "short timeout",
			caller: 1500 * time.Millisecond,
			want:   250 * time.Millisecond,
		},
		{
			name:   "a share of the caller's timeout",
			caller: 6 * time.Second,
			want:   time.Second,
		},
		{
			name:   "at most the maximum wait",
			caller: time.Minute,
			want:   1300 * time.Millisecond,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if got := entry.StartWait(tt.caller); got != tt.want {
				t.Errorf("got %v, want %v", got, tt.want)
			}
		})
	}
}
