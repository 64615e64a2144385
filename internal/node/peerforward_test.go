// SPDX-License-Identifier: Apache-2.0

package node_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"ploverjunction.example/ploverjunction/internal/attempt"
	"ploverjunction.example/ploverjunction/internal/contract"
	"ploverjunction.example/ploverjunction/internal/entry"
	"ploverjunction.example/ploverjunction/internal/forward"
	"ploverjunction.example/ploverjunction/internal/link"
	"ploverjunction.example/ploverjunction/internal/node"
	"ploverjunction.example/ploverjunction/internal/task"
	"ploverjunction.example/ploverjunction/internal/wire"
)

// scriptedPeer answers each forwarded request with the parts of the script that its URI names, before it has accepted it
// if the URI has "at-once".
type scriptedPeer struct {
	wire.DRPCPeerUnimplementedServer
	scripts map[string][]*wire.ForwardResponse
}

func (p *scriptedPeer) Forward(stream wire.DRPCPeer_ForwardStream) error {
	in, err := stream.Recv()
	if err != nil {
		return err
	}
	script := p.scripts[in.GetHead().GetUri()]
	accepted := !strings.Contains(in.GetHead().GetUri(), "at-once")
	if accepted {
		if err := stream.Send(&wire.ForwardResponse{
			Accepted: true,
		}); err != nil {
			return err
		}
	}
	for accepted && !in.GetEnd() {
		if in, err = stream.Recv(); err != nil {
			return err
		}
	}
	for _, part := range script {
		if err := stream.Send(part); err != nil {
			return err
		}
	}
	return nil
}

func peerHead(status uint32, length int64, fields ...string) *wire.ForwardResponse {
	h := &wire.ResponseHead{
		Status: status,
		Length: length,
	}
	for _, f := range fields {
		name, value, _ := strings.Cut(f, ": ")
		h.Fields = append(h.Fields, &wire.Field{
			Name:  name,
			Value: []byte(value),
		})
	}
	return &wire.ForwardResponse{
		Head: h,
	}
}

func peerPart(body string, end bool) *wire.ForwardResponse {
	return &wire.ForwardResponse{
		Body: []byte(body),
		End:  end,
	}
}

func peerRefusal(status uint32, unable bool) *wire.ForwardResponse {
	return &wire.ForwardResponse{
		Refusal: &wire.Refusal{
			Code:   "no-target",
			Status: status,
			Unable: unable,
		},
		End: true,
	}
}

// peerScripts are answers of peers. Those with a body are in order.
var peerScripts = []struct {
	name   string
	method string
	parts  []*wire.ForwardResponse
	whole  bool
	body   string
}{
	{
		name:  "length",
		parts: []*wire.ForwardResponse{peerHead(200, 4, "Content-Length: 4", "X-Field: \xe9"), peerPart("do", false), peerPart("ne", false), peerPart("", true)},
		whole: true,
		body:  "done",
	},
	{
		name:  "no length",
		parts: []*wire.ForwardResponse{peerHead(200, -1), peerPart("done", false), peerPart("", true)},
		whole: true,
		body:  "done",
	},
	{
		name:   "HEAD",
		method: http.MethodHead,
		parts:  []*wire.ForwardResponse{peerHead(200, 4, "Content-Length: 4"), peerPart("", true)},
		whole:  true,
	},
	{
		name:  "304",
		parts: []*wire.ForwardResponse{peerHead(304, 4, "Content-Length: 4"), peerPart("", true)},
		whole: true,
	},
	{
		name: "body beside its head",
		parts: []*wire.ForwardResponse{
			{
				Head: peerHead(200, -1).GetHead(),
				Body: []byte("do"),
			},
			peerPart("ne", true),
		},
		whole: true,
		body:  "done",
	},
	{
		name:  "status 0",
		parts: []*wire.ForwardResponse{peerHead(0, 4), peerPart("done", true)},
	},
	{
		name:  "status 99",
		parts: []*wire.ForwardResponse{peerHead(99, 4), peerPart("done", true)},
	},
	{
		name:  "status 100",
		parts: []*wire.ForwardResponse{peerHead(100, 4), peerPart("done", true)},
	},
	{
		name:  "status 101",
		parts: []*wire.ForwardResponse{peerHead(101, 4), peerPart("done", true)},
	},
	{
		name:  "status 600",
		parts: []*wire.ForwardResponse{peerHead(600, 4), peerPart("done", true)},
	},
	{
		name:  "status 1000",
		parts: []*wire.ForwardResponse{peerHead(1000, 4), peerPart("done", true)},
	},
	{
		name:  "name with a blank",
		parts: []*wire.ForwardResponse{peerHead(200, 4, "X Odd: 1"), peerPart("done", true)},
	},
	{
		name:  "empty name",
		parts: []*wire.ForwardResponse{peerHead(200, 4, ": 1"), peerPart("done", true)},
	},
	{
		name:  "line end in a value",
		parts: []*wire.ForwardResponse{peerHead(200, 4, "X-Odd: a\r\nX-Other: b"), peerPart("done", true)},
	},
	{
		name:  "another length in the fields",
		parts: []*wire.ForwardResponse{peerHead(200, 4, "Content-Length: 10"), peerPart("done", true)},
	},
	{
		name:  "another length in a field of other case",
		parts: []*wire.ForwardResponse{peerHead(200, 4, "content-length: 10"), peerPart("done", true)},
	},
	{
		name:  "two lengths in the fields",
		parts: []*wire.ForwardResponse{peerHead(200, 4, "Content-Length: 4", "Content-Length: 10"), peerPart("done", true)},
	},
	{
		name:  "length in the fields only",
		parts: []*wire.ForwardResponse{peerHead(200, -1, "Content-Length: 4"), peerPart("done", true)},
	},
	{
		name:  "negative length",
		parts: []*wire.ForwardResponse{peerHead(200, -2), peerPart("done", true)},
	},
	{
		name:  "shorter than its length",
		parts: []*wire.ForwardResponse{peerHead(200, 10, "Content-Length: 10"), peerPart("done", false), peerPart("", true)},
	},
	{
		name:  "longer than its length",
		parts: []*wire.ForwardResponse{peerHead(200, 4, "Content-Length: 4"), peerPart("done, and more", false), peerPart("", true)},
	},
	{
		name:   "HEAD with a body",
		method: http.MethodHead,
		parts:  []*wire.ForwardResponse{peerHead(200, 4, "Content-Length: 4"), peerPart("done", true)},
	},
	{
		name:  "no end",
		parts: []*wire.ForwardResponse{peerHead(200, -1), peerPart("done", false)},
	},
	{
		name:  "no end of the length",
		parts: []*wire.ForwardResponse{peerHead(200, 10, "Content-Length: 10"), peerPart("done", false)},
	},
	{
		name:  "second head",
		parts: []*wire.ForwardResponse{peerHead(200, -1), peerPart("do", false), peerHead(200, -1), peerPart("ne", true)},
	},
	{
		name:  "refusal in the body",
		parts: []*wire.ForwardResponse{peerHead(200, -1), peerPart("done", false), peerRefusal(503, false)},
	},
	{
		name:  "no head",
		parts: []*wire.ForwardResponse{peerPart("done", true)},
	},
	{
		name: "nothing",
	},
	{
		name:  "refused with status 0",
		parts: []*wire.ForwardResponse{peerRefusal(0, false)},
	},
	{
		name:  "refused with status 99",
		parts: []*wire.ForwardResponse{peerRefusal(99, false)},
	},
	{
		name:  "refused with status 200",
		parts: []*wire.ForwardResponse{peerRefusal(200, false)},
	},
	{
		name:  "refused with status 600",
		parts: []*wire.ForwardResponse{peerRefusal(600, false)},
	},
	{
		name:  "refused at once with status 99",
		parts: []*wire.ForwardResponse{peerRefusal(99, false)},
	},
	{
		name:  "unable with status 1000",
		parts: []*wire.ForwardResponse{peerRefusal(1000, true)},
	},
}

