// SPDX-License-Identifier: Apache-2.0

package dissemination_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"ploverjunction.example/ploverjunction/internal/wire"
)

// manyValues returns a value for each of n targets.
func manyValues(n int) []*wire.Entry {
	out := []*wire.Entry{
		{
			Key:      "config",
			Revision: 1,
			Value:    []byte(`{"services":[{"name":"quotes","connections":900}]}`),
		},
	}
	for i := range n {
		out = append(out, targetValue(i, uint64(i+2)))
	}
	return out
}

func targetValue(i int, revision uint64) *wire.Entry {
	return &wire.Entry{
		Key:      fmt.Sprintf("targets/i-%010d", i),
		Revision: revision,
		Value:    fmt.Appendf(nil, `{"targets":[{"service":"quotes","address":"192.0.2.%d:%d","dataHall":"a","slots":3,"id":"i-%010d"}]}`, i%250, 8000+i, i),
	}
}

// Guards against comparisons that list all revisions to find one of 720 values that differs,
// whichever node has the newer one: two take 39.7 kB with lists, and 3.3 kB with buckets.
func TestComparisonOfOneDifferenceIsSmall(t *testing.T) {
	const (
		values   = 720
		maxBytes = 4000
	)
	tests := []struct {
		name  string
		fresh *wire.Entry
	}{
		{
			name:  "newer revision",
			fresh: targetValue(17, 10_000),
		},
		{
			name:  "new key",
			fresh: targetValue(values+1, 10_000),
		},
		{
			name: "removed key",
			fresh: &wire.Entry{
				Key:      "targets/i-0000000040",
				Revision: 10_000,
				Deleted:  true,
			},
		},
	}
	for _, tt := range tests {
		for who := range 2 {
			t.Run(fmt.Sprintf("%s at node %d", tt.name, who), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					f := newFleet(2)
					a, b := f.peers["192.0.2.0:1"], f.peers["192.0.2.1:1"]
					for _, p := range f.peers {
						p.replica.Offer(manyValues(values))
					}
					[]*peer{a, b}[who].replica.Offer([]*wire.Entry{tt.fresh})
					ctx, cancel := context.WithCancel(context.Background())
					g := f.run(ctx)
					for a.replica.Digest() != b.replica.Digest() {
						time.Sleep(10 * time.Millisecond)
					}
					cancel()
					if err := g.Wait(); err != nil {
						t.Error(err)
					}
					f.mu.Lock()
					defer f.mu.Unlock()
					t.Logf("%d bytes", f.bytes)
					if f.bytes > maxBytes {
						t.Errorf("%d bytes, want at most %d", f.bytes, maxBytes)
					}
				})
			})
		}
	}
}
