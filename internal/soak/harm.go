// SPDX-License-Identifier: Apache-2.0

package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"
)

const (
	harmPrefix = "harm-"
	harmPath   = "/quotes/harm?ends"
	// harmPause is the pause between two of them, harmBack is after how long a target that
	// has ended is back.
	harmPause = 100 * time.Millisecond
	harmBack  = 700 * time.Millisecond
	// endsKnown is from how many ends on nodes refuse it.
	endsKnown = 3
)

// canEnd has a target end when a request asks for it.
func (f *fleet) canEnd(b *backend) {
	b.SetEnd(func() {
		f.ends.Add(1)
		b.proxy.Down()
		time.AfterFunc(harmBack, func() {
			if err := b.proxy.Up(); err != nil {
				f.broken("%s can't come back: %v", b.Name(), err)
			}
		})
	})
}

// harm sends the request to random nodes until the context ends.
func (f *fleet) harm(ctx context.Context) {
	c := newClient()
	defer c.CloseIdleConnections()
	rng := rand.New(rand.NewPCG(f.plan.Seed, 0x4a2))
	for i := 0; ctx.Err() == nil; i++ {
		l := f.nodes[rng.IntN(len(f.nodes))].life.Load()
		// What came of it shows at the targets.
		_ = call(ctx, c, http.MethodGet, "http://"+l.proc.Entry()+harmPath, fmt.Sprint(harmPrefix, i), f.key())
		time.Sleep(harmPause)
	}
}

// judgeHarm checks how many targets ended. Nodes that tell each other know a request after
// three ends, and each process may let one more through in its first moments; those that
// don't learn from three ends of their own.
func (f *fleet) judgeHarm() {
	if !f.plan.Harmful {
		return
	}
	lives := f.lives.Load()
	most := endsKnown + lives
	if !f.plan.Joint {
		most = endsKnown * lives
	}
	if ends := f.ends.Load(); ends > most {
		f.broken("%d targets ended under one request, at most %d may with %d processes", ends, most, lives)
	}
}
