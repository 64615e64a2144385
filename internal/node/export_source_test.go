// SPDX-License-Identifier: Apache-2.0

package node

import (
	"time"

	"ploverjunction.example/ploverjunction/internal/dissemination"
	"ploverjunction.example/ploverjunction/internal/fleetconfig"
)

// Source is what a node knows of answers of the platform, without a network.
type Source struct {
	node *Node
}

// NewSource returns the state of a node that has heard of no answer.
func NewSource() *Source {
	replica := dissemination.NewReplica(func(*fleetconfig.Config, []fleetconfig.Refusal) {})
	return &Source{
		node: &Node{
			messenger: newMessenger(),
			gossip:    dissemination.New(dissemination.Config{}, replica),
		},
	}
}

// RecordPeer records that a peer answered a ping. age is that of the last answer of the platform that it knows.
func (s *Source) RecordPeer(age time.Duration) {
	now := time.Now()
	s.node.messenger.recordAnswer(now)
	s.node.gossip.ObservePlatformAge(now, age)
}

// Age returns the age of the last answer of the platform to any node that this one hears.
func (s *Source) Age() time.Duration { return s.node.sourceAge() }
