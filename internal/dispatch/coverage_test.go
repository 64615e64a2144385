// SPDX-License-Identifier: Apache-2.0

package dispatch_test

import (
	"math"
	"testing"
	"time"

	"ploverjunction.example/ploverjunction/internal/dispatch"
)

// The probability that too many of some events occur, worked out by hand.
func TestExceeds(t *testing.T) {
	tests := []struct {
		name   string
		events []float64
		most   float64
		want   float64
	}{
		{
			name: "no events",
		},
		{
			name:   "as many as there may be",
			events: []float64{0.5, 0.5},
			most:   2,
		},
		{
			name:   "none may occur",
			events: []float64{0.5, 0.5},
			most:   0.9,
			want:   0.75,
		},
		{
			name:   "one may occur",
			events: []float64{0.5, 0.2},
			most:   1.3,
			want:   0.1,
		},
		{
			name:   "one of three may occur",
			events: []float64{0.5, 0.5, 0.5},
			most:   1,
			want:   0.5,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if got := dispatch.Exceeds(tt.events, tt.most); math.Abs(got-tt.want) > 1e-9 {
				t.Errorf("got %v, want %v", got, tt.want)
			}
		})
	}
}

// The status of a desk tells when targets that may work again get nothing: first
// they surely fail and count for nothing, later they are missed.
func TestStatusTellsOfMissedTargets(t *testing.T) {
	d, now := practised(pool(6)...)
	for _, key := range []string{"t0", "t1", "t2"} {
		for range 3 {
			d.Note(now, key, "", dispatch.ResultBad, time.Millisecond)
		}
	}
	short := func(at time.Time) float64 {
		for _, key := range []string{"t3", "t4", "t5"} {
			d.Note(at, key, "", dispatch.ResultGood, usual)
		}
		return d.Status(at).Short
	}
	if p := short(now.Add(2 * time.Second)); p > 0.01 {
		t.Errorf("after 2 s: %.3f", p)
	}
	if p := short(now.Add(20 * time.Second)); p < 0.2 {
		t.Errorf("after 20 s: %.3f", p)
	}
}
