// SPDX-License-Identifier: Apache-2.0

package link_test

import (
	"bytes"
	"context"
	"errors"
	"io"
	"strings"
	"testing"

	"ploverjunction.example/ploverjunction/internal/link"
	"ploverjunction.example/ploverjunction/internal/memory"
	"ploverjunction.example/ploverjunction/internal/task"
	"ploverjunction.example/ploverjunction/internal/wire"
)

// headSender answers forwarded requests with a head whose size in bytes is the length of the request.
type headSender struct {
	wire.DRPCPeerUnimplementedServer
}

func (*headSender) Forward(stream wire.DRPCPeer_ForwardStream) error {
	in, err := stream.Recv()
	if err != nil {
		return err
	}
	if err := stream.Send(&wire.ForwardResponse{
		Accepted: true,
	}); err != nil {
		return err
	}
	if _, err := stream.Recv(); err != nil {
		return err
	}
	return stream.Send(&wire.ForwardResponse{
		Head: &wire.ResponseHead{
			Status: 200,
			Fields: []*wire.Field{
				{
					Name:  "a",
					Value: bytes.Repeat([]byte("b"), int(in.GetHead().GetLength())),
				},
			},
		},
		End: true,
	})
}

// Guards against heads of peers' answers that take memory without a bound, and against memory that is not returned.
func TestHeadsOfPeersAnswersAreBounded(t *testing.T) {
	s, err := link.Listen("127.0.0.1:0", nil, &link.Traffic{}, link.Bounds{}, &headSender{}, func(error) {})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	running := task.Go(ctx, "server", s.Serve)
	d := link.NewDialer(nil, &link.Traffic{})
	b := memory.NewBudget(8 << 20)
	d.BoundAnswers(b)
	t.Cleanup(func() {
		d.Close()
		cancel()
		if err := <-running.Done(); err != nil {
			t.Error(err)
		}
	})
	for _, tt := range []struct {
		size int64
		held bool
		fail bool
	}{
		{
			size: 1 << 10,
		},
		{
			size: 100 << 10,
			held: true,
		},
		{
			size: 1 << 20,
			fail: true,
		},
		{
			size: 1 << 10,
		},
	} {
		f, err := d.Forward(t.Context(), s.Addr(), &wire.RequestHead{
			Length: tt.size,
		})
		if err != nil {
			t.Fatal(err)
		}
		if err := f.SendBody(strings.NewReader("")); err != nil {
			t.Fatal(err)
		}
		in, err := f.Receive()
		if tt.fail != (err != nil) || err == nil && len(in.GetHead().GetFields()[0].GetValue()) != int(tt.size) {
			t.Errorf("head of %d bytes: %v, want an error %v", tt.size, err, tt.fail)
		}
		if held := b.Used() > 0; err == nil && held != tt.held {
			t.Errorf("head of %d bytes: %d bytes held, want some %v", tt.size, b.Used(), tt.held)
		}
		if _, err := f.Receive(); !tt.fail && !errors.Is(err, io.EOF) {
			t.Errorf("%v after the end of the answer", err)
		}
		f.Close()
		if b.Used() != 0 {
			t.Errorf("head of %d bytes: %d bytes held after the end", tt.size, b.Used())
		}
	}
}
