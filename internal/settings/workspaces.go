// SPDX-License-Identifier: Apache-2.0

package settings

import "time"

// Identity says by what the workspace of a request is known.
type Identity string

// Kinds of identity.
const (
	// IdentityHeader means that a header names the workspace: something in front of the
	// fleet has checked who the caller is.
	IdentityHeader Identity = "header"
	// IdentityKey means that callers show a key of their workspace, and that the header
	// tells targets which workspace that is.
	IdentityKey Identity = "key"
)

// Workspaces are the settings about workspaces and their limits.
type Workspaces struct {
	identity Identity
	strict   bool
	keyAge   time.Duration
	window   time.Duration
	excess   float64
	slack    float64
}

// Identity returns by what the workspace of a request is known.
func (w *Workspaces) Identity() Identity { return w.identity }

// Strict returns after how long without an answer of the platform no request with a key is
// served any more, for the key may have been taken away; false means never.
func (w *Workspaces) Strict() (after time.Duration, strict bool) { return w.keyAge, w.strict }

// Tolerance returns by how much the requests that run may exceed a workspace's limit in
// any window: by the share excess of the limit and by slack requests more.
func (w *Workspaces) Tolerance() (window time.Duration, excess, slack float64) {
	return w.window, w.excess, w.slack
}
