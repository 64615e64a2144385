// SPDX-License-Identifier: Apache-2.0

// Command 1 shows that a valid configuration with many routes never gets into force, and that a fleet that
// starts with it serves nothing.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"time"

	"ploverjunction.example/ploverjunction/review/kit"
)

const (
	// valueBytes is the greatest size of a value of the store, as in the settings.
	valueBytes = 1_048_576
	// configApply is the time within which a configuration must be in force.
	configApply = 2 * time.Second
	// recovery is the time after which a fleet whose processes were all killed must serve again.
	recovery = 15 * time.Second
	// step is the number of routes that one change adds, steps the number of changes.
	step  = 1640
	steps = 4
	// first is the number of routes of the first configuration.
	first = 20
)

const (
	service   = "huvo11a"
	fleetNet  = "127.0.59"
	backendIP = "127.0.60.1"
	deadline  = 5 * time.Second
	// tries is the number of requests that show which configuration is in force on each node.
	tries = 25
)

func main() {
	kit.Main("review/1", play)
}

func play(ctx context.Context, r *kit.Record, trouble bool) (bool, error) {
	store, err := kit.NewStore(backendIP)
	if err != nil {
		return false, err
	}
	defer store.Close()
	put(r, store, 7, first)
	halls := []string{"sala-brasov", "sala-sibiu", "sala-fagaras"}
	for i := range 6 {
		b := &kit.Backend{
			ID:      fmt.Sprintf("i-%d", i+1),
			Service: service,
			Zone:    halls[i%len(halls)],
			Slots:   3,
			OnRun:   func(run kit.Run) { r.Printf("run      %s by %s from %s: %s", run.ID, run.Backend, run.From, run.URI) },
		}
		if err := b.Start(backendIP, store); err != nil {
			return false, err
		}
		defer b.Close()
	}
	fleet, err := kit.NewFleet(store, fleetNet, halls[0], halls[1], halls[2], halls[0])
	if err != nil {
		return false, err
	}
	defer fleet.Stop()
	if err := fleet.Start(ctx); err != nil {
		return false, err
	}
	r.Printf("four nodes and six backends are ready")
	if served, _ := ask(ctx, r, fleet, 0, first); served < tries*len(fleet.Nodes)/2 {
		return false, fmt.Errorf("only %d requests were served before the change", served)
	}
	routes := first
	if trouble {
		for i := range steps {
			routes += step
			put(r, store, 10+3*i, routes)
			pause(ctx, 3*time.Second)
		}
	}
	// Twice the bound, and five seconds beyond it.
	pause(ctx, 2*configApply+5*time.Second)
	served, stale := ask(ctx, r, fleet, routes-routes/10, routes)
	r.Printf("on the routes that were added last: %d served, %d refused with 404", served, stale)
	broken := stale > 0
	if !trouble {
		return broken, nil
	}
	return restart(ctx, r, fleet, routes) || broken, nil
}

// restart kills all processes, starts them again, and reports whether nothing is served after the time in
// which a fleet must recover.
func restart(ctx context.Context, r *kit.Record, fleet *kit.Fleet, routes int) bool {
	r.Printf("all processes are killed and start again")
	for _, n := range fleet.Nodes {
		n.Signal(syscall.SIGKILL)
		<-n.Exited()
	}
	for _, n := range fleet.Nodes {
		if err := fleet.StartNode(n); err != nil {
			r.Printf("%s: %v", n.Name, err)
		}
	}
	pause(ctx, recovery)
	served, _ := ask(ctx, r, fleet, 0, routes)
	r.Printf("%v after the start: %d of %d requests served", recovery, served, tries*len(fleet.Nodes))
	return served < tries*len(fleet.Nodes)/4
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// ask sends requests on some of the routes from one number to another to each node, and returns how many
// were served and how many were refused with 404.
func ask(ctx context.Context, r *kit.Record, fleet *kit.Fleet, from, to int) (served, stale int) {
	var all sync.WaitGroup
	var mu sync.Mutex
	for _, n := range fleet.Nodes {
		for range tries {
			i := from + rand.IntN(to-from)
			q := &kit.Request{
				ID:       kit.NewID(),
				Method:   http.MethodGet,
				Host:     hostOf(i),
				Path:     prefixOf(i) + "2f",
				Deadline: deadline,
			}
			all.Go(func() {
				r.Printf("sent     %s to %s: %s%s", q.ID, n.Name, q.Host, q.Path)
				res := q.Send(ctx, n.Front)
				r.Printf("answered %s: %v", q.ID, res)
				mu.Lock()
				defer mu.Unlock()
				switch {
				case res.Err != nil:
				case res.Status == http.StatusOK:
					served++
				case res.Status == http.StatusNotFound:
					stale++
				}
			})
			pause(ctx, 20*time.Millisecond)
		}
	}
	all.Wait()
	return served, stale
}

// put writes a configuration with a number of routes, which the store takes up to valueBytes.
func put(r *kit.Record, store *kit.Store, version, routes int) {
	value, err := json.Marshal(config(version, routes))
	if err != nil {
		panic("encode the configuration: " + err.Error())
	}
	if len(value) > valueBytes {
		panic(fmt.Sprintf("a configuration of %d bytes is too large for the store", len(value)))
	}
	store.Put("op/config", value)
	r.Printf("the store has acknowledged version %d: %d routes, %d bytes of %d", version, routes, len(value), valueBytes)
}

// hosts is the number of hosts among which the routes are divided.
const hosts = 20

func hostOf(route int) string { return fmt.Sprintf("host%d.example", route%hosts) }

func prefixOf(route int) string { return fmt.Sprintf("/p%d/", route) }

// route is a route of a host.
type route struct {
	Name          string `json:"name"`
	PathPrefix    string `json:"path_prefix"`
	Type          string `json:"type"`
	Timeout       string `json:"timeout"`
	TargetLatency string `json:"target_latency"`
	Priority      int    `json:"priority"`
	Service       string `json:"service"`
	MaxAttempts   int    `json:"max_attempts"`
}

// config is the configuration of the operator with a number of routes.
func config(version, routes int) any {
	rules := make([][]route, hosts)
	for i := range routes {
		rules[i%hosts] = append(rules[i%hosts], route{
			Name:          fmt.Sprintf("r-%d", i),
			PathPrefix:    prefixOf(i),
			Type:          "safe",
			Timeout:       "2500ms",
			TargetLatency: "1000ms",
			Priority:      2,
			Service:       service,
			MaxAttempts:   2,
		})
	}
	var list []any
	for i, r := range rules {
		list = append(list, map[string]any{
			"host":       hostOf(i),
			"path_rules": r,
		})
	}
	return map[string]any{
		"version": version,
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
		"virtual_hosts": list,
	}
}
