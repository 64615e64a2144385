// SPDX-License-Identifier: Apache-2.0

package history_test

import (
	"testing"
	"time"

	"ploverjunction.example/ploverjunction/internal/history"
)

func TestCheckFindsEachBrokenPromise(t *testing.T) {
	at := time.Unix(1000, 0)
	once := []history.Run{{Key: "k", Target: "t", At: at, Deadline: at}}
	twice := append(once, once...)
	good := history.Call{Key: "k", Outcome: history.OutcomeDone, Whole: true, Right: true}
	cases := []struct {
		name string
		call func(*history.Call)
		runs []history.Run
		want history.Promise
	}{
		{"good", func(*history.Call) {}, once, ""},
		{"repeatable twice", func(c *history.Call) { c.Repeatable = true }, twice, ""},
		{"twice", func(*history.Call) {}, twice, history.PromiseAtMostOnce},
		{"not run but run", func(c *history.Call) { c.Outcome = history.OutcomeNotRun }, once, history.PromiseNotRun},
		{"unknown and run", func(c *history.Call) { c.Outcome = history.OutcomeUnknown }, once, ""},
		{"done but never run", func(*history.Call) {}, nil, history.PromiseDone},
		{"other bytes", func(c *history.Call) { c.Right = false }, once, history.PromiseWhole},
		{"visibly broken", func(c *history.Call) { c.Right, c.Whole = false, false }, once, ""},
		{"late", func(*history.Call) {}, []history.Run{{Key: "k", At: at, Deadline: at.Add(-time.Second)}}, history.PromiseDeadline},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			call := good
			c.call(&call)
			got := history.Check(history.History{Calls: []history.Call{call}, Runs: c.runs}, 10*time.Millisecond)
			if c.want == "" && len(got) > 0 {
				t.Fatalf("found %v", got)
			}
			if c.want != "" && (len(got) != 1 || got[0].Promise() != c.want || got[0].Key() != "k") {
				t.Fatalf("found %v, want %s", got, c.want)
			}
		})
	}
}
