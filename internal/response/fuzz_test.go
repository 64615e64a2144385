// SPDX-License-Identifier: Apache-2.0

package response_test

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http"
	"testing"

	"ploverjunction.example/ploverjunction/internal/response"
)

// Guards against answers that pass and that net/http reads with another framing: what a scan takes for whole must be whole for
// net/http, with the same bytes left over, and what ends with the connection must do so for both.
func FuzzScan(f *testing.F) {
	for _, text := range []string{
		length + "\r\nabc",
		length + "content-length: 3\r\n\r\nabcd",
		chunks + "\r\n3;a=b\r\nabc\r\n0\r\nX: 1\r\n\r\n",
		ok + "\r\nabc",
		"HTTP/1.0 204\n\nabc",
		"HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n" + length + "\r\nabc",
		"HTTP/1.1 304 Not Modified\r\nContent-Length: 3\r\n\r\n",
	} {
		f.Add([]byte(text), false)
		f.Add([]byte(text), true)
	}
	f.Fuzz(func(t *testing.T, text []byte, head bool) {
		method := http.MethodGet
		if head {
			method = http.MethodHead
		}
		s := response.ForMethod(method)
		if s.Add(text) != nil || !s.Whole() && !s.UntilClose() {
			return
		}
		from := bufio.NewReader(bytes.NewReader(text))
		res, err := readFinal(from, method)
		if err != nil {
			t.Fatalf("%q: net/http: %v", text, err)
		}
		if err := response.Check(res.StatusCode, res.Header); err != nil {
			t.Errorf("%q: parsed head: %v", text, err)
		}
		_, err = io.Copy(io.Discard, res.Body)
		rest, rerr := io.ReadAll(from)
		if err := errors.Join(err, rerr); err != nil {
			t.Fatalf("%q: body: %v", text, err)
		}
		untilClose := res.ContentLength < 0 && len(res.TransferEncoding) == 0 && res.Body != http.NoBody
		if untilClose != s.UntilClose() || (len(rest) > 0) != s.Surplus() {
			t.Errorf("%q: until close %v, %d bytes left; scanned %v, %v", text, untilClose, len(rest), s.UntilClose(), s.Surplus())
		}
	})
}

// readFinal reads the final response.
func readFinal(from *bufio.Reader, method string) (*http.Response, error) {
	for {
		res, err := http.ReadResponse(from, &http.Request{
			Method: method,
		})
		if err != nil || res.StatusCode >= http.StatusOK {
			return res, err
		}
	}
}
