// SPDX-License-Identifier: Apache-2.0

package node_test

import (
	"testing"

	"ploverjunction.example/ploverjunction/internal/node"
	"ploverjunction.example/ploverjunction/internal/wire"
)

// Guards against a starting node that serves before it has compared with its peers, because it knows them only from a
// configuration that its members have not followed yet.
func TestStartingNodeComparesWithListedPeers(t *testing.T) {
	const self = "192.0.2.1:1"
	for _, tt := range []struct {
		name      string
		instances string
		ready     bool
	}{
		{
			name:      "alone",
			instances: `{"address":"192.0.2.1:1","dataHall":"a","state":"LIVE","role":"ENTRY"}`,
			ready:     true,
		},
		{
			name: "beside a node that drains",
			instances: `{"address":"192.0.2.1:1","dataHall":"a","state":"LIVE","role":"ENTRY"},
				{"address":"192.0.2.2:1","dataHall":"a","state":"LEAVING","role":"ENTRY"}`,
			ready: true,
		},
		{
			name: "beside a peer",
			instances: `{"address":"192.0.2.1:1","dataHall":"a","state":"LIVE","role":"ENTRY"},
				{"address":"192.0.2.2:1","dataHall":"a","state":"LIVE","role":"ENTRY"}`,
		},
	} {
		t.Run(tt.name, func(t *testing.T) {
			s := node.NewStarting(self, &wire.Entry{
				Key:      "instances",
				Revision: 1,
				Value:    []byte(`{"instances":[` + tt.instances + `]}`),
			}, &wire.Entry{
				Key:      "services",
				Revision: 2,
				Value:    []byte(`{"services":[{"name":"quotes"}],"targets":[{"service":"quotes","address":"192.0.2.9:1","dataHall":"a","slots":1,"connections":9}]}`),
			})
			if reason := s.Reason(); (reason == "") != tt.ready {
				t.Errorf("reason for not being ready: %q", reason)
			}
		})
	}
}
