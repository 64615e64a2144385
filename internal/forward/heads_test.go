// SPDX-License-Identifier: Apache-2.0

package forward_test

import (
	"context"
	"io"
	"net/netip"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"ploverjunction.example/ploverjunction/internal/attempt"
	"ploverjunction.example/ploverjunction/internal/contract"
	"ploverjunction.example/ploverjunction/internal/forward"
	"ploverjunction.example/ploverjunction/internal/memory"
	"ploverjunction.example/ploverjunction/internal/response"
)

// Guards against heads that are missed after interim responses or however they are split, and bodies taken for heads.
func TestHeadsOfAnswersAreScannedAsTheyArrive(t *testing.T) {
	lines := strings.Repeat("a:\r\n", 1000)
	tests := []struct {
		name  string
		text  string
		large bool
		final bool
		// malformed is set for an answer that is rejected at its beginning.
		malformed bool
	}{
		{
			name:  "ordinary",
			text:  "HTTP/1.1 200 OK\r\nA: b\r\n\r\n" + lines,
			final: true,
		},
		{
			name:  "many lines",
			text:  "HTTP/1.1 200 OK\r\n" + lines + "\r\n",
			large: true,
			final: true,
		},
		{
			name:  "many lines after interim responses",
			text:  "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103\r\nA: b\r\n\r\nHTTP/1.1 200 OK\n" + lines + "\n",
			large: true,
			final: true,
		},
		{
			name:      "many lines after two blanks before the status",
			text:      "HTTP/1.1  200 OK\n" + lines + "\n",
			malformed: true,
		},
		{
			name:  "ordinary after interim responses",
			text:  "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200\r\n\r\n" + lines,
			final: true,
		},
		{
			name:  "many lines of an interim response",
			text:  "HTTP/1.1 103 Early Hints\r\n" + lines + "\r\nHTTP/1.1 200 OK\r\n\r\n",
			large: true,
			final: true,
		},
		{
			name:      "another protocol",
			text:      "HTTP/1.1 101 Switching Protocols\r\n\r\n" + lines,
			malformed: true,
		},
		{
			name:      "rest of another head",
			text:      "b\r\n\r\nHTTP/1.1 200 OK\r\n" + lines,
			malformed: true,
		},
	}
	for _, tt := range tests {
		for _, size := range []int{1, 7, 1000, len(tt.text)} {
			var s response.Scan
			var err error
			for rest := []byte(tt.text); len(rest) > 0 && err == nil; {
				n := min(size, len(rest))
				err = s.Add(rest[:n])
				rest = rest[n:]
			}
			if large := s.Cost() > forward.FreeHead; large != tt.large || s.Final() != tt.final || (err != nil) != tt.malformed {
				t.Errorf("%s, in parts of %d: cost %d, final %v, %v; want large %v, final %v, malformed %v",
					tt.name, size, s.Cost(), s.Final(), err, tt.large, tt.final, tt.malformed)
			}
		}
	}
}

