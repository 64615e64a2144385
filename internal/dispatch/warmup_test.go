// SPDX-License-Identifier: Apache-2.0

package dispatch_test

import (
	"testing"
	"time"

	"ploverjunction.example/ploverjunction/internal/dispatch"
)

// warmRate is the rate, in requests per second, that the targets of these tests take while they warm
// up.
const warmRate = 9.1

// warmingTargets returns n targets with the given remaining warm-up.
func warmingTargets(n int, left time.Duration) []dispatch.Target {
	out := pool(n)
	for i := range out {
		out[i].Warmup = left
		out[i].WarmupRate = warmRate
	}
	return out
}

// saturate sends a grant request every few milliseconds from one time to another; each attempt takes
// 100 ms. It returns the grant times by target.
func saturate(d *dispatch.Scheduler, from, to time.Time) map[string][]time.Time {
	out := map[string][]time.Time{}
	type running struct {
		ends time.Time
		g    dispatch.Grant
	}
	var attempts []running
	granted := func(now time.Time, list ...dispatch.Grant) {
		for _, g := range list {
			if g.Decision == dispatch.Granted {
				out[g.Target] = append(out[g.Target], now)
				attempts = append(attempts, running{
					ends: now.Add(100 * time.Millisecond),
					g:    g,
				})
			}
		}
	}
	number := uint64(from.UnixNano())
	for now := from; now.Before(to); now = now.Add(5 * time.Millisecond) {
		for len(attempts) > 0 && !attempts[0].ends.After(now) {
			r := attempts[0]
			attempts = attempts[1:]
			granted(now, d.Done(now, r.g.ID, r.g.Target, dispatch.ResultGood, 100*time.Millisecond)...)
		}
		granted(now, d.Advance(now)...)
		number++
		granted(now, d.RequestGrant(now, newRequest(now, number)))
	}
	return out
}

// maxPerSecond returns the greatest number of times within a second.
func maxPerSecond(times []time.Time) int {
	out := 0
	for i := range times {
		n := 0
		for _, at := range times[i:] {
			if at.Sub(times[i]) < time.Second {
				n++
			}
		}
		out = max(out, n)
	}
	return out
}

// A target that warms up gets nearly all of its warm-up rate and no more, which would overload it.
func TestWarmupRateIsFullyUsedAndNeverExceeded(t *testing.T) {
	const left = 3 * time.Second
	tests := []struct {
		name         string
		newScheduler func() *dispatch.Scheduler
	}{
		{
			name:         "from the start",
			newScheduler: func() *dispatch.Scheduler { return newScheduler(warmingTargets(2, left)...) },
		},
		{
			name: "new warm-up",
			newScheduler: func() *dispatch.Scheduler {
				d := newScheduler(pool(2)...)
				d.Update(start, warmingTargets(2, left), nil)
				return d
			},
		},
		{
			name: "a third joins",
			newScheduler: func() *dispatch.Scheduler {
				d := newScheduler(warmingTargets(2, left)...)
				d.Update(start, append(warmingTargets(3, left)[2:], warmingTargets(2, left)...), nil)
				return d
			},
		},
		{
			name: "remaining time is updated",
			newScheduler: func() *dispatch.Scheduler {
				d := newScheduler(warmingTargets(2, left+time.Second)...)
				d.Update(start, warmingTargets(2, left), nil)
				return d
			},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			d := tt.newScheduler()
			for key, times := range saturate(d, start, start.Add(left)) {
				if n := maxPerSecond(times); float64(n) > 1.1*warmRate+1 {
					t.Errorf("target %s got %d requests in a second", key, n)
				}
				if used := float64(len(times)) / left.Seconds() / warmRate; used < 0.9 {
					t.Errorf("target %s got %.2f of its warm-up rate", key, used)
				}
			}
			after := saturate(d, start.Add(left+2*time.Second), start.Add(left+4*time.Second))
			if n := len(after["t0"]); float64(n) < 2*2*warmRate {
				t.Errorf("target t0 got %d requests in 2 s after its warm-up", n)
			}
		})
	}
}

// If all targets warm up, requests beyond their rates are refused at once instead of queued in vain.
func TestWarmingServiceRefusesAtOnce(t *testing.T) {
	const targets, requests = 4, 600
	d := newScheduler(warmingTargets(targets, 10*time.Second)...)
	refused := 0
	for n := range uint64(requests) {
		now := start.Add(time.Duration(n) * 2 * time.Millisecond)
		g := d.RequestGrant(now, newRequest(now, n))
		if g.Decision == dispatch.Refused {
			refused++
			if g.RetryAfter <= 0 {
				t.Fatal("refused without a RetryAfter")
			}
		}
	}
	if refused < requests/2 {
		t.Errorf("%d of %d refused", refused, requests)
	}
}
