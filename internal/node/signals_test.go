// SPDX-License-Identifier: Apache-2.0

package node_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"ploverjunction.example/ploverjunction/internal/membership"
	"ploverjunction.example/ploverjunction/internal/node"
	"ploverjunction.example/ploverjunction/internal/outlier"
	"ploverjunction.example/ploverjunction/internal/signal"
	"ploverjunction.example/ploverjunction/internal/wire"
)

// serviceWithTargets returns a service with the given number of targets in each data hall: id-a0,
// id-a1 and so on.
func serviceWithTargets(halls string, each int) []*wire.Entry {
	var targets []string
	for at, hall := range halls {
		for i := range each {
			targets = append(targets, fmt.Sprintf(`{"service":"quotes","id":"id-%c%d","address":"192.0.2.%d:80","dataHall":"%c","slots":3,"connections":200}`,
				hall, i, 100*at+i+10, hall))
		}
	}
	return []*wire.Entry{
		{
			Key:      "services",
			Revision: 1,
			Value:    []byte(`{"services":[{"name":"quotes"}],"targets":[` + strings.Join(targets, ",") + `]}`),
		},
	}
}

// A node that received the signal that a target drains must pass it to its own scheduler with the
// next grant request, and get another target.
func TestNodeReportsDrainingTarget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := node.NewChooser("quotes", serviceWithTargets("a", 2))
		c.Observe("id-a0", signal.Signal{
			Draining: true,
		})
		for range 5 {
			choice, err := c.Choose(context.Background())
			if err != nil || choice.Key != "id-a1" {
				t.Fatalf("got %q, error %v", choice.Key, err)
			}
			choice.Done(outlier.Result{}, 0)
		}
		if !c.Draining("id-a0") {
			t.Error("the scheduler does not treat the target as draining")
		}
	})
}

// A signal of draining in an answer must reach the dispatcher that granted the target.
func TestDoneReportsDrainingTarget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := node.NewChooser("quotes", serviceWithTargets("a", 2))
		choice, err := c.Choose(context.Background())
		if err != nil {
			t.Fatal(err)
		}
		c.Observe(choice.Key, signal.Signal{
			Draining: true,
		})
		choice.Done(outlier.Result{}, 0)
		if !c.Draining(choice.Key) {
			t.Error("the scheduler does not treat the target as draining")
		}
		if failing := c.FailureProbability(choice.Key); failing > 0.02 {
			t.Errorf("the signal raises the failure probability to %v", failing)
		}
	})
}

// If a dispatcher grants an unavailable target the node must request another one, and then use its
// fallback; the target must get no request in any case.
func TestGrantOfUnavailableTarget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		other := membership.NewNode("192.0.2.2:1", "b")
		c := node.NewChooserOf(membership.NewNode("192.0.2.1:1", "c"), "quotes", serviceWithTargets("b", 3), other)
		c.Observe("id-b2", signal.Signal{
			Draining: true,
		})
		for range 5 {
			choice, err := c.Choose(context.Background())
			if err != nil || choice.Key == "id-b2" || choice.Key == "" {
				t.Fatalf("got %q, error %v", choice.Key, err)
			}
			choice.Done(outlier.Result{}, 0)
		}
		if c.Requests()["192.0.2.2:1 "] == 0 {
			t.Error("no grant request to the dispatcher")
		}
	})
}

// Several grant requests for one attempt must not earn several shares of a retry.
func TestUnavailableGrantsCountAsOneAttempt(t *testing.T) {
	const requests = 5
	synctest.Test(t, func(t *testing.T) {
		other := membership.NewNode("192.0.2.2:1", "b")
		c := node.NewChooserOf(membership.NewNode("192.0.2.1:1", "c"), "quotes", serviceWithTargets("b", 3), other)
		c.Observe("id-b2", signal.Signal{
			Draining: true,
		})
		for range requests {
			choice, err := c.Choose(context.Background())
			if err != nil {
				t.Fatal(err)
			}
			choice.Done(outlier.Result{}, 0)
		}
		if n := c.Attempts(); n != requests {
			t.Errorf("%d attempts counted for %d requests", n, requests)
		}
	})
}

// A target that backs off must get no request from the node until that is over, must not count as
// failing, and must get requests again afterwards.
func TestNoRequestsDuringBackoff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const backoff = 3 * time.Second
		c := node.NewChooser("quotes", serviceWithTargets("a", 2))
		first, err := c.Choose(context.Background())
		if err != nil {
			t.Fatal(err)
		}
		c.Observe(first.Key, signal.Signal{
			Backoff: backoff,
		})
		started := time.Now()
		first.Done(outlier.Result{
			Shed: true,
		}, time.Millisecond)
		if failing := c.FailureProbability(first.Key); failing > 0.03 {
			t.Errorf("the refusal raises the failure probability to %v", failing)
		}
		for time.Since(started) < 2*backoff {
			choice, err := c.Choose(context.Background())
			if err != nil {
				t.Fatal(err)
			}
			if choice.Key == first.Key {
				break
			}
			time.Sleep(20 * time.Millisecond)
			choice.Done(outlier.Result{}, 20*time.Millisecond)
		}
		if back := time.Since(started); back < backoff || back >= 2*backoff {
			t.Errorf("first request after %v", back)
		}
	})
}

// In the independent mode other nodes learn by probes that a target drains, for as long as it
// signals so. A target that backs off must get no probes either.
func TestProbesFindDrainingTargets(t *testing.T) {
	var probes atomic.Int64
	var backingOff atomic.Bool
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		probes.Add(1)
		if backingOff.Load() {
			w.Header().Set("Retry-After", "60")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		w.Header().Set("Plover-State", "leaving")
	}))
	defer srv.Close()
	p := node.NewProber([]*wire.Entry{
		{
			Key:      "services",
			Revision: 1,
			Value: fmt.Appendf(nil, `{"services":[{"name":"quotes","healthPath":"/health"}],
				"targets":[{"service":"quotes","id":"id-0","address":%q,"dataHall":"a","slots":3,"connections":200}]}`, srv.Listener.Addr()),
		},
	})
	for range 2 {
		if got := p.Probe(context.Background()); len(got) != 1 || got[0] != "id-0" {
			t.Errorf("got %v", got)
		}
	}
	backingOff.Store(true)
	p.Probe(context.Background())
	before := probes.Load()
	p.Probe(context.Background())
	if probes.Load() != before {
		t.Error("a target that backs off was probed")
	}
}
