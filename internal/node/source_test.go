// SPDX-License-Identifier: Apache-2.0

package node_test

import (
	"testing"
	"testing/synctest"
	"time"

	"ploverjunction.example/ploverjunction/internal/node"
)

// Guards against a node that takes the silence of lost peers for an outage of the platform, after which it holds
// removals.
func TestSilenceOfLostPeersIsNoOutage(t *testing.T) {
	const silence = 3 * time.Second
	for _, tt := range []struct {
		name string
		// answer is whether peers go on answering while the platform answers nobody.
		answer bool
		outage bool
	}{
		{
			name: "peers are lost",
		},
		{
			name:   "peers answer",
			answer: true,
			outage: true,
		},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := node.NewSource()
				time.Sleep(time.Second)
				s.RecordPeer(0)
				time.Sleep(silence)
				if tt.answer {
					s.RecordPeer(silence)
				}
				if got := s.Age(); (got >= silence) != tt.outage {
					t.Errorf("the last answer of the platform counts as %v old", got)
				}
			})
		})
	}
}
