// SPDX-License-Identifier: Apache-2.0

package node_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"ploverjunction.example/ploverjunction/internal/membership"
	"ploverjunction.example/ploverjunction/internal/node"
	"ploverjunction.example/ploverjunction/internal/outlier"
	"ploverjunction.example/ploverjunction/internal/signal"
	"ploverjunction.example/ploverjunction/internal/wire"
)

// The load in an answer must reach the dispatcher with the end of the attempt, which counts the attempts
// that it did not grant. Guards against the load of a long answer, whose header is old by then, and against
// an absurd one.
func TestDoneReportsLoad(t *testing.T) {
	tests := []struct {
		name    string
		load    signal.Load
		body    time.Duration
		want    signal.Load
		foreign int
	}{
		{
			name: "none",
		},
		{
			name: "of a whole answer",
			load: signal.Load{
				Running: 3,
				Slots:   3,
			},
			want: signal.Load{
				Running: 3,
				Slots:   3,
			},
			foreign: 2,
		},
		{
			name: "of a long answer",
			load: signal.Load{
				Running: 3,
				Slots:   3,
			},
			body: time.Second,
		},
		{
			name: "over the bound",
			load: signal.Load{
				Running: signal.MaxLoad + 1,
				Slots:   3,
			},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := node.NewChooser("quotes", serviceWithTargets("a", 1))
				choice, err := c.Choose(context.Background())
				if err != nil {
					t.Fatal(err)
				}
				time.Sleep(100 * time.Millisecond)
				if tt.load.Reported() {
					choice.Reported(tt.load)
				}
				time.Sleep(tt.body)
				choice.Done(outlier.Result{}, 100*time.Millisecond+tt.body)
				got := c.TargetStatus(choice.Key)
				if got.Load != tt.want || got.Foreign != tt.foreign {
					t.Errorf("load %+v, %d slots left to others", got.Load, got.Foreign)
				}
				loads := c.Loads()
				if len(loads) > 0 != tt.want.Reported() {
					t.Errorf("status lists %+v", loads)
				}
				for _, l := range loads {
					if l.Target != choice.Key || l.Running != tt.want.Running || l.Foreign != tt.foreign || !l.Dispatcher {
						t.Errorf("status %+v", l)
					}
				}
			})
		})
	}
}

// A node keeps the loads in answers to it for its own choices without a dispatcher, whichever node granted
// the target.
func TestNodeKeepsLoadOfGrantedTargets(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		other := membership.NewNode("192.0.2.2:1", "b")
		c := node.NewChooserOf(membership.NewNode("192.0.2.1:1", "c"), "quotes", serviceWithTargets("b", 3), other)
		choice, err := c.Choose(context.Background())
		if err != nil || choice.By != other.Address() {
			t.Fatalf("chosen by %q, error %v", choice.By, err)
		}
		want := signal.Load{
			Running: 3,
			Waiting: 2,
			Slots:   3,
		}
		choice.Reported(want)
		choice.Done(outlier.Result{}, 0)
		if got := c.TargetStatus(choice.Key).Load; got != want {
			t.Errorf("load %+v", got)
		}
	})
}

// The load in the answer to a probe counts where the node is the dispatcher, and the probe itself is not
// the work of others.
func TestProbeReportsLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := node.NewChooser("quotes", serviceWithTargets("a", 1))
		choice, err := c.Choose(context.Background())
		if err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Second)
		for running, want := range []int{0, 0, 0, 1, 2} {
			time.Sleep(2 * time.Second)
			c.ObserveProbe(choice.Key, signal.Load{
				Running: running,
				Slots:   3,
			})
			if got := c.TargetStatus(choice.Key).Foreign; got != want {
				t.Errorf("%d running: %d slots left to others, want %d", running, got, want)
			}
		}
	})
}

// A prober passes on the load in an answer, and none for a header that can't be parsed.
func TestProbeReadsLoad(t *testing.T) {
	header := "2,0,3"
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Plover-Load", header)
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
	got := map[string]signal.Load{}
	p.OnLoad(func(key string, load signal.Load) { got[key] = load })
	p.Probe(context.Background())
	want := signal.Load{
		Running: 2,
		Slots:   3,
	}
	if got["id-0"] != want {
		t.Errorf("load %+v", got["id-0"])
	}
	header = "2,0"
	p.Probe(context.Background())
	p.Probe(context.Background())
	if got["id-0"].Reported() {
		t.Errorf("load %+v of an unreadable header", got["id-0"])
	}
	// A line for each probe, or one that names a signal, would mislead the operator.
	unreadable, signalled := strings.Count(p.Log.String(), "can't be read"), strings.Count(p.Log.String(), "says what it wants")
	if unreadable != 1 || signalled != 0 {
		t.Errorf("%d lines on what can't be read, want 1; %d on signals, want 0", unreadable, signalled)
	}
}
