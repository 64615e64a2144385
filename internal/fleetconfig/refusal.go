// SPDX-License-Identifier: Apache-2.0

package fleetconfig

import "ploverjunction.example/ploverjunction/internal/order"

// Refusal is the reason why the newest value of a key is not in force.
type Refusal struct {
	key      string
	position order.Position
	err      error
}

// Key returns the key of the refused value.
func (r Refusal) Key() string { return r.key }

// Position returns the position of the refused value.
func (r Refusal) Position() order.Position { return r.position }

// Err returns the reason for the refusal.
func (r Refusal) Err() error { return r.err }
