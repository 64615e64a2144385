// SPDX-License-Identifier: Apache-2.0

package soak

import (
	"math/rand/v2"
	"net/http"
	"time"

	"ploverjunction.example/ploverjunction/internal/standin/target"
)

const (
	// limitSteps is how many targets of a plan name limits, limitRate what they name.
	limitSteps = 2
	limitRate  = 3
	limitText  = "3"
	// limitLeast and limitMost bound how long they do: several windows of the bound.
	limitLeast = 5 * time.Second
	limitMost  = 9 * time.Second
	// limitWindow, limitExcess and limitSlack are the bound on what a target with a limit gets
	// from processes that it told, limitHeard how long after that they must keep to it, and
	// limitSettled how long after the first one the fleet must.
	limitWindow  = 4 * time.Second
	limitExcess  = 1.5
	limitSlack   = 5
	limitHeard   = 500 * time.Millisecond
	limitSettled = 2 * time.Second
)

// addLimits gives half of the plans targets that name limits. It draws from a source of its own,
// so that the other steps of a seed stay what they are.
func (p *Plan) addLimits() {
	rng := rand.New(rand.NewPCG(p.Seed, 0x11a))
	p.Limiting = rng.IntN(2) == 0
	if !p.Limiting {
		return
	}
	for range limitSteps {
		p.Steps = append(p.Steps, Step{
			At:    time.Duration(rng.Int64N(int64(faultTime / 2))),
			For:   limitLeast + time.Duration(rng.Int64N(int64(limitMost-limitLeast))),
			Kind:  KindNamesLimit,
			Index: rng.IntN(p.Targets),
		})
	}
}

// nameLimit has a target name a limit for the time of a step.
func (f *fleet) nameLimit(b *backend, s Step) {
	b.limits.Add(1)
	b.SetMode(b.usual())
	time.Sleep(s.For)
	b.limits.Add(-1)
	b.SetMode(b.usual())
}

// limitWatch follows what reaches one target while it names its limit.
type limitWatch struct {
	named time.Duration
	// told is when each process passed on an answer with the limit.
	told   map[*life]time.Duration
	window []time.Duration
	broken bool
}

// judgeLimited looks for a time in which a target got more than its limit allows from processes
// that it told.
func (f *fleet) judgeLimited(b *backend, calls map[string]*heard) {
	w := limitWatch{}
	for _, a := range b.Arrivals() {
		at := a.At.Sub(f.begun)
		if a.Limit == "" || f.bornBefore(b, at) > w.named {
			w = limitWatch{
				named: at,
				told:  map[*life]time.Duration{},
			}
		}
		c := calls[a.Key]
		if a.Limit == "" || c == nil {
			continue
		}
		w.arrived(f, b, a, at, c)
	}
}

func (w *limitWatch) arrived(f *fleet, b *backend, a target.Arrival, at time.Duration, c *heard) {
	if when, ok := w.told[c.life]; ok && at-when >= limitHeard {
		w.window = append(w.window, at)
		for at-w.window[0] >= limitWindow {
			w.window = w.window[1:]
		}
	}
	allowed := limitExcess*limitRate*limitWindow.Seconds() + limitSlack
	if at-w.named >= limitSettled && float64(len(w.window)) > allowed && !w.broken {
		w.broken = true
		f.broken("%s named a limit of %s a second and got %d requests in %v until %.2fs from processes that it told", b.Name(), a.Limit, len(w.window), limitWindow, at.Seconds())
	}
	if _, ok := w.told[c.life]; !ok && c.arrivals == 1 && c.err == nil && c.Status == http.StatusOK {
		w.told[c.life] = c.ended
	}
}
