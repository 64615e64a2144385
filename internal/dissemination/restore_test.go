// SPDX-License-Identifier: Apache-2.0

package dissemination_test

import (
	"bytes"
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"ploverjunction.example/ploverjunction/internal/dissemination"
	"ploverjunction.example/ploverjunction/internal/fleetconfig"
	"ploverjunction.example/ploverjunction/internal/order"
	"ploverjunction.example/ploverjunction/internal/wire"
)

// largeAt returns a value of "config" that is sent compressed.
func largeAt(era, rev uint64, name string) *wire.Entry {
	e := &wire.Entry{
		Key:   "config",
		Value: bytes.Replace(manyRoutes(), []byte("route-1"), []byte(name+"-1"), 1),
	}
	fleetconfig.SetVersion(e, order.NewVersion(order.At(era, rev), order.Stamp{}, order.At(era, rev)))
	return e
}

func newReplica() *dissemination.Replica {
	return dissemination.NewReplica(func(*fleetconfig.Config, []fleetconfig.Refusal) {})
}

// Guards against a cached compressed value of an earlier era that is sent in place of the one with the same revision.
func TestLargeValueOfLaterEraIsSent(t *testing.T) {
	from, to := newReplica(), newReplica()
	from.Offer([]*wire.Entry{largeAt(1, 7, "route")})
	to.Offer(from.Entries([]string{"config"}))
	later := largeAt(2, 7, "later")
	from.Offer([]*wire.Entry{later})
	to.Offer(from.Entries([]string{"config"}))
	if got := to.Newest("config"); got.GetEra() != 2 || !bytes.Equal(got.GetValue(), later.GetValue()) {
		t.Errorf("era %d, %d bytes", got.GetEra(), len(got.GetValue()))
	}
}

// Guards against a value that is not requested because one of an earlier era with a greater revision was.
func TestValueOfLaterEraIsRequestedAtOnce(t *testing.T) {
	r, now := newReplica(), time.Now()
	names := func(era, rev uint64) []*wire.KeyRevision {
		return []*wire.KeyRevision{fleetconfig.KeyRevision("config", order.NewVersion(order.At(era, rev), order.Stamp{}, order.At(era, rev)))}
	}
	if _, wanted := r.Compare(now, names(1, 44), false); len(wanted) != 1 {
		t.Fatal("an unknown value is not requested")
	}
	if _, wanted := r.Compare(now, names(1, 44), false); len(wanted) != 0 {
		t.Error("a value is requested again at once")
	}
	if _, wanted := r.Compare(now, names(2, 41), false); len(wanted) != 1 {
		t.Error("the value of the later era is not requested")
	}
}

// A restore moves all values to a new era. Guards against bytes per node that grow with the nodes, not only with the values.
func TestBytesAfterRestore(t *testing.T) {
	const values = 60
	each := map[int]int{}
	for _, nodes := range []int{20, 80} {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(nodes)
			all := func(era uint64) []*wire.Entry {
				list := manyValues(values)
				for _, e := range list {
					position := order.At(era, e.GetRevision())
					fleetconfig.SetVersion(e, order.NewVersion(position, order.StampOf(1_700_000_000_000, e.GetRevision()), position))
				}
				return list
			}
			for _, p := range f.peers {
				p.replica.Offer(all(1))
			}
			ctx, cancel := context.WithCancel(t.Context())
			g := f.run(ctx)
			time.Sleep(2 * time.Second)
			f.mu.Lock()
			before := f.bytes
			f.mu.Unlock()
			first := f.peers["192.0.2.0:1"]
			first.gossip.Publish(all(2))
			time.Sleep(10 * time.Second)
			f.mu.Lock()
			each[nodes] = (f.bytes - before) / nodes
			f.mu.Unlock()
			for name, p := range f.peers {
				if p.replica.Digest() != first.replica.Digest() {
					t.Errorf("digest of %s differs from that of the first node", name)
				}
			}
			cancel()
			if err := g.Wait(); err != nil {
				t.Error(err)
			}
		})
	}
	t.Log(fmt.Sprintf("%d values: bytes per node, by number of nodes: %v", values, each))
	if each[80] > 2*each[20] {
		t.Errorf("%d bytes per node at 80 nodes, %d at 20", each[80], each[20])
	}
}
