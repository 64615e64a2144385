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
	// harmPause is the pause between two harmful requests, restartDelay the time that a target
	// takes to restart after a crash.
	harmPause    = 100 * time.Millisecond
	restartDelay = 700 * time.Millisecond
	// crashesToRefuse is the number of crashes from which nodes refuse the request.
	crashesToRefuse = 3
)

// crashOnRequest makes a target crash on a request that asks for it.
func (f *fleet) crashOnRequest(b *backend) {
	b.SetCrash(func() {
		f.crashes.Add(1)
		b.proxy.Down()
		time.AfterFunc(restartDelay, func() {
			if err := b.proxy.Up(); err != nil {
				f.violation("%s cannot restart: %v", b.Name(), err)
			}
		})
	})
}

// sendHarmful sends the harmful request to random nodes until the context ends.
func (f *fleet) sendHarmful(ctx context.Context) {
	c := newClient()
	defer c.CloseIdleConnections()
	rng := rand.New(rand.NewPCG(f.plan.Seed, 0x4a2))
	for i := 0; ctx.Err() == nil; i++ {
		l := f.nodes[rng.IntN(len(f.nodes))].current.Load()
		// The result is checked at the targets.
		_ = call(ctx, c, http.MethodGet, "http://"+l.proc.Entry()+harmPath, fmt.Sprint(harmPrefix, i), f.key())
		time.Sleep(harmPause)
	}
}

// checkCrashes checks the number of crashes. In the joint mode nodes share them and refuse the
// request after three in all, but each process may forward it once more just after its start;
// in the independent mode each process learns from three of its own.
func (f *fleet) checkCrashes() {
	if !f.plan.Crashing {
		return
	}
	processes := f.processes.Load()
	maxCrashes := crashesToRefuse + processes
	if !f.plan.Joint {
		maxCrashes = crashesToRefuse * processes
	}
	if crashes := f.crashes.Load(); crashes > maxCrashes {
		f.violation("one request crashed %d targets, at most %d are allowed with %d processes", crashes, maxCrashes, processes)
	}
}
