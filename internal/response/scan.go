// SPDX-License-Identifier: Apache-2.0

package response

import (
	"math"
	"net/http"

	"ploverjunction.example/ploverjunction/internal/header"
)

// state is the part of an answer to which the next byte belongs.
type state uint8

const (
	atStatus state = iota
	// atReason is the rest of a status line, atReasonEnd the line feed after it.
	atReason
	atReasonEnd
	// atLine is the beginning of a line of the head or of the trailer.
	atLine
	atName
	atValue
	// atLineEnd is the line feed of a line, atHeadEnd that of the empty line after the head or the trailer.
	atLineEnd
	atHeadEnd
	// atBody is a body with a length, atRest one that ends with the connection.
	atBody
	atRest
	atSize
	// atBlank are blanks after the size of a chunk, atExtension is its extension.
	atBlank
	atExtension
	atSizeEnd
	atChunk
	// atChunkEnd and atChunkFeed are the line end after a chunk.
	atChunkEnd
	atChunkFeed
	atWhole
)

// Bounds of what is kept while a line is read.
const (
	// keptName and keptValue are how many bytes are kept of the name and the value of a field: more than those of the
	// fields that give the framing have.
	keptName  = 20
	keptValue = 24
	// maxSizeDigits is the number of hexadecimal digits of the greatest size of a chunk.
	maxSizeDigits = 15
	// unknownLength is the length of a body that ends with its connection or has chunks.
	unknownLength = -1
)

// Scan follows the bytes of one answer as they arrive: interim responses, the head, the body and the trailer. It keeps no
// more than the beginning of the current line. The zero value is ready for use, for the answer to any request but HEAD.
type Scan struct {
	state state
	// offset is the number of bytes so far, column the position in the current line.
	offset int64
	column int
	// status is the number of the current head, minor the minor version of its protocol.
	status int
	minor  byte
	name   [keptName]byte
	value  [keptValue]byte
	names  int
	values int
	// length is the Content-Length, hasLength and chunked are set by the fields of the framing.
	length    int64
	hasLength bool
	chunked   bool
	// trailer is set once the last chunk has begun.
	trailer bool
	// rest is the number of bytes left of the body or of the chunk; digits counts those of a chunk's size.
	rest   int64
	digits int
	// headBytes and lines are the size of the current head.
	headBytes int64
	lines     int64
	cost      int64
	interims  int
	final     bool
	surplus   bool
	noBody    bool
}

// ForMethod returns a scan of the answer to a request with a method.
func ForMethod(method string) Scan {
	return Scan{
		noBody: method == http.MethodHead,
	}
}

// Add scans the next bytes of the connection. It returns a *SyntaxError for bytes that are no answer; nothing may be
// added after that. Bytes after the end of the answer are no error, see Surplus.
func (s *Scan) Add(p []byte) error {
	for len(p) > 0 {
		n := 1
		switch s.state {
		case atBody, atChunk:
			n = int(min(s.rest, int64(len(p))))
			s.skip(n)
		case atRest:
			n = len(p)
		case atWhole:
			s.surplus = true
			return nil
		default:
			if part := s.next(p[0]); part != "" {
				return &SyntaxError{
					part:   part,
					offset: s.offset,
				}
			}
		}
		s.offset += int64(n)
		p = p[n:]
	}
	return nil
}

// Begun reports whether any byte was scanned.
func (s *Scan) Begun() bool { return s.offset > 0 }

// Final reports whether the head of the final response was scanned.
func (s *Scan) Final() bool { return s.final }

// Whole reports whether the end of the answer was scanned. It is never known of a body that ends with its connection.
func (s *Scan) Whole() bool { return s.state == atWhole }

// UntilClose reports whether the body ends with the connection.
func (s *Scan) UntilClose() bool { return s.state == atRest }

// Surplus reports whether bytes followed the end of the answer.
func (s *Scan) Surplus() bool { return s.surplus }

