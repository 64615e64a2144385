// SPDX-License-Identifier: Apache-2.0

package ratelimit_test

import (
	"fmt"
	"testing"
	"time"

	"ploverjunction.example/ploverjunction/internal/ratelimit"
)

func ExamplePacer() {
	p := ratelimit.NewPacer(start, 0)
	fmt.Println(p.Take(start, 2, 1))
	fmt.Println(p.Take(start.Add(500*time.Millisecond), 2, 1))
	fmt.Println(p.Take(start.Add(600*time.Millisecond), 2, 1))
	// Output:
	// 500ms
	// 0s
	// 400ms
}

// However long no token is taken, no more than the depth accumulates.
func TestPacerSavesNoMoreThanItsDepth(t *testing.T) {
	tests := []struct {
		name  string
		rate  float64
		depth float64
		want  int
	}{
		{
			name:  "less than a token",
			rate:  10,
			depth: 0.2,
			want:  1,
		},
		{
			name:  "three tokens",
			rate:  10,
			depth: 3,
			want:  3,
		},
		{
			name: "no rate",
			want: 0,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p := ratelimit.NewPacer(start, 0)
			got := 0
			for p.Take(start.Add(time.Hour), tt.rate, tt.depth) == 0 {
				got++
			}
			if got != tt.want {
				t.Errorf("%d at once, want %d", got, tt.want)
			}
		})
	}
}

// Unused tokens expire, so that one is available only for a fraction of the time.
func TestUnusedTokensLapse(t *testing.T) {
	const rate, keep, depth = 0.5, 0.2, 100
	p := ratelimit.NewPacer(start, 0)
	there := 0
	for i := range 1000 {
		now := start.Add(time.Duration(i) * 10 * time.Millisecond)
		p.Wait(now, rate, depth)
		p.Expire(keep)
		if p.Wait(now, rate, depth) == 0 {
			there++
		}
	}
	// Ten seconds are five tokens, each of which is there for the time of keep.
	if there < 150 || there > 210 {
		t.Errorf("a token was there in %d of 1000 steps", there)
	}
}
