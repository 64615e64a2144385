// SPDX-License-Identifier: Apache-2.0

package dispatch_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"ploverjunction.example/ploverjunction/internal/dispatch"
)

// recentlyUsed returns the number of targets that got work within the last 2 s.
func recentlyUsed(last map[string]time.Time, now time.Time) int {
	n := 0
	for _, at := range last {
		if now.Sub(at) <= 2*time.Second {
			n++
		}
	}
	return n
}

// All working targets share the load, also with few requests after a time of many failures:
// preferring the targets that answered last would leave out the others.
func TestWorkingTargetsShareLoad(t *testing.T) {
	d := newScheduler(pool(20)...)
	last := map[string]time.Time{}
	running := map[uint64]dispatch.Grant{}
	now := start
	const failUntil, checkFrom = 1200, 1800
	for n := range uint64(2600) {
		now = now.Add(12 * time.Millisecond)
		a := newRequest(now, n)
		a.DataHall = string(rune('a' + n%2))
		g := d.RequestGrant(now, a)
		last[g.Target] = now
		if n < failUntil && g.Target < "t15" {
			d.Done(now, g.ID, g.Target, dispatch.ResultBad, time.Millisecond)
		} else {
			running[n] = g
		}
		if g, ok := running[n-20]; ok {
			d.Done(now, g.ID, g.Target, dispatch.ResultGood, 240*time.Millisecond)
			delete(running, n-20)
		}
		if n < checkFrom {
			continue
		}
		if got := recentlyUsed(last, now); got < 16 {
			t.Fatalf("request %d: %d of 20 targets got work within 2 s", n, got)
		}
	}
}

// While many requests fail, no target that takes work is left out for long: the others would have to
// carry its share.
func TestEveryTargetGetsWorkWhileManyRequestsFail(t *testing.T) {
	d := newScheduler(pool(9)...)
	last := map[string]time.Time{}
	now := start
	for n := range uint64(600) {
		now = now.Add(15 * time.Millisecond)
		g := d.RequestGrant(now, newRequest(now, n))
		if g.Decision != dispatch.Granted {
			t.Fatalf("request %d: %v", n, g.Decision)
		}
		last[g.Target] = now
		r := dispatch.ResultGood
		if g.Target < "t3" {
			r = dispatch.ResultBad
		}
		// A share of the other requests fails too, whatever the target.
		if n%5 == 0 {
			r = dispatch.ResultBad
		}
		d.Done(now, g.ID, g.Target, r, 3*time.Millisecond)
		if n < 200 {
			continue
		}
		if got := recentlyUsed(last, now); got < 7 {
			t.Fatalf("request %d: %d of 9 targets got work within 2 s", n, got)
		}
	}
}

// A large service under little load uses nearly all of its targets for repeatable requests, also
// those that failed some seconds ago.
func TestLargeServiceReusesFailedTargets(t *testing.T) {
	const targets = 100
	d := newScheduler(pool(targets)...)
	for i := range 40 {
		for range 2 {
			d.RecordRemote(start, fmt.Sprintf("t%d", i), "", dispatch.ResultBad, time.Millisecond)
		}
	}
	last := map[string]time.Time{}
	for n := range uint64(3200) {
		now := start.Add(time.Duration(n) * 2500 * time.Microsecond)
		a := newRequest(now, n)
		a.Repeatable = true
		g := d.RequestGrant(now, a)
		last[g.Target] = now
		d.Done(now, g.ID, g.Target, dispatch.ResultGood, 300*time.Millisecond)
		if n < 1200 {
			continue
		}
		if got := recentlyUsed(last, now); got < 85 {
			t.Fatalf("request %d: %d of %d targets got work within 2 s", n, got, targets)
		}
	}
}

// Requests whose callers leave during the first attempt count as not served: work is spread when
// there are many of them.
func TestAbandonedRequestsSpreadWork(t *testing.T) {
	d := newScheduler(pool(9)...)
	last := map[string]time.Time{}
	now := start
	for n := range uint64(600) {
		now = now.Add(15 * time.Millisecond)
		a := newRequest(now, n)
		a.Repeatable = true
		g := d.RequestGrant(now, a)
		if g.Decision != dispatch.Granted {
			t.Fatalf("request %d: %v", n, g.Decision)
		}
		last[g.Target] = now
		switch {
		case g.Target < "t4":
			d.Done(now, g.ID, g.Target, dispatch.ResultBad, 3*time.Millisecond)
		case n%5 == 0:
			d.MarkFinal(g.Target, g.ID)
			d.Done(now, g.ID, g.Target, dispatch.ResultIgnored, 300*time.Millisecond)
		default:
			d.Done(now, g.ID, g.Target, dispatch.ResultGood, 300*time.Millisecond)
		}
		if n < 200 {
			continue
		}
		if got := recentlyUsed(last, now); got < 9 {
			t.Fatalf("request %d: %d of 9 targets got work within 2 s", n, got)
		}
	}
}

