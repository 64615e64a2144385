// SPDX-License-Identifier: Apache-2.0

package link_test

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"

	"ploverjunction.example/ploverjunction/internal/fleetconfig"
	"ploverjunction.example/ploverjunction/internal/link"
	"ploverjunction.example/ploverjunction/internal/task"
	"ploverjunction.example/ploverjunction/internal/wire"
)

// echo answers each call with the digest and the values of its request.
type echo struct {
	wire.DRPCPeerUnimplementedServer
}

func (*echo) Sync(_ context.Context, in *wire.SyncRequest) (*wire.SyncReply, error) {
	return &wire.SyncReply{
		Digest:  in.GetDigest(),
		Entries: in.GetEntries(),
	}, nil
}

// Guards against a dialer that keeps a connection, with its buffers, to each of many peers.
func TestDialerKeepsFewConnections(t *testing.T) {
	const servers, callers, calls = 3 * link.MostIdle, 8, 100
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var running task.Group
	var addresses []string
	for range servers {
		s, err := link.Listen("127.0.0.1:0", nil, &link.Traffic{}, link.Bounds{}, &echo{}, func(error) {})
		if err != nil {
			t.Fatal(err)
		}
		addresses = append(addresses, s.Addr())
		running.Go(ctx, "server", s.Serve)
	}
	d := link.NewDialer(nil, &link.Traffic{})
	var group task.Group
	for c := range callers {
		group.Go(ctx, "caller", func(ctx context.Context) error {
			for i := range calls {
				want := uint64(c*calls + i)
				reply, err := d.Sync(ctx, addresses[(c*7+i*11)%servers], &wire.SyncRequest{
					Digest: want,
				})
				if err != nil {
					return err
				}
				if reply.GetDigest() != want {
					t.Errorf("received the answer to another call")
				}
			}
			return nil
		})
	}
	if err := group.Wait(); err != nil {
		t.Error(err)
	}
	if n := d.Connections(); n > link.MostIdle {
		t.Errorf("%d idle connections, more than the limit", n)
	}
	d.Close()
	cancel()
	if err := running.Wait(); err != nil {
		t.Error(err)
	}
}

// Guards against documents that the nodes accept and a message between them cannot carry.
func TestMessagesCarryTheLargestDocuments(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	var running task.Group
	s, err := link.Listen("127.0.0.1:0", nil, &link.Traffic{}, link.Bounds{}, &echo{}, func(error) {})
	if err != nil {
		t.Fatal(err)
	}
	running.Go(ctx, "server", s.Serve)
	d := link.NewDialer(nil, &link.Traffic{})
	var entries []*wire.Entry
	for range 2 {
		entries = append(entries, &wire.Entry{
			Key:    "key",
			Packed: make([]byte, fleetconfig.MaxDocument),
		})
	}
	reply, err := d.SyncOnce(ctx, s.Addr(), &wire.SyncRequest{
		Entries: entries,
	})
	if err != nil || len(reply.GetEntries()) != len(entries) {
		t.Errorf("%d values returned, error %v", len(reply.GetEntries()), err)
	}
	d.Close()
	cancel()
	if err := running.Wait(); err != nil {
		t.Error(err)
	}
}

// Guards against a call that waits for its turn beyond its own time, behind calls to a peer that does not answer.
func TestCallWaitsForItsTurnUntilItsContextEnds(t *testing.T) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = lis.Close() }()
	d := link.NewDialer(nil, &link.Traffic{})
	defer d.Close()
	first, endFirst := context.WithCancel(t.Context())
	defer endFirst()
	unanswered := task.Go(first, "first call", func(ctx context.Context) error {
		_, err := d.Sync(ctx, lis.Addr().String(), &wire.SyncRequest{})
		return err
	})
	conn, err := lis.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	started := time.Now()
	if _, err := d.Sync(ctx, lis.Addr().String(), &wire.SyncRequest{}); !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("the second call ended with %v", err)
	}
	if took := time.Since(started); took > link.CallTimeout/2 {
		t.Errorf("the second call took %v", took)
	}
	endFirst()
	if err := <-unanswered.Done(); err == nil {
		t.Error("the first call was answered: the test shows nothing")
	}
}
