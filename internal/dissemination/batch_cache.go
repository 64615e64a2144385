// SPDX-License-Identifier: Apache-2.0

package dissemination

import (
	"sync"

	"ploverjunction.example/ploverjunction/internal/order"
	"ploverjunction.example/ploverjunction/internal/wire"
)

// maxBatches is the greatest number of cached batches, of some ten KB each.
const maxBatches = 64

// batch is the answer to a pull of the values after a position.
type batch struct {
	packed []byte
	upTo   *wire.Position
	more   bool
}

// batchCache caches packed batches, because nodes that start together pull the same ones. Batches are
// valid until a value changes. It may be used concurrently.
type batchCache struct {
	mu         sync.Mutex
	digest     uint64
	byPosition map[order.Position]batch
}

func (b *batchCache) get(digest uint64, since order.Position) (batch, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.digest != digest {
		return batch{}, false
	}
	out, ok := b.byPosition[since]
	return out, ok
}

func (b *batchCache) put(digest uint64, since order.Position, packed batch) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.byPosition == nil || b.digest != digest || len(b.byPosition) >= maxBatches {
		b.digest, b.byPosition = digest, map[order.Position]batch{}
	}
	b.byPosition[since] = packed
}
