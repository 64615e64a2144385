// SPDX-License-Identifier: Apache-2.0

// Command standin2 plays the scripted cases of the second review: it starts a small deployment
// of real ploverd processes on loopback addresses, with a store, backends and clients of its own
// that follow the users' pages.
package main

import (
	"fmt"
	"os"
	"sort"
	"sync"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// scenario is one case. It returns whether the rule was broken.
type scenario struct {
	zones  []zone
	bounds map[string]string
	// paths gives each machine a path of its own to the store, which the case can cut.
	paths bool
	play  func(f *fleet, trouble bool) (bool, error)
}

var scenarios = map[string]scenario{
	"early":    earlyScenario,
	"alone":    aloneScenario,
	"rollback": rollbackScenario,
}

// recorder writes the lines of record.txt.
type recorder struct {
	mu      sync.Mutex
	file    *os.File
	started time.Time
}

func (r *recorder) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, args...))
}

func main() {
	os.Exit(run())
}

func run() int {
	if len(os.Args) != 3 {
		var names []string
		for name := range scenarios {
			names = append(names, name)
		}
		sort.Strings(names)
		fmt.Fprintln(os.Stderr, "usage: standin2 CASE DIR; CASE is one of", names)
		return exitNotRun
	}
	s, ok := scenarios[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "standin2: no such case")
		return exitNotRun
	}
	file, err := os.Create(os.Args[2] + "/record.txt")
	if err != nil {
		fmt.Fprintln(os.Stderr, "standin2:", err)
		return exitNotRun
	}
	defer func() { _ = file.Close() }()
	rec := &recorder{
		file:    file,
		started: time.Now(),
	}
	trouble := os.Getenv("TROUBLE") != "0"
	rec.line("case %s, trouble %v", os.Args[1], trouble)
	f, err := newFleet(rec, s)
	if f != nil {
		defer f.close()
	}
	if err != nil {
		rec.line("could not run: %v", err)
		fmt.Fprintln(os.Stderr, "standin2:", err)
		return exitNotRun
	}
	broken, err := s.play(f, trouble)
	switch {
	case err != nil:
		rec.line("could not run: %v", err)
		fmt.Fprintln(os.Stderr, "standin2:", err)
		return exitNotRun
	case broken:
		rec.line("verdict: the rule was broken")
		return exitBroken
	default:
		rec.line("verdict: the rule held")
		return exitHeld
	}
}
