// SPDX-License-Identifier: Apache-2.0

package node_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"ploverjunction.example/ploverjunction/internal/task"
	"ploverjunction.example/ploverjunction/internal/wire"
)

// slowPeer is the stream of a request of a peer whose answer ends slowly, as on a link that is full.
type slowPeer struct {
	wire.DRPCPeer_ForwardStream
	ctx  context.Context
	head *wire.RequestHead
	// ending and ended are set when the end of the answer begins to be sent, and when it was sent.
	ending atomic.Bool
	ended  atomic.Bool
}

func (p *slowPeer) Context() context.Context { return p.ctx }

func (p *slowPeer) Recv() (*wire.ForwardRequest, error) {
	if h := p.head; h != nil {
		p.head = nil
		return &wire.ForwardRequest{
			Head: h,
		}, nil
	}
	return &wire.ForwardRequest{
		Body: []byte("x"),
		End:  true,
	}, nil
}

func (p *slowPeer) Send(out *wire.ForwardResponse) error {
	if out.GetEnd() {
		p.ending.Store(true)
		<-time.After(600 * time.Millisecond)
		p.ended.Store(true)
	}
	return nil
}

// Guards against a planned stop that ends the process while the end of an answer to a peer is being sent: the peer takes
// the answer for one that broke off.
func TestPlannedStopWaitsForTheEndOfAnswersToPeers(t *testing.T) {
	n := startNode(t)
	p := &slowPeer{
		ctx: t.Context(),
		head: &wire.RequestHead{
			Id:         "of-a-peer",
			Method:     "POST",
			Host:       "quotes",
			Uri:        "/quotes/1",
			Length:     1,
			Service:    "quotes",
			Caller:     "192.0.2.1:1",
			DeadlineMs: 5000,
		},
	}
	served := task.Go(t.Context(), "request of a peer", func(context.Context) error { return n.Forward(p) })
	n.await(t, "the end of the answer is sent", p.ending.Load)
	n.Drain()
	if err := <-n.run.Done(); err != nil {
		t.Error(err)
	}
	if !p.ended.Load() {
		t.Error("the node ended while the end of the answer was being sent")
	}
	if err := <-served.Done(); err != nil {
		t.Error(err)
	}
	if n.target.Requests() != 1 {
		t.Errorf("%d requests at the target", n.target.Requests())
	}
}
