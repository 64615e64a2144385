// SPDX-License-Identifier: Apache-2.0

package node

import (
	"io"

	"ploverjunction.example/ploverjunction/internal/logging"
	"ploverjunction.example/ploverjunction/internal/wire"
)

// BodyOfPeer returns the body of a request of a peer that is received from a stream.
func BodyOfPeer(stream wire.DRPCPeer_ForwardStream) io.Reader {
	return &peerWriter{
		stream: stream,
		log:    logging.New(io.Discard, "error", "text"),
	}
}
