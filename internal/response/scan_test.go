// SPDX-License-Identifier: Apache-2.0

package response_test

import (
	"errors"
	"testing"

	"ploverjunction.example/ploverjunction/internal/response"
)

const (
	ok     = "HTTP/1.1 200 OK\r\n"
	length = ok + "Content-Length: 3\r\n"
	chunks = ok + "Transfer-Encoding: chunked\r\n"
)

// Guards against answers that are taken for others by a reader less lenient than net/http, however they are split.
func TestMalformedAnswersAreRejected(t *testing.T) {
	tests := []struct {
		name string
		text string
		part response.Part
	}{
		{
			name: "status 000",
			text: "HTTP/1.1 000 OK\r\n\r\n",
			part: response.PartStatus,
		},
		{
			name: "status 099",
			text: "HTTP/1.1 099 OK\r\n\r\n",
			part: response.PartStatus,
		},
		{
			name: "status 600",
			text: "HTTP/1.1 600 OK\r\n\r\n",
			part: response.PartStatus,
		},
		{
			name: "status with a sign",
			text: "HTTP/1.1 +20 OK\r\n\r\n",
			part: response.PartStatus,
		},
		{
			name: "status of two digits",
			text: "HTTP/1.1 20\r\n\r\n",
			part: response.PartStatus,
		},
		{
			name: "status of four digits",
			text: "HTTP/1.1 2000 OK\r\n\r\n",
			part: response.PartStatus,
		},
		{
			name: "two blanks before the status",
			text: "HTTP/1.1  200 OK\r\n\r\n",
			part: response.PartStatus,
		},
		{
			name: "change of protocol",
			text: "HTTP/1.1 101 Switching Protocols\r\n\r\n",
			part: response.PartStatus,
		},
		{
			name: "another version",
			text: "HTTP/9.9 200 OK\r\n\r\n",
			part: response.PartStatus,
		},
		{
			name: "version in lower case",
			text: "http/1.1 200 OK\r\n\r\n",
			part: response.PartStatus,
		},
		{
			name: "no status line",
			text: "Content-Length: 3\r\n\r\nabc",
			part: response.PartStatus,
		},
		{
			name: "empty line first",
			text: "\r\n" + length + "\r\nabc",
			part: response.PartStatus,
		},
		{
			name: "control byte in the reason",
			text: "HTTP/1.1 200 O\x00K\r\n\r\n",
			part: response.PartStatus,
		},
		{
			name: "carriage return in the reason",
			text: "HTTP/1.1 200 O\rK\r\n\r\n",
			part: response.PartStatus,
		},
		{
			name: "blank in a name",
			text: ok + "X Odd: 1\r\n\r\n",
			part: response.PartName,
		},
		{
			name: "blank before the colon",
			text: ok + "Content-Length : 3\r\n\r\nabc",
			part: response.PartName,
		},
		{
			name: "blank in the name of the length",
			text: ok + "Content -Length: 3\r\n\r\nabc",
			part: response.PartName,
		},
		{
			name: "blank before the colon of chunks",
			text: ok + "Transfer-Encoding : chunked\r\n\r\n",
			part: response.PartName,
		},
		{
			name: "tab in a name",
			text: ok + "X\tOdd: 1\r\n\r\n",
			part: response.PartName,
		},
		{
			name: "control byte in a name",
			text: ok + "X\x01Odd: 1\r\n\r\n",
			part: response.PartName,
		},
		{
			name: "byte above ASCII in a name",
			text: ok + "X\x80: 1\r\n\r\n",
			part: response.PartName,
		},
		{
			name: "empty name",
			text: ok + ": 1\r\n\r\n",
			part: response.PartName,
		},
		{
			name: "line without a colon",
			text: ok + "odd\r\n\r\n",
			part: response.PartName,
		},
		{
			name: "continued line",
			text: ok + "X: 1\r\n 2\r\n\r\n",
			part: response.PartName,
		},
		{
			name: "continued status line",
			text: ok + "\tX: 1\r\n\r\n",
			part: response.PartName,
		},
		{
			name: "carriage return without a line feed",
			text: ok + "\rX: 1\r\n\r\n",
			part: response.PartName,
		},
		{
			name: "NUL in a value",
			text: ok + "X: a\x00b\r\n\r\n",
			part: response.PartValue,
		},
		{
			name: "carriage return in a value",
			text: ok + "X: a\rb\r\n\r\n",
			part: response.PartValue,
		},
		{
			name: "delete in a value",
			text: ok + "X: \x7f\r\n\r\n",
			part: response.PartValue,
		},
		{
			name: "two lengths",
			text: length + "Content-Length: 4\r\n\r\nabc",
			part: response.PartFraming,
		},
		{
			name: "list of lengths",
			text: ok + "Content-Length: 3, 3\r\n\r\nabc",
			part: response.PartFraming,
		},
		{
			name: "length with a sign",
			text: ok + "Content-Length: +3\r\n\r\nabc",
			part: response.PartFraming,
		},
		{
			name: "empty length",
			text: ok + "Content-Length:\r\n\r\nabc",
			part: response.PartFraming,
		},
		{
			name: "length beyond 64 bits",
			text: ok + "Content-Length: 99999999999999999999\r\n\r\nabc",
			part: response.PartFraming,
		},
		{
			name: "length of zeros",
			text: ok + "Content-Length: 0000000000000000000000000003\r\n\r\nabc",
			part: response.PartFraming,
		},
		{
			name: "length beside chunks",
			text: length + "Transfer-Encoding: chunked\r\n\r\n",
			part: response.PartFraming,
		},
		{
			name: "chunks beside a length",
			text: chunks + "Content-Length: 3\r\n\r\n",
			part: response.PartFraming,
		},
		{
			name: "another encoding",
			text: ok + "Transfer-Encoding: gzip, chunked\r\n\r\n",
			part: response.PartFraming,
		},
		{
			name: "chunked twice",
			text: chunks + "Transfer-Encoding: chunked\r\n\r\n",
			part: response.PartFraming,
		},
		{
			name: "chunks in HTTP/1.0",
			text: "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
			part: response.PartFraming,
		},
		{
			name: "no size of a chunk",
			text: chunks + "\r\n\r\nabc",
			part: response.PartChunk,
		},
		{
			name: "size that is no number",
			text: chunks + "\r\nx\r\nabc",
			part: response.PartChunk,
		},
		{
			name: "size beyond 60 bits",
			text: chunks + "\r\n1000000000000000\r\n",
			part: response.PartChunk,
		},
		{
			name: "blank in a size",
			text: chunks + "\r\n1 2\r\n",
			part: response.PartChunk,
		},
		{
			name: "line feed alone after a size",
			text: chunks + "\r\n3\nabc\r\n0\r\n\r\n",
			part: response.PartChunk,
		},
		{
			name: "control byte in an extension",
			text: chunks + "\r\n3;a=\x01\r\nabc\r\n",
			part: response.PartChunk,
		},
		{
			name: "chunk longer than its size",
			text: chunks + "\r\n3\r\nabcd\r\n0\r\n\r\n",
			part: response.PartChunk,
		},
		{
			name: "blank in the name of a trailer",
			text: chunks + "\r\n0\r\nX Odd: 1\r\n\r\n",
			part: response.PartName,
		},
		{
			name: "line feed alone in a trailer",
			text: chunks + "\r\n0\r\nX: 1\n\r\n",
			part: response.PartValue,
		},
		{
			name: "line feed alone after a trailer",
			text: chunks + "\r\n0\r\nX: 1\r\n\n",
			part: response.PartName,
		},
		{
			name: "length in a trailer",
			text: chunks + "\r\n0\r\nContent-Length: 3\r\n\r\n",
			part: response.PartFraming,
		},
		{
			name: "after an interim response",
			text: "HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\nHTTP/1.1 000 OK\r\n\r\n",
			part: response.PartStatus,
		},
		{
			name: "name in an interim response",
			text: "HTTP/1.1 103 Early Hints\r\nA b: c\r\n\r\n" + length + "\r\nabc",
			part: response.PartName,
		},
	}
	for _, tt := range tests {
		for size := 1; size <= len(tt.text); size++ {
			var s response.Scan
			err := addIn(&s, tt.text, size)
			var e *response.SyntaxError
			if !errors.As(err, &e) || e.Part() != tt.part {
				t.Errorf("%s, in parts of %d: %v, want a malformed %s", tt.name, size, err, tt.part)
				break
			}
		}
	}
}

// addIn adds text in parts of a size.
func addIn(s *response.Scan, text string, size int) error {
	for rest := text; rest != ""; {
		n := min(size, len(rest))
		if err := s.Add([]byte(rest[:n])); err != nil {
			return err
		}
		rest = rest[n:]
	}
	return nil
}
