// SPDX-License-Identifier: Apache-2.0

package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"ploverjunction.example/ploverjunction/internal/dispatch"
)

// BenchmarkRequestGrant measures one grant request and the end of its attempt for several sizes of
// services: half of the slots are taken, as under load.
func BenchmarkRequestGrant(b *testing.B) {
	for _, targets := range []int{15, 170, 500} {
		b.Run(fmt.Sprint(targets), func(b *testing.B) {
			d := newScheduler(pool(targets)...)
			now := start
			running := make([]dispatch.Grant, targets)
			step := usualTime / time.Duration(targets)
			b.ReportAllocs()
			for n := range b.N {
				now = now.Add(step)
				old := running[n%targets]
				if old.Target != "" {
					d.Done(now, old.ID, old.Target, dispatch.ResultGood, usualTime)
				}
				running[n%targets] = d.RequestGrant(now, newRequest(now, uint64(n)))
				if n%targets == 0 {
					d.Advance(now)
				}
			}
		})
	}
}
