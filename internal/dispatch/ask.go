// SPDX-License-Identifier: Apache-2.0

package dispatch

import (
	"time"

	"ploverjunction.example/ploverjunction/internal/signal"
)

// Target is one target that a desk may grant.
type Target struct {
	Key      string
	DataHall string
	// Slots is how many requests the target works on at once.
	Slots int
	// Leaving targets get no work.
	Leaving bool
	// Named is set where the key names one life of the target, which leaves for good.
	Named bool
	// Warmup is how much longer the target works more slowly, from when that is published, and
	// WarmupRate how many requests a second it takes meanwhile from all nodes; 0 is no bound.
	Warmup     time.Duration
	WarmupRate float64
}

// ID names one ask: the node that asks and the number that it gave.
type ID struct {
	Node   string
	Number uint64
}

// Ask asks for a target for one attempt.
type Ask struct {
	ID         ID
	DataHall   string
	Repeatable bool
	// Again is set for attempts after a request's first one.
	Again bool
	// Hedge is set where an earlier attempt still goes on; Age is how long it has
	// waited for its answer.
	Hedge bool
	Age   time.Duration
	// Kilobytes is the expected size of the answer in KiB.
	Kilobytes int
	// Priority is the rank under overload; 0 is served first.
	Priority int
	// Route names the route: requests of one route take similar time.
	Route string
	// Aim is until when an answer is worth most, Deadline until when it counts.
	Aim      time.Time
	Deadline time.Time
	// Tried are keys of targets that the node can't reach or that the request was sent
	// to before; beside a hedge the attempt at the last one goes on.
	Tried []string
	// Barred are keys of targets that told the node that they want no requests from it
	// now: it sends them none, so that it is never granted one.
	Barred []string
	// Draining are keys of targets that told the node that they leave.
	Draining []string
	// Closed are data halls whose targets the request must not be sent to.
	Closed []string
	// Refused is how many requests for the service the node refused since its last ask, before
	// it asked for a target.
	Refused int
	// Limits are those of targets that the node knows, told by targets themselves or by
	// other nodes.
	Limits []TargetLimit
	// Passing is set where the node can ask for a target of another data hall: the ask
	// then isn't queued.
	Passing bool
	// Elsewhere is what the node got from other dispatchers of the same targets.
	Elsewhere Spending
}

// final reports whether no other attempt can follow a failure of this one.
func (a *Ask) final() bool { return !a.Repeatable || a.Again && !a.Hedge }

// Verdict answers an ask.
type Verdict uint8

// Verdicts.
const (
	// Granted means that the request may go to the target.
	Granted Verdict = iota
	// Queued means that a grant or a refusal follows.
	Queued
	// Refused means that no target can take the request in time.
	Refused
	// Spent means that the retry budget pays for no other attempt.
	Spent
	// Full means that no target is free for a passing ask, which was not counted.
	Full
)

// String returns the verdict in words.
func (v Verdict) String() string {
	return [...]string{"granted", "queued", "refused", "spent", "full"}[v]
}

// Grant is the answer to an ask.
type Grant struct {
	ID      ID
	Verdict Verdict
	Target  string
	// RetryAfter is when a refused caller may come back.
	RetryAfter time.Duration
	// HedgeAfter is after how long without an answer a second target may be asked for.
	HedgeAfter time.Duration
	// Doubt is how likely the target was not to answer well.
	Doubt float64
	// Trial is set where the target would have been left out else.
	Trial bool
	// Limit is the target's limit, which pays for the grant, and LimitAt when the target
	// answered so.
	Limit   signal.Limit
	LimitAt time.Time
	// Limits are those that the ask didn't name.
	Limits []TargetLimit
}
