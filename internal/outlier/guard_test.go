// SPDX-License-Identifier: Apache-2.0

package outlier_test

import (
	"fmt"
	"testing"
	"time"

	"ploverjunction.example/ploverjunction/internal/outlier"
	"ploverjunction.example/ploverjunction/internal/policy"
)

// mergeTime returns the time in nanoseconds that an observer of n targets needs to
// record and evaluate one report.
func mergeTime(t *testing.T, n int) float64 {
	t.Helper()
	prg, err := policy.Compile(policy.Text{})
	if err != nil {
		t.Fatal(err)
	}
	s := outlier.Service{
		Name:      "s",
		Policy:    prg,
		Threshold: threshold,
	}
	for i := range n {
		s.Targets = append(s.Targets, fmt.Sprint("target", i))
	}
	r := testing.Benchmark(func(b *testing.B) {
		o := outlier.NewObserver(s)
		now := start
		for range b.N {
			now = now.Add(250 * time.Millisecond)
			for _, target := range s.Targets {
				o.Report(now, "node", "a", outlier.Counts{
					Target: target,
					Good:   3,
				})
			}
			o.Advance(now)
		}
	})
	return float64(r.T.Nanoseconds()) / float64(r.N) / float64(n)
}

func TestMergeGuard(t *testing.T) {
	small, large := mergeTime(t, 30), mergeTime(t, 300)
	t.Logf("a report takes %.0f ns with 30 targets, %.0f ns with 300", small, large)
	if large > 3*small {
		t.Fatalf("a report takes %.1f times as long with ten times the targets", large/small)
	}
}
