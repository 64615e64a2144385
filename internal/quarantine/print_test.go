// SPDX-License-Identifier: Apache-2.0

package quarantine_test

import (
	"fmt"
	"testing"

	"ploverjunction.example/ploverjunction/internal/quarantine"
)

// What a request asks for names it, not who asks for it unless that is given.
func ExampleNewPrint() {
	r := quarantine.Request{
		Method: "GET",
		Host:   "forms.example",
		URI:    "/drafts/17?page=2",
	}
	first := quarantine.NewPrint(r)
	r.Caller = "192.0.2.7"
	fmt.Println(first == quarantine.NewPrint(r))
	r.Caller = ""
	fmt.Println(first == quarantine.NewPrint(r))
	// Output:
	// false
	// true
}

// Each part counts, and none runs into the next one.
func TestPrintTellsRequestsApart(t *testing.T) {
	requests := []quarantine.Request{
		{
			Method: "GET",
			Host:   "a",
			URI:    "/b",
		},
		{
			Method: "GET",
			Host:   "a/",
			URI:    "b",
		},
		{
			Method: "POST",
			Host:   "a",
			URI:    "/b",
		},
		{
			Method: "GET",
			Host:   "a",
			URI:    "/b",
			Caller: "c",
		},
		{
			Method: "GET",
			Host:   "a",
			URI:    "/bc",
		},
		{
			Method: "GET",
			Host:   "a",
			URI:    "/b",
			Body:   []byte("c"),
			Length: 1,
		},
		{
			Method: "GET",
			Host:   "a",
			URI:    "/b",
			Body:   []byte("c"),
			Length: 2,
		},
	}
	seen := map[quarantine.Print]int{}
	for i, r := range requests {
		p := quarantine.NewPrint(r)
		if other, known := seen[p]; known {
			t.Errorf("requests %d and %d have the same Print", other, i)
		}
		seen[p] = i
	}
}
