// SPDX-License-Identifier: Apache-2.0

package forward_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"ploverjunction.example/ploverjunction/internal/attempt"
	"ploverjunction.example/ploverjunction/internal/contract"
	"ploverjunction.example/ploverjunction/internal/forward"
)

// malformed are answers that the protocol does not allow.
var malformed = []struct {
	name string
	text string
	// inBody is set if the head is in order.
	inBody bool
}{
	{
		name: "status 000",
		text: "HTTP/1.1 000 OK\r\nPlover-Request-Id: the-id\r\nContent-Length: 1\r\n\r\nx",
	},
	{
		name: "status 099",
		text: "HTTP/1.1 099 OK\r\nPlover-Request-Id: the-id\r\nContent-Length: 1\r\n\r\nx",
	},
	{
		name: "status +20",
		text: "HTTP/1.1 +20 OK\r\nPlover-Request-Id: the-id\r\nContent-Length: 1\r\n\r\nx",
	},
	{
		name: "status 600",
		text: "HTTP/1.1 600 OK\r\nPlover-Request-Id: the-id\r\nContent-Length: 1\r\n\r\nx",
	},
	{
		name: "change of protocol",
		text: "HTTP/1.1 101 Switching Protocols\r\nPlover-Request-Id: the-id\r\n\r\n",
	},
	{
		name: "another version",
		text: "HTTP/9.9 200 OK\r\nPlover-Request-Id: the-id\r\nContent-Length: 1\r\n\r\nx",
	},
	{
		name: "blank in a name",
		text: "HTTP/1.1 200 OK\r\nPlover-Request-Id: the-id\r\nX Odd: 1\r\nContent-Length: 1\r\n\r\nx",
	},
	{
		name: "control byte in a name",
		text: "HTTP/1.1 200 OK\r\nPlover-Request-Id: the-id\r\nX\x01Odd: 1\r\nContent-Length: 1\r\n\r\nx",
	},
	{
		name: "blank before the colon of the length",
		text: "HTTP/1.1 200 OK\r\nPlover-Request-Id: the-id\r\nContent-Length : 1\r\n\r\nx",
	},
	{
		name: "blank in the name of the length",
		text: "HTTP/1.1 200 OK\r\nPlover-Request-Id: the-id\r\nContent -Length: 1\r\n\r\nx",
	},
	{
		name: "blank before the colon of chunks",
		text: "HTTP/1.1 200 OK\r\nPlover-Request-Id: the-id\r\nTransfer-Encoding : chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n",
	},
	{
		name: "chunks in HTTP/1.0",
		text: "HTTP/1.0 200 OK\r\nPlover-Request-Id: the-id\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n",
	},
	{
		name: "length beside chunks",
		text: "HTTP/1.1 200 OK\r\nPlover-Request-Id: the-id\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n",
	},
	{
		name: "continued line",
		text: "HTTP/1.1 200 OK\r\nPlover-Request-Id: the-id\r\nX-Odd: 1\r\n 2\r\nContent-Length: 1\r\n\r\nx",
	},
	{
		name:   "blank in the name of a trailer",
		text:   "HTTP/1.1 200 OK\r\nPlover-Request-Id: the-id\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\nX Odd: 1\r\n\r\n",
		inBody: true,
	},
	{
		name: "name in an interim response",
		text: "HTTP/1.1 103 Early Hints\r\nX Odd: 1\r\n\r\nHTTP/1.1 200 OK\r\nPlover-Request-Id: the-id\r\nContent-Length: 1\r\n\r\nx",
	},
}

