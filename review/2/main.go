// SPDX-License-Identifier: Apache-2.0

// Command 2 shows that a backend runs an upload of which its client sent only a part.
package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"ploverjunction.example/ploverjunction/review/kit"
)

const (
	host     = "files.example"
	service  = "batchin"
	fleetNet = "127.0.61"
	// backendIP is the address of the backends.
	backendIP = "127.0.62.1"
	// size is the length of an upload in bytes, part what a client sends that leaves before the end.
	size = 200_000
	part = 120_000
)

// uploads are the uploads that clients began, by the IDs of their attempts.
type uploads struct {
	mu   sync.Mutex
	sent map[string]*kit.Request
	bad  int
}

func main() {
	kit.Main("review/2", play)
}

func play(ctx context.Context, r *kit.Record, trouble bool) (bool, error) {
	store, err := kit.NewStore(backendIP)
	if err != nil {
		return false, err
	}
	defer store.Close()
	store.PutJSON("op/config", config())
	u := &uploads{
		sent: map[string]*kit.Request{},
	}
	var backends []*kit.Backend
	for i := range 4 {
		b := &kit.Backend{
			ID:      fmt.Sprintf("i-%d", i+1),
			Service: service,
			Zone:    []string{"hall-a", "hall-b"}[i%2],
			Slots:   3,
			OnRun:   func(run kit.Run) { u.check(r, run) },
		}
		if err := b.Start(backendIP, store); err != nil {
			return false, err
		}
		defer b.Close()
		backends = append(backends, b)
	}
	fleet, err := kit.NewFleet(store, fleetNet, "hall-a", "hall-b", "hall-a", "hall-b", "hall-a")
	if err != nil {
		return false, err
	}
	defer fleet.Stop()
	if err := fleet.Start(ctx); err != nil {
		return false, err
	}
	r.Printf("five nodes and four backends are ready")
	served := u.traffic(ctx, r, fleet.Nodes, 3*time.Second, false)
	last := fleet.Nodes[4]
	if trouble {
		r.Printf("the path from %s to the backends is cut for 8 s", last.Name)
		for _, b := range backends {
			b.Cut(last.IP)
		}
	}
	served += u.traffic(ctx, r, fleet.Nodes, 8*time.Second, trouble)
	for _, b := range backends {
		b.Heal(last.IP)
	}
	r.Printf("the path is back")
	served += u.traffic(ctx, r, fleet.Nodes, 2*time.Second, false)
	u.mu.Lock()
	defer u.mu.Unlock()
	r.Printf("%d uploads begun, %d answered 200, %d run with another body than the client's", len(u.sent), served, u.bad)
	if served < len(u.sent)/2 {
		return false, fmt.Errorf("only %d of %d uploads were served", served, len(u.sent))
	}
	return u.bad > 0, nil
}

// traffic has clients of all nodes send uploads, and returns how many were answered with 200. If leave is
// set, each fifth client leaves after a part of its body.
func (u *uploads) traffic(ctx context.Context, r *kit.Record, nodes []*kit.Node, length time.Duration, leave bool) int {
	var all sync.WaitGroup
	var mu sync.Mutex
	served := 0
	end := time.Now().Add(length)
	for i := 0; time.Now().Before(end) && ctx.Err() == nil; i++ {
		n := nodes[i%len(nodes)]
		q := &kit.Request{
			ID:       kit.NewID(),
			Method:   "POST",
			Host:     host,
			Path:     "/files/" + kit.NewID(),
			Body:     kit.Bytes(size),
			Deadline: 5 * time.Second,
			Chunked:  rand.IntN(2) == 0,
		}
		if leave && rand.IntN(5) == 0 {
			q.Part = part
			q.Pause = 300 * time.Millisecond
		}
		u.mu.Lock()
		u.sent[q.ID] = q
		u.mu.Unlock()
		all.Go(func() {
			r.Printf("sent     %s to %s: %d bytes, chunked %t, leaves after %d", q.ID, n.Name, len(q.Body), q.Chunked, q.Part)
			res := q.Send(ctx, n.Front)
			r.Printf("answered %s: %v", q.ID, res)
			mu.Lock()
			defer mu.Unlock()
			if res.Err == nil && res.Status == 200 {
				served++
			}
		})
		time.Sleep(20 * time.Millisecond)
	}
	all.Wait()
	return served
}

// check compares the body that a backend runs with that of the client.
func (u *uploads) check(r *kit.Record, run kit.Run) {
	u.mu.Lock()
	defer u.mu.Unlock()
	q := u.sent[run.ID]
	if q != nil && run.Hash == kit.Hash(q.Body) {
		r.Printf("run      %s by %s from %s: %d bytes", run.ID, run.Backend, run.From, run.Length)
		return
	}
	u.bad++
	r.Printf("run      %s by %s from %s: %d bytes, NOT THE BODY OF THE CLIENT", run.ID, run.Backend, run.From, run.Length)
}

// config is the configuration of the operator: one service with one route for uploads.
func config() any {
	return map[string]any{
		"version": 7,
		"services": []any{
			map[string]any{
				"name":            service,
				"health_path":     kit.HealthPath,
				"max_connections": 330,
				"protocol":        "h1",
				"tls":             false,
			},
		},
		"limits": map[string]any{
			"max_header_bytes": 16384,
			"max_body_bytes":   67108864,
			"header_timeout":   "3000ms",
			"idle_timeout":     "15000ms",
		},
		"virtual_hosts": []any{
			map[string]any{
				"host": host,
				"path_rules": []any{
					map[string]any{
						"name":           "r-files",
						"path_prefix":    "/files/",
						"type":           "upload",
						"timeout":        "5000ms",
						"target_latency": "2000ms",
						"priority":       1,
						"service":        service,
						"max_attempts":   2,
					},
				},
			},
		},
	}
}
