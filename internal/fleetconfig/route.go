// SPDX-License-Identifier: Apache-2.0

package fleetconfig

import (
	"slices"
	"strings"
)

// routeTable finds routes by host and path prefix. A lookup costs one map access
// for each path segment, regardless of the number of routes.
type routeTable struct {
	hosts map[string]map[string][]*Route
	count int
}

func newRouteTable() *routeTable {
	return &routeTable{
		hosts: map[string]map[string][]*Route{},
	}
}

// add adds a route and reports false if one for the same host, prefix and method exists.
func (t *routeTable) add(r *Route) bool {
	prefixes := t.hosts[r.host]
	if prefixes == nil {
		prefixes = map[string][]*Route{}
		t.hosts[r.host] = prefixes
	}
	for _, other := range prefixes[r.prefix] {
		if r.below == other.below && sharesMethod(r.methods, other.methods) {
			return false
		}
	}
	prefixes[r.prefix] = append(prefixes[r.prefix], r)
	t.count++
	return true
}

func sharesMethod(a, b []string) bool {
	if len(a) == 0 || len(b) == 0 {
		return len(a) == len(b)
	}
	return slices.ContainsFunc(a, func(m string) bool { return slices.Contains(b, m) })
}

// Match is the result of a lookup.
type Match int

// Results of a lookup.
const (
	MatchNone Match = iota
	// MatchPath means that a route matches the path but not the method.
	MatchPath
	MatchRoute
)

// Route finds the route with the longest prefix that ends at a segment of path
// and allows the method. A route for the host takes precedence over one for any
// host, one that names the method over one for any method. It does not allocate.
func (c *Config) Route(host, path, method string) (*Route, Match) {
	best := MatchNone
	if host != "" {
		r, m := c.routes.lookup(host, path, method)
		if m == MatchRoute {
			return r, m
		}
		best = m
	}
	r, m := c.routes.lookup("", path, method)
	return r, max(m, best)
}

func (t *routeTable) lookup(host, path, method string) (*Route, Match) {
	prefixes := t.hosts[host]
	if prefixes == nil {
		return nil, MatchNone
	}
	best := MatchNone
	for p := strings.TrimRight(path, "/"); ; p = p[:strings.LastIndexByte(p, '/')] {
		if routes := prefixes[p]; len(routes) > 0 {
			r, m := pickMethod(routes, method, len(path) > len(p))
			if r != nil {
				return r, MatchRoute
			}
			best = max(best, m)
		}
		if p == "" {
			return nil, best
		}
	}
}

// pickMethod returns the route for a method, or whether any route matches the path;
// longer is set if the path is longer than the prefix.
func pickMethod(routes []*Route, method string, longer bool) (*Route, Match) {
	var anyMethod *Route
	match := MatchNone
	for _, r := range routes {
		if r.below && !longer {
			continue
		}
		match = MatchPath
		if len(r.methods) == 0 {
			anyMethod = r
		} else if slices.Contains(r.methods, method) {
			return r, MatchRoute
		}
	}
	return anyMethod, match
}
