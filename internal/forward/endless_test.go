// SPDX-License-Identifier: Apache-2.0

package forward_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"ploverjunction.example/ploverjunction/internal/contract"
	"ploverjunction.example/ploverjunction/internal/forward"
)

// Bounds of TestAnswersWithoutEnd.
const (
	endlessWait = 2 * time.Second
	endlessHold = 1 << 10
	// endlessBytes is more than what a client reads of a header before it gives up.
	endlessBytes = 2 * forward.MaxAnswerHeader
	// attendedTime and sizedTime bound answers for which a caller waits, without and with a length.
	attendedTime = 10*time.Minute + 10*time.Second
	sizedTime    = time.Hour + 10*time.Second
	// unattendedTime bounds those with a length for which none does.
	unattendedTime = 40 * time.Second
)

// endless returns a target that reads a request and sends head and then parts without end, one each
// pause, and counts their bytes.
func endless(head, part string, pause time.Duration, sent *atomic.Int64) func(net.Conn) {
	return func(c net.Conn) {
		defer func() { _ = c.Close() }()
		req, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		for text := head; ; text = part {
			n, err := io.WriteString(c, text)
			sent.Add(int64(n))
			if err != nil {
				return
			}
			time.Sleep(pause)
		}
	}
}

// Guards against bytes without end, in a head or a body, that hold an attempt or are taken for an answer.
func TestAnswersWithoutEnd(t *testing.T) {
	const status = "HTTP/1.1 200 OK\r\nPlover-Request-Id: the-id\r\n"
	tests := []struct {
		name string
		head string
		part string
		// pause is the time between two parts.
		pause      time.Duration
		unattended bool
		// most is how long the answer may take, mostBytes how many bytes the target may send; 0 means any.
		most      time.Duration
		mostBytes int
	}{
		{
			name:      "no line",
			head:      strings.Repeat("x", 100),
			part:      strings.Repeat("x", 1000),
			most:      endlessWait,
			mostBytes: endlessBytes,
		},
		{
			name:  "no line, slow",
			head:  "x",
			part:  "x",
			pause: 100 * time.Millisecond,
			most:  endlessWait,
		},
		{
			name:      "header lines",
			head:      status,
			part:      "X-More: " + strings.Repeat("x", 1000) + "\r\n",
			most:      endlessWait,
			mostBytes: endlessBytes,
		},
		{
			name:  "header lines, slow",
			head:  status,
			part:  "X: y\r\n",
			pause: time.Second,
			most:  endlessWait,
		},
		{
			name:      "interim responses",
			head:      "HTTP/1.1 103 Early Hints\r\n\r\n",
			part:      "HTTP/1.1 103 Early Hints\r\nLink: " + strings.Repeat("x", 1000) + "\r\n\r\n",
			most:      endlessWait,
			mostBytes: endlessBytes,
		},
		{
			name:  "interim responses, slow",
			head:  "HTTP/1.1 103 Early Hints\r\n\r\n",
			part:  "HTTP/1.1 103 Early Hints\r\n\r\n",
			pause: 100 * time.Millisecond,
			most:  endlessWait,
		},
		{
			name:  "body without a length",
			head:  status + "\r\n",
			part:  strings.Repeat("x", 1000),
			pause: 10 * time.Millisecond,
			most:  attendedTime,
		},
		{
			name:  "body without a length, slow",
			head:  status + "\r\n" + strings.Repeat("x", 2*endlessHold),
			part:  "x",
			pause: time.Second,
			most:  attendedTime,
		},
		{
			name:  "body in chunks",
			head:  status + "Transfer-Encoding: chunked\r\n\r\n",
			part:  "3e8\r\n" + strings.Repeat("x", 1000) + "\r\n",
			pause: 10 * time.Millisecond,
			most:  attendedTime,
		},
		{
			name:  "chunk extension",
			head:  status + "Transfer-Encoding: chunked\r\n\r\n3e8;x=",
			part:  strings.Repeat("x", 1000),
			pause: 10 * time.Millisecond,
			most:  endlessWait,
		},
		{
			name:  "trailers",
			head:  status + "Transfer-Encoding: chunked\r\n\r\n0\r\n",
			part:  "X-More: " + strings.Repeat("x", 1000) + "\r\n",
			pause: 10 * time.Millisecond,
			most:  endlessWait,
		},
		{
			name:  "body that is held, slow",
			head:  status + "\r\n",
			part:  "x",
			pause: 100 * time.Millisecond,
			most:  endlessWait,
		},
		{
			name:  "body of a great length",
			head:  status + "Content-Length: 1000000000000000\r\n\r\n",
			part:  strings.Repeat("x", 1000),
			pause: 100 * time.Millisecond,
			most:  sizedTime,
		},
		{
			name:       "body without a length, no caller",
			head:       status + "\r\n",
			part:       strings.Repeat("x", 1000),
			pause:      10 * time.Millisecond,
			unattended: true,
			most:       endlessWait,
		},
		{
			name:       "body of a great length, no caller",
			head:       status + "Content-Length: 1000000000000000\r\n\r\n",
			part:       strings.Repeat("x", 1000),
			pause:      100 * time.Millisecond,
			unattended: true,
			most:       unattendedTime,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := forward.NewClient(contract.Plover(), endlessHold, 5*time.Second, netip.Addr{})
				var sent atomic.Int64
				c.SetDial(pipe(endless(tt.head, tt.part, tt.pause, &sent)))
				r := request(time.Now().Add(endlessWait))
				r.Unattended = tt.unattended
				started := time.Now()
				n, err := readAnswer(c, r)
				if took := time.Since(started); err == nil || took > tt.most {
					t.Errorf("%d bytes of a body after %v: %v", n, took, err)
				}
				c.Close()
				time.Sleep(endlessWait)
				if tt.mostBytes > 0 && sent.Load() > int64(tt.mostBytes) {
					t.Errorf("the target sent %d bytes", sent.Load())
				}
			})
		})
	}
}

