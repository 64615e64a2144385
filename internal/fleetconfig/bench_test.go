// SPDX-License-Identifier: Apache-2.0

package fleetconfig_test

import (
	"fmt"
	"strings"
	"testing"

	"ploverjunction.example/ploverjunction/internal/fleetconfig"
	"ploverjunction.example/ploverjunction/internal/wire"
)

// largeFleet returns a store with registrations of targets, and one value with three
// services and their routes.
func largeFleet(targets, routes int) *fleetconfig.Store {
	var list []string
	for i := range routes {
		list = append(list, fmt.Sprintf(`{"name":"r%d","host":"h%d.example","pathPrefix":"/p%d/","service":"s%d","deadline":"4s"}`, i, i%7, i, i%3))
	}
	entries := []*wire.Entry{
		{
			Key:      "config",
			Revision: 1,
			Value: []byte(`{"services":[{"name":"s0","connections":900},{"name":"s1","connections":900},{"name":"s2","connections":900}],"routes":[` +
				strings.Join(list, ",") + `]}`),
		},
	}
	for i := range targets {
		entries = append(entries, registration(i, uint64(i+2)))
	}
	s := fleetconfig.NewStore()
	s.Offer(entries)
	return s
}

func registration(i int, revision uint64) *wire.Entry {
	return &wire.Entry{
		Key:      fmt.Sprintf("targets/t%d", i),
		Revision: revision,
		Value:    fmt.Appendf(nil, `{"targets":[{"service":"s%d","address":"192.0.2.%d:%d","dataHall":"a","slots":3,"id":"t%d"}]}`, i%3, i%250, 8000+i, i),
	}
}

// BenchmarkOffer measures the cost of one change among 720 targets on each node, the
// digest included.
func BenchmarkOffer(b *testing.B) {
	s := largeFleet(720, 60)
	b.ReportAllocs()
	for n := uint64(1000); b.Loop(); n++ {
		s.Offer([]*wire.Entry{registration(int(n%720), n)})
		s.Digest()
	}
}
