// SPDX-License-Identifier: Apache-2.0

package soak

import (
	"errors"
	"fmt"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"ploverjunction.example/ploverjunction/internal/standin/faultproxy"
	"ploverjunction.example/ploverjunction/internal/standin/platform"
	"ploverjunction.example/ploverjunction/internal/standin/process"
	"ploverjunction.example/ploverjunction/internal/standin/target"
)

// Timeouts of a fleet and the normal mode of its targets.
const (
	// stopTimeout bounds a planned stop: the drain wait plus the longest request.
	stopTimeout = 15 * time.Second
	// recoveryTime is the time within which all nodes must serve after the last fault.
	recoveryTime = 20 * time.Second
	// targetSlots and targetWork are the slots and the latency of a healthy target.
	targetSlots = 8
	targetWork  = 10 * time.Millisecond
)

// backend is a target behind a proxy.
type backend struct {
	*target.Target
	server   *httptest.Server
	proxy    *faultproxy.Proxy
	draining atomic.Bool
	// born is the start of the target's incarnation in Unix milliseconds; births holds the
	// starts of all incarnations but the first, guarded by the fleet's mu.
	born   atomic.Int64
	births []time.Duration
	// signalsDraining reports whether its answers signal that it is draining.
	signalsDraining atomic.Bool
	// limits counts the active steps in which it signals its limit.
	limits atomic.Int64
	// rejects counts the active steps in which it rejects requests.
	rejects atomic.Int64
}

// fleet holds the platform, targets and nodes of one run.
type fleet struct {
	plan          Plan
	daemon        string
	dir           string
	started       time.Time
	platform      *platform.Platform
	server        *httptest.Server
	platformProxy *faultproxy.Proxy
	nodes         []*node
	targets       []*backend
	// mu guards the fields up to revoked. routes counts the published routes; published is
	// the time of the last one.
	mu         sync.Mutex
	routes     int
	published  time.Time
	violations []string
	// keys counts the keys issued to the workspace of most callers; revoked is when the one
	// before the newest was revoked.
	keys    int
	revoked time.Time
	// processes counts the processes started, crashes those of targets under the harmful
	// request.
	processes atomic.Int64
	crashes   atomic.Int64
	// active counts the active steps.
	active atomic.Int64
	// platformDisturbed is node.lastDisturbed for steps that act on the platform.
	platformDisturbed atomic.Int64
	// surges are the factors by which competing workspaces currently exceed their usual demand, 0 for
	// none. calmSurge is when the surge without faults began.
	surges    [maxCompetitors]atomic.Int64
	calmSurge time.Duration
}

func hall(index int) string { return string(rune('a' + index%2)) }

// peerAddress returns a node's address for peers. Each run uses its own loopback
// network, so that concurrent runs do not reach each other.
func (f *fleet) peerAddress(index int) string {
	if !f.plan.Joint {
		return f.nodes[index].peerProxy.Addr()
	}
	return fmt.Sprintf("127.%d.%d.%d:7960", 64+os.Getpid()%128, f.plan.Seed%250, index+1)
}

// newFleet starts the platform, targets and processes of a plan.
func newFleet(daemon, dir string, plan Plan) (*fleet, error) {
	f := &fleet{
		plan:     plan,
		daemon:   daemon,
		dir:      dir,
		started:  time.Now(),
		platform: platform.New(),
	}
	f.server = httptest.NewServer(f.platform.Handler())
	var err error
	if f.platformProxy, err = faultproxy.New(address(f.server)); err != nil {
		return f, err
	}
	for i := range plan.Targets {
		b := &backend{
			Target: target.New(fmt.Sprintf("target-%d", i), targetSlots),
		}
		b.SetMode(healthy())
		b.born.Store(f.started.UnixMilli())
		if plan.Crashing {
			f.crashOnRequest(b)
		}
		b.server = httptest.NewServer(b.Handler())
		if b.proxy, err = faultproxy.New(address(b.server)); err != nil {
			return f, err
		}
		f.targets = append(f.targets, b)
	}
	f.publishTargets()
	f.publishRoute()
	if plan.Keyed || len(plan.Weights) > 0 {
		f.rotateKeys()
	}
	for i := range plan.Nodes {
		n := &node{
			fleet: f,
			index: i,
		}
		if n.peerProxy, err = faultproxy.New("127.0.0.1:1"); err != nil {
			return f, err
		}
		f.nodes = append(f.nodes, n)
		if err := n.start(); err != nil {
			return f, err
		}
	}
	return f, f.awaitReady(recoveryTime)
}