// Guards against memory of heads that is not returned, and against a promise that a request has not run that was
// sent to a target for whose answer there is no memory.
func TestHeadsOfAnswersAreBounded(t *testing.T) {
	const status = "HTTP/1.1 200 OK\r\nPlover-Request-Id: the-id\r\nContent-Length: 1\r\n"
	var lines strings.Builder
	for i := range 1000 {
		lines.WriteString("X-" + strconv.Itoa(i) + ": y\r\n")
	}
	tests := []struct {
		name string
		text string
		// room is the memory for heads in bytes.
		room int64
		held bool
		fail bool
	}{
		{
			name: "ordinary head, no room",
			text: status + "\r\nx",
			room: 1,
		},
		{
			name: "large head",
			text: status + lines.String() + "\r\nx",
			room: 1 << 20,
			held: true,
		},
		{
			name: "large head, no room",
			text: status + lines.String() + "\r\nx",
			room: 256 << 10,
			fail: true,
		},
		{
			name: "large interim response, no room",
			text: "HTTP/1.1 103 Early Hints\r\n" + lines.String() + "\r\n" + status + "\r\nx",
			room: 256 << 10,
			fail: true,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := forward.NewClient(contract.Plover(), endlessHold, 5*time.Second, netip.Addr{})
				b := memory.NewBudget(tt.room)
				c.BoundHeads(b)
				c.SetDial(pipe(reply(tt.text)))
				a, err := c.Do(context.Background(), request(time.Now().Add(endlessWait)))
				if tt.fail != (err != nil) {
					t.Fatalf("got %v, want an error %v", err, tt.fail)
				}
				if err != nil {
					fe := asError(t, err)
					if fe.Kind() != forward.KindMemory || fe.Outcome() != attempt.OutcomeUnknown || fe.Proof() != "" {
						t.Errorf("kind %q, outcome %v, proof %q; want no memory and an unknown outcome", fe.Kind(), fe.Outcome(), fe.Proof())
					}
				} else {
					if tt.held != (b.Used() > 0) {
						t.Errorf("%d bytes are held, want some %v", b.Used(), tt.held)
					}
					if body, err := io.ReadAll(a); string(body) != "x" || err != nil {
						t.Errorf("body %q, %v", body, err)
					}
					a.Close()
				}
				if b.Used() != 0 {
					t.Errorf("%d bytes are held after the attempt", b.Used())
				}
				c.Close()
			})
		})
	}
}

// Guards against an answer to a path check whose head takes memory for thousands of lines, and against a bound that
// ordinary answers meet.
func TestHeadOfAnswerToCheckIsBounded(t *testing.T) {
	const status = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n"
	for lines, fail := range map[int]bool{
		0:    false,
		100:  false,
		1000: true,
	} {
		synctest.Test(t, func(t *testing.T) {
			c := forward.NewClient(contract.Plover(), endlessHold, 5*time.Second, netip.Addr{})
			c.SetDial(pipe(reply("HTTP/1.1 103 Early Hints\r\n\r\n" + status + strings.Repeat("X: y\r\n", lines) + "\r\n")))
			ctx, cancel := context.WithTimeout(context.Background(), endlessWait)
			defer cancel()
			if err := c.Exchange(ctx, "192.0.2.1:80", "/health"); fail != (err != nil) {
				t.Errorf("%d lines: %v, want an error %v", lines, err, fail)
			}
		})
	}
}

// Guards against interim responses without end, each of which net/http allocates, and against a bound that targets in
// order meet.
func TestInterimResponsesAreBounded(t *testing.T) {
	const (
		interim = "HTTP/1.1 103 Early Hints\r\n\r\n"
		final   = "HTTP/1.1 200 OK\r\nPlover-Request-Id: the-id\r\nContent-Length: 1\r\n\r\nx"
	)
	for n, fail := range map[int]bool{
		forward.MaxInterims:     false,
		forward.MaxInterims + 1: true,
	} {
		synctest.Test(t, func(t *testing.T) {
			c := forward.NewClient(contract.Plover(), endlessHold, 5*time.Second, netip.Addr{})
			c.SetDial(pipe(reply(strings.Repeat(interim, n) + final)))
			_, err := readAnswer(c, request(time.Now().Add(endlessWait)))
			if fail != (err != nil) {
				t.Fatalf("%d interim responses: %v, want an error %v", n, err, fail)
			}
			if fail {
				fe := asError(t, err)
				if fe.Kind() != forward.KindEndless || fe.Outcome() != attempt.OutcomeUnknown {
					t.Errorf("kind %q, outcome %v, want an endless answer and an unknown outcome", fe.Kind(), fe.Outcome())
				}
			}
			if err := c.Exchange(context.Background(), "192.0.2.1:80", "/health"); fail != (err != nil) {
				t.Errorf("path check with %d interim responses: %v, want an error %v", n, err, fail)
			}
			c.Close()
		})
	}
}
