// SPDX-License-Identifier: Apache-2.0

package contract_test

import (
	"errors"
	"fmt"
	"net/http"
	"testing"

	"ploverjunction.example/ploverjunction/internal/contract"
)

func ExampleLimit() {
	limit := contract.Limit("Plover-Limit")
	fmt.Println(limit(http.Header{
		"Plover-Limit": {"1.6"},
	}))
	// Output: 1.6 true <nil>
}

func TestLimit(t *testing.T) {
	tests := []struct {
		name       string
		lines      []string
		want       float64
		named      bool
		unreadable bool
	}{
		{
			name: "none",
		},
		{
			name:  "a decimal number",
			lines: []string{" 2.6 "},
			want:  2.6,
			named: true,
		},
		{
			name:  "zero",
			lines: []string{"0"},
			named: true,
		},
		{
			name:  "small",
			lines: []string{"0.1"},
			want:  0.1,
			named: true,
		},
		{
			name:  "huge",
			lines: []string{"99999999999999999999999"},
			want:  1e6,
			named: true,
		},
		{
			name:       "exponent",
			lines:      []string{"1e9"},
			named:      true,
			unreadable: true,
		},
		{
			name:       "negative",
			lines:      []string{"-1"},
			named:      true,
			unreadable: true,
		},
		{
			name:       "not a number",
			lines:      []string{"NaN"},
			named:      true,
			unreadable: true,
		},
		{
			name:       "infinite",
			lines:      []string{"Inf"},
			named:      true,
			unreadable: true,
		},
		{
			name:       "empty",
			lines:      []string{""},
			named:      true,
			unreadable: true,
		},
		{
			name:       "two points",
			lines:      []string{"1.2.3"},
			named:      true,
			unreadable: true,
		},
		{
			name:  "two lines, the least counts",
			lines: []string{"5", "2"},
			want:  2,
			named: true,
		},
		{
			name:  "two values, one unreadable",
			lines: []string{"x, 3"},
			want:  3,
			named: true,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			got, named, err := contract.Limit("Plover-Limit")(http.Header{
				"Plover-Limit": tt.lines,
			})
			var bad *contract.RateError
			if got != tt.want || named != tt.named || errors.As(err, &bad) != tt.unreadable {
				t.Errorf("limit %v, named %v, error %v", got, named, err)
			}
		})
	}
}

// For any header, a limit is a number between 0 and a million.
func FuzzLimit(f *testing.F) {
	for _, seed := range []string{"", "1.6", "-3", "1e400", "NaN", "999999999999999999999", "3,4", ".", "1_0", "0x1p4", "\x00"} {
		f.Add(seed, "2")
	}
	f.Fuzz(func(t *testing.T, first, second string) {
		got, named, err := contract.Limit("Plover-Limit")(http.Header{
			"Plover-Limit": {first, second},
		})
		if !(got >= 0 && got <= 1e6) || !named || err != nil && got != 0 {
			t.Errorf("%q, %q: limit %v, named %v, error %v", first, second, got, named, err)
		}
	})
}
