// SPDX-License-Identifier: Apache-2.0

package entry

import (
	"sync"

	"ploverjunction.example/ploverjunction/internal/fleetconfig"
)

// Parameters of the expected size of answers.
const (
	// sizeWeight is the weight of a new answer in the exponential moving average.
	sizeWeight = 0.1
	// initialBulkSize and initialSmallSize are the sizes in bytes expected of a route before its
	// first answer.
	initialBulkSize  = 64 << 10
	initialSmallSize = 1 << 10
	// maxSizes bounds the number of routes, and of services, with an average of their own.
	maxSizes = 16384
)

// sizes holds the expected answer size of each route. It may be used concurrently.
type sizes struct {
	mu      sync.Mutex
	byRoute map[string]float64
}

func newSizes() *sizes {
	return &sizes{
		byRoute: map[string]float64{},
	}
}

func initialSize(r *fleetconfig.Route) float64 {
	if r.Bulk() {
		return initialBulkSize
	}
	return initialSmallSize
}

func (s *sizes) add(r *fleetconfig.Route, size int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old, ok := s.byRoute[r.Name()]
	if !ok {
		if len(s.byRoute) >= maxSizes {
			return
		}
		old = initialSize(r)
	}
	s.byRoute[r.Name()] = old + sizeWeight*(float64(size)-old)
}

// expected returns the expected size in KiB, at least 1.
func (s *sizes) expected(r *fleetconfig.Route) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	size, ok := s.byRoute[r.Name()]
	if !ok {
		size = initialSize(r)
	}
	return int(size)>>10 + 1
}
