// SPDX-License-Identifier: Apache-2.0

// Package kit has the stand-ins and helpers of the cases of this review: a store, backends and a fleet of
// real processes on loopback addresses.
package kit

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// daemon is the program of the deploy file.
const daemon = "target/ploverd"

// settings is platform/settings.ini, filled as for a machine of a small deployment.
const settings = `[node]
data_hall = %[1]s
outgoing = %[2]s
processors = 0.32
regions = %[3]s
[entry]
listen = %[4]s
max_header = 64KiB
max_body = 64MiB
memory = 284MiB
drain_wait = 2500ms
stall = 6s
workspace_header = Ploverjunction-Tenant
[operator]
listen = %[5]s
[peers]
listen = %[6]s
seeds = %[7]s
[source]
kind = store
platform = http://%[8]s
[targets]
choice = joint
floor = 0.7
retry_share = 0.2
retry_reserve = 58
retry_window = 10s
partition_slots = 80
[workspaces]
identity = key
[log]
level = %[9]s
format = json
[metrics]
listen = %[10]s
`

// Node is one process of the fleet.
type Node struct {
	Name  string
	IP    string
	Zone  string
	Front string
	Ready string
	// Control is the address for other nodes.
	Control string

	metrics string
	dir     string
	file    string
	cmd     *exec.Cmd
	exited  chan struct{}
}

// Fleet is a fleet of real processes.
type Fleet struct {
	Nodes []*Node

	dir   string
	store *Store
}

// NewFleet lays out a fleet with one node for each zone named; nothing is started. prefix are the first
// three numbers of the nodes' loopback addresses, such as "127.0.10".
func NewFleet(store *Store, prefix string, zones ...string) (*Fleet, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	f := &Fleet{
		dir:   dir,
		store: store,
	}
	for i, zone := range zones {
		ip := fmt.Sprintf("%s.%d", prefix, i+1)
		ports, err := freePorts(ip, 4)
		if err != nil {
			return nil, err
		}
		f.Nodes = append(f.Nodes, &Node{
			Name:    fmt.Sprintf("edge-%s-%d", zone, i+1),
			IP:      ip,
			Zone:    zone,
			Front:   ports[0],
			Ready:   ports[1],
			Control: ports[2],
			metrics: ports[3],
			dir:     dir,
		})
	}
	return f, nil
}

// freePorts returns addresses with free ports.
func freePorts(ip string, n int) ([]string, error) {
	var out []string
	for range n {
		lis, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
		if err != nil {
			return nil, err
		}
		defer func() { _ = lis.Close() }()
		out = append(out, lis.Addr().String())
	}
	return out, nil
}

// Start starts all nodes and waits until they are ready.
func (f *Fleet) Start(ctx context.Context) error {
	for _, n := range f.Nodes {
		if err := f.StartNode(n); err != nil {
			return err
		}
	}
	for _, n := range f.Nodes {
		if err := n.WaitReady(ctx); err != nil {
			return err
		}
	}
	return nil
}

// StartNode starts one node.
func (f *Fleet) StartNode(n *Node) error {
	regions := map[string]bool{}
	var zones, seeds []string
	for _, m := range f.Nodes {
		if !regions[m.Zone] {
			regions[m.Zone] = true
			zones = append(zones, m.Zone+"=region-1")
		}
		if len(seeds) < 3 {
			seeds = append(seeds, m.Control)
		}
	}
	level := "info"
	if os.Getenv("REVIEW_LOG") != "" {
		level = os.Getenv("REVIEW_LOG")
	}
	text := fmt.Sprintf(settings, n.Zone, n.IP, strings.Join(zones, ","), n.Front, n.Ready, n.Control,
		strings.Join(seeds, ","), f.store.Addr(), level, n.metrics)
	n.file = filepath.Join(n.dir, n.Name+".ini")
	if err := os.WriteFile(n.file, []byte(text), 0o600); err != nil {
		return err
	}
	out, err := os.OpenFile(filepath.Join(n.dir, n.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	n.cmd = exec.Command(daemon)
	n.cmd.Env = append(os.Environ(), "PLOVERJUNCTION_SETTINGS="+n.file)
	n.cmd.Stdout, n.cmd.Stderr = out, out
	if err := n.cmd.Start(); err != nil {
		return err
	}
	n.exited = make(chan struct{})
	go func(cmd *exec.Cmd, exited chan struct{}) {
		_ = cmd.Wait()
		_ = out.Close()
		close(exited)
	}(n.cmd, n.exited)
	return nil
}

// Signal sends a signal to the process.
func (n *Node) Signal(s syscall.Signal) { _ = n.cmd.Process.Signal(s) }

// Exited returns a channel that is closed once the process has ended.
func (n *Node) Exited() <-chan struct{} { return n.exited }

// Log returns what the process wrote.
func (n *Node) Log() string {
	b, err := os.ReadFile(filepath.Join(n.dir, n.Name+".log"))
	if err != nil {
		return ""
	}
	return string(b)
}

// IsReady reports whether the node says that it is ready.
func (n *Node) IsReady() bool {
	c := http.Client{
		Timeout: time.Second,
	}
	res, err := c.Get("http://" + n.Ready + "/readyz")
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// WaitReady waits until the node is ready.
func (n *Node) WaitReady(ctx context.Context) error {
	for !n.IsReady() {
		select {
		case <-ctx.Done():
			return errors.New(n.Name + " is not ready: " + ctx.Err().Error())
		case <-n.exited:
			return errors.New(n.Name + " has ended:\n" + n.Log())
		case <-time.After(50 * time.Millisecond):
		}
	}
	return nil
}

// Stop ends all processes and removes the folder of the fleet.
func (f *Fleet) Stop() {
	for _, n := range f.Nodes {
		if n.cmd == nil {
			continue
		}
		n.Signal(syscall.SIGCONT)
		n.Signal(syscall.SIGKILL)
		<-n.exited
	}
	if os.Getenv("REVIEW_KEEP") == "" {
		_ = os.RemoveAll(f.dir)
	}
}

// Dir returns the folder with the settings and logs of the fleet.
func (f *Fleet) Dir() string { return f.dir }
