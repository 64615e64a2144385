// SPDX-License-Identifier: Apache-2.0

package integration_test

import (
	"fmt"
	"strconv"
	"testing"
	"time"

	"ploverjunction.example/ploverjunction/internal/standin/target"
)

// Bounds of a target's limit: what it may get in any window, from the nodes that it told.
const (
	limitWindow = 4 * time.Second
	limitExcess = 1.5
	limitSlack  = 5
	// limitKnown is how long after an answer with the limit its node must keep to it,
	// limitSettled how long after the first one the fleet must.
	limitKnown   = 500 * time.Millisecond
	limitSettled = 2 * time.Second
	// calmExcess and calmSlack are the same from all nodes while nothing goes wrong.
	calmExcess = 1.1
	calmSlack  = 2
)

// limited is a target's limit of some requests a second as the test sees it.
type limited struct {
	rate float64
	// named is when the target named it first.
	named time.Time
}

func (l limited) allowed(excess, slack float64) int {
	return int(excess*l.rate*limitWindow.Seconds() + slack)
}

// most returns the greatest number of arrivals in one window among those that count.
func most(all []target.Arrival, counts func(target.Arrival) bool) int {
	var window []time.Time
	out := 0
	for _, a := range all {
		if !counts(a) {
			continue
		}
		window = append(window, a.At)
		for a.At.Sub(window[0]) >= limitWindow {
			window = window[1:]
		}
		out = max(out, len(window))
	}
	return out
}

// fromTold returns the most that a target got in one window from nodes that had passed on its
// limit for a while.
func (l limited) fromTold(b *backend, nodes []int) int {
	told := map[string]time.Time{}
	for _, i := range nodes {
		for _, a := range b.from(i) {
			if a.Limit != "" {
				told[strconv.Itoa(i)] = a.At.Add(noticeWork)
				break
			}
		}
	}
	return most(b.Arrivals(), func(a target.Arrival) bool {
		at, ok := told[a.Key[:1]]
		return ok && a.At.Sub(at) >= limitKnown && a.At.Sub(l.named) >= limitSettled
	})
}

// Users saw a target that had named a limit of 1.6 requests a second get 30 of them in 4 s, each
// of them from a node to which it had said so.
func TestTargetsGetNoMoreThanTheirLimit(t *testing.T) {
	const rate = 2.5
	for _, tt := range troubles {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			tt.net += 10
			s := noticeSite(t, &tt)
			b := s.targets[0]
			stopped := s.load(tt.stopped()...)
			stop := s.load(tt.left...)
			eventually(t, "work at the target", func() bool { return len(b.Arrivals()) > 40 })
			b.SetMode(target.Mode{
				Latency: noticeWork,
				Limit:   fmt.Sprint(rate),
			})
			var l limited
			eventually(t, "an answer with the limit", func() bool {
				for _, a := range b.Arrivals() {
					if a.Limit != "" {
						l = limited{
							rate:  rate,
							named: a.At,
						}
						return true
					}
				}
				return false
			})
			<-time.After(limitSettled / 2)
			stopped()
			tt.strike(s)
			time.AfterFunc(2*limitWindow, stop)
			<-time.After(2*limitWindow + time.Second)
			if got, allowed := l.fromTold(b, tt.left), l.allowed(limitExcess, limitSlack); got > allowed {
				t.Errorf("%d requests in %v from nodes that were told of a limit of %v a second, allowed %d", got, limitWindow, rate, allowed)
			} else {
				t.Logf("%d requests in %v, allowed %d", got, limitWindow, allowed)
			}
			if tt.name == "joint choice" {
				checkCalm(t, b, l)
			}
		})
	}
}

// checkCalm expects of nodes that nothing happens to that they keep to the limit together, whether
// they were told or not, and that they use it.
func checkCalm(t *testing.T, b *backend, l limited) {
	t.Helper()
	after := func(a target.Arrival) bool { return a.At.Sub(l.named) >= limitSettled }
	if got, allowed := most(b.Arrivals(), after), l.allowed(calmExcess, calmSlack); got > allowed {
		t.Errorf("%d requests in %v from all nodes, allowed %d", got, limitWindow, allowed)
	}
	n := 0
	for _, a := range b.Arrivals() {
		if after(a) && a.At.Sub(l.named) < limitSettled+limitWindow {
			n++
		}
	}
	if n < 6 {
		t.Errorf("%d requests in %v, the limit allows %v", n, limitWindow, l.rate*limitWindow.Seconds())
	}
}