// Large answers reach enough of the targets of another data hall, but hardly more than that: each
// costs bytes. While many callers leave without an answer all targets get work.
func TestLargeAnswersReachOtherDataHalls(t *testing.T) {
	const (
		targets = 8
		// maxCrossed is how many requests may cross in the six seconds: two of the four targets each
		// 1.5 s, and one more at the start.
		maxCrossed = 9
	)
	for _, abandon := range []bool{false, true} {
		d := newScheduler(pool(targets)...)
		last := map[string]time.Time{}
		now, crossed, least := start, 0, targets
		for n := range uint64(400) {
			now = now.Add(15 * time.Millisecond)
			a := newRequest(now, n)
			a.Repeatable, a.Kilobytes = true, 90
			g := d.RequestGrant(now, a)
			last[g.Target] = now
			if g.Target[1]%2 == 1 {
				crossed++
			}
			if n > 200 {
				least = min(least, recentlyUsed(last, now))
			}
			if abandon && n%5 == 0 {
				d.MarkFinal(g.Target, g.ID)
				d.Done(now, g.ID, g.Target, dispatch.ResultIgnored, 300*time.Millisecond)
				continue
			}
			d.Done(now, g.ID, g.Target, dispatch.ResultGood, 300*time.Millisecond)
		}
		if abandon && least != targets {
			t.Errorf("callers leave: at times %d of %d targets got work within 2 s", least, targets)
		}
		if !abandon && (crossed > maxCrossed || least < 6) {
			t.Errorf("%d of 400 requests crossed, at times %d of %d targets got work within 2 s; want at most %d, at least 6", crossed, least, targets, maxCrossed)
		}
	}
}

// In a large service too nearly all targets get work while many requests fail: the users may count
// any few of them as working.
func TestLargeServiceSpreadsWorkWhileManyRequestsFail(t *testing.T) {
	const (
		targets = 100
		failing = 30
	)
	d := newScheduler(pool(targets)...)
	rng := rand.New(rand.NewPCG(3, 4))
	last := map[string]time.Time{}
	for n := range uint64(3200) {
		now := start.Add(time.Duration(n) * 2500 * time.Microsecond)
		g := d.RequestGrant(now, newRequest(now, n))
		last[g.Target] = now
		var index int
		if _, err := fmt.Sscanf(g.Target, "t%d", &index); err != nil {
			t.Fatal(err)
		}
		switch {
		case index < failing:
			d.Done(now, g.ID, g.Target, dispatch.ResultBad, time.Millisecond)
		case rng.IntN(6) == 0:
			d.Done(now, g.ID, g.Target, dispatch.ResultBad, 300*time.Millisecond)
		default:
			d.Done(now, g.ID, g.Target, dispatch.ResultGood, 300*time.Millisecond)
		}
		if n < 1600 {
			continue
		}
		if got := recentlyUsed(last, now); got < 90 {
			t.Fatalf("request %d: %d of %d targets got work within 2 s", n, got, targets)
		}
	}
}

// Targets are not left out while workspace limits have many requests refused, which the dispatcher
// does not receive as requests.
func TestRequestsRefusedForLimitsSpreadWork(t *testing.T) {
	const targets = 40
	d := newScheduler(pool(targets)...)
	d.SetFloor(0)
	last := map[string]time.Time{}
	for n := range uint64(2000) {
		now := start.Add(time.Duration(n) * 5 * time.Millisecond)
		a := newRequest(now, n)
		if n%5 == 0 {
			a.Refused = 1
		}
		g := d.RequestGrant(now, a)
		last[g.Target] = now
		r := dispatch.ResultGood
		if g.Target > "t2" && n < 400 {
			r = dispatch.ResultBad
		}
		d.Done(now, g.ID, g.Target, r, 3*time.Millisecond)
		if n < 1200 {
			continue
		}
		if got := recentlyUsed(last, now); got < 35 {
			t.Fatalf("request %d: %d of %d targets got work within 2 s", n, got, targets)
		}
	}
}
