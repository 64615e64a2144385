// SPDX-License-Identifier: Apache-2.0

package dispatch

import (
	"time"

	"ploverjunction.example/ploverjunction/internal/signal"
)

// Target is a target that a scheduler may grant.
type Target struct {
	Key      string
	DataHall string
	// Slots is the number of requests that the target serves concurrently.
	Slots int
	// Draining is set where the target is published as draining. It gets no work.
	Draining bool
	// HasID is set where the key identifies one incarnation of the target, which drains for good.
	HasID bool
	// Warmup is how much longer the target is slow, counted from publication. WarmupRate is the
	// rate, in requests per second from all nodes, that it takes meanwhile; 0 means no bound.
	Warmup     time.Duration
	WarmupRate float64
}

// ID identifies a grant request by the requesting node and its sequence number.
type ID struct {
	Node   string
	Number uint64
}

// Request requests a grant for one attempt.
type Request struct {
	ID         ID
	DataHall   string
	Repeatable bool
	// Retry is set for attempts after the first one of a request.
	Retry bool
	// Replacement is set where a grant request for the same attempt was counted in the retry budget
	// before: its target was unavailable to the node, or another dispatcher had none.
	Replacement bool
	// Hedge is set where an earlier attempt is still under way; Age is how long that one has waited
	// for its answer.
	Hedge bool
	Age   time.Duration
	// Kilobytes is the expected size of the answer in KiB.
	Kilobytes int
	// Priority is the rank under overload; 0 is served first.
	Priority int
	// Workspace is the workspace of the request, "" for none. While slots are short, the workspaces
	// with waiting requests get fair shares of them.
	Workspace string
	// Route is the route name; requests of one route have similar response times.
	Route string
	// After SoftDeadline an answer is worth less, after Deadline nothing.
	SoftDeadline time.Time
	Deadline     time.Time
	// Tried are keys of targets that the node cannot reach or that the request was sent to before.
	// For a hedge, the attempt at the last one is still under way.
	Tried []string
	// Unavailable are keys of targets that asked the node to back off. They are never granted to it.
	Unavailable []string
	// Draining are keys of targets that signalled to the node that they drain.
	Draining []string
	// ClosedHalls are the data halls that the request must not be sent to.
	ClosedHalls []string
	// Refused is the number of requests for the service that the node refused since its last grant
	// request, before a target was requested for them.
	Refused int
	// Limits are the target limits known to the node, received from targets or from other nodes.
	Limits []TargetLimit
	// NonQueueing is set where the node can request a target in another data hall instead: the request
	// is then not queued.
	NonQueueing bool
	// Waited is how long the request has waited in the queues of other dispatchers: it is queued as if it
	// had arrived that much earlier.
	Waited time.Duration
	// RemoteGrants counts the attempts that other dispatchers of the same targets granted to the node.
	RemoteGrants AttemptCounts
	// Unrecorded is set where the node has counted them for less than the window of the retry budget.
	// What its process before spent may still be in the window: its requests pay for no retries at a
	// scheduler that may not know of it either.
	Unrecorded bool
}

// final reports whether no other attempt can follow a failure of this one.
func (a *Request) final() bool { return !a.Repeatable || a.Retry && !a.Hedge }

// lateness returns how long after its soft deadline the request may be answered. It is 0 where the
// caller's own wait ends before the target latency of the route.
func (a *Request) lateness() time.Duration { return max(a.Deadline.Sub(a.SoftDeadline), 0) }

// Decision is the decision on a grant request.
type Decision uint8

// Possible decisions.
const (
	// Granted means that the request may go to the target.
	Granted Decision = iota
	// Queued means that a grant or a refusal will follow.
	Queued
	// Refused means that no target can take the request in time.
	Refused
	// OverBudget means that the retry budget is exhausted.
	OverBudget
	// NoneFree means that no target is free for a non-queueing request, which was not counted.
	NoneFree
)

// String returns the decision as logged.
func (d Decision) String() string {
	return [...]string{"granted", "queued", "refused", "spent", "full"}[d]
}

// Grant is the answer to a grant request.
type Grant struct {
	ID       ID
	Decision Decision
	Target   string
	// RetryAfter is the delay after which a refused caller may retry.
	RetryAfter time.Duration
	// HedgeAfter is the time without an answer after which a hedge may be requested.
	HedgeAfter time.Duration
	// LossProbability is the estimated probability that the target does not answer well.
	LossProbability float64
	// Trial is set where the target was granted only because it lacked work.
	Trial bool
	// Limit is the target's limit that pays for the grant, and LimitAt the time of the target's
	// answer that named it.
	Limit   signal.Limit
	LimitAt time.Time
	// Limits are the target limits that differ from those in the request.
	Limits []TargetLimit
}
