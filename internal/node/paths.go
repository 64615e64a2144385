// SPDX-License-Identifier: Apache-2.0

package node

import "time"

// pathTargets returns the addresses of a service's targets that may be asked now: they do not drain,
// do not back off from this node and have no limit.
func (b *Board) pathTargets(service string) []string {
	cfg := b.currentConfig()
	if cfg == nil || cfg.Service(service) == nil {
		return nil
	}
	sc := cfg.Service(service)
	now := time.Now()
	var out []string
	for _, t := range sc.Targets() {
		if status := b.targetStatus(now, t); !sc.Draining(t) && !status.Unavailable() && !status.Limit.Set {
			out = append(out, t.Address())
		}
	}
	return out
}
