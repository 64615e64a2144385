// SPDX-License-Identifier: Apache-2.0

package entry

import (
	"math"
	"sync"
	"time"

	"ploverjunction.example/ploverjunction/internal/fleetconfig"
)

// Parameters of the usual time of requests, those of TCP's retransmission timeout (RFC 6298, section 2). A time above
// the mean by four mean deviations is exceeded by few requests, also where times vary.
const (
	meanWeight      = 1.0 / 8
	deviationWeight = 1.0 / 4
	deviations      = 4
)

// usual estimates a time that most durations do not exceed.
type usual struct {
	known     bool
	mean      float64
	deviation float64
}

func (u *usual) add(d time.Duration) {
	x := float64(d)
	if !u.known {
		*u = usual{
			known:     true,
			mean:      x,
			deviation: x / 2,
		}
		return
	}
	u.deviation += deviationWeight * (math.Abs(x-u.mean) - u.deviation)
	u.mean += meanWeight * (x - u.mean)
}

func (u *usual) time() time.Duration { return time.Duration(u.mean + deviations*u.deviation) }

// requestTimes are the usual times of requests.
type requestTimes struct {
	// answer is the time from the whole request to the beginning of its answer, delivery the time of the rest.
	answer   time.Duration
	delivery time.Duration
}

// estimates estimates the usual times of requests.
type estimates struct {
	answer   usual
	delivery usual
}

// times holds the usual times of requests by route and by service. It may be used concurrently.
type times struct {
	mu        sync.Mutex
	byRoute   map[string]*estimates
	byService map[string]*estimates
}

func newTimes() *times {
	return &times{
		byRoute:   map[string]*estimates{},
		byService: map[string]*estimates{},
	}
}

// add records the times of a request.
func (t *times) add(r *fleetconfig.Route, service string, answer, delivery time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	addTo(t.byRoute, r.Name(), answer, delivery)
	addTo(t.byService, service, answer, delivery)
}

func addTo(m map[string]*estimates, key string, answer, delivery time.Duration) {
	e := m[key]
	if e == nil {
		if len(m) >= maxSizes {
			return
		}
		e = &estimates{}
		m[key] = e
	}
	e.answer.add(answer)
	e.delivery.add(delivery)
}

// expected returns the usual times of requests of a route, or else of its service. It returns false if neither has
// answered a request.
func (t *times) expected(r *fleetconfig.Route) (requestTimes, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.byRoute[r.Name()]
	if e == nil {
		e = t.byService[r.Service().Name()]
	}
	if e == nil {
		return requestTimes{}, false
	}
	return requestTimes{
		answer:   e.answer.time(),
		delivery: e.delivery.time(),
	}, true
}
