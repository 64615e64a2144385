// SPDX-License-Identifier: Apache-2.0

package fleetconfig

import (
	"crypto/sha256"
	"math"

	"ploverjunction.example/ploverjunction/internal/wire"
)

// digestSize is the number of bytes kept of a key's SHA-256. Among 10^6 keys two have
// the same 16 bytes with a probability of 10^-27.
const digestSize = 16

// KeyDigest replaces a caller's key wherever the fleet stores or sends it, so that a
// leaked configuration, log or message grants no access.
type KeyDigest [digestSize]byte

// DigestKey returns the digest of a key.
func DigestKey(key string) KeyDigest {
	sum := sha256.Sum256([]byte(key))
	return KeyDigest(sum[:digestSize])
}

// Workspace is one identity with its limits.
type Workspace struct {
	id       string
	rate     float64
	burst    float64
	priority int
	weight   float64
	regions  Regions
}

// ID returns the identity.
func (w *Workspace) ID() string { return w.id }

// Rate returns the limit of requests per second over the whole fleet; 0 means unlimited.
func (w *Workspace) Rate() float64 { return w.rate }

// Burst returns the number of requests that may arrive at once, at least 1 if there
// is a rate.
func (w *Workspace) Burst() float64 { return w.burst }

// Priority returns the priority under overload, which takes precedence over the
// route's; 0 is served first.
func (w *Workspace) Priority() int { return w.priority }

// Weight returns the relative share of the slots that the workspace gets while they are short. It is
// positive, and 1 where none is configured.
func (w *Workspace) Weight() float64 { return w.weight }

// Regions returns the regions whose targets may serve the workspace.
func (w *Workspace) Regions() Regions { return w.regions }

// Workspace returns a workspace by identity, or nil.
func (c *Config) Workspace(id string) *Workspace { return c.workspaces[id] }

// WorkspaceByKey returns the workspace to which a key belongs, or nil.
func (c *Config) WorkspaceByKey(key KeyDigest) *Workspace { return c.byKey[key] }

// LeastUrgent returns the priority of the workspaces that are served last.
func (c *Config) LeastUrgent() int { return c.leastUrgent }

// Workspaces returns the number of workspaces.
func (c *Config) Workspaces() int { return len(c.workspaces) }

func (c *Config) addWorkspaces(d *wire.Document) error {
	for _, w := range d.GetWorkspaces() {
		if err := checkName("workspace", w.GetId()); err != nil {
			return err
		}
		if c.workspaces[w.GetId()] != nil {
			return fault(KindDuplicate, "", "workspace %s", w.GetId())
		}
		rate := w.GetRate()
		if math.IsNaN(rate) || math.IsInf(rate, 0) || rate < 0 {
			return fault(KindRange, "rate", "workspace %s", w.GetId())
		}
		if w.GetPriority() > maxPriority {
			return fault(KindRange, "priority from 0 to 1000000", "workspace %s", w.GetId())
		}
		weight, err := weightOf(w)
		if err != nil {
			return err
		}
		if err := checkRegions("workspace", w.GetId(), w.GetRegions()); err != nil {
			return err
		}
		burst := float64(w.GetBurst())
		if burst == 0 {
			burst = math.Max(rate, 1)
		}
		owner := &Workspace{
			id:       w.GetId(),
			rate:     rate,
			burst:    burst,
			priority: int(w.GetPriority()),
			weight:   weight,
			regions:  w.GetRegions(),
		}
		c.workspaces[w.GetId()] = owner
		c.leastUrgent = max(c.leastUrgent, owner.priority)
		if err := c.addKeys(owner, w.GetKeys()); err != nil {
			return err
		}
	}
	return nil
}

// Bounds of weights. With a greater ratio the workspaces of the least weight would not get one slot of
// the largest services.
const (
	minWeight = 0.001
	maxWeight = 1000
)

// weightOf returns the weight of a workspace, 1 where none is configured.
func weightOf(w *wire.Workspace) (float64, error) {
	weight := w.GetWeight()
	if weight == 0 {
		return 1, nil
	}
	// NaN is in no range.
	if !(weight >= minWeight && weight <= maxWeight) {
		return 0, fault(KindRange, "weight from 0.001 to 1000", "workspace %s", w.GetId())
	}
	return weight, nil
}

func (c *Config) addKeys(owner *Workspace, keys [][]byte) error {
	for _, k := range keys {
		if len(k) != digestSize {
			return fault(KindRange, "keys are digests of 16 bytes", "workspace %s", owner.id)
		}
		if other := c.byKey[KeyDigest(k)]; other != nil && other != owner {
			return fault(KindDuplicate, "a key of workspace "+other.id, "workspace %s", owner.id)
		}
		c.byKey[KeyDigest(k)] = owner
	}
	return nil
}
