// SPDX-License-Identifier: Apache-2.0

package admission_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"ploverjunction.example/ploverjunction/internal/admission"
)

var start = time.Unix(1_000_000, 0)

func ExampleBudget() {
	b := admission.NewBudget()
	retries := 0
	// During an outage every request needs a retry.
	for range 1000 {
		b.Deposit()
		if b.Withdraw() {
			retries++
		}
	}
	fmt.Println("retries:", retries)
	// Output: retries: 109
}

func TestBudgetProperty(t *testing.T) {
	p := gopter.NewProperties(nil)
	p.Property("retries stay within the share and the reserve", prop.ForAll(
		func(steps []bool) bool {
			b := admission.NewBudget()
			first, retries := 0, 0
			for _, retry := range steps {
				if !retry {
					b.Deposit()
					first++
				} else if b.Withdraw() {
					retries++
				}
			}
			return float64(retries) <= 10+admission.RetryShare*float64(first)+1e-6
		},
		gen.SliceOfN(300, gen.Bool()),
	))
	p.TestingRun(t)
}

// admitted returns the number of admitted requests out of requests sent evenly over
// some time.
func admitted(l *admission.Limiter, id string, rate, burst float64, nodes, requests int, over time.Duration) int {
	count := 0
	for i := range requests {
		now := start.Add(over * time.Duration(i) / time.Duration(requests))
		if l.Admit(now, id, rate, burst, nodes) == 0 {
			count++
		}
	}
	return count
}

func TestLimiter(t *testing.T) {
	cases := []struct {
		name        string
		rate, burst float64
		nodes       int
		least, most int
	}{
		{
			name:  "unlimited",
			rate:  0,
			burst: 0,
			nodes: 1,
			least: 10000,
			most:  10000,
		},
		{
			name:  "one node",
			rate:  10,
			burst: 10,
			nodes: 1,
			least: 105,
			most:  111,
		},
		{
			name:  "a tenth each on ten nodes",
			rate:  100,
			burst: 100,
			nodes: 10,
			least: 105,
			most:  111,
		},
		{
			name:  "burst",
			rate:  10,
			burst: 50,
			nodes: 1,
			least: 145,
			most:  151,
		},
		{
			name:  "less than one a second",
			rate:  0.5,
			burst: 1,
			nodes: 1,
			least: 5,
			most:  6,
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			n := admitted(admission.NewLimiter(), "w", c.rate, c.burst, c.nodes, 10000, 10*time.Second)
			if n < c.least || n > c.most {
				t.Fatalf("%d admitted, want %d to %d", n, c.least, c.most)
			}
		})
	}
}

func TestBusyWorkspaceDoesNotStarveOthers(t *testing.T) {
	l := admission.NewLimiter()
	admitted(l, "busy", 10, 10, 1, 100000, time.Second)
	if n := admitted(l, "quiet", 10, 10, 1, 10, time.Second); n != 10 {
		t.Fatalf("%d of 10 requests admitted next to a busy workspace", n)
	}
}

func TestLimiterReturnsTheWait(t *testing.T) {
	l := admission.NewLimiter()
	l.Admit(start, "w", 2, 1, 1)
	wait := l.Admit(start, "w", 2, 1, 1)
	if wait != 500*time.Millisecond {
		t.Fatalf("wait %v, want 500ms", wait)
	}
	if l.Admit(start.Add(wait), "w", 2, 1, 1) != 0 {
		t.Fatal("refused after the wait")
	}
}

func TestClockSteppingBackAddsNoTokens(t *testing.T) {
	l := admission.NewLimiter()
	l.Admit(start, "w", 1, 1, 1)
	for i := range 100 {
		if l.Admit(start.Add(-time.Duration(i)*time.Second), "w", 1, 1, 1) == 0 {
			t.Fatal("request admitted after the clock stepped back")
		}
	}
}

func TestTableOfWorkspacesIsBounded(t *testing.T) {
	l := admission.NewLimiter()
	for i := range 50000 {
		l.Admit(start, fmt.Sprint(i), 1, 1, 1)
	}
	if n := l.Active(); n > 8192 {
		t.Fatalf("%d workspaces in the table", n)
	}
}
