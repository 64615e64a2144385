// SPDX-License-Identifier: Apache-2.0

package node_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"ploverjunction.example/ploverjunction/internal/node"
	"ploverjunction.example/ploverjunction/internal/wire"
)

// endlessProbeBytes is more than a prober reads of a header, and the buffers of a connection.
const endlessProbeBytes = 16 << 20

// Guards against a health check that a target holds, or fills memory with, by a response without end.
func TestProbesEndWithoutAnEndOfTheResponse(t *testing.T) {
	tests := []struct {
		name string
		head string
		part string
	}{
		{
			name: "line",
			part: "x",
		},
		{
			name: "header",
			head: "HTTP/1.1 200 OK\r\n",
			part: "X-More: y\r\n",
		},
		{
			name: "interim responses",
			part: "HTTP/1.1 103 Early Hints\r\n\r\n",
		},
		{
			name: "body",
			head: "HTTP/1.1 200 OK\r\nPlover-State: leaving\r\n\r\n",
			part: "x",
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			lis, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = lis.Close() }()
			var sent atomic.Int64
			ended := make(chan struct{})
			go func() {
				defer close(ended)
				c, err := lis.Accept()
				if err != nil {
					return
				}
				defer func() { _ = c.Close() }()
				_, _ = io.WriteString(c, tt.head)
				for {
					n, err := io.WriteString(c, repeated(tt.part))
					sent.Add(int64(n))
					if err != nil {
						return
					}
				}
			}()
			p := node.NewProber([]*wire.Entry{
				{
					Key:      "services",
					Revision: 1,
					Value: fmt.Appendf(nil, `{"services":[{"name":"quotes","healthPath":"/health"}],
				"targets":[{"service":"quotes","id":"id-0","address":%q,"dataHall":"a","slots":3,"connections":200}]}`, lis.Addr()),
				},
			})
			done := make(chan struct{})
			go func() {
				defer close(done)
				p.Probe(context.Background())
			}()
			for _, c := range []chan struct{}{done, ended} {
				select {
				case <-c:
				case <-time.After(maxProbeTime):
					t.Fatal("the probe did not end")
				}
			}
			if n := sent.Load(); n > endlessProbeBytes {
				t.Errorf("the target sent %d bytes", n)
			}
		})
	}
}

// maxProbeTime is much longer than the time-out of a probe.
const maxProbeTime = 20 * time.Second

// repeated returns some kilobytes of a text.
func repeated(text string) string {
	out := ""
	for len(out) < 4<<10 {
		out += text
	}
	return out
}
