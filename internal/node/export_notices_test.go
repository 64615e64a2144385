// SPDX-License-Identifier: Apache-2.0

package node

import (
	"time"

	"ploverjunction.example/ploverjunction/internal/notice"
)

// Hear takes in what a target says in an answer to the node.
func (c *Chooser) Hear(key string, n notice.Notice) {
	c.dispatching.board.notices.Hear(time.Now(), lifeOf(c.service.Target(key)), n)
}

// Leaves tells whether the node's own desk gives a target no work, by what it was told.
func (c *Chooser) Leaves(key string) bool {
	d := c.dispatching
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	for _, t := range d.desk(now, d.home(c.service)).Status(now).Targets {
		if t.Key == key {
			return t.Leaving
		}
	}
	return false
}