// readAnswer makes an attempt and reads the answer to its end.
func readAnswer(c *forward.Client, r *forward.Request) (int64, error) {
	a, err := c.Do(context.Background(), r)
	if err != nil {
		return 0, err
	}
	defer a.Close()
	return io.Copy(io.Discard, a)
}

// endlessReader returns a byte after each pause.
type endlessReader struct {
	ctx   context.Context
	pause time.Duration
}

// Read returns a byte, or the error of the context.
func (r *endlessReader) Read(b []byte) (int, error) {
	select {
	case <-r.ctx.Done():
		return 0, r.ctx.Err()
	case <-time.After(r.pause):
		b[0] = 'x'
		return 1, nil
	}
}

// Close does nothing.
func (r *endlessReader) Close() error { return nil }

// Guards against an answer by way of a peer that never ends.
func TestAnswerOfPeerWithoutEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := forward.NewClient(contract.Plover(), endlessHold, 5*time.Second, netip.Addr{})
		r := request(time.Now().Add(endlessWait))
		r.Via = func(r *http.Request) (*http.Response, error) {
			return &http.Response{
				StatusCode: http.StatusOK,
				Header: http.Header{
					contract.HeaderRequestID: {"the-id"},
				},
				ContentLength: 1 << 40,
				Body: &endlessReader{
					ctx:   r.Context(),
					pause: time.Second,
				},
				Request: r,
			}, nil
		}
		started := time.Now()
		if n, err := readAnswer(c, r); err == nil || time.Since(started) > sizedTime {
			t.Errorf("%d bytes after %v: %v", n, time.Since(started), err)
		}
	})
}

// Guards against a check of a path that a target holds by a response without end.
func TestCheckWithoutEnd(t *testing.T) {
	for i, part := range []string{"x", "X: y\r\n", "HTTP/1.1 103 Early Hints\r\n\r\n"} {
		t.Run(fmt.Sprint(i), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := forward.NewClient(contract.Plover(), endlessHold, 5*time.Second, netip.Addr{})
				var sent atomic.Int64
				c.SetDial(pipe(endless("HTTP/1.1 100 Continue\r\n\r\n", part, time.Millisecond, &sent)))
				ctx, cancel := context.WithTimeout(context.Background(), endlessWait)
				defer cancel()
				if err := c.Exchange(ctx, "192.0.2.1:80", "/health"); err == nil {
					t.Error("bytes without end are taken for a response")
				}
				time.Sleep(endlessWait)
			})
		})
	}
}
