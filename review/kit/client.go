// SPDX-License-Identifier: Apache-2.0

package kit

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"time"
)

// Request is a request of a client.
type Request struct {
	ID       string
	Method   string
	Host     string
	Path     string
	Header   http.Header
	Body     []byte
	Deadline time.Duration
	// Chunked sends the body in chunks.
	Chunked bool
	// Part is how much of the body is sent before the client leaves; 0 means all.
	Part int
	// Pause is the time that passes before the client leaves.
	Pause time.Duration
}

// Response is the answer that a client received.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
	// Err is set where no whole answer came.
	Err  error
	Took time.Duration
	// Read is the number of bytes of the body that came.
	Read int
}

// String describes the answer in a record.
func (r *Response) String() string {
	if r.Err != nil {
		return fmt.Sprintf("status %d, %d bytes, after %d ms: %v", r.Status, len(r.Body), r.Took.Milliseconds(), r.Err)
	}
	return fmt.Sprintf("status %d, %d bytes, after %d ms", r.Status, len(r.Body), r.Took.Milliseconds())
}

// NewID returns an ID for a client attempt.
func NewID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// Bytes returns n random bytes.
func Bytes(n int) []byte {
	b := make([]byte, n)
	for i := range b {
		b[i] = 'a' + byte(rand.UintN(26))
	}
	return b
}

// chunk is the size of the chunks of a body.
const chunk = 8 << 10

// head returns the request line and the header.
func (q *Request) head() []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n", q.Method, q.Path, q.Host, HeaderAttempt, q.ID,
		HeaderDeadline, q.Deadline.Milliseconds())
	for name, values := range q.Header {
		for _, v := range values {
			fmt.Fprintf(&b, "%s: %s\r\n", name, v)
		}
	}
	switch {
	case q.Chunked:
		b.WriteString("Transfer-Encoding: chunked\r\n")
	case len(q.Body) > 0:
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(q.Body))
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// writeBody writes n bytes of the body, and its end if it is whole.
func (q *Request) writeBody(w io.Writer, n int) error {
	rest := q.Body[:n]
	for len(rest) > 0 {
		part := rest[:min(len(rest), chunk)]
		rest = rest[len(part):]
		out := part
		if q.Chunked {
			out = fmt.Appendf(nil, "%x\r\n%s\r\n", len(part), part)
		}
		if _, err := w.Write(out); err != nil {
			return err
		}
	}
	if q.Chunked && n == len(q.Body) {
		_, err := io.WriteString(w, "0\r\n\r\n")
		return err
	}
	return nil
}

// Send sends a request on a new connection and reads the answer to its end.
func (q *Request) Send(ctx context.Context, front string) *Response {
	started := time.Now()
	fail := func(err error) *Response {
		return &Response{
			Err:  err,
			Took: time.Since(started),
		}
	}
	d := net.Dialer{
		Timeout: time.Second,
	}
	conn, err := d.DialContext(ctx, "tcp", front)
	if err != nil {
		return fail(err)
	}
	defer func() { _ = conn.Close() }()
	if q.Deadline > 0 {
		_ = conn.SetDeadline(started.Add(q.Deadline))
	}
	if _, err := conn.Write(q.head()); err != nil {
		return fail(err)
	}
	if q.Part > 0 {
		if err := q.writeBody(conn, q.Part); err != nil {
			return fail(err)
		}
		time.Sleep(q.Pause)
		return fail(errLeft)
	}
	if err := q.writeBody(conn, len(q.Body)); err != nil {
		return fail(err)
	}
	res, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{
		Method: q.Method,
	})
	if err != nil {
		return fail(err)
	}
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(res.Body)
	return &Response{
		Status: res.StatusCode,
		Header: res.Header,
		Body:   body,
		Err:    err,
		Took:   time.Since(started),
		Read:   len(body),
	}
}

var errLeft = fmt.Errorf("kit: the client left before its body was whole")
