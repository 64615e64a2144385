// SPDX-License-Identifier: Apache-2.0

package node

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"ploverjunction.example/ploverjunction/internal/inbound"
	"ploverjunction.example/ploverjunction/internal/metrics"
)

// closedLogInterval is the least time between two log lines about connections of one listener that were closed for one
// reason.
const closedLogInterval = time.Second

// closedConnections counts the connections that were closed for a limit, and logs some of them. It may be used
// concurrently.
type closedConnections struct {
	log *logrus.Entry
	mu  sync.Mutex
	// counts are the connections since the start, in byDoor by listener and reason.
	byDoor map[closedKey]*closedCount
}

type closedKey struct {
	door   string
	reason inbound.Reason
}

// closedCount counts connections. logged is when one was logged last, unlogged counts those since.
type closedCount struct {
	total    int64
	reported int64
	logged   time.Time
	unlogged int
}

func newClosedConnections(log *logrus.Entry) *closedConnections {
	return &closedConnections{
		log:    log,
		byDoor: map[closedKey]*closedCount{},
	}
}

// record records a connection that was closed for a limit.
func (c *closedConnections) record(conn inbound.Closed) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	k := closedKey{
		door:   conn.Door,
		reason: conn.Reason,
	}
	n := c.byDoor[k]
	if n == nil {
		n = &closedCount{}
		c.byDoor[k] = n
	}
	n.total++
	if now.Sub(n.logged) < closedLogInterval {
		n.unlogged++
		return
	}
	c.log.WithFields(logrus.Fields{
		"door":     conn.Door,
		"reason":   string(conn.Reason),
		"remote":   conn.Remote,
		"age_ms":   conn.Age.Milliseconds(),
		"held":     conn.Held,
		"open":     conn.Open,
		"unlogged": n.unlogged,
	}).Warn("connection closed for a limit")
	n.logged = now
	n.unlogged = 0
}

// report adds what was recorded since the last call to the metrics.
func (c *closedConnections) report(m *metrics.Metrics) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for k, n := range c.byDoor {
		m.CountClosed(k.door, string(k.reason), n.total-n.reported)
		n.reported = n.total
	}
}
