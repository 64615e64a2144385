// SPDX-License-Identifier: Apache-2.0

package main

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"ploverjunction.example/ploverjunction/internal/standin/faultproxy"
	"ploverjunction.example/ploverjunction/internal/standin/platform"
	"ploverjunction.example/ploverjunction/internal/standin/process"
	"ploverjunction.example/ploverjunction/internal/standin/target"
)

// bench measures points, one at a time, on this machine.
type bench struct {
	dir    string
	daemon string
	window time.Duration
}

func newBench(window time.Duration) (*bench, error) {
	dir, err := os.MkdirTemp("", "capacity")
	if err != nil {
		return nil, fmt.Errorf("capacity: %w", err)
	}
	daemon, err := process.Build(dir, "ploverd")
	if err != nil {
		return nil, err
	}
	return &bench{
		dir:    dir,
		daemon: daemon,
		window: window,
	}, nil
}

func (b *bench) close() { _ = os.RemoveAll(b.dir) }

// point is the fleet and the load of one measurement.
type point struct {
	nodes      int
	services   int
	perService int
	routes     int
	workspaces int
	// changes is the number of configuration changes per second, each of a value of
	// changeSize bytes.
	changes    float64
	changeSize int
	// requests is the number of requests per second through all nodes together.
	requests float64
}

// dataHalls is the number of data halls of the nodes.
const dataHalls = 3

// fleet holds the processes of a point.
type fleet struct {
	bench    *bench
	point    point
	platform *platform.Platform
	server   *httptest.Server
	proxies  []*faultproxy.Proxy
	procs    []*process.Process
	target   *httptest.Server
}

// startFleet starts the processes of a point and waits until all are ready and have
// discovered each other.
func (b *bench) startFleet(p point) (*fleet, error) {
	f := &fleet{
		bench:    b,
		point:    p,
		platform: platform.New(),
	}
	f.server = httptest.NewServer(f.platform.Handler())
	t := target.New("target", 1000)
	t.SetMode(target.Mode{
		Latency: time.Millisecond,
	})
	f.target = httptest.NewUnstartedServer(t.Handler())
	// All addresses of the loopback network reach this one stand-in.
	lis, err := net.Listen("tcp4", "0.0.0.0:0")
	if err != nil {
		return nil, fmt.Errorf("capacity: %w", err)
	}
	_ = f.target.Listener.Close()
	f.target.Listener = lis
	f.target.Start()
	for range p.nodes {
		proxy, err := faultproxy.New("127.0.0.1:1")
		if err != nil {
			return nil, errors.Join(err, f.stop())
		}
		f.proxies = append(f.proxies, proxy)
	}
	f.publish()
	if err := f.startNodes(); err != nil {
		return nil, errors.Join(err, f.stop())
	}
	return f, f.waitReady()
}

func (f *fleet) startNodes() error {
	procs := make([]*process.Process, f.point.nodes)
	errs := make([]error, f.point.nodes)
	var wg sync.WaitGroup
	for i := range f.point.nodes {
		wg.Go(func() { procs[i], errs[i] = f.startNode(i) })
	}
	wg.Wait()
	for _, p := range procs {
		if p != nil {
			f.procs = append(f.procs, p)
		}
	}
	return errors.Join(errs...)
}

func (f *fleet) startNode(i int) (*process.Process, error) {
	dir, err := os.MkdirTemp(f.bench.dir, "node")
	if err != nil {
		return nil, fmt.Errorf("capacity: %w", err)
	}
	settings := fmt.Sprintf(`
[node]
data_hall = %s
[entry]
listen = 127.0.0.1:0
[operator]
listen = 127.0.0.1:0
[peers]
listen = 127.0.0.1:0
advertise = %s
seeds = %s
[source]
kind = platform
platform = %s
[log]
format = json
`, hallName(i), f.proxies[i].Addr(), f.proxies[(i+1)%len(f.proxies)].Addr(), f.server.URL)
	p, err := process.Start(f.bench.daemon, dir, settings)
	if err != nil {
		return nil, err
	}
	f.proxies[i].SetUpstream(p.Peers())
	return p, nil
}

func hallName(i int) string { return string(rune('a' + i%dataHalls)) }

// readyTimeout is how long a fleet may take to become ready.
const readyTimeout = time.Minute

// notReadyError reports that a fleet did not become ready in time.
type notReadyError struct {
	ready, want int
}

// Error returns how many nodes are ready.
func (e *notReadyError) Error() string {
	return fmt.Sprintf("capacity: %d of %d nodes ready", e.ready, e.want)
}

