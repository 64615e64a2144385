// SPDX-License-Identifier: Apache-2.0

package dissemination_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/protobuf/proto"

	"ploverjunction.example/ploverjunction/internal/fleetconfig"
	"ploverjunction.example/ploverjunction/internal/order"
	"ploverjunction.example/ploverjunction/internal/wire"
)

// at returns the value of "key" as a reader of an era delivers it.
func at(era, rev, count uint64) *wire.Entry {
	e := value(rev, 0)
	fleetconfig.SetVersion(e, order.NewVersion(order.At(era, rev), order.StampOf(0, count), order.At(era, rev)))
	return e
}

// withoutEras returns an entry as sent by a node of the version before eras.
func withoutEras(e *wire.Entry) *wire.Entry {
	out := proto.CloneOf(e)
	out.Era, out.Stamp, out.Written, out.Gone = 0, nil, nil, false
	return out
}

func revisionsWithoutEras(list []*wire.KeyRevision) []*wire.KeyRevision {
	var out []*wire.KeyRevision
	for _, kr := range list {
		out = append(out, &wire.KeyRevision{
			Key:      kr.GetKey(),
			Revision: kr.GetRevision(),
		})
	}
	return out
}

func entriesWithoutEras(list []*wire.Entry) []*wire.Entry {
	var out []*wire.Entry
	for _, e := range list {
		out = append(out, withoutEras(e))
	}
	return out
}

// mixVersions gives the nodes up to half the version before eras: their messages, in both directions,
// lack the fields of the later version.
func (f *fleet) mixVersions(half int) {
	for _, p := range f.peers {
		isOld := func(name string) bool { return name < f.name(half) }
		call := f.call
		p.gossip.SetCall(func(ctx context.Context, to string, in *wire.SyncRequest) (*wire.SyncReply, error) {
			mixed := isOld(p.name) || isOld(to)
			if mixed {
				in = proto.CloneOf(in)
				in.Entries, in.Revisions = entriesWithoutEras(in.GetEntries()), revisionsWithoutEras(in.GetRevisions())
				in.ReadTo, in.Pull, in.Since = nil, false, nil
			}
			reply, err := call(ctx, p.name, to, in)
			if mixed && err == nil {
				reply = proto.CloneOf(reply)
				reply.Entries, reply.Revisions = entriesWithoutEras(reply.GetEntries()), revisionsWithoutEras(reply.GetRevisions())
				reply.ReadTo, reply.Batch, reply.UpTo, reply.More = nil, nil, nil, false
			}
			return reply, err
		})
	}
}

func (f *fleet) name(i int) string { return "192.0.2." + string(rune('0'+i)) + ":1" }

// Guards against nodes of two versions that overwrite each other's values.
func TestNodesWithAndWithoutErasInteroperate(t *testing.T) {
	const half, settle = 4, 8 * time.Second
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(2 * half)
		f.mixVersions(half)
		ctx, cancel := context.WithCancel(t.Context())
		g := f.run(ctx)
		inForce := func(what string, i int, want uint64) {
			t.Helper()
			if got := f.peers[f.name(i)].replica.InForce()["key"].Revision(); got != want {
				t.Errorf("%s: node %d has revision %d, want %d", what, i, got, want)
			}
		}
		f.peers[f.name(0)].gossip.Publish([]*wire.Entry{withoutEras(at(0, 40, 19))})
		time.Sleep(settle)
		for i := range 2 * half {
			inForce("read by an old node", i, 40)
		}
		f.peers[f.name(half)].gossip.PublishTo([]*wire.Entry{at(1, 44, 21)}, order.At(1, 44))
		time.Sleep(settle)
		for i := range 2 * half {
			inForce("read by a new node", i, 44)
		}
		// New nodes follow a restore. Old ones do so when the revisions have passed the lost ones.
		f.peers[f.name(half)].gossip.PublishTo([]*wire.Entry{at(2, 41, 25)}, order.At(2, 41))
		time.Sleep(settle)
		for i := range 2 * half {
			want := uint64(44)
			if i >= half {
				want = 41
			}
			inForce("read by a new node after a restore", i, want)
		}
		f.peers[f.name(half)].gossip.PublishTo([]*wire.Entry{at(2, 45, 28)}, order.At(2, 45))
		time.Sleep(settle)
		for i := range 2 * half {
			inForce("revisions have passed the lost ones", i, 45)
		}
		// A value read by old nodes only is not in force at new ones, which can't order it.
		f.peers[f.name(0)].gossip.Publish([]*wire.Entry{withoutEras(at(2, 46, 31))})
		time.Sleep(settle)
		inForce("read by an old node after a restore", 1, 46)
		inForce("read by an old node after a restore", half, 45)
		cancel()
		if err := g.Wait(); err != nil {
			t.Error(err)
		}
	})
}
