// SPDX-License-Identifier: Apache-2.0

package node

import (
	"context"
	"errors"
	"time"

	"github.com/sirupsen/logrus"

	"ploverjunction.example/ploverjunction/internal/logging"
	"ploverjunction.example/ploverjunction/internal/task"
)

// Run serves until a planned stop has finished or the context ends. The end of the context stops at
// once; Drain, or the failure of a controller or server, stops after all requests in flight.
func (n *Node) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	tasks := n.start(ctx)
	failed := make(chan error, len(tasks))
	var watchers []*task.Task
	for _, t := range tasks {
		watchers = append(watchers, task.Go(context.WithoutCancel(ctx), "watch "+t.Name(), func(context.Context) error {
			failed <- <-t.Done()
			return nil
		}))
	}
	err := errors.Join(n.wait(ctx, failed), failures(failed))
	n.logEnd()
	cancel()
	err = errors.Join(err, n.entry.Close(), n.operator.Close())
	for _, w := range watchers {
		err = errors.Join(err, <-w.Done())
	}
	n.dialer.Close()
	return errors.Join(err, n.metrics.Close())
}

// start starts all controllers and servers.
func (n *Node) start(ctx context.Context) []*task.Task {
	run := map[string]func(context.Context) error{
		"members":   n.members.run,
		"judging":   n.ejection.run,
		"lifecycle": n.lifecycle.run,
		"entry":     n.entry.Serve,
		"operator":  n.operator.Serve,
		"source":    n.runSource,
		"traffic":   n.reportTraffic,
	}
	if n.messenger != nil {
		run["datagrams"] = n.messenger.run
		run["pinging"] = n.failureDetector.run
		run["limiting"] = n.limits.run
	}
	if n.dispatcher != nil {
		run["dispatching"] = n.dispatcher.run
	} else {
		run["observing"] = n.evidence.run
		run["probing"] = n.prober.run
	}
	if n.peers != nil {
		run["link"] = n.peers.Serve
		run["gossip"] = n.gossip.Run
		run["idle links"] = n.closeIdle
	}
	var tasks []*task.Task
	for name, fn := range run {
		tasks = append(tasks, task.Go(ctx, name, fn))
	}
	logging.Part(n.log, "node").WithFields(logrus.Fields{
		"entry":    n.entry.Addr(),
		"operator": n.operator.Addr(),
		"peers":    n.peerAddr(),
	}).Info("serving")
	return tasks
}

func (n *Node) peerAddr() string {
	if n.peers == nil {
		return ""
	}
	return n.peers.Addr()
}

func (n *Node) closeIdle(ctx context.Context) error {
	tick := time.NewTicker(idleConnInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-tick.C:
			n.dialer.CloseIdle(now)
		}
	}
}

// wait returns after the end of the context or a planned stop, which a failed task begins too: the others still serve the
// requests in flight. Tasks that fail during the stop do not shorten it.
func (n *Node) wait(ctx context.Context, failed <-chan error) error {
	select {
	case <-ctx.Done():
		return nil
	case err := <-failed:
		if ctx.Err() != nil {
			return err
		}
		if err == nil {
			err = &StoppedError{}
		}
		logging.Part(n.log, "node").WithError(err).Error("planned stop after a failure")
		return errors.Join(err, n.stop(ctx))
	case <-n.drain:
		return n.stop(ctx)
	}
}

// failures returns the errors of the tasks that have failed meanwhile. A task without an error has ended with the stop.
func failures(failed <-chan error) error {
	var err error
	for {
		select {
		case e := <-failed:
			err = errors.Join(err, e)
		default:
			return err
		}
	}
}

// StoppedError is the error of a controller or server that returned while the node was running.
type StoppedError struct{}

// Error describes the stop.
func (*StoppedError) Error() string { return "node: a controller or server stopped unexpectedly" }
