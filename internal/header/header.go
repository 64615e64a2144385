// SPDX-License-Identifier: Apache-2.0

// Package header scans the headers of HTTP messages as they arrive, before net/http parses them, and estimates the
// memory that they take.
package header

import "net/http"

// contentLength is the name of the field that a Scan looks for, in lower case.
const contentLength = "content-length"

// Scan follows the header of one message. It keeps no part of it. The zero value is ready for use.
type Scan struct {
	// bytes and lines count what has arrived.
	bytes int64
	lines int64
	// column is that in the current line, matched the number of bytes of contentLength that its beginning matches.
	column  int
	matched int
	// begun is set once a line that is not empty has arrived: net/http ignores some empty lines before a request.
	// hasLength is set once a line has begun with contentLength, whole once the empty line after the header has arrived.
	begun     bool
	hasLength bool
	whole     bool
}

// Add scans the next bytes of a connection. What follows the header is not counted.
func (s *Scan) Add(p []byte) {
	for _, b := range p {
		if s.whole {
			return
		}
		s.bytes++
		switch {
		case b == '\n':
			s.whole = s.begun && s.column == 0
			s.lines++
			s.column, s.matched = 0, 0
		case b == '\r':
			// net/http also ends lines without it.
		default:
			if s.matched == s.column && s.matched < len(contentLength) && Lower(b) == contentLength[s.matched] {
				s.matched++
				s.hasLength = s.hasLength || s.matched == len(contentLength)
			}
			s.column++
			s.begun = true
		}
	}
}

// Lower returns a letter in lower case, and any other byte as it is.
func Lower(b byte) byte {
	if 'A' <= b && b <= 'Z' {
		return b + 'a' - 'A'
	}
	return b
}

const (
	// byteCost and lineCost estimate the memory in bytes that a byte and a line of a header take: the parsed header and
	// its copies for the attempts and for peers, of which two are in use at a time, with the map that holds them.
	byteCost = 4
	lineCost = 640
	// freeCost is the cost in bytes up to which a header is not counted apart from its connection.
	freeCost = 16 << 10
	// costStep is the size in bytes of the pieces in which memory is reserved while a header arrives.
	costStep = 16 << 10
)

// Size returns the number of bytes scanned.
func (s *Scan) Size() int64 { return s.bytes }

// Whole reports whether the empty line after the header was scanned.
func (s *Scan) Whole() bool { return s.whole }

// HasLength reports whether a field Content-Length was scanned.
func (s *Scan) HasLength() bool { return s.hasLength }

// Cost estimates the memory in bytes that the header takes, 0 if that is little.
func (s *Scan) Cost() int64 { return CostOf(s.bytes, s.lines) }

// Cost estimates the memory in bytes that a parsed header takes, 0 if that is little.
func Cost(h http.Header) int64 {
	var bytes, lines int64
	for name, values := range h {
		for _, v := range values {
			bytes += int64(len(name) + len(v) + len(": \r\n"))
			lines++
		}
	}
	return CostOf(bytes, lines)
}

// CostOf estimates the memory in bytes that a header of a number of bytes and lines takes, 0 if that is little.
func CostOf(bytes, lines int64) int64 {
	n := byteCost*bytes + lineCost*lines
	if n <= freeCost {
		return 0
	}
	return (n + costStep - 1) / costStep * costStep
}

// shortestLine is the size in bytes of the shortest line of a header that net/http accepts.
const shortestLine = len("a:\n")

// MaxCost returns the greatest memory in bytes that a header of a size takes.
func MaxCost(size int64) int64 { return CostOf(size, size/int64(shortestLine)) }
