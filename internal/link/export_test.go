// SPDX-License-Identifier: Apache-2.0

package link

// MostIdle is how many connections without a call a Dialer keeps.
const MostIdle = maxIdle

// Connections returns how many connections are kept.
func (d *Dialer) Connections() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.peers)
}
