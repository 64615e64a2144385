// SPDX-License-Identifier: Apache-2.0

package entry

import (
	"time"

	"ploverjunction.example/ploverjunction/internal/fleetconfig"
	"ploverjunction.example/ploverjunction/internal/outlier"
	"ploverjunction.example/ploverjunction/internal/signal"
)

// Query asks for a target for one attempt.
type Query struct {
	Service    *fleetconfig.Service
	Repeatable bool
	// Kilobytes is the expected size of the request's body and its answer in KiB,
	// rounded up.
	Kilobytes int
	// Priority is the rank under overload; 0 is served first.
	Priority int
	// Route names the route: requests of one route take similar time.
	Route string
	// Aim is until when an answer is worth most, Deadline until when it counts.
	Aim      time.Time
	Deadline time.Time
	// Regions are those in which the request may be served: all of them must allow it.
	Regions []fleetconfig.Regions
	// Tried are the keys of the targets that the request was sent to before.
	Tried []string
	// Again is set for attempts after the first one.
	Again bool
	// Hedge is set where an earlier attempt still goes on; Age is how long it has
	// waited for its answer.
	Hedge bool
	Age   time.Duration
}

// Choice is a target taken for one attempt.
type Choice struct {
	// Address is the IP number and port.
	Address string
	// Key names the target among those of its service.
	Key string
	// ID is the target's published ID, or "".
	ID string
	// Incarnation names the target's life for what it says of itself.
	Incarnation signal.Incarnation
	// Permit is checked when the request is sent.
	Permit signal.Permit
	// DataHall is the target's.
	DataHall string
	// By names the node that chose, "alone" where this one did.
	By string
	// HedgeAfter is after how long without an answer a second target may be asked
	// for, 0 if whoever chose doesn't know.
	HedgeAfter time.Duration
	// Doubt is how likely the target was not to answer well, by whoever chose it.
	Doubt float64
	// Trial is set where the target would have got no request else.
	Trial bool
	// Done must be called once, when the attempt has ended.
	Done func(end outlier.Result, took time.Duration)
}
