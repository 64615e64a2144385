// SPDX-License-Identifier: Apache-2.0

package response_test

import (
	"net/http"
	"testing"

	"ploverjunction.example/ploverjunction/internal/response"
)

// Guards against answers in order that are rejected, and against ends that are taken for others.
func TestEndOfAnswers(t *testing.T) {
	tests := []struct {
		name    string
		method  string
		text    string
		whole   bool
		close   bool
		surplus bool
	}{
		{
			name:  "length",
			text:  length + "X: \"a\"\tb \x80\r\n\r\nabc",
			whole: true,
		},
		{
			name: "length that is not whole",
			text: length + "\r\nab",
		},
		{
			name:  "length twice",
			text:  length + "content-length:3 \r\n\r\nabc",
			whole: true,
		},
		{
			name:  "length 0",
			text:  ok + "Content-Length: 0\r\n\r\n",
			whole: true,
		},
		{
			name:    "surplus",
			text:    length + "\r\nabcd",
			whole:   true,
			surplus: true,
		},
		{
			name:  "no length",
			text:  ok + "\r\nabc",
			close: true,
		},
		{
			name:  "HTTP/1.0",
			text:  "HTTP/1.0 200 OK\r\n\r\nabc",
			close: true,
		},
		{
			name:  "no reason",
			text:  "HTTP/1.1 404\r\nContent-Length: 0\r\n\r\n",
			whole: true,
		},
		{
			name:  "line feeds alone",
			text:  "HTTP/1.1 200 OK\nContent-Length: 3\n\nabc",
			whole: true,
		},
		{
			name:  "chunks",
			text:  chunks + "\r\n3;a=\"b\"\r\nabc\r\nA \r\n0123456789\r\n0\r\n\r\n",
			whole: true,
		},
		{
			name:  "chunks with a trailer",
			text:  chunks + "\r\n3\r\nabc\r\n0\r\nX: 1\r\n\r\n",
			whole: true,
		},
		{
			name: "chunks without the last empty line",
			text: chunks + "\r\n3\r\nabc\r\n0\r\n",
		},
		{
			name:   "HEAD",
			method: http.MethodHead,
			text:   length + "\r\n",
			whole:  true,
		},
		{
			name:    "HEAD with a body",
			method:  http.MethodHead,
			text:    length + "\r\nabc",
			whole:   true,
			surplus: true,
		},
		{
			name:  "204",
			text:  "HTTP/1.1 204 No Content\r\n\r\n",
			whole: true,
		},
		{
			name:    "204 with a body",
			text:    "HTTP/1.1 204 No Content\r\nContent-Length: 3\r\n\r\nabc",
			whole:   true,
			surplus: true,
		},
		{
			name:  "304",
			text:  "HTTP/1.1 304 Not Modified\r\nContent-Length: 3\r\n\r\n",
			whole: true,
		},
		{
			name:  "after interim responses",
			text:  "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103\r\nA: b\r\n\r\n" + length + "\r\nabc",
			whole: true,
		},
		{
			name:   "HEAD after an interim response",
			method: http.MethodHead,
			text:   "HTTP/1.1 100 Continue\r\n\r\n" + length + "\r\n",
			whole:  true,
		},
		{
			name: "status line that stops",
			text: "HTTP/1.1 20",
		},
		{
			name: "head that stops",
			text: length + "X: 1\r\n",
		},
	}
	for _, tt := range tests {
		for size := 1; size <= len(tt.text); size++ {
			s := response.ForMethod(tt.method)
			if err := addIn(&s, tt.text, size); err != nil {
				t.Errorf("%s, in parts of %d: %v", tt.name, size, err)
				break
			}
			if s.Whole() != tt.whole || s.UntilClose() != tt.close || s.Surplus() != tt.surplus {
				t.Errorf("%s, in parts of %d: whole %v, until close %v, surplus %v", tt.name, size, s.Whole(), s.UntilClose(), s.Surplus())
				break
			}
		}
	}
}
