// SPDX-License-Identifier: Apache-2.0

package entry

import (
	"time"

	"ploverjunction.example/ploverjunction/internal/fleetconfig"
	"ploverjunction.example/ploverjunction/internal/outlier"
	"ploverjunction.example/ploverjunction/internal/signal"
)

// Query requests a target for one attempt.
type Query struct {
	Service    *fleetconfig.Service
	Repeatable bool
	// Kilobytes is the expected size of the request's body and its answer in KiB,
	// rounded up.
	Kilobytes int
	// Priority is the priority under overload; 0 is served first.
	Priority int
	// Workspace is the workspace of the request, "" for none.
	Workspace string
	// Route names the route: requests of one route take similar time.
	Route string
	// SoftDeadline is the soft deadline, after which an answer is worth less; after Deadline it is worth
	// nothing.
	SoftDeadline time.Time
	Deadline     time.Time
	// Regions restrict where the request may be served: all of them must allow a region.
	Regions []fleetconfig.Regions
	// Tried are the keys of the targets that the request was sent to before.
	Tried []string
	// Retry is set for attempts after the first one.
	Retry bool
	// Replacement is set where a target was granted for the attempt before and nothing was sent to
	// it: the retry budget has counted the attempt already.
	Replacement bool
	// QueuedAt is when a dispatcher first queued the grant request that is still unanswered, the zero time
	// where none has.
	QueuedAt time.Time
	// Hedge is set where an earlier attempt is still running; Age is how long that has waited for
	// its answer.
	Hedge           bool
	FirstAttemptAge time.Duration
}

// Choice is the target chosen for one attempt.
type Choice struct {
	// Address is the IP number and port.
	Address string
	// Key names the target among those of its service.
	Key string
	// ID is the target's published ID, or "".
	ID string
	// Incarnation identifies the target's incarnation, to which its signals are attributed.
	Incarnation signal.Incarnation
	// Permit is checked when the request is sent.
	Permit signal.Permit
	// DataHall is the target's data hall.
	DataHall string
	// By names the node that chose, "alone" where this node did.
	By string
	// HedgeAfter is the time without an answer after which a second target may be requested, 0 if
	// the node that chose does not know.
	HedgeAfter time.Duration
	// LossProbability is the failure probability of the target, estimated by the node that chose.
	LossProbability float64
	// Trial is set for a trial request: the target gets no other requests.
	Trial bool
	// Reported receives the load in the answer to the attempt, before Done is called; it may be nil.
	Reported func(load signal.Load)
	// Done must be called once, when the attempt has ended.
	Done func(end outlier.Result, took time.Duration)
}
