// SPDX-License-Identifier: Apache-2.0

package soak

import (
	"math/rand/v2"
	"net/http"
	"time"

	"ploverjunction.example/ploverjunction/internal/standin/target"
)

const (
	// limitSteps is the number of steps in which targets signal limits, limitRate the limit
	// in requests a second.
	limitSteps = 2
	limitRate  = 3
	limitText  = "3"
	// minLimitTime and maxLimitTime bound the duration of such a step. Both exceed limitWindow.
	minLimitTime = 5 * time.Second
	maxLimitTime = 9 * time.Second
	// limitWindow, limitExcess and limitSlack bound what a target with a limit receives from
	// processes that received the limit: at most limitExcess times the rate plus limitSlack
	// requests a window. A process must comply limitGrace after it received the limit, the
	// fleet limitSettleTime after the target first signaled it.
	limitWindow     = 4 * time.Second
	limitExcess     = 1.5
	limitSlack      = 5
	limitGrace      = 500 * time.Millisecond
	limitSettleTime = 2 * time.Second
)

// addLimits adds targets that signal limits to half of the plans. It uses a separate random
// source, so that the other steps of a seed do not change.
func (p *Plan) addLimits() {
	rng := rand.New(rand.NewPCG(p.Seed, 0x11a))
	p.Limiting = rng.IntN(2) == 0
	if !p.Limiting {
		return
	}
	for range limitSteps {
		p.Steps = append(p.Steps, Step{
			At:    time.Duration(rng.Int64N(int64(faultTime / 2))),
			For:   minLimitTime + time.Duration(rng.Int64N(int64(maxLimitTime-minLimitTime))),
			Kind:  KindSignalsLimit,
			Index: rng.IntN(p.Targets),
		})
	}
}

// signalLimit makes a target signal a limit for the duration of a step.
func (f *fleet) signalLimit(b *backend, s Step) {
	b.limits.Add(1)
	b.SetMode(b.mode())
	time.Sleep(s.For)
	b.limits.Add(-1)
	b.SetMode(b.mode())
}

// limitWatch tracks the requests that reach one target while it signals its limit.
type limitWatch struct {
	signaled time.Duration
	// received is when each process relayed an answer with the limit.
	received map[*incarnation]time.Duration
	window   []time.Duration
	reported bool
}

// checkLimit reports a window in which a target received more than its limit allows from
// processes that had received the limit.
func (f *fleet) checkLimit(b *backend, calls map[string]*trackedCall) {
	w := limitWatch{}
	for _, a := range b.Arrivals() {
		at := a.At.Sub(f.started)
		if a.Limit == "" || f.incarnationBefore(b, at) > w.signaled {
			w = limitWatch{
				signaled: at,
				received: map[*incarnation]time.Duration{},
			}
		}
		c := calls[a.Key]
		if a.Limit == "" || c == nil || sentByPeer(a) {
			continue
		}
		w.arrived(f, b, a, at, c)
	}
}

func (w *limitWatch) arrived(f *fleet, b *backend, a target.Arrival, at time.Duration, c *trackedCall) {
	if when, ok := w.received[c.process]; ok && at-when >= limitGrace {
		w.window = append(w.window, at)
		for at-w.window[0] >= limitWindow {
			w.window = w.window[1:]
		}
	}
	allowed := limitExcess*limitRate*limitWindow.Seconds() + limitSlack
	if at-w.signaled >= limitSettleTime && float64(len(w.window)) > allowed && !w.reported {
		w.reported = true
		f.violation("%s signaled a limit of %s a second and got %d requests in %v until %.2fs from processes that had received the limit", b.Name(), a.Limit, len(w.window), limitWindow, at.Seconds())
	}
	if _, ok := w.received[c.process]; !ok && c.arrivals == 1 && c.err == nil && c.Status == http.StatusOK {
		w.received[c.process] = c.ended
	}
}
