// SPDX-License-Identifier: Apache-2.0

package response

// nextOfChunk scans a byte of the framing of chunks (RFC 9112, section 7.1), whose lines end with a carriage return and a
// line feed.
func (s *Scan) nextOfChunk(b byte) Part {
	switch s.state {
	case atSize:
		return s.nextOfSize(b)
	case atBlank:
		switch {
		case b == ';':
			s.state = atExtension
		case b == '\r':
			s.state = atSizeEnd
		case !blank(b):
			return PartChunk
		}
	case atExtension:
		switch {
		case b == '\r':
			s.state = atSizeEnd
		case !textByte(b):
			return PartChunk
		}
	case atSizeEnd:
		if b != '\n' {
			return PartChunk
		}
		s.beginChunk()
	case atChunkEnd:
		if b != '\r' {
			return PartChunk
		}
		s.state = atChunkFeed
	default:
		if b != '\n' {
			return PartChunk
		}
		s.state = atSize
	}
	return ""
}

// nextOfSize scans a byte of the size of a chunk.
func (s *Scan) nextOfSize(b byte) Part {
	if v, ok := hex(b); ok {
		if s.digits++; s.digits > maxSizeDigits {
			return PartChunk
		}
		s.rest = s.rest<<4 + v
		return ""
	}
	if s.digits == 0 {
		return PartChunk
	}
	s.state = atBlank
	return s.nextOfChunk(b)
}

func hex(b byte) (int64, bool) {
	switch {
	case digit(b):
		return int64(b - '0'), true
	case 'a' <= b && b <= 'f':
		return int64(b-'a') + 10, true
	case 'A' <= b && b <= 'F':
		return int64(b-'A') + 10, true
	default:
		return 0, false
	}
}

// beginChunk begins the data of a chunk, or the trailer after the last one.
func (s *Scan) beginChunk() {
	s.digits = 0
	if s.rest == 0 {
		s.trailer = true
		s.state = atLine
		return
	}
	s.state = atChunk
}
