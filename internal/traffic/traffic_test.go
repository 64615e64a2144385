// SPDX-License-Identifier: Apache-2.0

package traffic_test

import (
	"fmt"

	"ploverjunction.example/ploverjunction/internal/traffic"
)

func ExampleBytes() {
	var b traffic.Bytes
	b.Add(traffic.Dones, traffic.ScopeOf("sibiu", "sibiu"), 30)
	b.Add(traffic.GrantRequests, traffic.ScopeOf("sibiu", "arad"), 40)
	b.Add(traffic.GrantRequests, traffic.ScopeOf("sibiu", ""), 50)
	b.Add(traffic.GrantRequests, traffic.ScopeOf("sibiu", "arad"), -1)
	b.Each(func(p traffic.Purpose, s traffic.Scope, n int64) { fmt.Println(p, s, n) })
	// Output:
	// grant_requests unknown 50
	// grant_requests between 40
	// dones within 30
}
