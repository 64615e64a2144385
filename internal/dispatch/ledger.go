// SPDX-License-Identifier: Apache-2.0

package dispatch

import "time"

// Spending counts what the retry budget of a service pays for: first attempts, and
// repeats taken from it, in one window.
type Spending struct {
	Firsts  int
	Repeats int
}

// Ledger counts what one node got from each dispatcher of a service in the window
// of the retry budget. A node tells each dispatcher what it got from the others:
// the one that takes up the role then knows what was spent before it. It isn't
// safe for concurrent use.
type Ledger struct {
	started time.Time
	budget  Budget
	windows map[string]*window
}

// NewLedger returns an empty ledger.
func NewLedger(now time.Time, b Budget) *Ledger {
	return &Ledger{
		started: now,
		budget:  b,
		windows: map[string]*window{},
	}
}

// Took notes an attempt that a dispatcher answered; again is set for a repeat.
func (l *Ledger) Took(now time.Time, dispatcher string, again bool) {
	w := l.windows[dispatcher]
	if w == nil {
		w = &window{}
		l.windows[dispatcher] = w
	}
	w.advance(now, l.started, l.budget)
	if again {
		w.addRetry(1)
	} else {
		w.addFirst(1)
	}
}

// Elsewhere returns what other dispatchers than the one named gave.
func (l *Ledger) Elsewhere(now time.Time, dispatcher string) Spending {
	var s Spending
	for name, w := range l.windows {
		w.advance(now, l.started, l.budget)
		firsts, repeats := w.sums()
		if firsts == 0 && repeats == 0 {
			delete(l.windows, name)
		} else if name != dispatcher {
			s.Firsts += int(firsts)
			s.Repeats += int(repeats)
		}
	}
	return s
}

// remoteReport is what a node said of its dealings with other dispatchers.
type remoteReport struct {
	Spending
	at time.Time
}

// remoteGrants is what all nodes said. Each word counts until the node's next one or
// until the window has passed.
type remoteGrants map[string]remoteReport

func (e remoteGrants) record(now time.Time, node string, s Spending) {
	if s == (Spending{}) {
		delete(e, node)
		return
	}
	e[node] = remoteReport{
		Spending: s,
		at:       now,
	}
}

// sums returns the first attempts and the repeats that others gave in the window.
func (e remoteGrants) sums(now time.Time, b Budget) (firsts, repeats float64) {
	for node, t := range e {
		if now.Sub(t.at) > b.Window {
			delete(e, node)
			continue
		}
		firsts += float64(t.Firsts)
		repeats += float64(t.Repeats)
	}
	return firsts, repeats
}
