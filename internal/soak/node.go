// SPDX-License-Identifier: Apache-2.0

package soak

import (
	"fmt"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"ploverjunction.example/ploverjunction/internal/standin/faultproxy"
	"ploverjunction.example/ploverjunction/internal/standin/process"
)

// incarnation is one incarnation of a node: a process from its start to its exit.
type incarnation struct {
	proc *process.Process
	// stopped is set on SIGTERM, disturbed when the process is killed or paused.
	stopped   atomic.Bool
	disturbed atomic.Bool
	// newestRoute is the number of the newest route that this process has served.
	newestRoute atomic.Int64
	// lastPoll describes the last response to a poll of the newest route.
	lastPoll atomic.Value
}

// node is one member of the fleet, whose process is replaced on restarts.
type node struct {
	fleet     *fleet
	index     int
	peerProxy *faultproxy.Proxy
	// mu is held while a step acts on the process.
	mu      sync.Mutex
	current atomic.Pointer[incarnation]
	starts  int
	// lastDisturbed is when the last step that acted on the node ended, in nanoseconds
	// since the start of the fleet.
	lastDisturbed atomic.Int64
}

func (n *node) settings() string {
	var seeds []string
	for i := range min(n.index, 3) {
		seeds = append(seeds, n.fleet.peerAddress(i))
	}
	peers := "listen = " + n.fleet.peerAddress(n.index)
	choice := "joint"
	if !n.fleet.plan.Joint {
		peers = "listen = 127.0.0.1:0\nadvertise = " + n.peerProxy.Addr()
		choice = "alone"
	}
	if len(seeds) > 0 {
		peers += "\nseeds = " + strings.Join(seeds, ", ")
	}
	identity := "header"
	if n.fleet.plan.Keyed {
		identity = "key"
	}
	return fmt.Sprintf(`
[node]
data_hall = %s
outgoing = %s
[operator]
listen = 127.0.0.1:0
[peers]
%s
[source]
kind = platform
platform = http://%s
[log]
format = json
[entry]
listen = 127.0.0.1:0
drain_wait = 500ms
[targets]
choice = %s
[workspaces]
identity = %s
`, hall(n.index), outgoing(n.index), peers, n.fleet.platformProxy.Addr(), choice, identity)
}

// start starts a process. Once steps run, the caller must hold n.mu.
func (n *node) start() error {
	n.starts++
	dir := filepath.Join(n.fleet.dir, fmt.Sprintf("node-%d-%d", n.index, n.starts))
	p, err := n.fleet.startProcess(dir, n.settings())
	if err != nil {
		return fmt.Errorf("soak: node %d: %w", n.index, err)
	}
	n.peerProxy.SetUpstream(p.Peers())
	n.current.Store(&incarnation{
		proc: p,
	})
	return nil
}

// stop terminates the process gracefully and starts a new one.
func (n *node) stop() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := n.current.Load()
	l.stopped.Store(true)
	l.proc.Signal(syscall.SIGTERM)
	select {
	case <-l.proc.Exited():
	case <-time.After(stopTimeout):
		n.fleet.violation("node %d: a planned stop took longer than %v", n.index, stopTimeout)
		l.disturbed.Store(true)
		l.proc.Kill()
	}
	return n.replace(l)
}

// kill kills the process and starts a new one.
func (n *node) kill() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := n.current.Load()
	l.disturbed.Store(true)
	l.proc.Kill()
	return n.replace(l)
}

// replace starts the successor of a process that has exited.
func (n *node) replace(l *incarnation) error {
	n.fleet.checkLog(n, l)
	n.disturb()
	return n.start()
}

// pause suspends the process for d.
func (n *node) pause(d time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := n.current.Load()
	l.disturbed.Store(true)
	l.proc.Signal(syscall.SIGSTOP)
	time.Sleep(d)
	l.proc.Signal(syscall.SIGCONT)
	n.disturb()
}

func (n *node) disturb() { n.lastDisturbed.Store(int64(time.Since(n.fleet.started))) }