// Guards against answers of peers of other versions that reach a caller though they are none, or prove that a request has
// not run.
func TestMalformedAnswersOfPeers(t *testing.T) {
	p := &scriptedPeer{
		scripts: map[string][]*wire.ForwardResponse{},
	}
	s, err := link.Listen("127.0.0.1:0", nil, &link.Traffic{}, link.Bounds{}, p, func(error) {})
	if err != nil {
		t.Fatal(err)
	}
	uri := func(name string) string { return "/" + strings.ReplaceAll(name, " ", "-") }
	for _, tt := range peerScripts {
		p.scripts[uri(tt.name)] = tt.parts
	}
	ctx, cancel := context.WithCancel(t.Context())
	running := task.Go(ctx, "server", s.Serve)
	d := link.NewDialer(nil, &link.Traffic{})
	defer func() {
		d.Close()
		cancel()
		if err := <-running.Done(); err != nil {
			t.Error(err)
		}
	}()
	// An early answer to an upload is not read to its end before it is passed on.
	for _, upload := range []string{"", "upload"} {
		for _, hold := range []int64{0, 1 << 10} {
			for _, tt := range peerScripts {
				t.Run(strings.Join([]string{tt.name, upload, map[int64]string{0: "streamed"}[hold]}, "/"), func(t *testing.T) {
					c := forward.NewClient(contract.Plover(), hold, 5*time.Second, netip.Addr{})
					defer c.Close()
					r := &forward.Request{
						Target:   s.Addr(),
						Method:   tt.method,
						URI:      uri(tt.name),
						Header:   http.Header{},
						Deadline: time.Now().Add(5 * time.Second),
						Via: func(r *http.Request) (*http.Response, error) {
							return node.ForwardTo(d, s.Addr(), r, &entry.PeerHead{})
						},
					}
					if upload != "" {
						r.Body, r.Length = strings.NewReader(upload), int64(len(upload))
					}
					body, err := readAnswer(c, r)
					if tt.whole {
						if err != nil || body != tt.body {
							t.Errorf("%q, %v", body, err)
						}
						return
					}
					var fe *forward.Error
					if !errors.As(err, &fe) {
						t.Fatalf("%q, %v", body, err)
					}
					if fe.Outcome() != attempt.OutcomeUnknown || fe.Proof() != "" {
						t.Errorf("outcome %v, proof %q: %v", fe.Outcome(), fe.Proof(), err)
					}
					var refused *entry.PeerRefusal
					if errors.As(err, &refused) {
						t.Errorf("taken for a refusal: %v", err)
					}
				})
			}
		}
	}
}

func readAnswer(c *forward.Client, r *forward.Request) (string, error) {
	a, err := c.Do(context.Background(), r)
	if err != nil {
		return "", err
	}
	defer a.Close()
	b, err := io.ReadAll(a)
	return string(b), err
}
