// SPDX-License-Identifier: Apache-2.0

package integration_test

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"ploverjunction.example/ploverjunction/internal/standin/target"
)

// Guards against a process that a closed log ends at once, with the requests in flight: the collector of the log may be
// stopped before the node or restarted while it runs.
func TestClosedLogCutsNoRequest(t *testing.T) {
	const (
		requests = 20
		path     = "/quotes/1?work=800ms"
	)
	for _, stop := range []bool{false, true} {
		t.Run(fmt.Sprintf("planned stop %v", stop), func(t *testing.T) {
			s := stopSite(t, path, "grace = 4s\ndrain_wait = 1s", target.Mode{})
			n := s.nodes[0]
			replies := make([]reply, requests)
			var all sync.WaitGroup
			for i := range requests {
				all.Go(func() { replies[i] = n.do(http.MethodPost, path, fmt.Sprintf("in-flight-%d", i), "x") })
			}
			eventually(t, "a request that runs", func() bool { return len(s.targets[0].Runs()) > 24 })
			n.proc.Load().CloseLog()
			if stop {
				<-time.After(50 * time.Millisecond)
				n.signal(syscall.SIGTERM)
			}
			all.Wait()
			for i, r := range replies {
				if r.err != nil || r.status != http.StatusOK {
					t.Errorf("request %d: status %d, %v", i, r.status, r.err)
				}
			}
			n.signal(syscall.SIGTERM)
			n.awaitExit()
		})
	}
}
