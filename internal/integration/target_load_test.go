// SPDX-License-Identifier: Apache-2.0

package integration_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	"ploverjunction.example/ploverjunction/internal/standin/target"
)

// Guards against work of others at a target that its dispatcher doesn't count: two of three slots are used by
// requests that no node sent.
func TestWorkOfOthersIsCounted(t *testing.T) {
	s := jointSite(t, 2)
	b := s.targets[0]
	for _, o := range s.targets {
		o.SetMode(target.Mode{
			Latency:    50 * time.Millisecond,
			ReportLoad: true,
		})
	}
	const others = 2
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	for range others {
		go func() {
			for ctx.Err() == nil {
				req, err := http.NewRequestWithContext(ctx, http.MethodGet, b.server.URL+"/q/others", nil)
				if err != nil {
					return
				}
				if res, err := http.DefaultClient.Do(req); err == nil {
					_ = res.Body.Close()
				}
			}
		}()
	}
	stop := s.load(0, 1)
	defer stop()
	eventually(t, "the work of others in the status of the dispatcher", func() bool {
		for _, n := range s.nodes {
			st := n.status()
			if st == nil {
				continue
			}
			for _, l := range st.TargetLoads {
				if l.Dispatcher && l.Foreign > 0 && l.Target == b.proxy.Addr() {
					return true
				}
			}
		}
		return false
	})
}
