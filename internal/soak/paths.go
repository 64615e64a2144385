// SPDX-License-Identifier: Apache-2.0

package soak

import (
	"fmt"
	"math/rand/v2"
	"time"

	"ploverjunction.example/ploverjunction/internal/standin/faultproxy"
)

// pathSteps is the number of additional steps of a plan in which nodes lose their paths.
const pathSteps = 5

// addPaths lets nodes lose their paths to all targets in half of the plans without requests that crash
// targets: a node without paths cannot tell a crash from its own fault. It uses a separate random
// source, so that the other steps of a seed do not change.
func (p *Plan) addPaths() {
	rng := rand.New(rand.NewPCG(p.Seed, 0x9a75))
	if p.Crashing || rng.IntN(2) == 0 {
		return
	}
	for range pathSteps {
		p.Steps = append(p.Steps, Step{
			At:    time.Duration(rng.Int64N(int64(faultTime))),
			For:   minStepTime + time.Duration(rng.Int64N(int64(maxStepTime-minStepTime))),
			Kind:  KindPathsCut,
			Index: rng.IntN(p.Nodes),
		})
	}
}

// outgoing returns the source IP address of a node's connections to targets.
func outgoing(index int) string { return fmt.Sprintf("127.0.5.%d", index+1) }

// cutPaths cuts the paths of a node to all targets for the duration of a step.
func (f *fleet) cutPaths(s Step) {
	set := func(fault faultproxy.Fault) {
		for _, b := range f.targets {
			b.proxy.SetSource(outgoing(s.Index), fault, fault)
		}
	}
	set(cut)
	time.Sleep(s.For)
	set(none)
}
