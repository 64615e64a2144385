// SPDX-License-Identifier: Apache-2.0

package contract_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"ploverjunction.example/ploverjunction/internal/contract"
)

func ExampleCredential() {
	read := contract.Credential("Bearer")
	h := http.Header{}
	h.Set("Authorization", "bearer h5mgjy5rcp")
	fmt.Println(read(h))
	// Output: h5mgjy5rcp true
}

func TestCredential(t *testing.T) {
	cases := []struct {
		name  string
		lines []string
		key   string
		shown bool
	}{
		{
			name: "none",
		},
		{
			name:  "another scheme",
			lines: []string{"Basic Zm9vOmJhcg=="},
		},
		{
			name:  "spaces and tabs",
			lines: []string{"\tTOKEN \t abc "},
			key:   "abc",
			shown: true,
		},
		{
			name:  "no key",
			lines: []string{"Token"},
			shown: true,
		},
		{
			name:  "two keys in a header",
			lines: []string{"Token abc def"},
			shown: true,
		},
		{
			name:  "two headers",
			lines: []string{"Token abc", "Token def"},
			shown: true,
		},
		{
			name:  "two headers, one of another scheme",
			lines: []string{"Basic Zm9vOmJhcg==", "Token abc"},
			shown: true,
		},
		{
			name:  "scheme with the same prefix",
			lines: []string{"Tokens abc"},
		},
	}
	read := contract.Credential("Token")
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h := http.Header{
				"Authorization": c.lines,
			}
			if key, shown := read(h); key != c.key || shown != c.shown {
				t.Errorf("key %q, shown %v", key, shown)
			}
		})
	}
}

// For any header, the key is one word of it, or empty.
func FuzzCredential(f *testing.F) {
	for _, seed := range []string{"", "Token", "Token abc", "token\tabc", "Token abc def", "Token \x00", "Tokenabc", "Token\u00a0abc"} {
		f.Add(seed, "")
	}
	f.Add("Token abc", "Token def")
	f.Add("Basic Zm9v", "Token abc")
	read := contract.Credential("Token")
	f.Fuzz(func(t *testing.T, first, second string) {
		h := http.Header{
			"Authorization": {first},
		}
		if second != "" {
			h.Add("Authorization", second)
		}
		key, shown := read(h)
		if key == "" {
			return
		}
		if !shown || second != "" || !strings.HasSuffix(strings.TrimSpace(first), key) || len(strings.Fields(key)) != 1 {
			t.Errorf("%q, %q: key %q, shown %v", first, second, key, shown)
		}
	})
}
