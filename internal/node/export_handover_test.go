// SPDX-License-Identifier: Apache-2.0

package node

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"
	"storj.io/drpc/drpcerr"

	"ploverjunction.example/ploverjunction/internal/entry"
	"ploverjunction.example/ploverjunction/internal/membership"
	"ploverjunction.example/ploverjunction/internal/task"
	"ploverjunction.example/ploverjunction/internal/wire"
)

// HandoverFleet is the dispatch controllers of several nodes. Messages between them take a millisecond.
type HandoverFleet struct {
	choosers map[string]*Chooser
	mu       sync.Mutex
	outcomes map[string][]string
	killed   map[string]bool
	failures []error
	calls    int
}

// NewHandoverFleet returns the nodes of a fleet, each of which sees all others.
func NewHandoverFleet(service string, entries []*wire.Entry, nodes ...membership.Node) *HandoverFleet {
	f := &HandoverFleet{
		choosers: map[string]*Chooser{},
		outcomes: map[string][]string{},
		killed:   map[string]bool{},
	}
	for _, n := range nodes {
		c := NewChooserOf(n, service, entries)
		c.dispatcher.messenger.transmit = func(peer string, d *wire.Datagram) error {
			f.transmit(n.Address(), peer, d)
			return nil
		}
		c.dispatcher.handover = handoverSender{
			enabled: true,
			call:    f.call,
		}
		c.dispatcher.countHandover = func(outcome string) {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.outcomes[n.Address()] = append(f.outcomes[n.Address()], outcome)
		}
		f.choosers[n.Address()] = c
		f.SetView(n, nodes...)
	}
	return f
}

func (f *HandoverFleet) transmit(from, to string, d *wire.Datagram) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.killed[from] || f.killed[to] || f.choosers[to] == nil {
		return
	}
	c := f.choosers[to].dispatcher
	d = proto.CloneOf(d)
	time.AfterFunc(time.Millisecond, func() {
		switch d.GetBody().(type) {
		case *wire.Datagram_Ask:
			c.handleGrantRequest(d)
		case *wire.Datagram_Done:
			c.handleDone(d)
		case *wire.Datagram_Taken:
			c.handleTaken(d.GetCall())
		default:
			c.messenger.deliverAnswer(d)
		}
	})
}

// call is the call Handover of a peer.
func (f *HandoverFleet) call(_ context.Context, peer string, in *wire.HandoverRequest) error {
	f.mu.Lock()
	f.calls++
	if len(f.failures) > 0 {
		err := f.failures[0]
		f.failures = f.failures[1:]
		f.mu.Unlock()
		return err
	}
	killed := f.killed[peer]
	f.mu.Unlock()
	if killed {
		return errors.New("node_test: connection refused")
	}
	data, err := proto.Marshal(in)
	if err != nil {
		return err
	}
	var received wire.HandoverRequest
	if err := proto.Unmarshal(data, &received); err != nil {
		return err
	}
	f.choosers[peer].dispatcher.handleHandover(time.Now(), &received)
	return nil
}

// SetView sets which nodes a node sees, itself included.
func (f *HandoverFleet) SetView(n membership.Node, nodes ...membership.Node) {
	table := membership.NewTable(n)
	table.List(slices.DeleteFunc(slices.Clone(nodes), func(o membership.Node) bool { return o == n }), nil)
	f.choosers[n.Address()].dispatcher.board.view.Store(table.View(time.Now()))
}

// Run runs all nodes until the context ends.
func (f *HandoverFleet) Run(ctx context.Context, running *task.Group) {
	for _, c := range f.choosers {
		running.Go(ctx, "dispatching", c.Run)
	}
}

// Chooser returns the chooser of a node.
func (f *HandoverFleet) Chooser(n membership.Node) *Chooser { return f.choosers[n.Address()] }

// Kill ends a node for the others.
func (f *HandoverFleet) Kill(n membership.Node) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.killed[n.Address()] = true
}

// Disable turns the setting off at all nodes.
func (f *HandoverFleet) Disable() {
	for _, c := range f.choosers {
		c.dispatcher.handover.enabled = false
	}
}

// FailCalls makes the next n calls fail, as by a lost connection, or by an older version.
func (f *HandoverFleet) FailCalls(n int, older bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for range n {
		err := errors.New("node_test: connection lost")
		if older {
			err = drpcerr.WithCode(errors.New("Unimplemented"), drpcerr.Unimplemented)
		}
		f.failures = append(f.failures, err)
	}
}

// Stop begins the planned stop of a node's dispatcher roles and waits for its calls.
func (f *HandoverFleet) Stop(ctx context.Context, n membership.Node) error {
	var calls task.Group
	f.Chooser(n).dispatcher.stop(ctx, &calls, time.Now())
	return calls.Wait()
}

// Outcomes returns what became of the handovers that a node sent and received.
func (f *HandoverFleet) Outcomes(n membership.Node) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.outcomes[n.Address()])
}

// Calls returns the number of calls.
func (f *HandoverFleet) Calls() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.calls
}

// RankedNodes returns nodes by their rank for the service, if they see each other.
func (f *HandoverFleet) RankedNodes(nodes ...membership.Node) []membership.Node {
	table := membership.NewTable(nodes[0])
	table.List(nodes[1:], nil)
	return table.View(time.Now()).Role("dispatcher/"+f.choosers[nodes[0].Address()].service.Name(), "", len(nodes))
}

// ChooseUntil returns a target for a request that can't be repeated and may wait for it.
func (c *Chooser) ChooseUntil(ctx context.Context, wait time.Duration) (entry.Choice, error) {
	return c.dispatcher.choose(ctx, &entry.Query{
		Service:      c.service,
		SoftDeadline: time.Now().Add(wait),
		Deadline:     time.Now().Add(wait),
	})
}

// QueuedAt returns since when a request counts as waiting once it has a target.
func (c *Chooser) QueuedAt(ctx context.Context, wait time.Duration) (time.Time, error) {
	q := &entry.Query{
		Service:      c.service,
		SoftDeadline: time.Now().Add(wait),
		Deadline:     time.Now().Add(wait),
	}
	_, err := c.dispatcher.choose(ctx, q)
	return q.QueuedAt, err
}