// Guards against malformed answers that are taken for answers, that prove something, or that do not count against their
// target, in attempts and in path checks.
func TestMalformedAnswersAreNoAnswers(t *testing.T) {
	for _, tt := range malformed {
		for _, parts := range []int{1, len(tt.text)} {
			t.Run(fmt.Sprintf("%s in %d parts", tt.name, parts), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					c := forward.NewClient(contract.Plover(), endlessHold, 5*time.Second, netip.Addr{})
					defer c.Close()
					c.SetDial(pipe(replyInParts(tt.text, parts)))
					// A check does not read the body.
					if err := c.Exchange(context.Background(), "192.0.2.1:80", "/health"); err == nil && !tt.inBody {
						t.Error("passes a path check")
					}
					_, err := readAnswer(c, request(time.Now().Add(endlessWait)))
					if err == nil {
						t.Fatal("taken for an answer")
					}
					fe := asError(t, err)
					if fe.Kind() != forward.KindMalformed || fe.Outcome() != attempt.OutcomeUnknown || fe.Proof() != "" || !fe.CountsAgainstTarget() {
						t.Errorf("kind %q, outcome %v, proof %q: %v", fe.Kind(), fe.Outcome(), fe.Proof(), err)
					}
				})
			})
		}
	}
}

// replyInParts reads one request and writes text in a number of parts.
func replyInParts(text string, parts int) func(net.Conn) {
	return func(c net.Conn) {
		defer func() { _ = c.Close() }()
		req, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		size := (len(text) + parts - 1) / parts
		for rest := text; rest != ""; rest = rest[min(size, len(rest)):] {
			if _, err := io.WriteString(c, rest[:min(size, len(rest))]); err != nil {
				return
			}
		}
	}
}

// Guards against an answer with two IDs, of which either may be that of its request.
func TestAnswerWithTwoIDsIsForeign(t *testing.T) {
	const text = "HTTP/1.1 200 OK\r\nPlover-Request-Id: the-id\r\nPlover-Request-Id: other\r\nContent-Length: 1\r\n\r\nx"
	c := forward.NewClient(contract.Plover(), endlessHold, 5*time.Second, netip.Addr{})
	defer c.Close()
	c.SetDial(pipe(reply(text)))
	_, err := readAnswer(c, request(time.Now().Add(time.Minute)))
	if err == nil {
		t.Fatal("taken for an answer")
	}
	if fe := asError(t, err); fe.Kind() != forward.KindForeign || fe.Outcome() != attempt.OutcomeUnknown {
		t.Errorf("kind %q, outcome %v", fe.Kind(), fe.Outcome())
	}
}

// Guards against a proof of two readings: one that says that the request did not run, and one that says that it did.
func TestAnswerWithTwoOutcomesProvesNothing(t *testing.T) {
	const text = "HTTP/1.1 503 Busy\r\nPlover-Request-Id: the-id\r\nPlover-Outcome: not-run\r\nPlover-Outcome: done\r\nContent-Length: 0\r\n\r\n"
	c := forward.NewClient(contract.Plover(), endlessHold, 5*time.Second, netip.Addr{})
	defer c.Close()
	c.SetDial(pipe(reply(text)))
	_, err := readAnswer(c, request(time.Now().Add(time.Minute)))
	if err == nil {
		return
	}
	if fe := asError(t, err); fe.Outcome() == attempt.OutcomeNotRun || fe.Proof() != "" {
		t.Errorf("kind %q, outcome %v, proof %q", fe.Kind(), fe.Outcome(), fe.Proof())
	}
}

// Guards against a path check that takes what is no answer for a path that is lost, or a path that is lost for it.
func TestCheckTellsWhatIsNoAnswer(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n"
	for text, malformed := range map[string]bool{
		"":                    false,
		"HTTP/1.1 000 OK\r\n": true,
		"HTTP/1.1 20":         true,
		head:                  true,
		head + "X: y":         true,
		head + "X Odd: 1":     true,
	} {
		synctest.Test(t, func(t *testing.T) {
			c := forward.NewClient(contract.Plover(), endlessHold, 5*time.Second, netip.Addr{})
			defer c.Close()
			c.SetDial(pipe(replyInParts(text, 1)))
			err := c.Exchange(context.Background(), "192.0.2.1:80", "/health")
			var fe *forward.Error
			if err == nil || (errors.As(err, &fe) && fe.Kind() == forward.KindMalformed) != malformed {
				t.Errorf("%q: %v, want malformed %v", text, err, malformed)
			}
		})
	}
}
