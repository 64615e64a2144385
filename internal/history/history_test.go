// SPDX-License-Identifier: Apache-2.0

package history_test

import (
	"testing"
	"time"

	"ploverjunction.example/ploverjunction/internal/history"
)

func TestCheckFindsEachViolation(t *testing.T) {
	at := time.Unix(1000, 0)
	once := []history.Run{{
		Key:      "k",
		Target:   "t",
		At:       at,
		Deadline: at,
	}}
	twice := append(once, once...)
	good := history.Call{
		Key:      "k",
		Outcome:  history.OutcomeDone,
		Complete: true,
		Correct:  true,
	}
	cases := []struct {
		name string
		call func(*history.Call)
		runs []history.Run
		want history.Guarantee
	}{
		{
			name: "good",
			call: func(*history.Call) {},
			runs: once,
			want: "",
		},
		{
			name: "repeatable, run twice",
			call: func(c *history.Call) { c.Repeatable = true },
			runs: twice,
			want: "",
		},
		{
			name: "not repeatable, run twice",
			call: func(*history.Call) {},
			runs: twice,
			want: history.GuaranteeAtMostOnce,
		},
		{
			name: "outcome not-run, but run",
			call: func(c *history.Call) { c.Outcome = history.OutcomeNotRun },
			runs: once,
			want: history.GuaranteeNotRun,
		},
		{
			name: "outcome unknown, run",
			call: func(c *history.Call) { c.Outcome = history.OutcomeUnknown },
			runs: once,
			want: "",
		},
		{
			name: "outcome done, never run",
			call: func(*history.Call) {},
			runs: nil,
			want: history.GuaranteeDone,
		},
		{
			name: "wrong bytes",
			call: func(c *history.Call) { c.Correct = false },
			runs: once,
			want: history.GuaranteeComplete,
		},
		{
			name: "incomplete answer",
			call: func(c *history.Call) { c.Correct, c.Complete = false, false },
			runs: once,
			want: "",
		},
		{
			name: "run after the deadline",
			call: func(*history.Call) {},
			runs: []history.Run{{
				Key:      "k",
				At:       at,
				Deadline: at.Add(-time.Second),
			}},
			want: history.GuaranteeDeadline,
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			call := good
			c.call(&call)
			got := history.Check(history.History{
				Calls: []history.Call{call},
				Runs:  c.runs,
			}, 10*time.Millisecond)
			if c.want == "" && len(got) > 0 {
				t.Fatalf("found %v", got)
			}
			if c.want != "" && (len(got) != 1 || got[0].Guarantee() != c.want || got[0].Key() != "k") {
				t.Fatalf("found %v, want %s", got, c.want)
			}
		})
	}
}