// waitReady waits until every node is ready and lists all members.
func (f *fleet) waitReady() error {
	end := time.Now().Add(readyTimeout)
	for {
		ready := 0
		for _, p := range f.procs {
			if s := p.Status(); s != nil && s.Ready && len(s.Members) == f.point.nodes {
				ready++
			}
		}
		if ready == f.point.nodes {
			return nil
		}
		if time.Now().After(end) {
			return &notReadyError{
				ready: ready,
				want:  f.point.nodes,
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
}

func (f *fleet) stop() error {
	for _, p := range f.procs {
		p.Kill()
	}
	for _, proxy := range f.proxies {
		proxy.Close()
	}
	f.platform.SetMode(platform.ModeDown)
	f.server.CloseClientConnections()
	f.server.Close()
	f.target.CloseClientConnections()
	f.target.Close()
	return nil
}

// publish publishes the point's configuration, split into values below the
// platform's size limit.
func (f *fleet) publish() {
	p := f.point
	for s := range p.services {
		var targets []string
		for t := range p.perService {
			targets = append(targets, fmt.Sprintf(`{"service":"s%d","address":%q,"dataHall":%q,"slots":3,"connections":200}`,
				s, f.targetAddress(s, t), hallName(t)))
		}
		f.platform.Publish(fmt.Sprintf("service-%d", s), fmt.Sprintf(`{"services":[{"name":"s%d"}],"targets":[%s]}`, s, strings.Join(targets, ",")))
	}
	f.publishMany("routes", p.routes, func(i int) string {
		return fmt.Sprintf(`{"name":"r%d","pathPrefix":"/s%d/r%d","service":"s%d","class":"c%d","repeatable":true,"deadline":"5s"}`,
			i, i%p.services, i, i%p.services, i%p.services)
	})
	f.publishMany("workspaces", p.workspaces, func(i int) string {
		return fmt.Sprintf(`{"id":"workspace-%06d","rate":10,"burst":20}`, i)
	})
	f.publishMany("instances", p.nodes, func(i int) string {
		return fmt.Sprintf(`{"address":%q,"dataHall":%q,"state":"LIVE","role":"ENTRY"}`, f.proxies[i].Addr(), hallName(i))
	})
}

// objectsPerValue is the number of objects in one published value.
const objectsPerValue = 500

func (f *fleet) publishMany(field string, count int, object func(i int) string) {
	for from := 0; from < count; from += objectsPerValue {
		var list []string
		for i := from; i < min(from+objectsPerValue, count); i++ {
			list = append(list, object(i))
		}
		f.platform.Publish(fmt.Sprintf("%s-%d", field, from), fmt.Sprintf(`{%q:[%s]}`, field, strings.Join(list, ",")))
	}
}

// targetAddress returns a distinct loopback address for each target; one stand-in
// serves all of them.
func (f *fleet) targetAddress(service, i int) string {
	n := service*f.point.perService + i
	port := f.target.Listener.Addr().(*net.TCPAddr).Port
	return fmt.Sprintf("127.%d.%d.%d:%d", 1+n/62500, n/250%250, 1+n%250, port)
}

// publishChange publishes a new version of a value of about size bytes.
func (f *fleet) publishChange(version, size int) uint64 {
	pad := max(size-60, 0)
	return f.platform.Publish("change", fmt.Sprintf(`{"workspaces":[{"id":"v%d"}]}%s`, version, strings.Repeat(" ", pad)))
}

// load sends requests at a steady rate until stop is closed and returns how many
// were sent and how many failed.
func (f *fleet) load(stop <-chan struct{}) (sent, failed int64) {
	var wg sync.WaitGroup
	var sentCount, failedCount atomic.Int64
	for i, p := range f.procs {
		wg.Go(func() {
			gap := time.Duration(float64(time.Second) * float64(len(f.procs)) / f.point.requests)
			tick := time.NewTicker(gap)
			defer tick.Stop()
			client := &http.Client{
				Timeout: 5 * time.Second,
			}
			for n := i; ; n++ {
				select {
				case <-stop:
					return
				case <-tick.C:
				}
				sentCount.Add(1)
				if !sendRequest(client, p, n%f.point.services) {
					failedCount.Add(1)
				}
			}
		})
	}
	wg.Wait()
	return sentCount.Load(), failedCount.Load()
}

func sendRequest(client *http.Client, p *process.Process, service int) bool {
	url := fmt.Sprintf("http://%s/s%d/r%d/x", p.Entry(), service, service)
	req, err := http.NewRequest(http.MethodGet, url, nil)
	if err != nil {
		return false
	}
	req.Header.Set("Plover-Workspace", "workspace-000000")
	res, err := client.Do(req)
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// statFile returns the path of a file of a process in /proc.
func statFile(pid int, name string) string {
	return filepath.Join("/proc", fmt.Sprint(pid), name)
}
