// SPDX-License-Identifier: Apache-2.0

package entry_test

import (
	"testing"
	"time"

	"ploverjunction.example/ploverjunction/internal/entry"
)

// A request waits for the first configuration no longer than its caller can spare.
func TestStartWait(t *testing.T) {
	tests := []struct {
		name   string
		caller time.Duration
		want   time.Duration
	}{
		{
			name:   "a caller with little time is refused soon",
			caller: 1500 * time.Millisecond,
			want:   250 * time.Millisecond,
		},
		{
			name:   "a part of the caller's time",
			caller: 6 * time.Second,
			want:   time.Second,
		},
		{
			name:   "at most as long as a fleet takes to start",
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
