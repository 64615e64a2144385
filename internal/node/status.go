// SPDX-License-Identifier: Apache-2.0

package node

import (
	"slices"
	"strings"
	"time"

	"ploverjunction.example/ploverjunction/internal/fleetconfig"
	"ploverjunction.example/ploverjunction/internal/membership"
	"ploverjunction.example/ploverjunction/internal/operator"
)

func (n *Node) ready() (bool, string) {
	r := n.board.ready.Load()
	if r == nil {
		return false, reasonStarting
	}
	return r.ready, r.reason
}

// status returns the status of the node; brief omits what grows with the fleet and its
// configuration.
func (n *Node) status(brief bool) *operator.Status {
	ready, reason := n.ready()
	s := &operator.Status{
		Node:     n.address(),
		DataHall: n.set.DataHall(),
		Ready:    ready,
		Reason:   reason,
		UpFor:    time.Since(n.started).Round(time.Millisecond).String(),
		InFlight: n.entry.InFlight(),
		Config:   n.configStatus(),
		Control: operator.ControlStatus{
			BytesSent:     n.traffic.Sent(),
			BytesReceived: n.traffic.Received(),
			Calls:         n.traffic.Calls(),
		},
	}
	s.Traffic, s.Connections = n.trafficStatus()
	s.HeldRequests, s.HeldAnswers = n.entry.Held()
	if n.adapter.Calls != nil {
		s.Control.PlatformCalls = n.adapter.Calls()
	}
	if brief {
		return s
	}
	s.Members = n.memberStatus()
	s.Revisions = map[string]uint64{}
	for key, position := range n.replica.InForce() {
		s.Revisions[key] = position.Revision()
	}
	s.Limits = n.limits.status(time.Now())
	s.Quarantine = n.quarantine.status(time.Now())
	s.Signals = n.board.signalStatus(time.Now())
	s.TargetLimits = n.limitStatus(time.Now())
	s.TargetLoads = n.loadStatus(time.Now())
	if p := n.ejection.pools(time.Now()); p != nil {
		for name := range p.services {
			s.Services = append(s.Services, *n.serviceStatus(name))
		}
	}
	slices.SortFunc(s.Services, func(a, b operator.ServiceStatus) int { return strings.Compare(a.Name, b.Name) })
	return s
}

func (n *Node) configStatus() operator.ConfigStatus {
	c := operator.ConfigStatus{
		PlatformAgeMS: -1,
	}
	const never = 1 << 60
	if age := n.gossip.PlatformAge(time.Now()); age < never {
		c.PlatformAgeMS = age.Milliseconds()
	}
	cur := n.board.config.Load()
	if cur == nil {
		return c
	}
	c.Era, c.Revision = cur.config.Position().Era(), cur.config.Position().Revision()
	c.Ahead = n.replica.Ahead()
	c.Services = len(cur.config.Services())
	c.Routes = cur.config.Routes()
	c.Workspaces = cur.config.Workspaces()
	c.Evacuated = cur.config.Evacuations()
	for _, r := range cur.refusals {
		c.Refused = append(c.Refused, operator.RefusedStatus{
			Key:      r.Key(),
			Revision: r.Position().Revision(),
			Reason:   r.Err().Error(),
		})
	}
	return c
}

func (n *Node) memberStatus() []operator.MemberStatus {
	view := n.board.view.Load()
	var out []operator.MemberStatus
	for _, m := range append([]membership.Node{view.Self()}, view.Peers()...) {
		out = append(out, operator.MemberStatus{
			Address:  m.Address(),
			DataHall: m.DataHall(),
			Live:     slices.Contains(view.Live(), m),
		})
	}
	return out
}

// serviceStatus returns the status of a service, or nil for an unknown one.
func (n *Node) serviceStatus(name string) *operator.ServiceStatus {
	all := n.ejection.pools(time.Now())
	if all == nil || all.services[name] == nil {
		return nil
	}
	p := all.services[name]
	s := &operator.ServiceStatus{
		Name:        name,
		Capacity:    p.pool.Capacity(),
		Serving:     p.pool.Serving(),
		Floor:       p.pool.Floor(),
		KeptByFloor: p.pool.KeptByFloor(),
		Used:        p.pool.Len(),
	}
	used := p.pool.Keys()
	for _, t := range p.targets {
		s.Targets = append(s.Targets, operator.TargetStatus{
			Address:  t.address,
			Phase:    t.state.Phase.String(),
			Draining: t.state.Draining || t.listedDraining,
			Score:    t.state.Score,
			Warmth:   t.state.Warmth,
			InFlight: t.inFlight,
			Used:     slices.Contains(used, t.address),
		})
	}
	return s
}

// explain returns how a request would be routed.
func (n *Node) explain(q operator.ExplainRequest) *operator.Explanation {
	c := n.board.currentConfig()
	if c == nil {
		return &operator.Explanation{
			Match: "none",
		}
	}
	r, match := c.Route(strings.ToLower(q.Host), q.Path, q.Method)
	switch match {
	case fleetconfig.MatchRoute:
		return &operator.Explanation{
			Match:      "route",
			Route:      r.Name(),
			Class:      r.Class(),
			Repeatable: r.Repeatable(),
			Deadline:   r.Deadline().String(),
			Service:    n.serviceStatus(r.Service().Name()),
		}
	case fleetconfig.MatchPath:
		return &operator.Explanation{
			Match: "method",
		}
	default:
		return &operator.Explanation{
			Match: "none",
		}
	}
}
