// SPDX-License-Identifier: Apache-2.0

package dispatch_test

import (
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

const (
	// shareWindow is the time over which shares are checked, sampleInterval the time between two
	// samples of the running attempts in it.
	shareWindow    = 2 * time.Second
	sampleInterval = 25 * time.Millisecond
	// randomWork is the mean response time.
	randomWork = 200 * time.Millisecond
	// shareError is by how much a share may be below that of the weights, as a share of the slots: the
	// attempts under way when a window begins were granted before it, and hold their slots for
	// randomWork of it on average.
	shareError = float64(randomWork) / float64(shareWindow)
)

// randomFailureModel returns a service of 36 slots with 2 to 6 workspaces of random weights and demand,
// which together need more than the slots for most of the time.
func randomFailureModel(rng *rand.Rand) shareModel {
	m := shareModel{
		seed:    rng.Uint64(),
		halls:   1,
		targets: 6,
		slots:   6,
		shed:    0.012,
		weights: map[string]float64{},
	}
	n := 2 + rng.IntN(5)
	for i := range n {
		c := shareClient{
			workspace:    fmt.Sprint("w", i),
			burstFactor:  math.Exp(2 * rng.Float64()),
			priority:     1,
			route:        "lookup",
			work:         time.Duration((0.5 + rng.Float64()) * float64(randomWork)),
			repeatable:   rng.IntN(2) == 0,
			kilobytes:    8,
			softDeadline: 10 * time.Second,
			full:         10 * time.Second,
		}
		c.perSecond = (0.3 + 1.2*rng.Float64()) * m.shareCapacity() / float64(n) / c.work.Seconds()
		m.clients = append(m.clients, c)
		m.weights[c.workspace] = math.Exp(2*rng.Float64() - 1)
	}
	return m
}

// shareSample is what a dispatcher had at a time.
type shareSample struct {
	running, waiting map[string]int
}

// sampleShares samples the running and waiting requests of each dispatcher that shares slots.
func sampleShares(s *shareSimulation) map[*shareDispatcher][]shareSample {
	samples := map[*shareDispatcher][]shareSample{}
	var sample func()
	sample = func() {
		for _, d := range s.dispatchers {
			if !d.alone && !d.lost {
				samples[d] = append(samples[d], shareSample{
					running: maps.Clone(d.running),
					waiting: maps.Clone(d.waiting),
				})
			}
		}
		if s.now < shareEnd {
			s.after(sampleInterval, sample)
		}
	}
	sample()
	return samples
}

// leastShare returns the least share of the slots that a workspace got of a dispatcher beyond that of
// its weight, in windows in which it always had waiting requests, from restoredWithin after the first
// sample on, and the number of these windows.
func (m *shareModel) leastShare(samples []shareSample) (least float64, windows int) {
	weights := 0.0
	for _, w := range m.weights {
		weights += w
	}
	length := int(shareWindow / sampleInterval)
	for from := int(restoredWithin / sampleInterval); from+length <= len(samples); from += length / 4 {
		all, work, waits := 0, map[string]int{}, map[string]bool{}
		for name := range m.weights {
			waits[name] = true
		}
		for _, o := range samples[from : from+length] {
			for name := range m.weights {
				all += o.running[name]
				work[name] += o.running[name]
				waits[name] = waits[name] && o.waiting[name] > 0
			}
		}
		for name, w := range m.weights {
			if waits[name] {
				windows++
				least = min(least, float64(work[name])/float64(all)-w/weights)
			}
		}
	}
	return least, windows
}

// Under random demand, weights and failures, no dispatcher may grant a slot twice, and a workspace that
// waits must get at least its weighted share of the slots of each dispatcher, from one second after that
// one has got the role.
func TestSharesUnderRandomFailures(t *testing.T) {
	t.Parallel()
	parameters := gopter.DefaultTestParametersWithSeed(11)
	parameters.MinSuccessfulTests = 30
	properties := gopter.NewProperties(parameters)
	windows, least := 0, 0.0
	properties.Property("shares", prop.ForAll(func(seed uint64) string {
		rng := rand.New(rand.NewPCG(seed, 4))
		m := randomFailureModel(rng)
		s := newShareSimulation(m)
		samples := sampleShares(s)
		at := time.Duration(0)
		for at < shareEnd {
			f := shareFailures[rng.IntN(len(shareFailures))]
			at += time.Second + time.Duration(rng.Int64N(int64(4*time.Second)))
			s.after(at, func() { f.begin(s) })
			at += f.lasts
		}
		s.run()
		if s.over > 0 || s.twice > 0 {
			return fmt.Sprintf("%d grants beyond slots, %d requests answered twice", s.over, s.twice)
		}
		for i, d := range s.dispatchers {
			share, n := m.leastShare(samples[d])
			windows += n
			least = min(least, share)
			if share < -shareError {
				return fmt.Sprintf("dispatcher %d: a workspace got %.3f of the slots less than its weight is worth", i, -share)
			}
		}
		return ""
	}, gen.UInt64()))
	properties.TestingRun(t)
	t.Logf("%d windows, share at least %.3f below that of the weights", windows, -least)
}
