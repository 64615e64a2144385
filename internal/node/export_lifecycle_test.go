// SPDX-License-Identifier: Apache-2.0

package node

import (
	"time"

	"ploverjunction.example/ploverjunction/internal/dissemination"
	"ploverjunction.example/ploverjunction/internal/fleetconfig"
	"ploverjunction.example/ploverjunction/internal/membership"
	"ploverjunction.example/ploverjunction/internal/wire"
)

// Starting is a node without seeds that has just started, without a network.
type Starting struct {
	lifecycle *lifecycle
	config    *fleetconfig.Config
}

// NewStarting returns a node with an address whose configuration, which has just come into force, holds entries. Its
// members have not followed it yet.
func NewStarting(address string, entries ...*wire.Entry) *Starting {
	board := &Board{}
	newMembers(board, membership.NewNode(address, "a"), 1)
	s := &Starting{}
	replica := dissemination.NewReplica(func(c *fleetconfig.Config, _ []fleetconfig.Refusal) { s.config = c })
	replica.Offer(entries)
	board.config.Store(&configuration{
		config: s.config,
	})
	board.pools.Store(&pools{})
	s.lifecycle = &lifecycle{
		board:       board,
		started:     time.Now(),
		compared:    func() int { return 0 },
		isolated:    func() bool { return false },
		platformAge: func(time.Time) time.Duration { return 0 },
	}
	return s
}

// Reason returns why the node is not ready, or "".
func (s *Starting) Reason() string { return s.lifecycle.reason(time.Now()) }