func address(s *httptest.Server) string { return strings.TrimPrefix(s.URL, "http://") }

func healthy() target.Mode {
	return target.Mode{
		Latency: targetWork,
	}
}

func (f *fleet) startProcess(dir, settings string) (*process.Process, error) {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, err
	}
	f.processes.Add(1)
	return process.Start(f.daemon, dir, settings)
}

// close stops the processes, proxies and servers of the run.
func (f *fleet) close() {
	for _, n := range f.nodes {
		if l := n.current.Load(); l != nil {
			l.proc.Kill()
		}
		n.peerProxy.Close()
	}
	f.platform.SetMode(platform.ModeDown)
	for _, b := range f.targets {
		b.server.CloseClientConnections()
		b.proxy.Close()
		b.server.Close()
	}
	f.platformProxy.Close()
	f.server.CloseClientConnections()
	f.server.Close()
}

// publishTargets publishes the service and its targets.
func (f *fleet) publishTargets() {
	var list []string
	for i, b := range f.targets {
		identity := ""
		if f.plan.Keyed {
			identity = fmt.Sprintf(`"id":"id-%d","born":"%d",`, i, b.born.Load())
		}
		list = append(list, fmt.Sprintf(`{"service":"quotes",%s"address":%q,"dataHall":%q,"slots":%d,"connections":200,"leaving":%t}`,
			identity, b.proxy.Addr(), hall(i), targetSlots, b.draining.Load()))
	}
	f.platform.Publish("services", `{"services":[{"name":"quotes"}],"targets":[`+strings.Join(list, ",")+`]}`)
}

// publishRoute publishes the service's routes and a new numbered route, by which
// callers detect which revision a node has in force.
func (f *fleet) publishRoute() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.routes++
	f.published = time.Now()
	routes := []string{
		`{"name":"read","pathPrefix":"/quotes","methods":["GET"],"service":"quotes","class":"read","repeatable":true,"deadline":"3s"}`,
		`{"name":"write","pathPrefix":"/quotes","methods":["POST"],"service":"quotes","class":"write","deadline":"2s"}`,
		`{"name":"find","pathPrefix":"/tasks","methods":["GET"],"service":"quotes","class":"find","repeatable":true,"deadline":"3s"}`,
		`{"name":"task","pathPrefix":"/tasks","methods":["POST"],"service":"quotes","class":"task","deadline":"2s"}`,
	}
	for i := 1; i <= f.routes; i++ {
		routes = append(routes, fmt.Sprintf(`{"name":"mark-%[1]d","pathPrefix":"/mark-%[1]d","methods":["GET"],"service":"quotes","class":"mark","repeatable":true,"deadline":"2s"}`, i))
	}
	f.platform.Publish("routes", `{"routes":[`+strings.Join(routes, ",")+`]}`)
}

// newest returns the number of the last published route and its publication time.
func (f *fleet) newest() (int, time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.routes, f.published
}

// violation records a violation.
func (f *fleet) violation(format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.violations = append(f.violations, fmt.Sprintf("%6.2fs ", time.Since(f.started).Seconds())+fmt.Sprintf(format, args...))
}

// NotReadyError reports a node that did not become ready.
type NotReadyError struct {
	index int
	log   string
}

// Error returns the node's index and the end of its log.
func (e *NotReadyError) Error() string {
	return fmt.Sprintf("soak: node %d is not ready:\n%s", e.index, e.log)
}

// awaitReady waits until all nodes are ready.
func (f *fleet) awaitReady(limit time.Duration) error {
	end := time.Now().Add(limit)
	var errs []error
	for _, n := range f.nodes {
		for !n.current.Load().proc.Ready() {
			if time.Now().After(end) {
				errs = append(errs, &NotReadyError{
					index: n.index,
					log:   tail(n.current.Load().proc.Log()),
				})
				break
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	return errors.Join(errs...)
}

// tail returns the end of a log.
func tail(log string) string {
	const maxLen = 4000
	return log[max(len(log)-maxLen, 0):]
}

// checkLog reports panics and data races in the log of a process.
func (f *fleet) checkLog(n *node, l *incarnation) {
	log := l.proc.Log()
	for _, sign := range []string{"DATA RACE", "panic:", "panicked"} {
		if strings.Contains(log, sign) {
			f.violation("node %d: %s in its log:\n%s", n.index, sign, tail(log))
		}
	}
}
