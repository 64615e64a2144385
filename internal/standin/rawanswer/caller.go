// SPDX-License-Identifier: Apache-2.0

package rawanswer

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"ploverjunction.example/ploverjunction/internal/response"
)

// Reply is what a caller got.
type Reply struct {
	// Status is 0 without a head.
	Status int
	Header http.Header
	Body   string
	// Whole is set if the answer has its end.
	Whole bool
	// Err is why the answer is not whole: a *response.SyntaxError for bytes that are no HTTP.
	Err error
}

// Call sends a request of a form on a new connection and reads the answer strictly. The lines are those of its head
// besides the framing.
func Call(address string, f *Form, uri, lines string, wait time.Duration) Reply {
	conn, err := net.DialTimeout("tcp", address, wait)
	if err != nil {
		return Reply{
			Err: err,
		}
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(wait))
	sent := make(chan struct{})
	go func() {
		defer close(sent)
		if f.Method == http.MethodPost {
			lines += fmt.Sprintf("Content-Length: %d\r\n", f.Upload)
		}
		// An error shows in what is read.
		_, _ = fmt.Fprintf(conn, "%s %s HTTP/1.1\r\n%s\r\n%s", f.Method, uri, lines, strings.Repeat("u", f.Upload))
	}()
	r := read(conn, f.Method)
	_ = conn.Close()
	<-sent
	return r
}

// read reads one answer.
func read(conn net.Conn, method string) Reply {
	scan := response.ForMethod(method)
	var got bytes.Buffer
	buf := make([]byte, 4<<10)
	var err error
	for err == nil && !scan.Whole() {
		var n int
		n, err = conn.Read(buf)
		got.Write(buf[:n])
		if serr := scan.Add(buf[:n]); serr != nil {
			err = serr
		}
	}
	out := Reply{
		Whole: scan.Whole() && !scan.Surplus() || scan.UntilClose() && errors.Is(err, io.EOF),
	}
	if !out.Whole {
		out.Err = fmt.Errorf("rawanswer: %d bytes: %w", got.Len(), errors.Join(err, io.ErrUnexpectedEOF))
	}
	res, perr := http.ReadResponse(bufio.NewReader(&got), &http.Request{
		Method: method,
	})
	if perr != nil {
		return out
	}
	body, _ := io.ReadAll(res.Body)
	out.Status, out.Header, out.Body = res.StatusCode, res.Header, string(body)
	return out
}

// Wrong returns what is wrong with the reply to a request of a form, or "". A failure must be visible: an answer with a
// status of 500 or more, or the beginning of an answer that is not whole.
func (f *Form) Wrong(r Reply) string {
	var syntax *response.SyntaxError
	switch {
	case errors.As(r.Err, &syntax):
		return "bytes that are no HTTP"
	case r.Status == 0:
		return "no answer"
	case r.Status >= http.StatusInternalServerError && r.Status <= 599:
		return ""
	case !r.Whole && f.Use != UseNone && f.End == EndKeep:
		return "a part of an answer in order"
	case !r.Whole:
		return ""
	case f.Use == UseNone:
		return "a success"
	case r.Status != f.Status || r.Body != f.Body:
		return "another answer"
	default:
		return ""
	}
}
