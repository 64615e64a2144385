// SPDX-License-Identifier: Apache-2.0

package forward

import "slices"

// Echo is whose request ID an answer carries.
type Echo uint8

// Request IDs of answers.
const (
	// EchoNone means that the answer carries no ID.
	EchoNone Echo = iota
	// EchoOwn means that it carries the ID of the attempt's request.
	EchoOwn
	// EchoOther means that it carries the ID of another request.
	EchoOther
)

// String returns the echo as logged.
func (e Echo) String() string { return [...]string{"none", "own", "other"}[e] }

// echoOf returns whose ID an answer with the given IDs carries. An answer with several that differ belongs to no request.
func echoOf(got []string, want string) Echo {
	id := ""
	if len(got) > 0 {
		id = got[0]
	}
	switch {
	case slices.ContainsFunc(got, func(other string) bool { return other != id }):
		return EchoOther
	case id == want:
		return EchoOwn
	case id == "":
		return EchoNone
	default:
		return EchoOther
	}
}

// Evidence is what is known of where an answer comes from.
type Evidence struct {
	status   int
	echo     Echo
	requests int
	carried  bool
}

// Status returns the status of the answer.
func (e *Evidence) Status() int { return e.status }

// Echo returns whose request ID the answer carries.
func (e *Evidence) Echo() Echo { return e.echo }

// Requests returns the number of requests that its connection has carried, this one included; 0 if a
// peer made the attempt.
func (e *Evidence) Requests() int { return e.requests }

// Carried reports whether the connection has carried an earlier attempt of the request.
func (e *Evidence) Carried() bool { return e.carried }

// evidence returns what the connection of an answer shows of it. It may be called on nil, for the answer
// of a peer.
func (g *guard) evidence() Evidence {
	if g == nil {
		return Evidence{}
	}
	return Evidence{
		requests: int(g.requests.Load()),
		carried:  g.carried.Load(),
	}
}
