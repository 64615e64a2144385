// SPDX-License-Identifier: Apache-2.0

package soak

import (
	"math/rand/v2"
	"time"

	"ploverjunction.example/ploverjunction/internal/standin/platform"
)

const (
	// restoreSteps is the number of restores in a plan that has any. They may overlap.
	restoreSteps = 3
	// restoreDowntime is how long the platform is down before it is restored from a copy, and
	// republishDelay how long after that operators publish the lost values again.
	restoreDowntime = 300 * time.Millisecond
	republishDelay  = 700 * time.Millisecond
)

// addRestores adds restores of the platform to half of the plans. It uses a separate random
// source, so that the other steps of a seed do not change.
func (p *Plan) addRestores() {
	rng := rand.New(rand.NewPCG(p.Seed, 0xc0b1))
	p.Restoring = rng.IntN(2) == 0
	if !p.Restoring {
		return
	}
	for range restoreSteps {
		p.Steps = append(p.Steps, Step{
			At:   time.Duration(rng.Int64N(int64(faultTime))),
			For:  minStepTime + time.Duration(rng.Int64N(int64(maxStepTime-minStepTime))),
			Kind: KindPlatformRestore,
		})
	}
}

// restore makes the platform lose the values published during a step.
func (f *fleet) restore(s Step) {
	copied := f.platform.Snapshot()
	time.Sleep(s.For)
	f.platform.SetMode(platform.ModeDown)
	time.Sleep(restoreDowntime)
	lost := f.platform.Restore(copied)
	f.platform.SetMode(platform.ModeGood)
	time.Sleep(republishDelay)
	for _, v := range lost {
		f.platform.Republish(v)
	}
	f.platformDisturbed.Store(int64(time.Since(f.started)))
}