// Interims returns the number of whole interim responses.
func (s *Scan) Interims() int { return s.interims }

// Cost returns the greatest estimated memory in bytes of a head so far: that of an interim response is free before the
// next one is parsed.
func (s *Scan) Cost() int64 { return max(s.cost, header.CostOf(s.headBytes, s.lines)) }

// skip passes over n bytes of a body.
func (s *Scan) skip(n int) {
	s.rest -= int64(n)
	switch {
	case s.rest > 0:
	case s.state == atChunk:
		s.state = atChunkEnd
	default:
		s.state = atWhole
	}
}

// next scans a byte outside of bodies. It returns the part of the answer in which the byte is not allowed, or "".
func (s *Scan) next(b byte) Part {
	if s.state <= atHeadEnd {
		s.headBytes++
	}
	switch s.state {
	case atStatus, atReason, atReasonEnd:
		return s.nextOfStatus(b)
	case atLine, atName, atValue, atLineEnd, atHeadEnd:
		return s.nextOfField(b)
	default:
		return s.nextOfChunk(b)
	}
}

// protocol is the beginning of a status line. Its rest is the minor version, a blank, the status and the reason.
const protocol = "HTTP/1."

// Columns of a status line.
const (
	columnMinor  = len(protocol)
	columnBlank  = columnMinor + 1
	columnStatus = columnBlank + 1
	columnReason = columnStatus + 3
)

// nextOfStatus scans a byte of a status line (RFC 9112, section 4). The blank after the status may be missing if there
// is no reason.
func (s *Scan) nextOfStatus(b byte) Part {
	ok := true
	switch {
	case s.state == atReasonEnd:
		ok = b == '\n'
		s.endLine()
	case s.state == atReason:
		return s.text(b, atReasonEnd, PartStatus)
	case s.column < columnMinor:
		ok = b == protocol[s.column]
	case s.column == columnMinor:
		ok = digit(b)
		s.minor = b
	case s.column == columnBlank:
		ok = b == ' '
	case s.column < columnReason:
		ok = digit(b)
		s.status = 10*s.status + int(b-'0')
	case b != ' ' && b != '\r' && b != '\n', !ValidStatus(s.status):
		ok = false
	case b == ' ':
		s.state = atReason
	default:
		return s.text(b, atReasonEnd, PartStatus)
	}
	s.column++
	if !ok {
		return PartStatus
	}
	return ""
}

// ValidStatus reports whether a status is that of an answer (RFC 9110, section 15). That a connection changes its protocol
// is never requested.
func ValidStatus(status int) bool {
	return 100 <= status && status <= 599 && status != http.StatusSwitchingProtocols
}

// text scans a byte of a text that ends with its line; end is the state after a carriage return. In a head a line feed alone
// also ends a line (RFC 9112, section 2.2); net/http needs both in a trailer.
func (s *Scan) text(b byte, end state, part Part) Part {
	switch {
	case b == '\r':
		s.state = end
	case b == '\n' && !s.trailer:
		return s.finishLine()
	case !textByte(b):
		return part
	}
	return ""
}

// finishLine ends a line, and evaluates it if it is that of a field.
func (s *Scan) finishLine() Part {
	part := Part("")
	if s.state == atValue || s.state == atLineEnd {
		part = s.field()
	}
	s.endLine()
	return part
}

func (s *Scan) endLine() {
	s.lines++
	s.column = 0
	s.names, s.values = 0, 0
	s.state = atLine
}

// digit reports whether b is a decimal digit.
func digit(b byte) bool { return '0' <= b && b <= '9' }

// textByte reports whether b may be in a value or a reason (RFC 9110, section 5.5).
func textByte(b byte) bool { return b == '\t' || b >= ' ' && b != 0x7f }

// addDigit adds a digit of a length, and returns false if the length is too large.
func addDigit(n int64, base, value int64) (int64, bool) {
	if n > (math.MaxInt64-value)/base {
		return 0, false
	}
	return base*n + value, true
}
