// SPDX-License-Identifier: Apache-2.0

package response

import (
	"bytes"
	"net/http"

	"ploverjunction.example/ploverjunction/internal/header"
)

// Names of the fields that give the framing, in lower case.
const (
	contentLength    = "content-length"
	transferEncoding = "transfer-encoding"
)

// nextOfField scans a byte of the fields of a head or a trailer (RFC 9112, section 5). A line that begins with a blank
// would continue the one before, which nobody but that one's reader sees.
func (s *Scan) nextOfField(b byte) Part {
	switch s.state {
	case atLine:
		switch {
		case b == '\r':
			s.state = atHeadEnd
		case b == '\n' && !s.trailer:
			return s.endHead()
		case !tokenByte(b):
			return PartName
		default:
			s.state = atName
			s.keepName(b)
		}
	case atName:
		switch {
		case b == ':':
			s.state = atValue
		case !tokenByte(b):
			return PartName
		default:
			s.keepName(b)
		}
	case atValue:
		if part := s.text(b, atLineEnd, PartValue); part != "" || s.state != atValue {
			return part
		}
		s.keepValue(b)
	case atLineEnd:
		if b != '\n' {
			return PartValue
		}
		return s.finishLine()
	default:
		if b != '\n' {
			return PartName
		}
		return s.endHead()
	}
	return ""
}

func (s *Scan) keepName(b byte) {
	if s.names < keptName {
		s.name[s.names] = header.Lower(b)
	}
	s.names++
}

// keepValue keeps a byte of a value without the blanks before it.
func (s *Scan) keepValue(b byte) {
	if s.values == 0 && blank(b) {
		return
	}
	if s.values < keptValue {
		s.value[s.values] = header.Lower(b)
	}
	s.values++
}

func blank(b byte) bool { return b == ' ' || b == '\t' }

// tokenByte reports whether b may be in the name of a field (RFC 9110, section 5.6.2).
func tokenByte(b byte) bool {
	switch {
	case digit(b), 'a' <= b && b <= 'z', 'A' <= b && b <= 'Z':
		return true
	default:
		return b != 0 && bytes.IndexByte([]byte("!#$%&'*+-.^_`|~"), b) >= 0
	}
}

// field evaluates a field of the framing (RFC 9112, section 6). The same length may be repeated.
func (s *Scan) field() Part {
	if s.names > keptName {
		return ""
	}
	name := string(s.name[:s.names])
	if name != contentLength && name != transferEncoding {
		return ""
	}
	if s.trailer || s.values > keptValue {
		return PartFraming
	}
	value := bytes.TrimRight(s.value[:s.values], " \t")
	if name == transferEncoding {
		if s.chunked || s.minor == '0' || string(value) != "chunked" {
			return PartFraming
		}
		s.chunked = true
		return ""
	}
	n, ok := parseLength(value)
	if !ok || s.hasLength && n != s.length {
		return PartFraming
	}
	s.length, s.hasLength = n, true
	return ""
}

func parseLength(text []byte) (int64, bool) {
	var n int64
	ok := len(text) > 0
	for _, b := range text {
		if !ok || !digit(b) {
			return 0, false
		}
		n, ok = addDigit(n, 10, int64(b-'0'))
	}
	return n, ok
}

// endHead evaluates a whole head, or ends the answer after its trailer.
func (s *Scan) endHead() Part {
	s.lines++
	if s.trailer {
		s.state = atWhole
		return ""
	}
	if s.chunked && s.hasLength {
		return PartFraming
	}
	if s.status < http.StatusOK {
		s.interims++
		s.nextHead()
		return ""
	}
	s.final = true
	switch {
	case s.noBody, s.status == http.StatusNoContent, s.status == http.StatusNotModified:
		s.state = atWhole
	case s.chunked:
		s.state = atSize
	case !s.hasLength:
		s.state = atRest
	case s.length == 0:
		s.state = atWhole
	default:
		s.state, s.rest = atBody, s.length
	}
	return ""
}

// nextHead begins the head after an interim response.
func (s *Scan) nextHead() {
	*s = Scan{
		offset:   s.offset,
		cost:     s.Cost(),
		interims: s.interims,
		noBody:   s.noBody,
	}
}
