// SPDX-License-Identifier: Apache-2.0

package node_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"ploverjunction.example/ploverjunction/internal/contract"
	"ploverjunction.example/ploverjunction/internal/logging"
	"ploverjunction.example/ploverjunction/internal/node"
	"ploverjunction.example/ploverjunction/internal/order"
	"ploverjunction.example/ploverjunction/internal/settings"
	"ploverjunction.example/ploverjunction/internal/source"
	"ploverjunction.example/ploverjunction/internal/standin/target"
	"ploverjunction.example/ploverjunction/internal/task"
	"ploverjunction.example/ploverjunction/internal/wire"
)

var errSourceFailed = errors.New("the source has failed")

// runningNode is a node with one target whose source ends as a test decides.
type runningNode struct {
	*node.Node
	run    *task.Task
	cancel context.CancelFunc
	// end receives what ends the source: it panics on nil.
	end     chan error
	target  *target.Target
	address string
}

func startNode(t *testing.T) *runningNode {
	t.Helper()
	file := filepath.Join(t.TempDir(), "ploverd.ini")
	ini := "[node]\ndata_hall = a\n[operator]\nlisten = 127.0.0.1:0\n[entry]\nlisten = 127.0.0.1:0\ndrain_wait = 300ms\n[source]\nkind = directory\ndirectory = " + t.TempDir()
	if err := os.WriteFile(file, []byte(ini), 0o600); err != nil {
		t.Fatal(err)
	}
	set, err := settings.Load(file)
	if err != nil {
		t.Fatal(err)
	}
	n := &runningNode{
		end:    make(chan error, 1),
		target: target.New("quotes", 10),
	}
	srv := httptest.NewServer(n.target.Handler())
	t.Cleanup(srv.Close)
	n.Node, err = node.New(set, logging.New(t.Output(), "info", "text"), &node.Adapter{
		Contract: contract.Plover(),
		Read: func(ctx context.Context, cfg source.Config) error {
			cfg.Deliver(runEntries(strings.TrimPrefix(srv.URL, "http://")), order.Position{})
			select {
			case <-ctx.Done():
				return nil
			case err := <-n.end:
				if err == nil {
					panic(errSourceFailed)
				}
				return err
			}
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	n.cancel = cancel
	n.address = n.EntryAddr()
	n.run = task.Go(ctx, "node", n.Run)
	t.Cleanup(cancel)
	n.await(t, "ready", n.Ready)
	return n
}

// runEntries publishes a service with one target.
func runEntries(address string) []*wire.Entry {
	return []*wire.Entry{
		{
			Key:      "services",
			Revision: 1,
			Value: fmt.Appendf(nil, `{"services":[{"name":"quotes"}],"targets":[{"service":"quotes","address":%q,"dataHall":"a","slots":10,"connections":200}]}`,
				address),
		},
		{
			Key:      "routes",
			Revision: 2,
			Value:    []byte(`{"routes":[{"name":"write","pathPrefix":"/quotes","methods":["POST"],"service":"quotes","class":"write","deadline":"5s"}]}`),
		},
	}
}

func (n *runningNode) await(t *testing.T, what string, cond func() bool) {
	t.Helper()
	end := time.Now().Add(10 * time.Second)
	for !cond() {
		if time.Now().After(end) {
			t.Fatalf("not in time: %s", what)
		}
		<-time.After(5 * time.Millisecond)
	}
}

// post sends a request that must not be repeated and returns an error unless it is served.
func (n *runningNode) post(path string) error {
	res, err := http.Post("http://"+n.address+path, "text/plain", strings.NewReader("x"))
	if err != nil {
		return err
	}
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(res.Body)
	if err == nil && res.StatusCode != http.StatusOK {
		err = fmt.Errorf("status %d: %s", res.StatusCode, body)
	}
	return err
}

// Guards against a controller or server whose failure cuts the requests in flight, before a planned stop or during it,
// and against a failure that a stop hides.
func TestFailedControllerCutsNoRequest(t *testing.T) {
	tests := []struct {
		name string
		// end is the error of the source, nil for a panic.
		end error
		// drain is set if a planned stop begins before the failure.
		drain bool
	}{
		{
			name: "error",
			end:  errSourceFailed,
		},
		{
			name: "panic",
		},
		{
			name:  "error during a planned stop",
			end:   errSourceFailed,
			drain: true,
		},
		{
			name:  "panic during a planned stop",
			drain: true,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			n := startNode(t)
			inFlight := task.Go(t.Context(), "request", func(context.Context) error { return n.post("/quotes/1?work=600ms") })
			n.await(t, "the request at its target", func() bool { return n.target.Requests() == 1 })
			if tt.drain {
				n.Drain()
				n.await(t, "not ready", func() bool { return !n.Ready() })
			}
			n.end <- tt.end
			n.await(t, "not ready", func() bool { return !n.Ready() })
			if err := n.post("/quotes/2"); err != nil {
				t.Errorf("a request within the drain wait: %v", err)
			}
			if err := <-inFlight.Done(); err != nil {
				t.Errorf("the request in flight: %v", err)
			}
			if err := <-n.run.Done(); err == nil || !strings.Contains(err.Error(), errSourceFailed.Error()) {
				t.Errorf("the node ended with %v", err)
			}
		})
	}
}

// Guards against a failure that keeps a node running which is to stop at once.
func TestEndOfContextEndsAPlannedStopAfterAFailure(t *testing.T) {
	n := startNode(t)
	inFlight := task.Go(t.Context(), "request", func(context.Context) error { return n.post("/quotes/1?work=3s") })
	n.await(t, "the request at its target", func() bool { return n.target.Requests() == 1 })
	n.end <- errSourceFailed
	n.await(t, "not ready", func() bool { return !n.Ready() })
	started := time.Now()
	n.cancel()
	if err := <-n.run.Done(); !errors.Is(err, errSourceFailed) {
		t.Errorf("the node ended with %v", err)
	}
	if took := time.Since(started); took > time.Second {
		t.Errorf("the node ended after %v", took)
	}
	if err := <-inFlight.Done(); err == nil {
		t.Error("the request in flight was not cut: the test shows nothing")
	}
}
