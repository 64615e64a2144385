// SPDX-License-Identifier: Apache-2.0

package forward

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

func echoOf(got, want string) Echo {
	switch got {
	case want:
		return EchoOwn
	case "":
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
	repeated bool
}

// Status returns the status of the answer.
func (e *Evidence) Status() int { return e.status }

// Echo returns whose request ID the answer carries.
func (e *Evidence) Echo() Echo { return e.echo }

// Requests returns the number of requests that its connection has carried, this one included; 0 if a
// peer made the attempt.
func (e *Evidence) Requests() int { return e.requests }

// Repeated reports whether the preceding request on the connection had the same ID: the answer may be
// a second one to that.
func (e *Evidence) Repeated() bool { return e.repeated }
