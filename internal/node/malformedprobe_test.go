// SPDX-License-Identifier: Apache-2.0

package node_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"testing"
	"time"

	"ploverjunction.example/ploverjunction/internal/node"
	"ploverjunction.example/ploverjunction/internal/wire"
)

// probePartPause is the pause between two parts of an answer, after which the first one was read.
const probePartPause = 50 * time.Millisecond

// startProbeTarget starts a target that sends an answer in parts to each probe, and then ends the connection by end, or closes it.
func startProbeTarget(t *testing.T, end func(net.Conn), parts ...string) string {
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
				if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
					return
				}
				for i, part := range parts {
					if i > 0 {
						time.Sleep(probePartPause)
					}
					_, _ = io.WriteString(c, part)
				}
				if end != nil {
					end(c)
				}
			}()
		}
	}()
	return lis.Addr().String()
}

func probeOnce(t *testing.T, addr string) (draining []string) {
	t.Helper()
	return node.NewProber([]*wire.Entry{
		{
			Key:      "services",
			Revision: 1,
			Value: fmt.Appendf(nil, `{"services":[{"name":"quotes","healthPath":"/health"}],
				"targets":[{"service":"quotes","id":"id-0","address":%q,"dataHall":"a","slots":3,"connections":200}]}`, addr),
		},
	}).Probe(t.Context())
}

// Guards against probes that take what a target says from a response that is none by the protocol, or is not whole, and
// against a check that rejects ones in order.
func TestProbesTakeNothingFromWhatIsNoAnswer(t *testing.T) {
	const (
		leaving = "Plover-State: leaving\r\n"
		head    = "HTTP/1.1 200 OK\r\n" + leaving
	)
	// stall holds a connection until the probe has ended.
	stall := func(c net.Conn) { _, _ = io.Copy(io.Discard, c) }
	tests := []struct {
		name  string
		parts []string
		end   func(net.Conn)
		want  bool
	}{
		{
			name:  "with a length",
			parts: []string{head + "Content-Length: 2\r\n\r\nok"},
			want:  true,
		},
		{
			name:  "in chunks",
			parts: []string{head + "Transfer-Encoding: chunked\r\n\r\n", "2\r\nok\r\n", "0\r\n\r\n"},
			want:  true,
		},
		{
			name:  "without a length",
			parts: []string{head + "\r\n", "ok"},
			want:  true,
		},
		{
			name:  "without a body",
			parts: []string{"HTTP/1.1 204 No Content\r\n" + leaving + "\r\n"},
			want:  true,
		},
		{
			name:  "error",
			parts: []string{"HTTP/1.1 503 Service Unavailable\r\n" + leaving + "Content-Length: 2\r\n\r\nno"},
			want:  true,
		},
		{
			name:  "body that takes long",
			parts: []string{head + "Content-Length: 2\r\n\r\no"},
			end:   stall,
			want:  true,
		},
		{
			name:  "body beyond the bound",
			parts: []string{head + "Content-Length: 1000000\r\n\r\n" + string(make([]byte, 100_000))},
			end:   stall,
			want:  true,
		},
		{
			name:  "status 000",
			parts: []string{"HTTP/1.1 000 OK\r\n" + leaving + "Content-Length: 2\r\n\r\nok"},
		},
		{
			name:  "blank in a name",
			parts: []string{head + "X Odd: 1\r\nContent-Length: 2\r\n\r\nok"},
		},
		{
			name:  "NUL in a value, in parts",
			parts: []string{head + "X: a", "\x00b", "\r\nContent-Length: 2\r\n\r\nok"},
		},
		{
			name:  "head that stops",
			parts: []string{head},
		},
		{
			name:  "head that stops in a line",
			parts: []string{head + "X: a"},
		},
		{
			name:  "body that is cut",
			parts: []string{head + "Content-Length: 2\r\n\r\no"},
		},
		{
			name:  "chunks that stop",
			parts: []string{head + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n"},
		},
		{
			name:  "malformed chunk",
			parts: []string{head + "Transfer-Encoding: chunked\r\n\r\n", "2 2\r\nok\r\n0\r\n\r\n"},
		},
		{
			name:  "malformed trailer",
			parts: []string{head + "Transfer-Encoding: chunked\r\n\r\n", "2\r\nok\r\n0\r\nX Odd: 1\r\n\r\n"},
		},
		{
			name:  "reset without a length",
			parts: []string{head + "\r\n", "ok"},
			end:   func(c net.Conn) { _ = c.(*net.TCPConn).SetLinger(0) },
		},
	}
	for _, tt := range tests {
		draining := probeOnce(t, startProbeTarget(t, tt.end, tt.parts...))
		if got := slices.Equal(draining, []string{"id-0"}); got != tt.want {
			t.Errorf("%s: draining %v, want %v", tt.name, draining, tt.want)
		}
	}
}

// Guards against what another host says that is taken for what the target says.
func TestProbesFollowRedirectionsOnlyWithinTheTarget(t *testing.T) {
	leaving := func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("Plover-State", "leaving") }
	other := httptest.NewServer(http.HandlerFunc(leaving))
	t.Cleanup(other.Close)
	for _, tt := range []struct {
		name string
		// to is where the health endpoint redirects.
		to string
		// says is set if the redirection itself says that the target drains.
		says bool
		want bool
	}{
		{
			name: "to another path",
			to:   "/health/",
			want: true,
		},
		{
			name: "to another host",
			to:   other.URL + "/health/",
		},
		{
			name: "to another host by a target that drains",
			to:   other.URL + "/health/",
			says: true,
			want: true,
		},
	} {
		mux := http.NewServeMux()
		mux.HandleFunc("/health/", leaving)
		mux.HandleFunc("/health", func(w http.ResponseWriter, r *http.Request) {
			if tt.says {
				leaving(w, r)
			}
			http.Redirect(w, r, tt.to, http.StatusFound)
		})
		srv := httptest.NewServer(mux)
		draining := probeOnce(t, srv.Listener.Addr().String())
		srv.Close()
		if got := slices.Equal(draining, []string{"id-0"}); got != tt.want {
			t.Errorf("%s: draining %v, want %v", tt.name, draining, tt.want)
		}
	}
}
