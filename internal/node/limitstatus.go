// SPDX-License-Identifier: Apache-2.0

package node

import (
	"slices"
	"strings"
	"time"

	"ploverjunction.example/ploverjunction/internal/operator"
)

// limitStatus lists the targets with a limit that this node received: in answers to it, and from
// other nodes where it is the dispatcher.
func (n *Node) limitStatus(now time.Time) []operator.TargetLimitStatus {
	var out []operator.TargetLimitStatus
	granting := map[string]bool{}
	if n.dispatcher != nil {
		out = n.dispatcher.limitStatus(now)
	}
	for _, l := range out {
		granting[l.Target] = true
	}
	c := n.board.currentConfig()
	if c == nil || n.board.signals.Empty() {
		return out
	}
	for _, s := range c.Services() {
		for _, t := range s.Targets() {
			status := n.board.targetStatus(now, t)
			if !status.Limit.Set || granting[t.Key()] {
				continue
			}
			out = append(out, operator.TargetLimitStatus{
				Service: s.Name(),
				Target:  t.Key(),
				Rate:    status.Limit.Rate,
				By:      n.address(),
				AgeMS:   now.Sub(status.LimitAt).Milliseconds(),
			})
		}
	}
	return out
}

// limitStatus lists the targets with a limit in the partitions that this node dispatches.
func (d *dispatchController) limitStatus(now time.Time) []operator.TargetLimitStatus {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []operator.TargetLimitStatus
	for p, s := range d.schedulers {
		if !s.Limited(now) || now.Sub(s.lastUsed) > reportInterval {
			continue
		}
		for _, t := range s.Status(now).Targets {
			if !t.Limit.Set {
				continue
			}
			out = append(out, operator.TargetLimitStatus{
				Service:    p.service,
				Target:     t.Key,
				Rate:       t.Limit.Rate,
				By:         t.LimitBy,
				AgeMS:      now.Sub(t.LimitAt).Milliseconds(),
				Dispatcher: true,
				Granted:    t.Granted,
			})
		}
	}
	slices.SortFunc(out, func(a, b operator.TargetLimitStatus) int { return strings.Compare(a.Target, b.Target) })
	return out
}
