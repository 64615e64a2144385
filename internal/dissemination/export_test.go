// SPDX-License-Identifier: Apache-2.0

package dissemination

import (
	"context"

	"ploverjunction.example/ploverjunction/internal/wire"
)

// SetCall replaces the function that calls peers.
func (g *Gossip) SetCall(call func(ctx context.Context, peer string, in *wire.SyncRequest) (*wire.SyncReply, error)) {
	g.cfg.Call = call
}

// UnpackBatch returns the entries of a batch.
func UnpackBatch(b []byte) ([]*wire.Entry, error) { return unpackBatch(b) }
