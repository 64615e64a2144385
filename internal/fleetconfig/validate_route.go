// SPDX-License-Identifier: Apache-2.0

package fleetconfig

import (
	"math"
	"strings"

	"ploverjunction.example/ploverjunction/internal/wire"
)

func (c *Config) addRoutes(d *wire.Document) error {
	for _, w := range d.GetRoutes() {
		if err := checkName("route", w.GetName()); err != nil {
			return err
		}
		split, err := c.splitServices(w)
		if err != nil {
			return err
		}
		r, err := newRoute(w, split)
		if err != nil {
			return err
		}
		if !c.routes.add(r) {
			return fault(KindDuplicate, "host, path prefix and method of another route", "route %s", w.GetName())
		}
	}
	return nil
}

// splitServices returns the services of a route with their weights; a route without a
// split has one with weight 1.
func (c *Config) splitServices(w *wire.Route) ([]splitService, error) {
	split := w.GetSplit()
	if len(split) > 0 && w.GetService() != "" {
		return nil, fault(KindRange, "either service or split", "route %s", w.GetName())
	}
	if len(split) == 0 {
		split = []*wire.Split{
			{
				Service: w.GetService(),
				Weight:  1,
			},
		}
	}
	var services []splitService
	sum := uint64(0)
	for _, p := range split {
		s := c.services[p.GetService()]
		if s == nil {
			return nil, fault(KindReference, "service "+p.GetService(), "route %s", w.GetName())
		}
		if p.GetWeight() == 0 {
			continue
		}
		sum += uint64(p.GetWeight())
		services = append(services, splitService{
			service:          s,
			cumulativeWeight: sum,
		})
	}
	if sum == 0 {
		return nil, fault(KindRange, "a weight above 0", "route %s", w.GetName())
	}
	return services, nil
}

func newRoute(w *wire.Route, split []splitService) (*Route, error) {
	if !strings.HasPrefix(w.GetPathPrefix(), "/") {
		return nil, fault(KindRange, "path_prefix begins with /", "route %s", w.GetName())
	}
	deadline, latency := w.GetDeadline().AsDuration(), w.GetTargetLatency().AsDuration()
	if deadline < 0 || deadline > maxDeadline || latency < 0 || latency > maxDeadline {
		return nil, fault(KindRange, "deadline and target_latency from 0s to 24h", "route %s", w.GetName())
	}
	if w.GetMaxBody() > math.MaxInt64 {
		return nil, fault(KindRange, "max_body", "route %s", w.GetName())
	}
	for _, m := range w.GetMethods() {
		if m == "" || m != strings.ToUpper(m) {
			return nil, fault(KindRange, "methods in capitals", "route %s", w.GetName())
		}
	}
	if err := checkRegions("route", w.GetName(), w.GetRegions()); err != nil {
		return nil, err
	}
	class := w.GetClass()
	if class == "" {
		class = split[0].service.name
	}
	r := &Route{
		name:          w.GetName(),
		host:          strings.ToLower(w.GetHost()),
		prefix:        strings.TrimRight(w.GetPathPrefix(), "/"),
		methods:       w.GetMethods(),
		service:       split[0].service,
		class:         class,
		repeatable:    w.GetRepeatable(),
		deadline:      deadline,
		maxBody:       int64(w.GetMaxBody()),
		below:         w.GetBelow(),
		targetLatency: latency,
		priority:      int(w.GetPriority()),
		maxAttempts:   int(w.GetMaxAttempts()),
		bulk:          w.GetBulk(),
		public:        w.GetPublic(),
		regions:       w.GetRegions(),
	}
	if len(split) > 1 {
		r.split = split
	}
	return r, nil
}
