// SPDX-License-Identifier: Apache-2.0

package soak

import (
	"math/rand/v2"
	"time"

	"ploverjunction.example/ploverjunction/internal/standin/platform"
)

const (
	// restoreSteps is how many restores a plan with restores has: they may overlap.
	restoreSteps = 3
	// restoreAway is how long the platform is away before it comes back from a copy, and
	// rewriteTime after how long operators publish again what was lost.
	restoreAway = 300 * time.Millisecond
	rewriteTime = 700 * time.Millisecond
)

// addRestores gives half of the plans restores of the platform. It draws from a source of its own, so
// that the other steps of a seed stay what they are.
func (p *Plan) addRestores() {
	rng := rand.New(rand.NewPCG(p.Seed, 0xc0b1))
	p.Restoring = rng.IntN(2) == 0
	if !p.Restoring {
		return
	}
	for range restoreSteps {
		p.Steps = append(p.Steps, Step{
			At:   time.Duration(rng.Int64N(int64(faultTime))),
			For:  stepLeast + time.Duration(rng.Int64N(int64(stepMost-stepLeast))),
			Kind: KindPlatformRestore,
		})
	}
}

// restore has the platform lose what is published during a step.
func (f *fleet) restore(s Step) {
	copied := f.platform.Copy()
	time.Sleep(s.For)
	f.platform.SetMode(platform.ModeDown)
	time.Sleep(restoreAway)
	lost := f.platform.Restore(copied)
	f.platform.SetMode(platform.ModeGood)
	time.Sleep(rewriteTime)
	for _, v := range lost {
		f.platform.PublishAgain(v)
	}
	f.platformTouched.Store(int64(time.Since(f.begun)))
}
