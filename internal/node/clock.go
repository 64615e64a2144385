// SPDX-License-Identifier: Apache-2.0

package node

import (
	"ploverjunction.example/ploverjunction/internal/logging"
	"ploverjunction.example/ploverjunction/internal/suspend"
)

// newClock returns the clock that measures for how long the machine is suspended.
func (n *Node) newClock() *suspend.Clock {
	c, err := suspend.NewClock()
	if err != nil {
		logging.Part(n.log, "node").WithError(err).Warn("suspended time of the machine is not measured")
	}
	return c
}
