// SPDX-License-Identifier: Apache-2.0

package signal

import "time"

// Incarnation identifies one start of a target by the configuration of this node.
type Incarnation struct {
	Service string
	// Key names the incarnation in the configuration; Name is the published ID, or the address
	// where there is none, which all incarnations of the target share.
	Key  string
	Name string
	// Named is set where Name is an ID: the next incarnation then has another key.
	Named bool
	// Born is the start of the incarnation by the target's clock, the zero time where it isn't
	// published.
	Born time.Time
}

// targetKey is the key that all incarnations of a target share.
type targetKey struct {
	service string
	name    string
}

func (i Incarnation) targetKey() targetKey {
	return targetKey{
		service: i.Service,
		name:    i.Name,
	}
}

// Limit is a bound on the requests that a target accepts from the whole fleet. Its zero value
// is no limit.
type Limit struct {
	// Rate is in requests a second; 0 accepts none.
	Rate float64
	// Set reports whether there is a limit.
	Set bool
}

// MaxLoad bounds each number of a load: more than any target runs at once is no load.
const MaxLoad = 10_000

// Load is what a target reports to have in hand. Its zero value is no report.
type Load struct {
	// Running counts requests under way, including bodies that are still being read; Waiting those in
	// the target's own queue.
	Running int
	Waiting int
	// Slots is how many requests the target runs at once, at least 1 in a report.
	Slots int
}

// Reported reports whether the load is that of a report.
func (l Load) Reported() bool { return l.Slots > 0 }

// Valid reports whether the numbers are those that a target can have.
func (l Load) Valid() bool {
	return min(l.Running, l.Waiting) >= 0 && l.Slots >= 1 && max(l.Running, l.Waiting, l.Slots) <= MaxLoad
}

// Total returns the requests that run or wait.
func (l Load) Total() int { return l.Running + l.Waiting }

// Signal is what one response reports about its target.
type Signal struct {
	// Draining is set where the target accepts no new requests.
	Draining bool
	// Backoff is for how long this node shall send no request to the target.
	Backoff time.Duration
	// Limit holds until a later response has another one, or none.
	Limit Limit
	// LimitUnreadable is set where the limit can't be parsed: the one before it holds.
	LimitUnreadable bool
	// Load is the load when the response was made.
	Load Load
	// LoadUnreadable is set where the load can't be parsed: it counts as not reported.
	LoadUnreadable bool
}

// Status is the state of a target at one time, by its signals.
type Status struct {
	Draining bool
	// Uncertain is set where the draining may be that of the previous incarnation: this node
	// sends nothing, others may.
	Uncertain bool
	// Backoff is the rest of the target's backoff, 0 for none, and BackoffTotal its whole length.
	Backoff      time.Duration
	BackoffTotal time.Duration
	// Limit is the target's limit, and LimitAt the time of the response; the zero time means that
	// no response had one.
	Limit   Limit
	LimitAt time.Time
	// Load is the newest load that this incarnation reported to this node, and LoadAt the time of the
	// response; the zero time means that there is none. It may be old.
	Load   Load
	LoadAt time.Time
}

// Unavailable reports whether no request may be sent to the target.
func (s Status) Unavailable() bool { return s.Draining || s.Backoff > 0 }

// permitTime is how long a permit lasts: requests that are delayed after their grant would
// reach a target with a limit all at once.
const permitTime = 500 * time.Millisecond

// Permit is the grant of a target. Paced is set where it took a token of the target's limit.
type Permit struct {
	Paced bool
	At    time.Time
}

// Permits reports whether a request that was granted may be sent to the target at now.
func (s Status) Permits(now time.Time, p Permit) bool {
	return !s.Unavailable() && (!s.Limit.Set || p.Paced && now.Sub(p.At) < permitTime)
}
