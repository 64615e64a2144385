// SPDX-License-Identifier: Apache-2.0

package node_test

import (
	"context"
	"maps"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"ploverjunction.example/ploverjunction/internal/dispatch"
	"ploverjunction.example/ploverjunction/internal/membership"
	"ploverjunction.example/ploverjunction/internal/node"
	"ploverjunction.example/ploverjunction/internal/wire"
)

// Guards against a grant request that loses its workspace on the way to the scheduler, and against
// weights that schedulers do not get.
func TestGrantRequestNamesWorkspace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := node.NewChooser("quotes", []*wire.Entry{
			{
				Key:      "services",
				Revision: 1,
				Value: []byte(`{"services":[{"name":"quotes"}],"workspaces":[{"id":"brokers","weight":3},{"id":"clinics"}],
					"targets":[{"service":"quotes","address":"192.0.2.10:80","dataHall":"a","slots":3,"connections":200}]}`),
			},
		})
		if _, err := c.ChooseForWorkspace(context.Background(), "brokers"); err != nil {
			t.Fatal(err)
		}
		want := dispatch.ShareStatus{
			Greatest:          1,
			GreatestWorkspace: "brokers",
		}
		if got := c.Shares(); got != want {
			t.Errorf("shares %+v, want %+v", got, want)
		}
		if a, b := c.Weight("brokers"), c.Weight("clinics"); a != 3 || b != 1 {
			t.Errorf("weights %g and %g, want 3 and 1", a, b)
		}
	})
}

// A queued request must follow the role of dispatcher. One that stayed with a former dispatcher waited
// there for seconds, beside requests of a busy workspace that took the slots of others.
func TestQueuedRequestFollowsRole(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, b := membership.NewNode("192.0.2.2:1", "a"), membership.NewNode("192.0.2.3:1", "a")
		c := node.NewChooser("quotes", []*wire.Entry{
			{
				Key:      "services",
				Revision: 1,
				Value:    []byte(`{"services":[{"name":"quotes"}],"targets":[{"service":"quotes","address":"192.0.2.10:80","dataHall":"a","slots":3,"connections":200}]}`),
			},
		}, a, b)
		if c.First() == b.Address() {
			a, b = b, a
		}
		var mu sync.Mutex
		asked, canceled := map[string]int{}, map[string]int{}
		c.QueueAll(func(peer string, d *wire.Datagram) bool {
			mu.Lock()
			defer mu.Unlock()
			if ask := d.GetAsk(); ask != nil {
				asked[peer]++
				if ask.GetWorkspace() != "brokers" {
					t.Errorf("request to %s of workspace %q", peer, ask.GetWorkspace())
				}
			}
			if d.GetDone() != nil {
				canceled[peer]++
			}
			return true
		})
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			if choice, err := c.ChooseForWorkspace(context.Background(), "brokers"); err == nil {
				t.Errorf("granted %v", choice)
			}
		}()
		for _, step := range []struct {
			live []membership.Node
			want string
		}{
			{[]membership.Node{a, b}, a.Address()},
			{[]membership.Node{b}, b.Address()},
			{[]membership.Node{a, b}, a.Address()},
		} {
			c.SetLive(step.live...)
			// A queued request is repeated every 100 ms.
			time.Sleep(155 * time.Millisecond)
			mu.Lock()
			clear(asked)
			mu.Unlock()
			time.Sleep(110 * time.Millisecond)
			mu.Lock()
			if got := slices.Collect(maps.Keys(asked)); len(got) != 1 || got[0] != step.want {
				t.Errorf("request repeated to %v, want %s", got, step.want)
			}
			mu.Unlock()
		}
		<-ended
		if canceled[a.Address()] == 0 || canceled[b.Address()] == 0 {
			t.Errorf("canceled at %v, want both", canceled)
		}
	})
}

// A queued request must not follow the role to a dispatcher that is lost and still ranks first: at each
// move it would wait for an answer again and lose its place.
func TestQueuedRequestDoesNotReturnToLostDispatcher(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := node.NewChooser("quotes", []*wire.Entry{
			{
				Key:      "services",
				Revision: 1,
				Value:    []byte(`{"services":[{"name":"quotes"}],"targets":[{"service":"quotes","address":"192.0.2.10:80","dataHall":"a","slots":3,"connections":200}]}`),
			},
		}, membership.NewNode("192.0.2.2:1", "a"), membership.NewNode("192.0.2.3:1", "a"))
		lost, began := c.First(), time.Now()
		c.QueueAll(func(peer string, d *wire.Datagram) bool {
			if at := time.Since(began); d.GetAsk() != nil && peer == lost && at > 200*time.Millisecond {
				t.Errorf("request to the lost dispatcher after %v", at)
			}
			return peer != lost
		})
		if choice, err := c.ChooseForWorkspace(context.Background(), "brokers"); err == nil {
			t.Errorf("granted %v", choice)
		}
	})
}

// A node that chooses alone may become dispatcher while its attempts run: they must be charged to their
// workspace and not to the requests without one.
func TestFallbackNamesWorkspace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := node.NewChooser("quotes", []*wire.Entry{
			{
				Key:      "services",
				Revision: 1,
				Value:    []byte(`{"services":[{"name":"quotes"}],"targets":[{"service":"quotes","address":"192.0.2.10:80","dataHall":"a","slots":3,"connections":200}]}`),
			},
		}, membership.NewNode("192.0.2.2:1", "a"), membership.NewNode("192.0.2.3:1", "a"))
		if _, err := c.ChooseForWorkspace(context.Background(), "brokers"); err != nil {
			t.Fatal(err)
		}
		if got := c.Shares().GreatestWorkspace; got != "brokers" {
			t.Errorf("charged to workspace %q", got)
		}
	})
}
