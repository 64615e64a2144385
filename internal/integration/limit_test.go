// SPDX-License-Identifier: Apache-2.0

package integration_test

import (
	"fmt"
	"net/http"
	"strconv"
	"testing"
	"time"

	"ploverjunction.example/ploverjunction/internal/standin/target"
)

// Bounds on the requests that a target with a limit may get in any window from nodes that
// received the limit.
const (
	limitWindow = 4 * time.Second
	limitExcess = 1.5
	limitSlack  = 5
	// A node must comply limitGrace after an answer with the limit, the fleet limitSettleTime
	// after the first such answer.
	limitGrace      = 500 * time.Millisecond
	limitSettleTime = 2 * time.Second
	// undisturbedExcess and undisturbedSlack are the bounds for all nodes together without faults.
	undisturbedExcess = 1.1
	undisturbedSlack  = 2
	// undisturbedFrom is the time from complete membership until these bounds apply, as a dispatcher
	// that has just joined uses only a share of each limit.
	undisturbedFrom = 6 * time.Second
)

// targetLimit is the limit of a target in requests a second.
type targetLimit struct {
	rate float64
	// signaled is when the target first signaled the limit.
	signaled time.Time
}

func (l targetLimit) allowed(excess, slack float64) int {
	return int(excess*l.rate*limitWindow.Seconds() + slack)
}

// maxInWindow returns the maximum number of arrivals in one window for which counts is true.
func maxInWindow(all []target.Arrival, counts func(target.Arrival) bool) int {
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

// maxFromReceivers returns the maximum number of requests in one window from nodes that had received
// the limit at least limitGrace before, from limitSettleTime after its first signal on.
func (l targetLimit) maxFromReceivers(b *backend, nodes []int) int {
	received := map[string]time.Time{}
	for _, i := range nodes {
		for _, a := range b.from(i) {
			if a.Limit != "" {
				received[strconv.Itoa(i)] = a.At.Add(signalLatency)
				break
			}
		}
	}
	return maxInWindow(b.Arrivals(), func(a target.Arrival) bool {
		at, ok := received[a.Key[:1]]
		return ok && a.At.Sub(at) >= limitGrace && a.At.Sub(l.signaled) >= limitSettleTime
	})
}

// Guards against targets that get more requests than the limit they signal for the whole fleet.
// In an incident a target with a limit of 1.6 requests a second got 30 in 4 s from nodes that had
// relayed the limit: no node read the header, and the one dispatcher that grants the target chose
// by slots only. Its load was the same before and after the answer, all granted by that dispatcher
// within 14 ms, and changed only with its estimated failure probability.
func TestTargetLimitIsNotExceeded(t *testing.T) {
	const rate = 2.5
	for _, tt := range nodeFaults {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			tt.net += 10
			s := signalSite(t, &tt)
			<-time.After(undisturbedFrom)
			b := s.targets[0]
			stopped := s.load(tt.stopped()...)
			stop := s.load(tt.remaining...)
			eventually(t, "work at the target", func() bool { return len(b.Arrivals()) > 40 })
			b.SetMode(target.Mode{
				Latency: signalLatency,
				Limit:   fmt.Sprint(rate),
			})
			var l targetLimit
			eventually(t, "an answer with the limit", func() bool {
				for _, a := range b.Arrivals() {
					if a.Limit != "" {
						l = targetLimit{
							rate:     rate,
							signaled: a.At,
						}
						return true
					}
				}
				return false
			})
			<-time.After(limitSettleTime / 2)
			stopped()
			tt.inject(s)
			time.AfterFunc(2*limitWindow, stop)
			<-time.After(2*limitWindow + time.Second)
			if got, allowed := l.maxFromReceivers(b, tt.remaining), l.allowed(limitExcess, limitSlack); got > allowed {
				t.Errorf("%d requests in %v from nodes that had received a limit of %v a second, allowed %d", got, limitWindow, rate, allowed)
			} else {
				t.Logf("%d requests in %v, allowed %d", got, limitWindow, allowed)
			}
			if tt.name == "joint mode" {
				checkUndisturbed(t, b, l)
			}
		})
	}
}

// checkUndisturbed checks that undisturbed nodes together comply with the limit, whether or not they
// received it, and that they make use of it.
func checkUndisturbed(t *testing.T, b *backend, l targetLimit) {
	t.Helper()
	after := func(a target.Arrival) bool { return a.At.Sub(l.signaled) >= limitSettleTime }
	if got, allowed := maxInWindow(b.Arrivals(), after), l.allowed(undisturbedExcess, undisturbedSlack); got > allowed {
		t.Errorf("%d requests in %v from all nodes, allowed %d", got, limitWindow, allowed)
	}
	n := 0
	for _, a := range b.Arrivals() {
		if after(a) && a.At.Sub(l.signaled) < limitSettleTime+limitWindow {
			n++
		}
	}
	if n < 6 {
		t.Errorf("%d requests in %v, the limit allows %v", n, limitWindow, l.rate*limitWindow.Seconds())
	}
}

// Guards against holding requests beyond the limits of all targets of a service until their
// deadline, because the dispatcher estimated the wait from free slots: 1,619 requests of one
// simulation of the dispatcher were refused after 0.97 s on average. The excess must be refused
// immediately with a Retry-After, the rest served, and another service not affected.
func TestServiceWithAllTargetsLimited(t *testing.T) {
	const rate = 2
	s := twoServiceSite(t, 64, `"deadline":"1s","targetLatency":"0.5s"`)
	<-time.After(undisturbedFrom)
	quotes := s.targets[:3]
	for _, b := range quotes {
		b.SetMode(target.Mode{
			Latency: signalLatency,
			Limit:   fmt.Sprint(rate),
		})
	}
	started := time.Now()
	stop := s.load(0, 1)
	time.AfterFunc(limitSettleTime+2*limitWindow, stop)
	documents := 0
	for time.Since(started) < limitSettleTime+2*limitWindow {
		n := s.nodes[documents%2]
		documents++
		if r := n.do(http.MethodPost, "/documents/1", fmt.Sprintf("document-%d", documents), ""); r.status != http.StatusOK || r.took > time.Second {
			t.Errorf("document %d: status %d after %v", documents, r.status, r.took)
		}
	}
	for _, b := range quotes {
		l := targetLimit{
			rate:     rate,
			signaled: started,
		}
		checkUndisturbed(t, b, l)
	}
	stop = s.load(0, 1)
	defer stop()
	refused := 0
	for i := range 100 {
		r := s.nodes[i%2].do(http.MethodGet, "/quotes/1", fmt.Sprintf("%d-probe-%d", i%2, i), "")
		if r.status != http.StatusServiceUnavailable {
			continue
		}
		refused++
		if seconds, err := strconv.Atoi(r.header.Get("Retry-After")); err != nil || seconds < 1 || r.outcome != "not-run" {
			t.Errorf("Retry-After %q, outcome %q", r.header.Get("Retry-After"), r.outcome)
		}
		if r.took > 250*time.Millisecond {
			t.Errorf("refused after %v", r.took)
		}
	}
	if refused < 50 {
		t.Errorf("%d of 100 refused, where the limits allow a tenth of the load", refused)
	}
}
