// SPDX-License-Identifier: Apache-2.0

package settings

import "time"

// Identity is how the workspace of a request is identified.
type Identity string

// Kinds of identity.
const (
	// IdentityHeader means that a header names the workspace: a proxy in front of the
	// fleet has authenticated the caller.
	IdentityHeader Identity = "header"
	// IdentityKey means that callers send a key of their workspace, and that the header
	// passes the workspace to targets.
	IdentityKey Identity = "key"
)

// Workspaces holds the settings of workspaces and their limits.
type Workspaces struct {
	identity Identity
	strict   bool
	keyAge   time.Duration
	window   time.Duration
	excess   float64
	slack    float64
}

// Identity returns how the workspace of a request is identified.
func (w *Workspaces) Identity() Identity { return w.identity }

// KeyExpiry returns the time without an answer of the platform after which requests with a
// key are refused, because the key may have been revoked; false means never.
func (w *Workspaces) KeyExpiry() (after time.Duration, strict bool) { return w.keyAge, w.strict }

// Tolerance returns by how much admitted requests may exceed a workspace's limit in any
// window: by excess, a fraction of the limit, plus slack requests.
func (w *Workspaces) Tolerance() (window time.Duration, excess, slack float64) {
	return w.window, w.excess, w.slack
}
