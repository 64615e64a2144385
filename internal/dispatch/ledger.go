// SPDX-License-Identifier: Apache-2.0

package dispatch

import "time"

// AttemptCounts counts first attempts, and retries charged to the retry budget of a service, in one
// window.
type AttemptCounts struct {
	Firsts  int
	Retries int
}

func countsOf(firsts, retries float64) AttemptCounts {
	return AttemptCounts{
		Firsts:  int(firsts),
		Retries: int(retries),
	}
}

// Dispatcher identifies an incarnation of a dispatcher.
type Dispatcher struct {
	Address     string
	Incarnation uint64
}

// Ledger counts the attempts that each dispatcher of a service granted to one node, in the window of
// the retry budget. A node reports to each dispatcher what the others granted, so that a new
// dispatcher knows what was spent before it. It is not safe for concurrent use.
type Ledger struct {
	started time.Time
	budget  Budget
	windows map[Dispatcher]*window
	// newest maps an address to the newest incarnation that granted an attempt.
	newest map[string]uint64
}

// NewLedger returns an empty ledger.
func NewLedger(now time.Time, b Budget) *Ledger {
	return &Ledger{
		started: now,
		budget:  b,
		windows: map[Dispatcher]*window{},
		newest:  map[string]uint64{},
	}
}

// Record records an attempt that a dispatcher granted; retry is set for a retry.
func (l *Ledger) Record(now time.Time, dispatcher Dispatcher, retry bool) {
	l.newest[dispatcher.Address] = max(l.newest[dispatcher.Address], dispatcher.Incarnation)
	w := l.windows[dispatcher]
	if w == nil {
		w = &window{}
		l.windows[dispatcher] = w
	}
	w.advance(now, l.started, l.budget)
	if retry {
		w.addRetry(1)
	} else {
		w.addFirst(1)
	}
}

// RemoteGrants returns what dispatchers other than the newest one at the address granted: a process
// that was restarted does not know of the grants of the one before.
func (l *Ledger) RemoteGrants(now time.Time, address string) AttemptCounts {
	current := Dispatcher{
		Address:     address,
		Incarnation: l.newest[address],
	}
	var s AttemptCounts
	for dispatcher, w := range l.windows {
		w.advance(now, l.started, l.budget)
		firsts, retries := w.sums()
		if firsts == 0 && retries == 0 {
			delete(l.windows, dispatcher)
		} else if dispatcher != current {
			s.Firsts += int(firsts)
			s.Retries += int(retries)
		}
	}
	return s
}

// remoteReport is what a node reported of the grants of other dispatchers.
type remoteReport struct {
	AttemptCounts
	at time.Time
}

// remoteGrants holds the latest report of each node. A report counts until the node's next one or
// until the window has passed.
type remoteGrants map[string]remoteReport

func (g remoteGrants) record(now time.Time, node string, s AttemptCounts) {
	if s == (AttemptCounts{}) {
		delete(g, node)
		return
	}
	g[node] = remoteReport{
		AttemptCounts: s,
		at:            now,
	}
}

// sums returns the first attempts and the retries that other dispatchers granted in the window.
func (g remoteGrants) sums(now time.Time, b Budget) (firsts, retries float64) {
	for node, t := range g {
		if now.Sub(t.at) > b.Window {
			delete(g, node)
			continue
		}
		firsts += float64(t.Firsts)
		retries += float64(t.Retries)
	}
	return firsts, retries
}
