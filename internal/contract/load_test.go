// SPDX-License-Identifier: Apache-2.0

package contract_test

import (
	"errors"
	"fmt"
	"net/http"
	"testing"

	"ploverjunction.example/ploverjunction/internal/contract"
	"ploverjunction.example/ploverjunction/internal/signal"
)

func ExampleLoad() {
	load := contract.Load("Plover-Load")
	fmt.Println(load(http.Header{
		"Plover-Load": {"3,0,8"},
	}))
	// Output: {3 0 8} <nil>
}

// Guards against a load that is read from a header which doesn't hold exactly three counts.
func TestLoad(t *testing.T) {
	tests := []struct {
		name       string
		lines      []string
		want       signal.Load
		unreadable bool
	}{
		{
			name: "none",
		},
		{
			name:  "three numbers",
			lines: []string{"3,0,8"},
			want: signal.Load{
				Running: 3,
				Slots:   8,
			},
		},
		{
			name:  "spaces",
			lines: []string{" 3, 2 ,\t8 "},
			want: signal.Load{
				Running: 3,
				Waiting: 2,
				Slots:   8,
			},
		},
		{
			name:  "the greatest",
			lines: []string{"10000,10000,10000"},
			want: signal.Load{
				Running: signal.MaxLoad,
				Waiting: signal.MaxLoad,
				Slots:   signal.MaxLoad,
			},
		},
		{
			name:       "over the bound",
			lines:      []string{"10001,0,8"},
			unreadable: true,
		},
		{
			name:       "over the range of integers",
			lines:      []string{"3,99999999999999999999,8"},
			unreadable: true,
		},
		{
			name:       "no slots",
			lines:      []string{"0,0,0"},
			unreadable: true,
		},
		{
			name:       "empty",
			lines:      []string{""},
			unreadable: true,
		},
		{
			name:       "two numbers",
			lines:      []string{"3,0"},
			unreadable: true,
		},
		{
			name:       "four numbers",
			lines:      []string{"3,0,8,1"},
			unreadable: true,
		},
		{
			name:       "a comma too many",
			lines:      []string{"3,0,8,"},
			unreadable: true,
		},
		{
			name:       "an empty number",
			lines:      []string{"3,,8"},
			unreadable: true,
		},
		{
			name:       "negative",
			lines:      []string{"3,-1,8"},
			unreadable: true,
		},
		{
			name:       "signed",
			lines:      []string{"+3,0,8"},
			unreadable: true,
		},
		{
			name:       "not whole",
			lines:      []string{"3.0,0,8"},
			unreadable: true,
		},
		{
			name:       "not numbers",
			lines:      []string{"a,b,c"},
			unreadable: true,
		},
		{
			name:       "two lines",
			lines:      []string{"3,0,8", "3,0,8"},
			unreadable: true,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			got, err := contract.Load("Plover-Load")(http.Header{
				"Plover-Load": tt.lines,
			})
			var bad *contract.LoadError
			if got != tt.want || errors.As(err, &bad) != tt.unreadable {
				t.Errorf("load %+v, error %v", got, err)
			}
		})
	}
}

// For any header, a load without an error is one that a target can have, and has no other spelling than
// its numbers; with an error it is zero.
func FuzzLoad(f *testing.F) {
	for _, seed := range []string{"", "3,0,8", "3,0,8,", "-1,0,8", "1e3,0,8", "99999,0,8", "0,0,0", "03,0,8", "3, 0, 8", "3;0;8", "\x00"} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, text string) {
		got, err := contract.Load("Plover-Load")(http.Header{
			"Plover-Load": {text},
		})
		if err != nil && got != (signal.Load{}) || err == nil && !got.Valid() {
			t.Fatalf("%q: load %+v, error %v", text, got, err)
		}
		if err != nil {
			return
		}
		again, err := contract.Load("Plover-Load")(http.Header{
			"Plover-Load": {fmt.Sprintf("%d,%d,%d", got.Running, got.Waiting, got.Slots)},
		})
		if err != nil || again != got {
			t.Errorf("%q: %+v, then %+v, error %v", text, got, again, err)
		}
	})
}
