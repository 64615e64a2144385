// SPDX-License-Identifier: Apache-2.0

package dissemination_test

import (
	"bytes"
	"context"
	"encoding/base64"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/protobuf/proto"

	"ploverjunction.example/ploverjunction/internal/order"
	"ploverjunction.example/ploverjunction/internal/task"
	"ploverjunction.example/ploverjunction/internal/wire"
)

// manyKeys returns a document with the digests of n keys of a workspace, 27 bytes each.
func manyKeys(n int) []byte {
	random := rand.NewChaCha8([32]byte{1})
	digest := make([]byte, 16)
	var b bytes.Buffer
	b.WriteString(`{"workspaces":[{"id":"w","keys":["`)
	for i := range n {
		if i > 0 {
			b.WriteString(`","`)
		}
		_, _ = random.Read(digest)
		b.WriteString(base64.StdEncoding.EncodeToString(digest))
	}
	b.WriteString(`"]}]}`)
	return b.Bytes()
}

// Guards against documents that are in force where the source was read and never reach other nodes.
func TestLargeDocumentsSpread(t *testing.T) {
	tests := []struct {
		name  string
		value []byte
		// upTo is the position up to which the first node is complete; nodes pull by position if it is set.
		upTo order.Position
	}{
		{
			name:  "routes, by digest",
			value: manyRoutes(),
		},
		{
			name:  "keys, by digest",
			value: manyKeys(131_000),
		},
		{
			name:  "keys, by position",
			value: manyKeys(131_000),
			upTo:  order.At(0, 1),
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(2)
				ctx, cancel := context.WithCancel(t.Context())
				var g task.Group
				for _, p := range f.peers {
					g.Go(ctx, "node", p.gossip.Run)
				}
				f.peers["192.0.2.0:1"].gossip.PublishTo([]*wire.Entry{
					{
						Key:      "key",
						Revision: 1,
						Value:    tt.value,
					},
				}, tt.upTo)
				time.Sleep(5 * time.Second)
				synctest.Wait()
				if _, there := f.peers["192.0.2.1:1"].replica.InForce()["key"]; !there {
					t.Errorf("a document of %d bytes is not in force at another node", len(tt.value))
				}
				cancel()
				if err := g.Wait(); err != nil {
					t.Fatal(err)
				}
			})
		})
	}
}

// Guards against messages that grow with the number of large documents: a message of more than the bound of
// a connection is never received.
func TestMessagesOfLargeDocumentsAreBounded(t *testing.T) {
	const (
		documents = 20
		// maxMessage is in bytes: a quarter of what a connection of drpc accepts unless it is told otherwise.
		maxMessage = 1 << 20
	)
	from, to := newReplica(), newReplica()
	var keys []string
	for i := range documents {
		keys = append(keys, fmt.Sprintf("key-%d", i))
		from.Offer([]*wire.Entry{
			{
				Key:      keys[i],
				Revision: uint64(i + 1),
				Value:    manyKeys(10_000),
			},
		})
	}
	for len(keys) > 0 {
		sent := from.Entries(keys)
		size := 0
		for _, e := range sent {
			size += proto.Size(e)
		}
		if len(sent) == 0 || size > maxMessage {
			t.Fatalf("%d documents of %d bytes in one message", len(sent), size)
		}
		to.Offer(sent)
		keys = keys[len(sent):]
	}
	if to.Len() != documents {
		t.Errorf("%d documents received of %d", to.Len(), documents)
	}
}
