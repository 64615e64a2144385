// SPDX-License-Identifier: Apache-2.0

package forward_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"ploverjunction.example/ploverjunction/internal/contract"
	"ploverjunction.example/ploverjunction/internal/forward"
)

const (
	// resetPlays is how often an answer is reset: a write gets the reset in place of a read in about a tenth of them.
	resetPlays = 60
	// resetUpload is the size of the upload in bytes, more than the kernel holds.
	resetUpload = 8 << 20
)

// earlyTarget answers uploads without a length after their first bytes, and then ends the connection with end.
func earlyTarget(t *testing.T, end func(c *net.TCPConn)) string {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = lis.Close() })
	go func() {
		for {
			c, err := lis.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				req, err := http.ReadRequest(bufio.NewReader(c))
				if err != nil {
					return
				}
				_, _ = io.ReadFull(req.Body, make([]byte, 4<<10))
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nPlover-Request-Id: the-id\r\nConnection: close\r\n\r\npart")
				end(c.(*net.TCPConn))
			}()
		}
	}()
	return lis.Addr().String()
}

// Guards against an answer without a length that looks complete after its connection was reset: the kernel reports the reset once,
// to the write of the upload, and reading ends as if the target had closed the connection.
func TestResetEndsNoAnswer(t *testing.T) {
	addr := earlyTarget(t, func(c *net.TCPConn) {
		_ = c.SetLinger(0)
		<-time.After(5 * time.Millisecond)
	})
	for range resetPlays {
		if body, err := readEarly(t, addr); err == nil {
			t.Fatalf("complete with %q", body)
		}
	}
}

// Guards against an answer without a length that is taken for broken though its target has ended it, and goes on reading
// the upload.
func TestOrderlyEndIsAnEnd(t *testing.T) {
	addr := earlyTarget(t, func(c *net.TCPConn) {
		_ = c.CloseWrite()
		_, _ = io.Copy(io.Discard, c)
	})
	for range resetPlays / 10 {
		if body, err := readEarly(t, addr); body != "part" || err != nil {
			t.Fatalf("%q, %v", body, err)
		}
	}
}

// readEarly sends an upload and reads the answer to it.
func readEarly(t *testing.T, addr string) (string, error) {
	t.Helper()
	c := forward.NewClient(contract.Plover(), endlessHold, 5*time.Second, netip.Addr{})
	defer c.Close()
	r := request(time.Now().Add(10 * time.Second))
	r.Target = addr
	r.Body, r.Length = io.LimitReader(zeros{}, resetUpload), resetUpload
	a, err := c.Do(context.Background(), r)
	if err != nil {
		var fe *forward.Error
		if !errors.As(err, &fe) {
			t.Errorf("got %v, want a *forward.Error", err)
		}
		return "", err
	}
	defer a.Close()
	body, err := io.ReadAll(a)
	return string(body), err
}

// zeros is a body of zeros.
type zeros struct{}

func (zeros) Read(p []byte) (int, error) {
	clear(p)
	return len(p), nil
}
