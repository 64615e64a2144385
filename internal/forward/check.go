// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/url"
	"sync/atomic"

	"ploverjunction.example/ploverjunction/internal/response"
)

// maxCheckHead is the greatest estimated memory in bytes of a head of an answer to a check: some 400 lines. There are
// tens of checks at once, whose answers need few lines.
const maxCheckHead = 256 << 10

// ScanChecks returns a dial function whose connections fail for malformed answers, and once a head of an answer takes more
// memory than that to a health or path check may take. Each carries one check at a time.
func ScanChecks(dial response.DialFunc) response.DialFunc {
	return response.Dial(dial, response.Bounds{
		Memory:   maxCheckHead,
		Interims: maxInterims,
	})
}

// Connect opens a connection to a target and closes it.
func (c *Client) Connect(ctx context.Context, target string) error {
	conn, err := c.dial(ctx, "tcp", target)
	if err != nil {
		return &Error{
			kind:   KindConnect,
			target: target,
			cause:  err,
		}
	}
	c.connections.count(CauseCheck)
	return conn.Close()
}

// Exchange requests the path of a target's health endpoint on a new connection and waits for any
// response. An empty path stands for the OPTIONS request that concerns no resource (RFC 9110, section
// 9.3.7). The error is an *Error of KindMalformed if the target sent what is no answer.
func (c *Client) Exchange(ctx context.Context, target, path string) error {
	r := (&http.Request{
		Method: http.MethodGet,
		Host:   target,
		URL: &url.URL{
			Scheme: "http",
			Host:   target,
			Path:   path,
		},
		Header: http.Header{
			"User-Agent": {""},
		},
		Close: true,
	}).WithContext(ctx)
	if path == "" {
		r.Method, r.URL.Opaque = http.MethodOptions, "*"
	}
	c.connections.count(CauseCheck)
	var carrier atomic.Pointer[response.Conn]
	transport := http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := ScanChecks(c.dial)(ctx, network, address)
			if scanned, ok := conn.(*response.Conn); ok {
				carrier.Store(scanned)
			}
			return conn, err
		},
		DisableKeepAlives: true,

		MaxResponseHeaderBytes: MaxAnswerHeader,
	}
	res, err := transport.RoundTrip(r)
	if conn := carrier.Load(); err != nil && conn != nil && conn.NoAnswer() {
		return &Error{
			kind:   KindMalformed,
			target: target,
			cause:  err,
		}
	}
	if err != nil {
		return fmt.Errorf("forward: check of %s: %w", target, err)
	}
	return res.Body.Close()
}
